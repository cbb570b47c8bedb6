//! Tests of the command line: exit codes, errors for invalid input, candidate programs.

use std::path::Path;
use std::process::{Command, Output};

fn lab(arguments: &[&str]) -> Output {
    let out = Command::new(env!("CARGO_BIN_EXE_mallowring-lab")).args(arguments).output();
    out.expect("the program starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(dir: &Path, name: &str, content: &str) -> String {
    let path = dir.join(name);
    std::fs::write(&path, content).expect("writing the file succeeds");
    path.to_string_lossy().into_owned()
}

const SMALL: &str = "name = \"small\"\nseconds = 5\n[fleet]\nexchanges = 3\n";

#[test]
fn invalid_scenarios_give_one_error_and_exit_code_2() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let cases = [
        ("name = \"x\"\nseconds = 5\n", "missing field `fleet`"),
        ("name = \"x\"\n[fleet]\nexchanges = 0\n", "bad.toml:3: fleet.exchanges: want a number above 0"),
        ("name = \"x\"\n[fleet]\nexchanges = 1\n", "fleet.exchanges: want 2 to 1000 exchanges"),
        (
            "name = \"x\"\n[fleet]\nexchanges = 4\n[load]\noffered = -0.5\n",
            "bad.toml:5: load.offered: want a number above 0",
        ),
        (
            "name = \"x\"\n[fleet]\nexchanges = 4\nexchangs = 5\n",
            "bad.toml:4: fleet.exchangs: unknown field `exchangs`",
        ),
        ("name = \"x\"\n[fleet\n", "bad.toml:2: file: "),
        (
            "name = \"x\"\n[fleet]\nexchanges = 4\n[[trouble]]\nkind = \"quake\"\nat = 1\n",
            "unknown variant `quake`",
        ),
        (
            "name = \"x\"\n[fleet]\nexchanges = 4\n[[trouble]]\nkind = \"crash\"\nat = 1\nexchanges = [7]\n",
            "trouble[0].exchanges: there may be no exchange 7",
        ),
    ];
    for (content, wanted) in cases {
        let path = file(dir.path(), "bad.toml", content);
        let out = lab(&["run", &path]);
        let error = text(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{error}");
        assert!(error.contains(wanted), "{error} does not contain {wanted}");
        assert_eq!(error.trim_end().lines().count(), 1, "one error: {error}");
        assert!(out.stdout.is_empty());
    }
    let out = lab(&["run", "no-such.toml"]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stderr).contains("no-such.toml: "));
}

#[test]
fn run_prints_text_and_json_independent_of_threads() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = file(dir.path(), "small.toml", SMALL);
    let out = lab(&["run", &path, "--days", "2"]);
    assert_eq!(out.status.code(), Some(0), "{}", text(&out.stderr));
    assert!(text(&out.stdout).contains("class event-alert"));
    let out = lab(&["run", &path, "--days", "2", "--json"]);
    let days: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
    assert_eq!(days.as_array().map(Vec::len), Some(2));
    assert!(days[0]["service"]["figure"].as_f64().is_some_and(|x| x > 0.5));
    // The output is the same on one thread and on four.
    let one = lab(&["run", &path, "--days", "4", "--json", "--threads", "1"]).stdout;
    assert_eq!(text(&one), text(&lab(&["run", &path, "--days", "4", "--json", "--threads", "4"]).stdout));
}

#[test]
fn worse_candidate_exits_with_1_and_results_are_written() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let busy = "name = \"busy\"\nseconds = 14\n[fleet]\nexchanges = 4\n[load]\noffered = 1.4\n";
    let path = file(dir.path(), "busy.toml", busy);
    let out = lab(&["compare", &path, "--candidate", "refused-pause-3s", "--days", "8", "--keep"]);
    assert_eq!(out.status.code(), Some(1), "{}", text(&out.stderr));
    assert!(text(&out.stdout).contains("refused-pause-3s: service worse"), "{}", text(&out.stdout));
    let kept = dir.path().join("busy");
    let again = lab(&["report", &kept.to_string_lossy()]);
    assert_eq!(again.status.code(), Some(0), "{}", text(&again.stderr));
    assert!(text(&out.stdout).contains(text(&again.stdout).trim_end()));
}

#[test]
fn invalid_candidates_are_rejected() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = file(dir.path(), "small.toml", SMALL);
    let bad = file(dir.path(), "bad.toml", "name = \"bad\"\n[tuning]\nabate = 0.4\n");
    let unknown = file(dir.path(), "unknown.toml", "name = \"bad\"\n[tuning]\nabait = 0.6\n");
    for (candidate, wanted) in [
        ("no-such", "there is no candidate 'no-such'"),
        (bad.as_str(), "tuning.abate: want more than 0.5"),
        (unknown.as_str(), "unknown field `abait`"),
    ] {
        let out = lab(&["compare", &path, "--candidate", candidate, "--days", "1", "--keep"]);
        let error = text(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{error}");
        assert!(error.contains(wanted), "{error}");
        assert!(!dir.path().join("small").exists(), "no results are written");
    }
}

#[test]
fn failing_candidate_programs_give_one_error() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = file(dir.path(), "small.toml", SMALL);
    let program = |name: &str, script: &str| {
        let list = format!("name = \"{name}\"\nprogram = [\"/bin/sh\", \"-c\", '{script}']\n");
        file(dir.path(), &format!("{name}.toml"), &list)
    };
    for (candidate, wanted) in [
        (program("dies", "exit 3"), "candidate 'dies': "),
        (program("babbles", "while read -r line; do echo no JSON at all; done"), "says what is no message"),
        (
            program("lies", "read -r l; echo \"{\\\"finished\\\":{\\\"frame\\\":77}}\"; cat >/dev/null"),
            "answers another batch",
        ),
        (
            program("odd", "read -r l; echo \"{\\\"dance\\\":{\\\"server\\\":0}}\"; cat >/dev/null"),
            "says what is no action",
        ),
        (
            file(dir.path(), "none.toml", "name = \"none\"\nprogram = [\"/no/such/program\"]\n"),
            "can't be started",
        ),
    ] {
        let out = lab(&["compare", &path, "--candidate", &candidate, "--days", "2", "--keep"]);
        let error = text(&out.stderr);
        assert_eq!(out.status.code(), Some(2), "{candidate}: {error}");
        assert!(error.contains(wanted), "{error} does not contain {wanted}");
        assert_eq!(error.trim_end().lines().count(), 1, "{error}");
        assert!(!dir.path().join("small").exists(), "no results are written");
    }
}

#[test]
fn schema_commands_print_json_schemas() {
    for arguments in [&["schema"][..], &["schema", "--candidate"]] {
        let out = lab(arguments);
        let schema: serde_json::Value = serde_json::from_slice(&out.stdout).expect("JSON");
        assert!(schema["properties"]["name"].is_object());
    }
}
