//! The built program with exchanges that fail silently while calls are established on them (issue 16).

mod deployment;

use deployment::{call_ids, roster_entry, Deployment};
use mallowring_standin::discovery::{Lifecycle, RosterEntry};
use mallowring_standin::exchange::Exchange;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::record::{now, Observation};
use mallowring_standin::relay::Relay;
use mallowring_standin::{run, sleep};

/// Limit in seconds from the end of a call to the release to its caller, including the slack of the protocol page
/// ('The rules on sockets').
const RELEASE_LIMIT_S: f64 = 8.05;
/// A holding time so long that no call ends by itself.
const LONG_HOLD_MS: u64 = 60_000;

/// Guards against calls that are never released: an exchange that vanishes closes no connection, and while discovery
/// is down nothing else reports it. In the incident 75 callers got their release later than 8 s.
#[test]
fn calls_on_a_vanished_exchange_are_released_in_time_while_discovery_is_down() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 2).await;
        let caller = deployment.caller("c").await;
        let (vanished_calls, other_calls) = (call_ids(1, 8), call_ids(2, 4));
        deployment.establish(&caller, 1, &vanished_calls, LONG_HOLD_MS).await;
        deployment.establish(&caller, 2, &other_calls, LONG_HOLD_MS).await;
        deployment.discovery.go_down();
        sleep(0.5).await;
        deployment.exchanges[0].vanish();
        let unreleased = deployment.unreleased_by(&vanished_calls, now() + RELEASE_LIMIT_S).await;
        assert!(unreleased.is_empty(), "not released within 8 s: {unreleased:?}\n{}", deployment.proxy.log());
        assert!(
            other_calls.iter().all(|call| deployment.released_at(call).is_none()),
            "calls of another exchange were released\n{}",
            deployment.proxy.log()
        );
    });
}

/// Guards against the same fault with a process that hangs. New connections to it still succeed, so that only
/// received messages prove that it is alive.
#[test]
fn calls_on_a_hung_exchange_are_released_in_time() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(1, 3);
        deployment.establish(&caller, 1, &calls, LONG_HOLD_MS).await;
        deployment.exchanges[0].hang();
        let unreleased = deployment.unreleased_by(&calls, now() + RELEASE_LIMIT_S).await;
        assert!(unreleased.is_empty(), "not released within 8 s: {unreleased:?}\n{}", deployment.proxy.log());
        // When it resumes with these calls, the proxy releases them there.
        deployment.exchanges[0].resume();
        let deadline = now() + 3.0;
        while deployment.exchanges[0].established_calls() > 0 && now() < deadline {
            sleep(0.01).await;
        }
        assert_eq!(deployment.exchanges[0].established_calls(), 0, "{}", deployment.proxy.log());
    });
}

/// Guards against a successful connection being taken as proof that calls are established: another process listens at
/// the address of the one that vanished, and discovery is down.
#[test]
fn calls_of_a_process_that_was_replaced_at_its_address_are_released_in_time() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(1, 3);
        deployment.establish(&caller, 1, &calls, LONG_HOLD_MS).await;
        deployment.discovery.go_down();
        let ended = now();
        deployment.exchanges[0].vanish();
        sleep(1.0).await;
        deployment.exchanges[0].replace().await.expect("the address is free");
        let unreleased = deployment.unreleased_by(&calls, ended + RELEASE_LIMIT_S).await;
        assert!(unreleased.is_empty(), "not released within 8 s: {unreleased:?}\n{}", deployment.proxy.log());
    });
}

/// Guards against the same fault after a reset: the next connection succeeded at once, and the proxy took the
/// exchange for alive.
#[test]
fn calls_of_a_process_that_died_and_was_replaced_at_once_are_released_in_time() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(1, 3);
        deployment.establish(&caller, 1, &calls, LONG_HOLD_MS).await;
        deployment.discovery.go_down();
        let ended = now();
        deployment.exchanges[0].restart_at_once();
        let unreleased = deployment.unreleased_by(&calls, ended + RELEASE_LIMIT_S).await;
        assert!(unreleased.is_empty(), "not released within 8 s: {unreleased:?}\n{}", deployment.proxy.log());
    });
}

/// Guards against false alarms: an exchange without messages for long is alive, and a caller's only connection stays
/// open during its call. That connection was closed after 5 s, so that the release could not be delivered.
#[test]
fn a_quiet_call_lasts_to_its_end_and_its_release_reaches_the_caller() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(1, 1);
        deployment.establish(&caller, 1, &calls, 12_000).await;
        let ended = |observation: &Observation| *observation == Observation::CallEnded;
        let deadline = now() + 13.0;
        while deployment.record.first_seen(&calls[0], ended).is_none() && now() < deadline {
            sleep(0.01).await;
        }
        let ended_at = deployment.record.first_seen(&calls[0], ended).expect("the call ends");
        sleep(1.05).await;
        let released_at = deployment.released_at(&calls[0]).unwrap_or(f64::INFINITY);
        assert!(
            (ended_at..ended_at + 1.05).contains(&released_at),
            "released {:.2} s after its end\n{}",
            released_at - ended_at,
            deployment.proxy.log()
        );
        assert!(caller.is_open().await);
        assert!(deployment.exchanges[0].connections(0) <= 4, "too many connections to the exchange");
    });
}

/// Guards the calls of an exchange that is unreachable for less than the limit and still holds them afterwards.
#[test]
fn calls_survive_a_short_network_outage_of_their_exchange() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let (short, long) = (call_ids(1, 2), call_ids(2, 2));
        deployment.establish(&caller, 1, &short, 2_000).await;
        deployment.establish(&caller, 1, &long, 9_000).await;
        deployment.exchanges[0].cut_off();
        sleep(5.0).await;
        deployment.exchanges[0].resume();
        let unreleased = deployment.unreleased_by(&short, now() + 1.5).await;
        assert!(
            unreleased.is_empty(),
            "delayed releases were not forwarded: {unreleased:?}\n{}",
            deployment.proxy.log()
        );
        assert!(long.iter().all(|call| deployment.released_at(call).is_none()), "{}", deployment.proxy.log());
        let unreleased = deployment.unreleased_by(&long, now() + 5.0).await;
        assert!(unreleased.is_empty(), "{unreleased:?}\n{}", deployment.proxy.log());
    });
}

/// Guards releases that an exchange sends while the proxy hears nothing of it. All its connections were replaced when
/// set-ups on them timed out, so that a release on an old connection, and its copy on one that was opened meanwhile and
/// closed again, both got lost.
#[test]
fn releases_of_an_exchange_that_hung_reach_their_callers_when_it_goes_on() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let (short, long) = (call_ids(1, 4), call_ids(2, 2));
        deployment.establish(&caller, 1, &short, 2_000).await;
        deployment.establish(&caller, 1, &long, LONG_HOLD_MS).await;
        deployment.exchanges[0].hang();
        for call in call_ids(3, 12) {
            let number = CallScript { answer_ms: 5, hold_ms: 100 }.called_number();
            let set_up = SetUp { call_id: call, number, deadline_ms: 300, destination: 1 };
            caller.send_set_up(&set_up).await.expect("it is sent");
            sleep(0.45).await;
        }
        assert!(deployment.exchanges[0].connections(0) <= 5, "too many connections to the exchange");
        deployment.exchanges[0].resume();
        let unreleased = deployment.unreleased_by(&short, now() + 1.05).await;
        assert!(unreleased.is_empty(), "not released: {unreleased:?}\n{}", deployment.proxy.log());
        assert!(long.iter().all(|call| deployment.released_at(call).is_none()), "{}", deployment.proxy.log());
    });
}

/// Guards against a reconnect storm: connections that came up and were reset at once were opened again without a pause,
/// thousands in a second. Seen in the soak (seed 52).
#[test]
fn connections_that_are_reset_at_once_are_not_reopened_without_a_pause() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks.clone(), 1).await;
        let dead = Exchange::start(&tasks, &deployment.record, "s-2", 2, 1).expect("sockets");
        dead.crash();
        let relay = Relay::start(&tasks, dead.addr(0)).expect("a socket");
        let entry = RosterEntry { addr: relay.addr(), ..roster_entry(&dead, Lifecycle::Ready) };
        deployment.discovery.publish(false, &[entry]);
        sleep(2.0).await;
        let log = deployment.proxy.log();
        let opened =
            log.lines().filter(|line| line.contains("connected") && line.contains("office=2")).count();
        assert!((1..=40).contains(&opened), "{opened} connections in 2 s");
    });
}

/// Guards the end of a shutdown: new set-ups are refused at once, the release of an established call is still
/// forwarded on its connection, and the program ends when no call is left.
#[test]
fn a_proxy_that_shuts_down_refuses_new_calls_and_forwards_releases() {
    run(async |tasks| {
        let mut deployment = Deployment::start(tasks, 1).await;
        let caller = deployment.caller("c").await;
        let calls = call_ids(1, 1);
        deployment.establish(&caller, 1, &calls, 3_000).await;
        let idle = deployment.caller("idle").await;
        deployment.proxy.signal(rustix::process::Signal::TERM);
        sleep(1.1).await;
        assert!(!idle.is_open().await, "an idle connection stayed open");
        assert!(caller.is_open().await, "a connection with an established call was closed");
        let late_set_up = SetUp {
            call_id: "00000009".repeat(2),
            number: CallScript { answer_ms: 5, hold_ms: 100 }.called_number(),
            deadline_ms: 2500,
            destination: 1,
        };
        caller.send_set_up(&late_set_up).await.expect("it is sent");
        sleep(0.2).await;
        assert!(deployment
            .record
            .first_seen(&late_set_up.call_id, |w| matches!(w, Observation::Answered { status: 503, .. }))
            .is_some());
        let open = deployment.unreleased_by(&calls, now() + 3.0).await;
        assert!(open.is_empty(), "{}", deployment.proxy.log());
        let status = deployment.proxy.wait_for_exit(2.0).await;
        assert!(status.is_some_and(|s| s.success()), "{}", deployment.proxy.log());
    });
}
