//! The built program when many calls of one caller end at once.

mod deployment;

use deployment::{call_ids, Deployment};
use mallowring_standin::record::now;
use mallowring_standin::run;

/// Number of calls at each of three exchanges.
const CALLS_PER_EXCHANGE: u64 = 330;
/// Number of set-ups that are sent at once.
const AT_ONCE: usize = 30;
/// A holding time so long that no call ends by itself.
const LONG_HOLD_MS: u64 = 120_000;
/// Limit in seconds from the death of the exchanges to the releases, with the tolerance of the page.
const RELEASE_LIMIT_S: f64 = 8.05;

/// Guards against releases that are lost because they are more than a send queue holds: all exchanges die, and the
/// releases of 990 calls go to one connection. None of them arrived, although the caller read at once.
#[test]
fn the_releases_of_a_thousand_calls_of_one_connection_all_arrive() {
    run(async |tasks| {
        let deployment = Deployment::start(tasks, 3).await;
        let caller = deployment.caller("c").await;
        let mut calls = Vec::new();
        for exchange in 1..=3_u64 {
            let ids = call_ids(exchange, CALLS_PER_EXCHANGE);
            for ids in ids.chunks(AT_ONCE) {
                for id in ids {
                    deployment.send_set_up(&caller, exchange as i64, id, LONG_HOLD_MS).await;
                }
                for id in ids {
                    assert!(
                        deployment.established_by(id, now() + 3.0).await,
                        "{id}\n{}",
                        deployment.proxy.log()
                    );
                }
            }
            calls.extend(ids);
        }
        deployment.exchanges.iter().for_each(|exchange| exchange.crash());
        let unreleased = deployment.unreleased_by(&calls, now() + RELEASE_LIMIT_S).await;
        assert_eq!(unreleased.len(), 0, "not released: {unreleased:?}");
        assert!(caller.is_open().await, "the connection was closed");
    });
}
