//! Rule checks on scripted records: for each rule one record that breaks only this rule, and one that keeps it by a
//! millisecond.

use mallowring_soak::judge::{check_rules, DeploymentParameters};
use mallowring_standin::record::{Entry, Observation};

const CALL: &str = "00000000000000aa";
const MS: f64 = 0.001;

fn deployment_parameters() -> DeploymentParameters {
    DeploymentParameters {
        drain_grace_s: 0.5,
        release_pause_s: 0.3,
        max_attempts: 4,
        memory_kb: 32 * 1024,
        descriptors: 256,
        exchange_rate: 10.0,
        cold_capacity_share: 0.34,
        warm_up_s: 15.0,
        overload_multiple: 4.0,
        overload_window_s: 2.0,
    }
}

fn entry(at: f64, observer: &str, call_id: &str, observation: Observation) -> Entry {
    Entry {
        at: 1000.0 + at,
        observer: observer.to_owned(),
        proxy: 0,
        call_id: call_id.to_owned(),
        observation,
    }
}

fn caller(at: f64, observation: Observation) -> Entry {
    entry(at, "c", CALL, observation)
}

fn exchange(at: f64, observation: Observation) -> Entry {
    entry(at, "s1", CALL, observation)
}

fn requested() -> Entry {
    caller(0.0, Observation::Requested { deadline: 2.0 })
}

fn set_up() -> Observation {
    Observation::SetUp { description: format!("offer-{CALL}") }
}

fn set_up_ended(status: u16) -> Observation {
    let description = if status == 200 { format!("answer-s1-{CALL}") } else { String::new() };
    Observation::SetUpEnded { status, description }
}

fn answered(status: u16) -> Observation {
    let description = if status == 200 { format!("answer-s1-{CALL}") } else { String::new() };
    Observation::Answered { status, description }
}

/// A call that is established from 0.1 s on, with its caller connected.
fn standing() -> Vec<Entry> {
    vec![
        entry(-1.0, "c", "", Observation::CallerConnected),
        requested(),
        exchange(0.01, set_up()),
        exchange(0.09, set_up_ended(200)),
        caller(0.1, answered(200)),
    ]
}

/// Returns the rules that a record breaks.
fn broken(mut entries: Vec<Entry>) -> Vec<&'static str> {
    // An entry at 60 s, by which every release is due.
    entries.push(entry(60.0, "end", "", Observation::Reachable(true)));
    entries.sort_by(|a, b| a.at.total_cmp(&b.at));
    let mut rules: Vec<_> = check_rules(&entries, &deployment_parameters())
        .breaches
        .iter()
        .map(|breach| breach.rule.name)
        .collect();
    rules.dedup();
    rules
}

#[track_caller]
fn breaks_alone(rule: &str, entries: Vec<Entry>) {
    assert_eq!(broken(entries), [rule]);
}

#[track_caller]
fn keeps_all(entries: Vec<Entry>) {
    assert_eq!(broken(entries), [""; 0]);
}

#[test]
fn an_answer_in_time_late_and_never() {
    keeps_all(vec![requested(), caller(2.55 - MS, answered(503))]);
    breaks_alone("answer", vec![requested(), caller(2.55 + MS, answered(503))]);
    breaks_alone("answer", vec![requested()]);
    keeps_all(vec![requested(), caller(2.0, Observation::GaveUp)]);
}

#[test]
fn a_kill_excuses_what_came_early_and_an_end_excuses_nothing() {
    let trial = |at, observation| entry(at, "trial", "", observation);
    let ended = |request: f64, end: Observation| {
        vec![
            trial(-9.0, Observation::ProxyStarted),
            trial(-8.0, Observation::ProxyReady),
            trial(-0.7, Observation::Terminated),
            caller(request, Observation::Requested { deadline: 2.0 }),
            trial(request + 0.5, end),
        ]
    };
    keeps_all(ended(-MS, Observation::Killed));
    breaks_alone("answer", ended(MS, Observation::Killed));
    breaks_alone("answer", ended(-MS, Observation::ProxyEnded { clean: true }));
}

#[test]
fn a_second_answer() {
    breaks_alone("second answer", vec![requested(), caller(0.1, answered(503)), caller(0.2, answered(503))]);
}

#[test]
fn a_description_that_no_exchange_gave_and_one_that_was_changed() {
    let mut record = standing();
    keeps_all(record.clone());
    record[4].observation = Observation::Answered { status: 200, description: "another".to_owned() };
    breaks_alone("description", record);
    let mut record = standing();
    record[2].observation = Observation::SetUp { description: "another".to_owned() };
    breaks_alone("description", record);
}

#[test]
fn two_attempts_at_once() {
    let two = |second: f64| {
        vec![
            requested(),
            exchange(0.1, set_up()),
            entry(second, "s2", CALL, set_up()),
            exchange(0.5, set_up_ended(503)),
            entry(0.6, "s2", CALL, set_up_ended(503)),
            caller(0.7, answered(503)),
        ]
    };
    keeps_all(two(0.45 + MS));
    breaks_alone("one attempt out", two(0.45 - MS));
}

#[test]
fn five_attempts() {
    let tries = |n: usize| {
        let mut record = vec![requested(), caller(1.9, answered(503))];
        for ix in 0..n {
            record.push(exchange(0.1 + 0.2 * ix as f64, set_up()));
            record.push(exchange(0.2 + 0.2 * ix as f64, set_up_ended(503)));
        }
        record
    };
    keeps_all(tries(4));
    breaks_alone("attempts", tries(5));
}

#[test]
fn a_send_within_the_pause_after_a_reset_or_a_cancel() {
    for end in [set_up_ended(504), Observation::SetUpCancelled] {
        let again = |at: f64| {
            vec![
                requested(),
                exchange(0.1, set_up()),
                exchange(0.2, end.clone()),
                entry(at, "s2", CALL, set_up()),
                entry(1.0, "s2", CALL, set_up_ended(503)),
                caller(1.1, answered(503)),
            ]
        };
        keeps_all(again(0.45 + MS));
        breaks_alone("pause", again(0.45 - MS));
    }
}

#[test]
fn a_send_after_the_final_answer() {
    let sent = |at: f64| {
        vec![
            requested(),
            caller(0.5, answered(503)),
            exchange(at, set_up()),
            exchange(at + 0.01, set_up_ended(503)),
        ]
    };
    keeps_all(sent(0.55 - MS));
    breaks_alone("sent after the answer", sent(0.55 + MS));
}

/// A call to an exchange that discovery published as draining `published` seconds before.
fn drained(published: f64, told: Option<f64>, back: Option<f64>) -> Vec<Entry> {
    let gone = |observation| entry(0.01 - published, "discovery", "", observation);
    let mut record = standing();
    record.push(gone(Observation::Published { exchange: "s1".to_owned(), ready: false }));
    if let Some(ago) = told {
        let observation = Observation::Told { exchange: "s1".to_owned(), ready: false };
        record.push(entry(0.01 - ago, "discovery", "", observation));
    }
    if let Some(ago) = back {
        record.push(entry(0.01 - ago, "discovery", "", Observation::Reachable(true)));
    }
    record
}

#[test]
fn a_send_to_an_exchange_that_drains() {
    keeps_all(drained(0.6, Some(0.55 - MS), None));
    breaks_alone("drain", drained(0.6, Some(0.55 + MS), None));
}

#[test]
fn news_that_did_not_arrive_counts_as_told() {
    keeps_all(drained(7.55 - MS, None, None));
    breaks_alone("drain", drained(7.55 + MS, None, None));
    // After an outage: 6 s from the moment at which discovery is reachable again.
    keeps_all(drained(6.9, None, Some(6.55 - MS)));
    breaks_alone("drain", drained(6.9, None, Some(6.55 + MS)));
}

#[test]
fn a_release_that_is_passed_on_late() {
    let released = |heard: Option<f64>| {
        let mut record = standing();
        record.push(exchange(3.0, Observation::Over));
        record.push(exchange(3.0, Observation::ReleaseSent));
        record.extend(heard.map(|at| caller(at, Observation::ReleaseHeard(16))));
        record
    };
    keeps_all(released(Some(4.05 - MS)));
    breaks_alone("release within 1 s", released(Some(4.05 + MS)));
    let mut missed = broken(released(None));
    missed.sort_unstable();
    assert_eq!(missed, ["release within 1 s", "told within 8 s"]);
}

#[test]
fn an_end_without_a_sign_and_a_silent_exchange_excuses_nothing() {
    let over = |heard: f64| {
        let mut record = standing();
        record.push(entry(1.0, "s1", "", Observation::Silent));
        record.push(exchange(3.0, Observation::Over));
        record.push(caller(heard, Observation::ReleaseHeard(41)));
        record
    };
    keeps_all(over(11.05 - MS));
    breaks_alone("told within 8 s", over(11.05 + MS));
}

#[test]
fn nothing_is_owed_to_a_caller_that_left_or_hung_up_or_through_a_proxy_that_was_killed() {
    let over = |more: Entry| {
        let mut record = standing();
        record.push(exchange(3.0, Observation::Over));
        record.push(more);
        record
    };
    keeps_all(over(entry(5.0, "c", "", Observation::CallerDisconnected)));
    keeps_all(over(caller(2.9, Observation::HungUp)));
    keeps_all(over(entry(5.0, "trial", "", Observation::Killed)));
}

#[test]
fn a_cold_exchange_that_is_pushed_over() {
    // 4 x 10/s x 2 s x (0.34 + 0.66 x 0.5 / 15) = 28.96; plus 3 times its square root, plus 3: 48.1.
    let storm = |n: usize| {
        let mut record = vec![
            entry(0.0, "s1", "", Observation::StartedCold),
            entry(0.0, "discovery", "", Observation::Told { exchange: "s1".to_owned(), ready: true }),
        ];
        for ix in 0..n {
            let call = format!("{ix:016x}");
            record.push(entry(0.1, "c", &call, Observation::Requested { deadline: 2.0 }));
            record.push(entry(0.5, "s1", &call, Observation::SetUp { description: format!("offer-{call}") }));
            let status = Observation::SetUpEnded { status: 503, description: String::new() };
            record.push(entry(0.6, "s1", &call, status));
            let refused = Observation::Answered { status: 503, description: String::new() };
            record.push(entry(0.7, "c", &call, refused));
        }
        record
    };
    keeps_all(storm(48));
    breaks_alone("cold start", storm(49));
}

#[test]
fn proxies_that_crash_start_late_or_hold_too_much() {
    let trial = |at, observation| entry(at, "trial", "", observation);
    let started = |more: Vec<Entry>| [vec![trial(0.0, Observation::ProxyStarted)], more].concat();
    keeps_all(started(vec![trial(10.0 - MS, Observation::ProxyReady)]));
    breaks_alone("ready in time", started(vec![trial(10.0 + MS, Observation::ProxyReady)]));
    let ready = || trial(1.0, Observation::ProxyReady);
    let ended = |clean| trial(3.0, Observation::ProxyEnded { clean });
    breaks_alone("crash", started(vec![ready(), ended(true)]));
    keeps_all(started(vec![ready(), trial(2.0, Observation::Terminated), ended(true)]));
    breaks_alone("crash", started(vec![ready(), trial(2.0, Observation::Terminated), ended(false)]));
    let holds = |memory_kb, descriptors| {
        started(vec![ready(), trial(2.0, Observation::Resources { memory_kb, descriptors })])
    };
    keeps_all(holds(32 * 1024, 256));
    breaks_alone("memory", holds(32 * 1024 + 1, 256));
    breaks_alone("descriptors", holds(32 * 1024, 257));
}

#[test]
fn what_was_under_way_while_the_trial_was_held_up_is_not_judged() {
    let held = |at| vec![requested(), entry(at, "trial", "", Observation::HeldUp(0.2))];
    assert_eq!(broken(held(1.0)), [""; 0]);
    assert_eq!(broken(held(30.0)), ["answer"]);
    let verdict = check_rules(&held(1.0), &deployment_parameters());
    assert_eq!((verdict.judged, verdict.not_judged), (0, 1));
}
