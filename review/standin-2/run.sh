#!/bin/sh
# Runs one case: run.sh NUMBER. Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
# TROUBLE=0 runs the case without its disruption.
cd "$(dirname "$0")/../.." || exit 2
program=review/standin-2/target/release/review-standin-2
for needed in "$program" target/release/mallowring; do
    if [ ! -x "$needed" ]; then
        echo "$needed is missing: build the project, then run review/build-2.sh" >&2
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
end_all() {
    # The program ends all that it has started; this is for a run that was interrupted.
    while read -r id; do
        if tr '\0' ' ' 2>/dev/null <"/proc/$id/cmdline" | grep -q -e mallowring -e review-standin-2; then
            kill -KILL "$id" 2>/dev/null
        fi
    done <"$folder/processes"
    rm -rf "$folder"
}
touch "$folder/processes"
trap 'kill "$running" 2>/dev/null; end_all; exit 2' INT TERM HUP
"$program" case "$1" "$folder" "review/$1/record.txt" &
running=$!
wait "$running"
status=$?
[ -n "${KEEP_LOG:-}" ] && cp "$folder/log" "$KEEP_LOG"
end_all
case $status in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
