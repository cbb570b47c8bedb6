//! The attempts of a call as the stand-in exchanges saw them.

use mallowring_standin::record::{Observation, Record};

use super::Deployment;

/// The release pause of the deployment in seconds, less the slack of the protocol page ('The rules on sockets').
const SHORTEST_PAUSE_S: f64 = 0.3 - 0.05;

/// An attempt as its exchange saw it.
#[derive(Debug)]
pub struct Attempt {
    pub exchange: String,
    pub arrived: f64,
    /// When the exchange had written its answer, or had read the CANCEL or the end of the connection, or its process
    /// had ended.
    pub ended: f64,
    /// It was cancelled, so that the release pause has to pass before the next attempt.
    pub cancelled: bool,
}

/// The attempts of a call in the order of their arrival.
pub fn attempts(record: &Record, call: &str) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    for entry in record.entries() {
        let cancelled = match entry.observation {
            Observation::ProcessGone => true,
            _ if entry.call_id != call => continue,
            Observation::SetUpArrived => {
                let (exchange, arrived) = (entry.observer, entry.at);
                attempts.push(Attempt { exchange, arrived, ended: f64::INFINITY, cancelled: false });
                continue;
            }
            Observation::SetUpCancelled => true,
            Observation::SetUpAnswered { .. } => false,
            _ => continue,
        };
        let open = |a: &&mut Attempt| a.exchange == entry.observer && a.ended.is_infinite();
        if let Some(attempt) = attempts.iter_mut().find(open) {
            (attempt.ended, attempt.cancelled) = (entry.at, cancelled);
        }
    }
    attempts
}

/// Asserts that no attempt of a call arrived while an earlier one was out, or within the pause after it.
pub fn assert_attempts_apart(deployment: &Deployment, call: &str, scenario: &str) {
    let attempts = attempts(&deployment.record, call);
    assert!(!attempts.is_empty(), "{scenario}: no attempt was seen");
    for pair in attempts.windows(2) {
        let waited = pair[1].arrived - pair[0].ended;
        let pause = if pair[0].cancelled { SHORTEST_PAUSE_S } else { 0.0 };
        assert!(
            waited >= pause,
            "{scenario}: sent again {waited:.3} s after its attempt had ended: {attempts:#?}\n{}",
            deployment.proxy.log()
        );
    }
}
