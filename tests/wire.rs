//! The simulator's protocol: whole batches of valid and invalid messages.

use std::io::Write;
use std::process::{Command, Stdio};

use mallowring::wire::{serve, WireError};
use serde_json::Value;

const CREATE: &str = r#"{"create":{"server":3,"seed":9,"facts":{"classes":[{"name":"a","target":1.2,"give_up":9.0,"semantics":"free","key_scope":"all","window":5.0,"worth":1.0,"late_value":0.25}],"discovery":"pushed","extra":{"allowed_pools":null,"class_width":[1],"mean_hold":[10.0],"network_form":"network","release":0.3,"retransmit":0.5,"self_no":0},"limits":{"max_attempts":6,"retry_after":true,"max_retry_after":2.0},"n_instances":4,"rules":{"cold_from":0.3,"fall":1.0,"fall_multiple":2.5,"warm_within":13.0},"telemetry":{"how":"piggyback","fields":["idle"]},"tick":0.005,"new_key":{"x":1}}}}"#;
const MANIFEST: &str = r#"{"manifest":{"slot":0,"elements":[{"office":10,"az":"z","number":0,"condition":"on","weight":1},{"office":11,"az":"z","number":1,"condition":"on","weight":1},{"office":12,"az":"z","number":2,"condition":"on","weight":1,"ready_at":6.1}]}}"#;
const ANNOUNCE: &str = r#"{"announce":{"server":3,"gen":1,"slot":0,"kind":"SAVED"}}"#;

fn arrival(id: &str, far_end: i64) -> String {
    format!(
        r#"{{"arrival":{{"server":3,"request_id":"{id}","ttl":3.0,"hop":-1,"circuits":1,"far_end":{far_end},"priority":"a","item":"n/x","surprise":[1]}}}}"#
    )
}

fn batch(frame: u64, at: f64, events: &[&str]) -> String {
    let batch = format!(r#"{{"batch":{{"at_time":{at},"frame":{frame}}}}}"#);
    format!("{batch}\n{}\n{{\"commit\":{{}}}}\n", events.join("\n"))
}

fn run(input: &str) -> Result<Vec<Value>, WireError> {
    let mut out = Vec::new();
    serve(input.as_bytes(), &mut out)?;
    let text = String::from_utf8(out).expect("replies are UTF-8");
    Ok(text.lines().map(|l| serde_json::from_str(l).expect("replies are JSON")).collect())
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let replies = run("{\"batch\":{\"at_time\":8.4,\"frame\":1}}\n{\"commit\":{}}\n").unwrap();
    assert_eq!(replies, [serde_json::json!({"finished":{"frame":1}})]);
}

#[test]
fn a_call_is_attempted_and_its_answer_accepted() {
    let first = arrival("r-1", 2);
    let input = batch(1, 1000.0, &[CREATE, MANIFEST, ANNOUNCE, &first])
        + &batch(
            2,
            1000.1,
            &[r#"{"first":{"server":3,"request_id":"r-1","leg":0,"office":12,"cost_time":0.1}}"#],
        )
        + &batch(
            3,
            1010.0,
            &[
                r#"{"answer":{"server":3,"request_id":"r-1","leg":0,"office":12,"verdict":0,"cost_time":10.0,"closed":true,"server_stats":{"idle":3,"circuits":9,"avg_ms":-1}}}"#,
            ],
        );
    let replies = run(&input).unwrap();
    assert_eq!(replies.len(), 4);
    let attempt = &replies[0]["attempt"];
    assert_eq!((&attempt["office"], &attempt["server"]), (&12.into(), &3.into()));
    assert_eq!(attempt["request_id"], "r-1");
    assert!(attempt["abandon_at"].as_f64().is_some_and(|t| t > 1000.0 && t <= 1003.0));
    assert_eq!(replies[3]["finished"]["frame"], 3);
}

#[test]
fn a_reused_slot_takes_effect_in_the_order_of_events() {
    let other =
        r#"{"manifest":{"slot":0,"elements":[{"office":77,"number":2,"condition":"on","weight":1}]}}"#;
    let full = r#"{"announce":{"server":3,"gen":2,"slot":0,"kind":"FULL"}}"#;
    let call = arrival("r-1", 2);
    let input = batch(1, 1000.0, &[CREATE, MANIFEST, ANNOUNCE, other, full, &call]);
    assert_eq!(run(&input).unwrap()[0]["attempt"]["office"], 77);
}

#[test]
fn a_teardown_and_a_new_create_in_one_batch_discard_the_calls() {
    let (one, two) = (arrival("r-1", 2), arrival("r-2", 2));
    let teardown = r#"{"teardown":{"server":3}}"#;
    let stale =
        r#"{"answer":{"server":3,"request_id":"r-1","leg":0,"office":12,"verdict":110,"cost_time":1.2}}"#;
    let input = batch(1, 1000.0, &[CREATE, MANIFEST, ANNOUNCE, &one])
        + &batch(2, 1001.0, &[teardown, CREATE, ANNOUNCE, &two, stale]);
    let replies = run(&input).unwrap();
    assert_eq!(replies.len(), 4, "{replies:?}");
    assert_eq!(replies[2]["attempt"]["request_id"], "r-2");
}

#[test]
fn instances_in_one_process_do_not_affect_each_other() {
    let for_server = |n: u64, text: &str| text.replace("\"server\":3", &format!("\"server\":{n}"));
    let call = arrival("r-1", 2);
    let events = [CREATE, MANIFEST, ANNOUNCE, &call];
    let alone = run(&batch(1, 1000.0, &events)).unwrap();
    let both: Vec<String> = [4, 3].iter().flat_map(|n| events.map(|e| for_server(*n, e))).collect();
    let both: Vec<&str> = both.iter().map(String::as_str).collect();
    let together = run(&batch(1, 1000.0, &both)).unwrap();
    assert_eq!(alone[0], together[1]);
}

#[test]
fn errors_name_the_message_and_the_invalid_part() {
    let missing = r#"{"arrival":{"server":3,"request_id":"r-1"}}"#;
    let class = arrival("r-1", 2).replace("\"a\"", "\"b\"");
    let cases = [
        ("{not json", "malformed line"),
        ("[1]", "malformed line"),
        (r#"{"surprise":{"server":3}}"#, "unknown event 'surprise'"),
        (missing, "missing field `ttl`"),
        (r#"{"arrival":{"request_id":"r"}}"#, "missing field `server`"),
        (class.as_str(), "priority 'b' is not known"),
        (r#"{"announce":{"server":3,"gen":1,"slot":9,"kind":"FULL"}}"#, "slot 9"),
        (r#"{"ring":{"server":8,"ref":1}}"#, "server 8 was not created"),
        (r#"{"answer":{"server":3,"request_id":"r","office":1,"verdict":42}}"#, "verdict '42' is not known"),
    ];
    for (line, expected) in cases {
        let error = run(&batch(1, 1000.0, &[CREATE, MANIFEST, ANNOUNCE, line])).expect_err(line).to_string();
        assert!(error.contains(expected), "{line}: {error}");
    }
    assert!(matches!(run(r#"{"ring":{"server":3,"ref":1}}"#), Err(WireError::OutOfOrder(_))));
    assert!(matches!(run(r#"{"batch":{"at_time":1.0,"frame":1}}"#), Err(WireError::Truncated)));
}

#[test]
fn the_program_reports_an_invalid_line_and_exits_with_an_error() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_mallowring-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    child
        .stdin
        .take()
        .expect("standard input is a pipe")
        .write_all(b"{\"batch\":7}\n")
        .expect("the program reads its input");
    let output = child.wait_with_output().expect("the program ends");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr.contains("event 'batch'") && !stderr.contains("panicked"), "{stderr}");
}
