//! The built program after SIGTERM while calls stand: callers send on their open connections until the earliest SIGKILL,
//! which does not come, and get the releases of their calls later (review, case 2).

mod deployment;

use std::rc::Rc;

use deployment::{call_ids, Deployment};
use mallowring_standin::caller::Caller;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::proxy::ProxyConfig;
use mallowring_standin::record::{now, Observation};
use mallowring_standin::{run, sleep};
use rustix::process::Signal;

/// Time in seconds after SIGTERM up to which a set-up may stay unanswered at SIGKILL (PROTOCOL, 'Figures').
const ANSWER_DUE_AFTER_TERM_S: f64 = 0.7;
/// Limit in seconds from an exchange's release to the caller's, with the tolerance of the page.
const RELEASE_LIMIT_S: f64 = 1.05;
/// Interval in seconds at which a caller sends set-ups during the shutdown.
const SEND_INTERVAL_S: f64 = 0.02;
/// A set-up within this time in seconds of the end of its connection is sent again (PROTOCOL, 'Callers').
const CLOSE_CROSSING_S: f64 = 0.05;

fn set_up(call: &str, deadline_s: f64, hold_s: f64) -> SetUp {
    let script = CallScript { answer_ms: 5, hold_ms: (hold_s * 1000.0) as u64 };
    SetUp {
        call_id: call.to_owned(),
        number: script.called_number(),
        deadline_ms: (deadline_s * 1000.0) as u64,
        destination: 1,
    }
}

/// Starts a proxy for callers that wait at most `give_up` seconds.
async fn start(tasks: mallowring_standin::Executor, give_up: f64) -> Deployment {
    let config = ProxyConfig { give_up, ..ProxyConfig::new("n0", 0, 2) };
    Deployment::with_config(tasks, 1, config).await
}

async fn establish(deployment: &Deployment, caller: &Caller, set_up: &SetUp) {
    caller.send_set_up(set_up).await.expect("the set-up is sent");
    assert!(deployment.established_by(&set_up.call_id, now() + 3.0).await, "{}", deployment.proxy.log());
}

/// Guards both rules of a planned restart at once, for short and long deadlines: no set-up on an open connection is
/// unanswered at the earliest SIGKILL, and a proxy that runs on passes each release on. The connections were closed
/// 0.15 s before that moment, so the releases of the calls on them were lost.
#[test]
fn set_ups_until_the_earliest_kill_are_answered_and_later_releases_arrive() {
    for give_up in [0.3, 1.0, 3.0, 9.0] {
        run(async |tasks| {
            let mut deployment = start(tasks, give_up).await;
            let earliest_kill = give_up.min(3.0) + 0.7;
            let calls = call_ids(1, 2);
            let (active, quiet) = (deployment.caller("active").await, deployment.caller("quiet").await);
            for (caller, call) in [(&active, &calls[0]), (&quiet, &calls[1])] {
                establish(&deployment, caller, &set_up(call, give_up, earliest_kill + 1.0)).await;
            }
            let terminated_at = now();
            deployment.proxy.signal(Signal::TERM);
            let mut late = Vec::new();
            while now() < terminated_at + earliest_kill - CLOSE_CROSSING_S {
                let call = format!("{:08x}{:08x}", 9, late.len());
                active.send_set_up(&set_up(&call, give_up, 0.1)).await.expect("the connection is open");
                late.push((call, now()));
                sleep(SEND_INTERVAL_S).await;
            }
            sleep(terminated_at + earliest_kill - now()).await;
            for (call, sent_at) in late.iter().filter(|(_, at)| at - terminated_at > ANSWER_DUE_AFTER_TERM_S)
            {
                assert!(
                    deployment.answered_at(call).is_some(),
                    "{give_up} s: a set-up {:.3} s after SIGTERM is not answered\n{}",
                    sent_at - terminated_at,
                    deployment.proxy.log()
                );
            }
            let unreleased = deployment.unreleased_by(&calls, now() + 4.0).await;
            assert!(
                unreleased.is_empty(),
                "{give_up} s: not released: {unreleased:?}\n{}",
                deployment.proxy.log()
            );
            for call in &calls {
                let sent = |o: &Observation| *o == Observation::ReleaseSent;
                let sent_at = deployment.record.first_seen(call, sent).expect("the exchange released it");
                let released_at = deployment.released_at(call).expect("it is released");
                assert!(released_at - sent_at <= RELEASE_LIMIT_S, "{:.3} s", released_at - sent_at);
            }
            let status = deployment.proxy.wait_for_exit(3.0).await;
            assert!(status.is_some_and(|s| s.success()), "{}", deployment.proxy.log());
        });
    }
}

/// Guards against a listener that closes while calls stand: their caller has lost its connection, and the release waits
/// for the next one, which it opens after the earliest SIGKILL.
#[test]
fn a_caller_that_connects_again_after_the_earliest_kill_gets_its_releases() {
    run(async |tasks| {
        let mut deployment = start(tasks, 1.0).await;
        let calls = call_ids(1, 1);
        let caller = deployment.caller("first").await;
        establish(&deployment, &caller, &set_up(&calls[0], 1.0, 2.5)).await;
        deployment.proxy.signal(Signal::TERM);
        sleep(0.1).await;
        caller.close();
        sleep(3.0).await;
        let next = deployment.caller("next").await;
        next.send_set_up(&set_up(&call_ids(2, 1)[0], 1.0, 0.1)).await.expect("the set-up is sent");
        let unreleased = deployment.unreleased_by(&calls, now() + RELEASE_LIMIT_S).await;
        assert!(unreleased.is_empty(), "{}", deployment.proxy.log());
        next.close();
        let status = deployment.proxy.wait_for_exit(3.0).await;
        assert!(status.is_some_and(|s| s.success()), "{}", deployment.proxy.log());
    });
}

/// Guards against a connection closed during a shutdown because none of its own calls stands, while the call of
/// another connection, which its caller has closed, needs it for the release.
#[test]
fn a_release_goes_out_on_another_connection_of_the_callers_during_a_shutdown() {
    run(async |tasks| {
        let deployment = start(tasks, 1.0).await;
        let calls = call_ids(1, 2);
        let (first, other) = (deployment.caller("first").await, deployment.caller("other").await);
        establish(&deployment, &first, &set_up(&calls[0], 1.0, 3.0)).await;
        establish(&deployment, &other, &set_up(&calls[1], 1.0, 0.1)).await;
        deployment.proxy.signal(Signal::TERM);
        first.close();
        let unreleased = deployment.unreleased_by(&calls, now() + 3.0 + RELEASE_LIMIT_S).await;
        assert!(unreleased.is_empty(), "{unreleased:?}\n{}", deployment.proxy.log());
    });
}

/// Guards against an exit before the release of a call has reached an exchange that is cut off for a while: the caller
/// has hung up, and nobody else tells the exchange.
#[test]
fn a_release_to_an_exchange_that_is_cut_off_is_delivered_before_the_exit() {
    run(async |tasks| {
        let deployment = Rc::new(start(tasks, 1.0).await);
        let caller = deployment.caller("c").await;
        let calls = call_ids(1, 1);
        establish(&deployment, &caller, &set_up(&calls[0], 1.0, 60.0)).await;
        deployment.exchanges[0].refuse_connections();
        sleep(0.05).await;
        while deployment.exchanges[0].reset_connection(0) {}
        deployment.proxy.signal(Signal::TERM);
        sleep(0.05).await;
        caller.hang_up(&calls[0]).await.expect("the connection is open");
        sleep(2.0).await;
        deployment.exchanges[0].accept_connections().await.expect("the address is free");
        let deadline = now() + 2.0;
        while deployment.exchanges[0].established_calls() > 0 && now() < deadline {
            sleep(0.01).await;
        }
        assert_eq!(deployment.exchanges[0].established_calls(), 0, "{}", deployment.proxy.log());
    });
}
