//! Rule checks on scripted records: for each rule one record that breaks only this rule, and one that keeps it by a
//! millisecond.

use mallowring_soak::judge::{check_rules, DeploymentParameters};
use mallowring_standin::record::{Entry, Observation};

const CALL: &str = "00000000000000aa";
const MILLISECOND_S: f64 = 0.001;

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
        kill_after_s: 2.7,
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
    Observation::SetUpReceived { description: format!("offer-{CALL}") }
}

fn set_up_ended(status: u16) -> Observation {
    let description = if status == 200 { format!("answer-s1-{CALL}") } else { String::new() };
    Observation::SetUpAnswered { status, description }
}

fn answered(status: u16) -> Observation {
    let description = if status == 200 { format!("answer-s1-{CALL}") } else { String::new() };
    Observation::Answered { status, description }
}

/// A call that is established from 0.1 s on, with its caller connected.
fn established_call() -> Vec<Entry> {
    vec![
        entry(-1.0, "c", "", Observation::CallerConnected),
        requested(),
        exchange(0.01, set_up()),
        exchange(0.09, set_up_ended(200)),
        caller(0.1, answered(200)),
    ]
}

/// Returns the rules that a record breaks.
fn broken_rules(mut entries: Vec<Entry>) -> Vec<&'static str> {
    // An entry at 60 s, by which every release is due.
    entries.push(entry(60.0, "end", "", Observation::DiscoveryReachable(true)));
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
fn assert_breaks_only(rule: &str, entries: Vec<Entry>) {
    assert_eq!(broken_rules(entries), [rule]);
}

#[track_caller]
fn assert_keeps_all(entries: Vec<Entry>) {
    assert_eq!(broken_rules(entries), [""; 0]);
}

#[test]
fn an_answer_in_time_late_and_never() {
    assert_keeps_all(vec![requested(), caller(2.55 - MILLISECOND_S, answered(503))]);
    assert_breaks_only("answer", vec![requested(), caller(2.55 + MILLISECOND_S, answered(503))]);
    assert_breaks_only("answer", vec![requested()]);
    assert_keeps_all(vec![requested(), caller(2.0, Observation::GaveUp)]);
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
    assert_keeps_all(ended(-MILLISECOND_S, Observation::Killed));
    assert_breaks_only("answer", ended(MILLISECOND_S, Observation::Killed));
    assert_breaks_only("answer", ended(-MILLISECOND_S, Observation::ProxyEnded { clean: true }));
    // The SIGTERM of an earlier process says nothing about one that is killed outright.
    let mut killed_outright = ended(1.0, Observation::Killed);
    killed_outright.push(trial(0.5, Observation::ProxyStarted));
    killed_outright.push(trial(0.6, Observation::ProxyReady));
    assert_keeps_all(killed_outright);
    // A request that was written after the kill met no process; one to the next process is due.
    let after_kill = |started_at| {
        vec![
            trial(-9.0, Observation::ProxyStarted),
            trial(-8.0, Observation::ProxyReady),
            trial(-MILLISECOND_S, Observation::Killed),
            trial(started_at, Observation::ProxyStarted),
            trial(started_at + 0.1, Observation::ProxyReady),
            requested(),
        ]
    };
    assert_keeps_all(after_kill(MILLISECOND_S));
    assert_breaks_only("answer", after_kill(-MILLISECOND_S / 2.0));
}

#[test]
fn a_second_answer() {
    assert_breaks_only(
        "second answer",
        vec![requested(), caller(0.1, answered(503)), caller(0.2, answered(503))],
    );
}

#[test]
fn a_description_that_no_exchange_gave_and_one_that_was_changed() {
    let mut record = established_call();
    assert_keeps_all(record.clone());
    record[4].observation = Observation::Answered { status: 200, description: "another".to_owned() };
    assert_breaks_only("description", record);
    let mut record = established_call();
    record[2].observation = Observation::SetUpReceived { description: "another".to_owned() };
    assert_breaks_only("description", record);
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
    assert_keeps_all(two(0.45 + MILLISECOND_S));
    assert_breaks_only("one attempt out", two(0.45 - MILLISECOND_S));
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
    assert_keeps_all(tries(4));
    assert_breaks_only("attempts", tries(5));
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
        assert_keeps_all(again(0.45 + MILLISECOND_S));
        assert_breaks_only("pause", again(0.45 - MILLISECOND_S));
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
    assert_keeps_all(sent(0.55 - MILLISECOND_S));
    assert_breaks_only("sent after the answer", sent(0.55 + MILLISECOND_S));
}

/// Guards against an excuse for exchanges that read late or are silent: an attempt is out from its arrival until its
/// exchange has read the cancel.
#[test]
fn an_attempt_is_out_until_its_exchange_has_read_the_cancel() {
    let second = |at: f64| {
        vec![
            requested(),
            exchange(0.01, Observation::SetUpArrived),
            entry(0.02, "s1", "", Observation::Silent),
            exchange(0.4, set_up()),
            exchange(0.8, Observation::SetUpCancelled),
            entry(at, "s2", CALL, Observation::SetUpArrived),
            entry(at + 0.3, "s2", CALL, set_up()),
            entry(at + 0.4, "s2", CALL, set_up_ended(503)),
            caller(at + 0.45, answered(503)),
        ]
    };
    assert_keeps_all(second(1.05 + MILLISECOND_S));
    assert_breaks_only("pause", second(1.05 - MILLISECOND_S));
    let mut rules = broken_rules(second(0.75 - MILLISECOND_S));
    rules.sort_unstable();
    assert_eq!(rules, ["one attempt out", "pause"]);
    // An attempt at a process that has ended is over.
    let mut record = second(0.7);
    record.push(entry(0.3, "s1", "", Observation::ProcessGone));
    assert_keeps_all(record);
}

/// Guards against a judge that asks for what the network holds back, and against one that excuses more.
#[test]
fn a_release_that_the_network_holds_back_counts_from_its_arrival() {
    let released = |received_at: f64| {
        let mut record = established_call();
        record.push(entry(2.5, "s1", "", Observation::LinkDisturbed));
        record.push(exchange(3.0, Observation::CallEnded));
        record.push(exchange(3.0, Observation::ReleaseSent));
        record.push(entry(5.0, "s1", "", Observation::LinkRestored));
        record.push(caller(received_at, Observation::ReleaseReceived(16)));
        record
    };
    assert_keeps_all(released(6.05 - MILLISECOND_S));
    assert_breaks_only("release within 1 s", released(6.05 + MILLISECOND_S));
}

/// A call to an exchange that discovery published as draining `published` seconds before.
fn call_to_draining_exchange(published: f64, sent: Option<f64>, reachable_again: Option<f64>) -> Vec<Entry> {
    let from_discovery = |observation| entry(0.01 - published, "discovery", "", observation);
    let mut record = established_call();
    record.push(from_discovery(Observation::RosterPublished { exchange: "s1".to_owned(), ready: false }));
    if let Some(ago) = sent {
        let observation = Observation::RosterSent { exchange: "s1".to_owned(), ready: false };
        record.push(entry(0.01 - ago, "discovery", "", observation));
    }
    if let Some(ago) = reachable_again {
        record.push(entry(0.01 - ago, "discovery", "", Observation::DiscoveryReachable(true)));
    }
    record
}

#[test]
fn a_send_to_an_exchange_that_drains() {
    assert_keeps_all(call_to_draining_exchange(0.6, Some(0.55 - MILLISECOND_S), None));
    assert_breaks_only("drain", call_to_draining_exchange(0.6, Some(0.55 + MILLISECOND_S), None));
}

#[test]
fn an_undelivered_roster_change_counts_after_its_time_limit() {
    assert_keeps_all(call_to_draining_exchange(7.55 - MILLISECOND_S, None, None));
    assert_breaks_only("drain", call_to_draining_exchange(7.55 + MILLISECOND_S, None, None));
    // After an outage: 6 s from the moment at which discovery is reachable again.
    assert_keeps_all(call_to_draining_exchange(6.9, None, Some(6.55 - MILLISECOND_S)));
    assert_breaks_only("drain", call_to_draining_exchange(6.9, None, Some(6.55 + MILLISECOND_S)));
}

#[test]
fn a_release_that_is_passed_on_late() {
    let released = |received_at: Option<f64>| {
        let mut record = established_call();
        record.push(exchange(3.0, Observation::CallEnded));
        record.push(exchange(3.0, Observation::ReleaseSent));
        record.extend(received_at.map(|at| caller(at, Observation::ReleaseReceived(16))));
        record
    };
    assert_keeps_all(released(Some(4.05 - MILLISECOND_S)));
    assert_breaks_only("release within 1 s", released(Some(4.05 + MILLISECOND_S)));
    let mut rules = broken_rules(released(None));
    rules.sort_unstable();
    assert_eq!(rules, ["release within 1 s", "told within 8 s"]);
}

#[test]
fn an_end_without_a_release_is_reported_in_time_even_if_the_exchange_is_silent() {
    let record_with_end = |received_at: f64| {
        let mut record = established_call();
        record.push(entry(1.0, "s1", "", Observation::Silent));
        record.push(exchange(3.0, Observation::CallEnded));
        record.push(caller(received_at, Observation::ReleaseReceived(41)));
        record
    };
    assert_keeps_all(record_with_end(11.05 - MILLISECOND_S));
    assert_breaks_only("told within 8 s", record_with_end(11.05 + MILLISECOND_S));
}

#[test]
fn no_release_is_due_to_a_caller_that_left_or_hung_up_or_from_a_proxy_that_was_killed() {
    let record_with_end = |more: Entry| {
        let mut record = established_call();
        record.push(exchange(3.0, Observation::CallEnded));
        record.push(more);
        record
    };
    assert_keeps_all(record_with_end(entry(5.0, "c", "", Observation::CallerDisconnected)));
    assert_keeps_all(record_with_end(caller(2.9, Observation::HungUp)));
    assert_keeps_all(record_with_end(entry(5.0, "trial", "", Observation::Killed)));
}

#[test]
fn a_proxy_that_closes_the_connection_or_exits_still_owes_the_releases() {
    let trial = |at, observation| entry(at, "trial", "", observation);
    let record_with = |more: Vec<Entry>| {
        let mut record = established_call();
        record.push(trial(-9.0, Observation::ProxyStarted));
        record.push(trial(-8.0, Observation::ProxyReady));
        record.push(trial(1.0, Observation::Terminated));
        record.push(exchange(3.0, Observation::CallEnded));
        record.push(exchange(3.0, Observation::ReleaseSent));
        record.extend(more);
        record
    };
    let closed = || entry(2.0, "c", "", Observation::DisconnectedByProxy);
    let sorted = |more: Vec<Entry>| {
        let mut rules = broken_rules(record_with(more));
        rules.sort_unstable();
        rules
    };
    let both = ["release within 1 s", "told within 8 s"];
    assert_eq!(sorted(vec![closed()]), both, "the proxy runs on");
    let exit = |at| trial(at, Observation::ProxyEnded { clean: true });
    assert_eq!(sorted(vec![closed(), exit(2.5)]), both, "it leaves a call standing");
    assert_eq!(sorted(vec![closed(), exit(3.5)]), both, "it leaves with a release that it owes");
    let released = caller(4.05 - MILLISECOND_S, Observation::ReleaseReceived(16));
    assert_keeps_all(record_with(vec![closed(), released, exit(4.1)]));
    assert_keeps_all(record_with(vec![closed(), trial(2.5, Observation::Killed)]));
    assert_keeps_all(record_with(vec![entry(2.0, "c", "", Observation::CallerDisconnected), exit(3.5)]));
    // The caller itself leaves after the proxy has closed the connection: what is due later can't be delivered.
    let leaves = |at| entry(at, "c", "", Observation::CallerDisconnected);
    assert_keeps_all(record_with(vec![closed(), leaves(2.5)]));
    assert_eq!(sorted(vec![closed(), leaves(4.2)]), both[..1], "a release was due before");
}

#[test]
fn a_set_up_during_a_shutdown_is_answered_before_the_earliest_kill_whether_or_not_it_comes() {
    let record_with = |requested: f64, answered_at: f64| {
        vec![
            entry(-9.0, "trial", "", Observation::ProxyStarted),
            entry(-8.0, "trial", "", Observation::ProxyReady),
            entry(0.0, "trial", "", Observation::Terminated),
            caller(requested, Observation::Requested { deadline: 9.0 }),
            caller(answered_at, answered(503)),
        ]
    };
    assert_keeps_all(record_with(0.7 + MILLISECOND_S, 2.7 - MILLISECOND_S));
    assert_breaks_only("answer before the kill", record_with(0.7 + MILLISECOND_S, 2.7 + MILLISECOND_S));
    assert_keeps_all(record_with(0.7 - MILLISECOND_S, 2.7 + MILLISECOND_S));
    assert_breaks_only("answer before the kill", record_with(2.65 - MILLISECOND_S, 2.7 + MILLISECOND_S));
    assert_keeps_all(record_with(2.65 + MILLISECOND_S, 2.7 + MILLISECOND_S));
}

#[test]
fn a_cold_exchange_that_fails_through_overload() {
    // 4 x 10/s x 2 s x (0.34 + 0.66 x 0.5 / 15) = 28.96; plus 3 times its square root, plus 3: 48.1.
    let overload = |n: usize| {
        let mut record = vec![
            entry(0.0, "s1", "", Observation::StartedCold),
            entry(0.0, "discovery", "", Observation::RosterSent { exchange: "s1".to_owned(), ready: true }),
        ];
        for ix in 0..n {
            let call = format!("{ix:016x}");
            record.push(entry(0.1, "c", &call, Observation::Requested { deadline: 2.0 }));
            record.push(entry(
                0.5,
                "s1",
                &call,
                Observation::SetUpReceived { description: format!("offer-{call}") },
            ));
            let status = Observation::SetUpAnswered { status: 503, description: String::new() };
            record.push(entry(0.6, "s1", &call, status));
            let refused = Observation::Answered { status: 503, description: String::new() };
            record.push(entry(0.7, "c", &call, refused));
        }
        record
    };
    assert_keeps_all(overload(48));
    assert_breaks_only("cold start", overload(49));
}

#[test]
fn proxies_that_crash_start_late_or_exceed_their_limits() {
    let trial = |at, observation| entry(at, "trial", "", observation);
    let started = |more: Vec<Entry>| [vec![trial(0.0, Observation::ProxyStarted)], more].concat();
    assert_keeps_all(started(vec![trial(10.0 - MILLISECOND_S, Observation::ProxyReady)]));
    assert_breaks_only("ready in time", started(vec![trial(10.0 + MILLISECOND_S, Observation::ProxyReady)]));
    let ready = || trial(1.0, Observation::ProxyReady);
    let ended = |clean| trial(3.0, Observation::ProxyEnded { clean });
    assert_breaks_only("crash", started(vec![ready(), ended(true)]));
    assert_keeps_all(started(vec![ready(), trial(2.0, Observation::Terminated), ended(true)]));
    assert_breaks_only("crash", started(vec![ready(), trial(2.0, Observation::Terminated), ended(false)]));
    let holds = |memory_kb, descriptors| {
        started(vec![ready(), trial(2.0, Observation::Resources { memory_kb, descriptors })])
    };
    assert_keeps_all(holds(32 * 1024, 256));
    assert_breaks_only("memory", holds(32 * 1024 + 1, 256));
    assert_breaks_only("descriptors", holds(32 * 1024, 257));
}

#[test]
fn calls_in_progress_during_a_stall_are_not_judged() {
    let record_with_stall = |at| vec![requested(), entry(at, "trial", "", Observation::Stalled(0.2))];
    assert_eq!(broken_rules(record_with_stall(1.0)), [""; 0]);
    assert_eq!(broken_rules(record_with_stall(30.0)), ["answer"]);
    let verdict = check_rules(&record_with_stall(1.0), &deployment_parameters());
    assert_eq!((verdict.judged, verdict.not_judged), (0, 1));
}

#[test]
fn a_stall_excuses_times_and_not_the_order_of_events() {
    let two_attempts_out = || {
        vec![
            requested(),
            exchange(0.1, set_up()),
            entry(0.3, "s2", CALL, set_up()),
            exchange(0.5, set_up_ended(503)),
            entry(0.6, "s2", CALL, set_up_ended(503)),
        ]
    };
    for stall in [Observation::Stalled(0.2), Observation::StallPlanned(0.4)] {
        let mut record = two_attempts_out();
        record.insert(1, entry(0.05, "trial", "", stall.clone()));
        assert_breaks_only("one attempt out", record);
        let late = vec![requested(), entry(0.5, "trial", "", stall)];
        assert_keeps_all(late);
    }
    let record = vec![requested(), entry(0.5, "trial", "", Observation::StallPlanned(0.4))];
    let verdict = check_rules(&record, &deployment_parameters());
    assert_eq!((verdict.judged, verdict.judged_by_order, verdict.not_judged), (0, 1, 0));
}

/// A front's answer does not end the set-up that its exchange works on.
#[test]
fn a_front_that_answers_ends_no_attempt() {
    let answered_in_front = |second: f64| {
        vec![
            requested(),
            exchange(0.1, set_up()),
            exchange(0.2, Observation::FrontAnswered { status: 504 }),
            exchange(0.8, Observation::SetUpCancelled),
            entry(second, "s2", CALL, set_up()),
            entry(1.4, "s2", CALL, set_up_ended(503)),
            caller(1.5, answered(503)),
        ]
    };
    assert_keeps_all(answered_in_front(1.05 + MILLISECOND_S));
    assert_breaks_only("pause", answered_in_front(1.05 - MILLISECOND_S));
}

#[test]
fn an_exchange_that_is_listed_again_gets_calls_again() {
    let roster = |at: f64, ready| {
        let exchange = "s1".to_owned();
        [
            entry(at, "discovery", "", Observation::RosterPublished { exchange: exchange.clone(), ready }),
            entry(at, "discovery", "", Observation::RosterSent { exchange, ready }),
        ]
    };
    let record = |listed_again: Option<f64>| {
        let mut record: Vec<Entry> = roster(-9.0, false).into();
        record.extend(listed_again.into_iter().flat_map(|at| roster(at, true)));
        record.extend([requested(), exchange(0.1, set_up()), exchange(0.2, set_up_ended(503))]);
        record.push(caller(0.3, answered(503)));
        record
    };
    assert_keeps_all(record(Some(-2.0)));
    assert_breaks_only("drain", record(None));
}
