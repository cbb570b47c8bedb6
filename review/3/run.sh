#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it without the
# disruption. Needs the build of deploy/balancer.toml and review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
test -x review/bin/standin && test -x target/release/mallowring || { echo "build first"; exit 2; }
PROXY_PID_FILE=$(mktemp) || exit 2
export PROXY_PID_FILE
review/bin/standin flood "$here" &
standin=$!
# If this script is ended from outside, so are the processes that it started.
trap 'kill -KILL "$standin" $(cat "$PROXY_PID_FILE") 2>/dev/null; rm -f "$PROXY_PID_FILE"; exit 2' HUP INT TERM
wait "$standin"
code=$?
rm -f "$PROXY_PID_FILE"
test "$code" -le 2 || code=2
exit "$code"
