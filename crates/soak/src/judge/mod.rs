//! The judge: every rule of the platform's pages as one named check over the record of a trial. No I/O.
//!
//! Each rule stands in [`RULES`] with its figure and its source. What the pages excuse is excused in [`view`] alone.

mod calls;
mod fleet;
pub mod view;

use std::collections::BTreeMap;

use mallowring_standin::record::Entry;
use serde::Serialize;
use view::{CallHistory, TrialContext};

/// Every time limit of the rules is so much longer (PROTOCOL, 'The rules on sockets').
pub const TOLERANCE_S: f64 = 0.05;

/// The figures of the deployment under trial.
#[derive(Clone, Debug)]
pub struct DeploymentParameters {
    /// Grace for set-ups to an exchange that drains or is gone, in seconds.
    pub drain_grace_s: f64,
    /// The pause before a call is sent again after a time-out, reset or cancel, in seconds.
    pub release_pause_s: f64,
    /// The most attempts of one call.
    pub max_attempts: usize,
    /// Limits of each proxy: memory in kB, and descriptors.
    pub memory_kb: u64,
    /// The most descriptors of a proxy.
    pub descriptors: usize,
    /// Set-ups a second that a warm exchange can do.
    pub exchange_rate: f64,
    /// A cold exchange begins at this share of it ...
    pub cold_capacity_share: f64,
    /// ... and is warm after so many seconds.
    pub warm_up_s: f64,
    /// Sent more than this multiple of what it can do ...
    pub overload_multiple: f64,
    /// ... for so many seconds, it falls over.
    pub overload_window_s: f64,
}

/// A rule and where it is written.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rule {
    /// Its name.
    pub name: &'static str,
    /// The page and the part of it.
    pub source: &'static str,
}

/// A call gets its final answer before its caller gives up; half a second later it only earns nothing.
pub const ANSWER: Rule =
    Rule { name: "answer", source: "STANDING, 'The whole fleet': a request has to get its final answer" };
/// No call gets two final answers.
pub const SECOND_ANSWER: Rule = Rule { name: "second answer", source: "PROTOCOL, 'The rules on sockets'" };
/// An answer 'served' is the one that an exchange gave for this call, unchanged.
pub const DESCRIPTION: Rule =
    Rule { name: "description", source: "PROTOCOL, 'Callers to signalling proxies'" };
/// One attempt is out at a time.
pub const ONE_ATTEMPT: Rule =
    Rule { name: "one attempt out", source: "WIRE, 'Rules', 2; PROTOCOL, 'The rules on sockets'" };
/// So many attempts at the most.
pub const ATTEMPTS: Rule = Rule { name: "attempts", source: "WIRE, limits.max_attempts" };
/// No send within the pause after a time-out, reset or cancel.
pub const PAUSE: Rule = Rule { name: "pause", source: "WIRE, 'Rules', 5" };
/// No send for a call that has its final answer.
pub const SENT_AFTER_ANSWER: Rule = Rule { name: "sent after the answer", source: "WIRE, 'Rules', 1" };
/// Nothing new to an exchange that drains or is gone.
pub const DRAIN: Rule = Rule {
    name: "drain",
    source: "WIRE, 'Rules', 3; PROTOCOL, 'Figures'; the newest letter: told after 6 s",
};
/// A release is passed on within 1 s.
pub const RELEASE: Rule = Rule { name: "release within 1 s", source: "PROTOCOL, 'The rules on sockets'" };
/// Where no release could be sent the caller is told within 8 s of the end.
pub const RELEASE_WITHOUT_SIGNAL: Rule = Rule {
    name: "told within 8 s",
    source: "PROTOCOL, 'The rules on sockets'; issue 16: a silent server excuses nothing",
};
/// No cold exchange is pushed over.
pub const COLD_START: Rule =
    Rule { name: "cold start", source: "WIRE, 'Rules', 4; STANDING, 'The whole fleet'" };
/// A proxy does not end by itself, but for a SIGTERM, and then with success.
pub const CRASH: Rule = Rule { name: "crash", source: "DEPLOY, 'deploy/balancer.toml'; PROTOCOL, 'Figures'" };
/// A proxy that starts is ready in time.
pub const READY: Rule = Rule { name: "ready in time", source: "STANDING, 'The gate'" };
/// Memory stays inside the limit.
pub const MEMORY: Rule = Rule { name: "memory", source: "DEPLOY, 'Limits'" };
/// Descriptors stay inside the limit.
pub const DESCRIPTORS: Rule = Rule { name: "descriptors", source: "DEPLOY, 'Limits'" };

/// All rules.
pub const RULES: [Rule; 15] = [
    ANSWER,
    SECOND_ANSWER,
    DESCRIPTION,
    ONE_ATTEMPT,
    ATTEMPTS,
    PAUSE,
    SENT_AFTER_ANSWER,
    DRAIN,
    RELEASE,
    RELEASE_WITHOUT_SIGNAL,
    COLD_START,
    CRASH,
    READY,
    MEMORY,
    DESCRIPTORS,
];

/// One breach of a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    /// The rule.
    pub rule: Rule,
    /// When, in seconds of Unix time.
    pub at: f64,
    /// The proxy.
    pub proxy: usize,
    /// The call; empty where it is of none.
    pub call: String,
    /// What was seen.
    #[serde(rename = "what")]
    pub details: String,
}

/// What a trial came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Breaches, in the order of time.
    pub breaches: Vec<Breach>,
    /// Calls that were judged.
    pub judged: usize,
    /// Calls that were under way while the trial's own process was held up: nothing is said of them.
    pub not_judged: usize,
}

/// Judges the record of a trial.
pub fn check_rules(entries: &[Entry], parameters: &DeploymentParameters) -> Verdict {
    let context = TrialContext::from_entries(entries);
    let mut calls: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.call_id.is_empty()) {
        calls.entry(&entry.call_id).or_default().push(entry);
    }
    let mut verdict = Verdict::default();
    for (id, entries) in calls {
        let Some(call) = CallHistory::from_entries(id, entries) else { continue };
        if context.overlaps_stall(&call) {
            verdict.not_judged += 1;
            continue;
        }
        verdict.judged += 1;
        verdict.breaches.extend(calls::check(&call, &context, parameters));
    }
    verdict.breaches.extend(fleet::check(entries, &context, parameters));
    verdict.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}
