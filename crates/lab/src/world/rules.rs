//! The rules, checked from outside: whatever the code under test believes of itself, what it did is held against
//! what it was told and when.

use std::collections::BTreeMap;

use mallowring::interface::ExchangeId;
use serde::Serialize;

use crate::day::{Us, SECOND};

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// One final answer for each call that was taken, before its caller gives up, and true.
    FinalAnswer,
    /// One attempt out at a time, and not too many.
    OneAttempt,
    /// Nothing new to an exchange some time after it was told to drain or be gone.
    Drains,
    /// No cold exchange pushed over.
    ColdExchange,
    /// No send for a call soon after a time-out, reset or cancel.
    Release,
    /// A send that makes no sense: to the own exchange, or of a call in transit past its destination.
    Sense,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
    /// Which.
    pub rule: Rule,
    /// When, seconds.
    pub at_s: f64,
    /// The signalling proxy, where it was one.
    pub proxy: Option<usize>,
    /// The call, where it was one.
    pub call: Option<String>,
    /// What happened.
    pub what: String,
}

/// The most that are kept of each rule; the rest are counted.
const KEPT: usize = 5;

/// Watches the rules.
#[derive(Debug, Default)]
pub struct Watch {
    /// The first breaks of each rule.
    pub broken: Vec<Broken>,
    /// How many there were.
    pub count: u64,
    told: BTreeMap<(usize, ExchangeId), Us>,
}

impl Watch {
    /// A rule was broken.
    pub fn broke(&mut self, rule: Rule, now: Us, proxy: Option<usize>, call: Option<String>, what: &str) {
        self.count += 1;
        if self.broken.iter().filter(|b| b.rule == rule).count() < KEPT {
            let at_s = now as f64 / SECOND as f64;
            self.broken.push(Broken { rule, at_s, proxy, call, what: what.to_owned() });
        }
    }

    /// A proxy was told that an exchange drains or is gone.
    pub fn told(&mut self, proxy: usize, office: ExchangeId, now: Us) {
        self.told.entry((proxy, office)).or_insert(now);
    }

    /// A proxy starts again, and has been told nothing yet.
    pub fn forget(&mut self, proxy: usize) {
        self.told.retain(|(p, _), _| *p != proxy);
    }

    /// Whether a send to an exchange comes too late after that.
    pub fn is_shut(&self, proxy: usize, office: ExchangeId, now: Us, grace: Us) -> bool {
        self.told.get(&(proxy, office)).is_some_and(|at| now > at + grace)
    }
}
