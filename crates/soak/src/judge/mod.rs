//! Checks the record of a trial against the platform's rules, one named check per rule. Performs no I/O.
//!
//! [`RULES`] lists the rules with their sources. PROTOCOL, WIRE, STANDING and DEPLOY are pages of the platform's
//! documentation. Exemptions from the rules are evaluated in [`view`] alone.

mod calls;
mod fleet;
pub mod view;

use std::collections::BTreeMap;

use mallowring_standin::record::Entry;
use serde::Serialize;
use view::{CallHistory, TrialContext};

/// Tolerance in seconds that is added to every time limit (PROTOCOL, 'The rules on sockets').
pub const TOLERANCE_S: f64 = 0.05;

/// Parameters of the deployment under test.
#[derive(Clone, Debug)]
pub struct DeploymentParameters {
    /// Time in seconds in which set-ups may still go to an exchange that is draining or gone.
    pub drain_grace_s: f64,
    /// Pause in seconds before a call is sent again after a time-out, reset or cancel.
    pub release_pause_s: f64,
    /// Largest number of attempts per call.
    pub max_attempts: usize,
    /// Memory limit of each proxy, in kB.
    pub memory_kb: u64,
    /// File descriptor limit of each proxy.
    pub descriptors: usize,
    /// Capacity of a warm exchange, in set-ups per second.
    pub exchange_rate: f64,
    /// Capacity of a cold exchange at its start, as a share of its warm capacity.
    pub cold_capacity_share: f64,
    /// Time in seconds until a cold exchange is warm.
    pub warm_up_s: f64,
    /// An exchange fails under more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... over a window of this many seconds.
    pub overload_window_s: f64,
    /// Earliest time of SIGKILL after SIGTERM, in seconds (PROTOCOL, 'Figures').
    pub kill_after_s: f64,
}

/// A rule and its source.
#[derive(Clone, Copy, Debug, Serialize, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rule {
    /// Name of the rule.
    pub name: &'static str,
    /// Page of the platform's documentation, and the section.
    pub source: &'static str,
}

/// A call gets its final answer before its caller gives up; an answer up to half a second late earns nothing but is
/// no breach.
pub const ANSWER: Rule =
    Rule { name: "answer", source: "STANDING, 'The whole fleet': a request has to get its final answer" };
/// A set-up that comes while its proxy shuts down is answered before the earliest SIGKILL, whether or not it is sent.
pub const ANSWER_BEFORE_KILL: Rule = Rule {
    name: "answer before the kill",
    source:
        "PROTOCOL, 'Figures': whatever SIGKILL finds unanswered; the newest letter: clients go on until then",
};
/// A call gets at most one final answer.
pub const SECOND_ANSWER: Rule = Rule { name: "second answer", source: "PROTOCOL, 'The rules on sockets'" };
/// A successful answer is the unchanged answer of an exchange to this call.
pub const DESCRIPTION: Rule =
    Rule { name: "description", source: "PROTOCOL, 'Callers to signalling proxies'" };
/// Only one attempt of a call is pending at a time.
pub const ONE_ATTEMPT: Rule =
    Rule { name: "one attempt out", source: "WIRE, 'Rules', 2; PROTOCOL, 'The rules on sockets'" };
/// A call has at most [`DeploymentParameters::max_attempts`] attempts.
pub const ATTEMPTS: Rule = Rule { name: "attempts", source: "WIRE, limits.max_attempts" };
/// No attempt is sent within the pause after a time-out, reset or cancel.
pub const PAUSE: Rule = Rule { name: "pause", source: "WIRE, 'Rules', 5" };
/// No attempt is sent for a call that has its final answer.
pub const SENT_AFTER_ANSWER: Rule = Rule { name: "sent after the answer", source: "WIRE, 'Rules', 1" };
/// No new call goes to an exchange that is draining or gone.
pub const DRAIN: Rule = Rule {
    name: "drain",
    source: "WIRE, 'Rules', 3; PROTOCOL, 'Figures'; the newest letter: told after 6 s",
};
/// A release by the exchange reaches the caller within 1 s.
pub const RELEASE: Rule = Rule { name: "release within 1 s", source: "PROTOCOL, 'The rules on sockets'" };
/// The caller is released within 8 s of the end of the call, even if the exchange could send no release.
pub const RELEASE_AFTER_END: Rule = Rule {
    name: "told within 8 s",
    source: "PROTOCOL, 'The rules on sockets'; issue 16: a silent server excuses nothing",
};
/// A cold exchange does not fail through overload.
pub const COLD_START: Rule =
    Rule { name: "cold start", source: "WIRE, 'Rules', 4; STANDING, 'The whole fleet'" };
/// A proxy exits only on SIGTERM, and then with exit code 0.
pub const CRASH: Rule = Rule { name: "crash", source: "DEPLOY, 'deploy/balancer.toml'; PROTOCOL, 'Figures'" };
/// A started proxy becomes ready in time.
pub const READY: Rule = Rule { name: "ready in time", source: "STANDING, 'The gate'" };
/// Memory stays within the limit.
pub const MEMORY: Rule = Rule { name: "memory", source: "DEPLOY, 'Limits'" };
/// File descriptors stay within the limit.
pub const DESCRIPTORS: Rule = Rule { name: "descriptors", source: "DEPLOY, 'Limits'" };

/// All rules, in the order of the report.
pub const RULES: [Rule; 16] = [
    ANSWER,
    ANSWER_BEFORE_KILL,
    SECOND_ANSWER,
    DESCRIPTION,
    ONE_ATTEMPT,
    ATTEMPTS,
    PAUSE,
    SENT_AFTER_ANSWER,
    DRAIN,
    RELEASE,
    RELEASE_AFTER_END,
    COLD_START,
    CRASH,
    READY,
    MEMORY,
    DESCRIPTORS,
];

/// One breach of a rule.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Breach {
    /// The broken rule.
    pub rule: Rule,
    /// Time of the breach, in seconds of Unix time.
    pub at: f64,
    /// Index of the proxy.
    pub proxy: usize,
    /// Call-ID of the call; empty if the breach concerns no single call.
    pub call: String,
    /// What was observed.
    #[serde(rename = "what")]
    pub details: String,
}

/// The verdict on a trial.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Verdict {
    /// Breaches in chronological order.
    pub breaches: Vec<Breach>,
    /// Number of calls judged.
    pub judged: usize,
    /// Number of calls judged by the order of events only, because the trial stalled as planned during the call.
    pub judged_by_order: usize,
    /// Number of calls judged by the order of events only, because the machine stalled during the call.
    pub not_judged: usize,
}

/// Checks the record of a trial against all rules.
pub fn check_rules(entries: &[Entry], parameters: &DeploymentParameters) -> Verdict {
    let context = TrialContext::from_entries(entries);
    let mut calls: BTreeMap<&str, Vec<&Entry>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| !entry.call_id.is_empty()) {
        calls.entry(&entry.call_id).or_default().push(entry);
    }
    let mut verdict = Verdict::default();
    for (id, entries) in calls {
        let Some(call) = CallHistory::from_entries(id, entries, &context) else { continue };
        let is_planned = context.overlaps_planned_stall(&call);
        if is_planned || context.overlaps_stall(&call) {
            let count = if is_planned { &mut verdict.judged_by_order } else { &mut verdict.not_judged };
            *count += 1;
            verdict.breaches.extend(calls::check_order(&call, parameters));
            continue;
        }
        verdict.judged += 1;
        verdict.breaches.extend(calls::check(&call, &context, parameters));
    }
    verdict.breaches.extend(fleet::check(entries, &context, parameters));
    verdict.breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    verdict
}
