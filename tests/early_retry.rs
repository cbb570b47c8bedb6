//! The built program with exchanges that read late: a cancelled set-up, or one whose connection broke, may still be
//! pending there (issue 24).

mod deployment;

use deployment::attempts::assert_attempts_apart;
use deployment::{call_ids, Deployment};
use mallowring_standin::exchange::Misbehaviour;
use mallowring_standin::messages::{CallScript, SetUp};
use mallowring_standin::record::now;
use mallowring_standin::{run, sleep};

/// Answer time of a set-up that has no answer before its caller gives up, in milliseconds.
const NEVER_MS: u64 = 60_000;
/// Number of later calls that are answered while the first one waits.
const LATER_CALLS: u64 = 12;

fn set_up(call: &str, answer_ms: u64) -> SetUp {
    let number = CallScript { answer_ms, hold_ms: 60_000 }.called_number();
    SetUp { call_id: call.to_owned(), number, deadline_ms: 2500, destination: 1 }
}

/// Sets up one call that is not answered and, meanwhile, others that are, at exchanges that read late by `read_delay`
/// seconds. Returns the id of the first call once it has its final answer and everything sent for it was read.
async fn call_without_answer(
    deployment: &Deployment,
    read_delay: f64,
    disturb: impl AsyncFnOnce(&Deployment),
) -> String {
    let caller = deployment.caller("c").await;
    for exchange in &deployment.exchanges {
        exchange.set_misbehaviour(Misbehaviour { read_delay, ..Misbehaviour::default() });
    }
    let (first, later) = (call_ids(1, 1).remove(0), call_ids(2, LATER_CALLS));
    caller.send_set_up(&set_up(&first, NEVER_MS)).await.expect("the set-up is sent");
    sleep(0.05).await;
    disturb(deployment).await;
    for call in &later {
        caller.send_set_up(&set_up(call, 5)).await.expect("the set-up is sent");
        sleep(0.05).await;
    }
    let deadline = now() + 3.0;
    while deployment.answered_at(&first).is_none() && now() < deadline {
        sleep(0.01).await;
    }
    assert!(deployment.answered_at(&first).is_some(), "no final answer\n{}", deployment.proxy.log());
    sleep(read_delay + 0.5).await;
    first
}

/// Guards against two attempts of one call at once, and against one too soon after a cancelled one: in the incident
/// the proxy cancelled a set-up that later ones had overtaken, and counted the pause from sending the CANCEL, which
/// the exchange read 0.3 to 0.4 s later.
#[test]
fn no_attempt_follows_a_cancelled_one_that_its_exchange_may_not_have_read() {
    for read_delay in [0.0, 0.2, 0.4, 0.55] {
        run(async |tasks| {
            let deployment = Deployment::start(tasks, 3).await;
            let call = call_without_answer(&deployment, read_delay, async |_| ()).await;
            assert_attempts_apart(&deployment, &call, &format!("exchanges read {read_delay} s late"));
        });
    }
}

/// Guards against the same fault after a connection broke: the exchange reads the set-up, and then the end of the
/// connection, later than this proxy notices the reset.
#[test]
fn no_attempt_follows_a_reset_one_that_its_exchange_may_not_have_read() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let reset_all = async |deployment: &Deployment| {
            while deployment.exchanges[0].reset_connection(0) {}
        };
        let call = call_without_answer(&deployment, 0.45, reset_all).await;
        assert_attempts_apart(&deployment, &call, "the connection was reset");
    });
}
