//! Checks the proxies' behaviour against the rules, independently of their own bookkeeping: each effect is compared
//! with the events that the proxy had received by then.

use std::collections::BTreeMap;

use mallowring::interface::ExchangeId;
use serde::Serialize;

use crate::day::{Us, SECOND};

/// A rule that proxies must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Each request gets exactly one final answer, before its caller gives up, and a positive one only if an exchange
    /// answered.
    FinalAnswer,
    /// A request has at most one pending attempt and no more attempts than allowed.
    OneAttempt,
    /// No new set-up to an exchange after a grace period from the roster update that drains or removes it.
    Drains,
    /// No cold exchange fails because it is sent too many set-ups.
    ColdExchange,
    /// No further attempt of a request too soon after a time-out, reset or cancellation.
    Release,
    /// No set-up to the proxy's own exchange, to an unknown one, or of a transit call past its destination.
    #[serde(rename = "sense")]
    Route,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time of the day, seconds.
    pub at_s: f64,
    /// The signalling proxy, if one caused it.
    pub proxy: Option<usize>,
    /// The call, if one is concerned.
    pub call: Option<String>,
    /// What happened.
    pub what: String,
}

/// Violations kept of each rule; further ones are only counted.
const MAX_KEPT_PER_RULE: usize = 5;

/// Records violations, and the roster updates that the checks need.
#[derive(Debug, Default)]
pub struct RuleMonitor {
    /// The first violations of each rule.
    pub violations: Vec<Violation>,
    /// Number of all violations.
    pub count: u64,
    /// When each proxy first received the update that an exchange drains or is removed.
    unavailable_from: BTreeMap<(usize, ExchangeId), Us>,
}

impl RuleMonitor {
    /// Records a violation.
    pub fn report_violation(
        &mut self,
        rule: Rule,
        now: Us,
        proxy: Option<usize>,
        call: Option<String>,
        what: &str,
    ) {
        self.count += 1;
        if self.violations.iter().filter(|v| v.rule == rule).count() < MAX_KEPT_PER_RULE {
            let at_s = now as f64 / SECOND as f64;
            self.violations.push(Violation { rule, at_s, proxy, call, what: what.to_owned() });
        }
    }

    /// Records that a proxy received the update that an exchange drains or is removed.
    pub fn note_unavailable(&mut self, proxy: usize, exchange_id: ExchangeId, now: Us) {
        self.unavailable_from.entry((proxy, exchange_id)).or_insert(now);
    }

    /// Discards the updates that a proxy received, as it restarts.
    pub fn forget(&mut self, proxy: usize) {
        self.unavailable_from.retain(|(p, _), _| *p != proxy);
    }

    /// Whether a set-up to an exchange comes more than `grace` after that update.
    pub fn is_unavailable(&self, proxy: usize, exchange_id: ExchangeId, now: Us, grace: Us) -> bool {
        self.unavailable_from.get(&(proxy, exchange_id)).is_some_and(|at| now > at + grace)
    }
}
