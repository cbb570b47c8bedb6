//! The built program beside exchanges, discovery and a network that report the end of an attempt which goes on
//! (issue 28): no call may have two attempts pending, and no call may end that is established.

mod deployment;

use deployment::attempts::{assert_attempts_apart, attempts};
use deployment::{call_ids, roster_entry, Deployment};
use mallowring_standin::caller::Caller;
use mallowring_standin::discovery::{Lifecycle, RosterEntry};
use mallowring_standin::exchange::Misbehaviour;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::record::{now, Observation};
use mallowring_standin::{run, sleep};
use rustix::process::Signal;

/// Answer time of a set-up that is still pending when the disturbance comes, in milliseconds.
const SLOW_MS: u64 = 900;
/// Holding time of calls that outlast a test, in milliseconds.
const LONG_MS: u64 = 60_000;
/// Time in seconds after which every set-up of a test is over.
const SETTLE_S: f64 = 2.0;

fn unix_ms() -> u64 {
    (now() * 1000.0) as u64
}

/// Sends a set-up to exchange 1 that is answered after a time.
async fn call(caller: &Caller, id: &str, answer_ms: u64) {
    let number = CallScript { answer_ms, hold_ms: LONG_MS }.called_number();
    let set_up = SetUp { call_id: id.to_owned(), number, deadline_ms: 2500, destination: 1 };
    caller.send_set_up(&set_up).await.expect("the set-up is sent");
}

/// The calls of which an attempt has arrived at an exchange.
fn attempted<'a>(deployment: &Deployment, calls: &'a [String]) -> Vec<&'a String> {
    calls.iter().filter(|call| !attempts(&deployment.record, call).is_empty()).collect()
}

/// Publishes a state of exchange 1 that gives this start time.
fn publish_start(deployment: &Deployment, started_at_ms: u64) {
    let entry = roster_entry(&deployment.exchanges[0], Lifecycle::Ready);
    deployment.discovery.publish(false, &[RosterEntry { started_at_ms, ..entry }]);
}

/// Waits until all set-ups are over, and asserts that no call had two attempts at once and each has a final answer.
async fn assert_one_attempt_at_a_time(deployment: &Deployment, calls: &[String], scenario: &str) {
    sleep(SETTLE_S).await;
    for call in attempted(deployment, calls) {
        assert_attempts_apart(deployment, call, scenario);
    }
    let unanswered: Vec<_> = calls.iter().filter(|call| deployment.answered_at(call).is_none()).collect();
    assert!(
        unanswered.is_empty(),
        "{scenario}: no final answer for {unanswered:?}\n{}",
        deployment.proxy.log()
    );
}

/// Asserts that exchange 1 holds a call exactly as long as its caller does.
fn assert_released_at_both_ends_or_none(deployment: &Deployment, calls: &[String]) {
    for id in calls {
        let held = deployment.exchanges[0].holds_call(id);
        assert_eq!(held, deployment.released_at(id).is_none(), "{id}\n{}", deployment.proxy.log());
    }
}

/// Restarts exchange 1 at its address while set-ups to it wait for a connection. Returns the calls that reached the
/// new process with a set-up from before its start, and the start time in Unix milliseconds.
async fn set_ups_queued_over_a_restart(deployment: &Deployment, answer_ms: u64) -> (Vec<String>, u64) {
    let caller = deployment.caller("c").await;
    let exchange = &deployment.exchanges[0];
    let calls = call_ids(7, 6);
    exchange.crash();
    sleep(0.03).await;
    for id in &calls {
        call(&caller, id, answer_ms).await;
        sleep(0.005).await;
    }
    let started = unix_ms();
    exchange.replace().await.expect("the address is free");
    sleep(0.4).await;
    let queued =
        |id: &&String| attempts(&deployment.record, id).iter().any(|a| a.exchange == exchange.name());
    let queued: Vec<String> = calls.iter().filter(queued).cloned().collect();
    assert!(!queued.is_empty(), "no set-up waited for the new process\n{}", deployment.proxy.log());
    (queued, started)
}

/// Guards against a second attempt while the first one waits in a new process: discovery told the start of the process
/// late, and the set-up had been decided before the start and sent after it.
#[test]
fn a_start_told_late_permits_no_attempt_beside_one_sent_since() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let (calls, started) = set_ups_queued_over_a_restart(&deployment, SLOW_MS).await;
        publish_start(&deployment, started);
        assert_one_attempt_at_a_time(&deployment, &calls, "the start was told late").await;
    });
}

/// Guards against the end of calls that a new process has established, when its start is told late.
#[test]
fn a_start_told_late_ends_no_call_established_since() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let (calls, started) = set_ups_queued_over_a_restart(&deployment, 5).await;
        publish_start(&deployment, started);
        sleep(SETTLE_S).await;
        let released: Vec<_> = calls.iter().filter(|id| deployment.released_at(id).is_some()).collect();
        assert!(released.is_empty(), "released: {released:?}\n{}", deployment.proxy.log());
    });
}

/// Guards against a second attempt, and the end of established calls, when discovery no longer gives the start time of
/// a process that lives on, or gives an earlier one.
#[test]
fn a_start_time_that_goes_away_or_back_ends_nothing() {
    for told_later in [0, unix_ms() - 40_000] {
        run(async |tasks| {
            let deployment = Deployment::start(tasks, 3).await;
            publish_start(&deployment, unix_ms() - 20_000);
            let caller = deployment.caller("c").await;
            let (standing, pending) = (call_ids(1, 3), call_ids(2, 6));
            deployment.establish(&caller, 1, &standing, LONG_MS).await;
            for id in &pending {
                call(&caller, id, SLOW_MS).await;
            }
            sleep(0.2).await;
            publish_start(&deployment, told_later);
            assert_one_attempt_at_a_time(&deployment, &pending, "the start time went away").await;
            let released: Vec<_> =
                standing.iter().chain(&pending).filter(|id| deployment.released_at(id).is_some()).collect();
            assert!(released.is_empty(), "released: {released:?}\n{}", deployment.proxy.log());
        });
    }
}

/// Guards against a second attempt when discovery gives a new start time to a process that lives on and reads late:
/// this proxy closes the connections, which the exchange notices after the set-ups.
#[test]
fn a_start_told_of_a_living_process_permits_no_second_attempt() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(2, 6);
        let late = Misbehaviour { read_delay: 0.45, ..Misbehaviour::default() };
        deployment.exchanges[0].set_misbehaviour(late);
        for id in &calls {
            call(&caller, id, SLOW_MS).await;
        }
        sleep(0.1).await;
        publish_start(&deployment, unix_ms());
        assert_one_attempt_at_a_time(&deployment, &calls, "a start was told of a living process").await;
    });
}

/// Guards against a second attempt beside a set-up that works on after a system in front of its exchange has answered
/// 504: the page says that it broke on its way, not that it never ran.
#[test]
fn a_504_permits_no_attempt_beside_the_set_up_that_works_on() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(3, 12);
        for exchange in &deployment.exchanges {
            let front = Misbehaviour { front_timeout: Some(0.25), ..Misbehaviour::default() };
            exchange.set_misbehaviour(front);
        }
        for id in &calls {
            call(&caller, id, SLOW_MS).await;
            sleep(0.03).await;
        }
        assert_one_attempt_at_a_time(&deployment, &calls, "a front answered 504").await;
        let in_front = |id: &&String| {
            deployment
                .record
                .first_seen(id, |seen| matches!(seen, Observation::FrontAnswered { .. }))
                .is_some()
        };
        assert!(calls.iter().any(|id| in_front(&id)), "no front answered");
    });
}

/// Guards against a repeated answer to one attempt that ends the next one at the same exchange: answers name only the
/// call, so the next attempt waits on another connection.
#[test]
fn a_repeated_error_ends_no_further_attempt() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(4, 12);
        let faults = Misbehaviour { errors: true, duplicate_answers: true, ..Misbehaviour::default() };
        for exchange in &deployment.exchanges {
            exchange.set_misbehaviour(faults);
        }
        for id in &calls {
            call(&caller, id, 60).await;
            sleep(0.03).await;
        }
        assert_one_attempt_at_a_time(&deployment, &calls, "errors were repeated").await;
        let again = calls.iter().filter(|id| attempts(&deployment.record, id).len() > 1).count();
        assert!(again > 0, "no call was attempted again");
    });
}

/// Guards against a set-up that is on its way to the connections of an exchange while they notice the death of its
/// process: it goes out to the next process, beside a further attempt of its call.
#[test]
fn a_death_seen_while_set_ups_are_on_their_way_permits_no_second_attempt() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        for round in 0..8 {
            let calls = call_ids(10 + round, 12);
            // The proxy finds the reset connections and the set-ups at the same moment.
            deployment.proxy.signal(Signal::STOP);
            deployment.exchanges[0].crash();
            for id in &calls {
                call(&caller, id, SLOW_MS).await;
            }
            deployment.proxy.signal(Signal::CONT);
            sleep(0.02 * round as f64).await;
            deployment.exchanges[0].replace().await.expect("the address is free");
            assert_one_attempt_at_a_time(&deployment, &calls, "a death was seen").await;
        }
    });
}

/// Guards against a second attempt, and against calls left established, when connections are refused and reset beside a
/// process that lives on and reads late.
#[test]
fn refused_connections_beside_a_living_process_permit_no_second_attempt() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let (standing, pending, later) = (call_ids(1, 3), call_ids(2, 6), call_ids(3, 6));
        deployment.establish(&caller, 1, &standing, LONG_MS).await;
        let exchange = &deployment.exchanges[0];
        let late = Misbehaviour { read_delay: 0.45, ..Misbehaviour::default() };
        exchange.set_misbehaviour(late);
        for id in &pending {
            call(&caller, id, SLOW_MS).await;
        }
        sleep(0.05).await;
        exchange.refuse_connections();
        sleep(0.01).await;
        while exchange.reset_connection(0) {}
        for id in &later {
            call(&caller, id, SLOW_MS).await;
            sleep(0.01).await;
        }
        sleep(0.8).await;
        exchange.accept_connections().await.expect("the address is free");
        let calls: Vec<String> = pending.into_iter().chain(later).collect();
        assert_one_attempt_at_a_time(&deployment, &calls, "connections were refused").await;
        assert!(
            deployment.proxy.log().contains("exchange process is dead"),
            "no connection was refused in time"
        );
        sleep(1.0).await;
        assert_released_at_both_ends_or_none(&deployment, &standing);
    });
}

/// Guards against a set-up that is reported as never sent and goes out later all the same.
#[test]
fn a_set_up_that_was_never_sent_does_not_go_out_later() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let exchange = &deployment.exchanges[0];
        for round in 0..3 {
            exchange.crash();
            sleep(0.1 + 0.07 * round as f64).await;
            let calls = call_ids(20 + round, 8);
            for id in &calls {
                call(&caller, id, SLOW_MS).await;
                sleep(0.01).await;
            }
            sleep(0.25).await;
            exchange.replace().await.expect("the address is free");
            assert_one_attempt_at_a_time(&deployment, &calls, "connections were refused").await;
        }
    });
}

/// Guards against a second attempt, and against calls left established, when discovery lists an exchange as gone that
/// lives on and reads late.
#[test]
fn an_exchange_listed_gone_while_alive_keeps_no_call_and_permits_no_second_attempt() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let (standing, pending) = (call_ids(1, 3), call_ids(2, 6));
        deployment.establish(&caller, 1, &standing, LONG_MS).await;
        let late = Misbehaviour { read_delay: 0.45, ..Misbehaviour::default() };
        deployment.exchanges[0].set_misbehaviour(late);
        for id in &pending {
            call(&caller, id, SLOW_MS).await;
        }
        sleep(0.1).await;
        let gone = roster_entry(&deployment.exchanges[0], Lifecycle::Gone);
        deployment.discovery.publish(false, &[gone]);
        assert_one_attempt_at_a_time(&deployment, &pending, "listed gone while alive").await;
        assert_eq!(deployment.unreleased_by(&standing, now()).await, Vec::<String>::new());
        assert_eq!(
            deployment.exchanges[0].established_calls(),
            0,
            "calls released here stand at the exchange"
        );
    });
}

/// Guards against ends of attempts and refusals that the log of an incident does not show: each has a line at the
/// default level, with the call and what is known about the attempt.
#[test]
fn every_end_of_an_attempt_and_every_refusal_is_logged_at_the_default_level() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(5, 6);
        for id in &calls {
            call(&caller, id, LONG_MS).await;
        }
        sleep(0.1).await;
        for exchange in &deployment.exchanges {
            while exchange.reset_connection(0) {}
        }
        sleep(SETTLE_S).await;
        let log = deployment.proxy.log();
        let shown = |id: &str, event: &str| {
            log.lines().any(|line| line.contains(" INFO ") && line.contains(id) && line.contains(event))
        };
        for id in &calls {
            assert!(shown(id, "attempt ended") && shown(id, "request refused"), "{id}\n{log}");
        }
    });
}
