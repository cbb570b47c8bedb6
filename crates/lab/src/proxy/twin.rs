//! Two ways of driving one build, side by side: both are told the same, the first one's commands count, and every
//! decision in which the second differs is noted.

use std::collections::{BTreeMap, BTreeSet};

use mallowring::calls::{CallEffect, CallerCommand, ExchangeCommand};
use mallowring::interface::{CallId, ExchangeId, Time};
use serde::Serialize;

use super::{EventsByProxy, OverloadLevels, ProxyFleet};
use crate::day::Day;
use crate::day::EPOCH;
use crate::LabError;

/// A decision on a call.
#[derive(Clone, Debug, PartialEq, Serialize)]
enum Decision {
    SetUp(u64),
    Refuse,
    Fail,
    Reject,
}

/// A moment at which the two decided differently on a call.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// When, seconds of the day.
    pub at: f64,
    /// The proxy.
    pub proxy: usize,
    /// The call.
    pub call: String,
    /// What the first one decided; nothing if it decided nothing.
    pub first: String,
    /// What the second one did.
    pub second: String,
}

/// Two fleets that are told the same.
pub struct Twin<A, B> {
    first: A,
    second: B,
    /// Decisions compared.
    pub decisions: u64,
    /// The first difference of each proxy. From then on its two sides know different things, and what follows says
    /// nothing more.
    pub differences: Vec<Difference>,
    apart: BTreeSet<usize>,
}

impl<A: ProxyFleet, B: ProxyFleet> Twin<A, B> {
    /// Puts two fleets side by side.
    pub fn new(first: A, second: B) -> Self {
        Twin { first, second, decisions: 0, differences: Vec::new(), apart: BTreeSet::new() }
    }
}

fn decisions(commands: &[(usize, CallEffect)]) -> BTreeMap<(usize, CallId), Vec<Decision>> {
    let mut by_call: BTreeMap<_, Vec<Decision>> = BTreeMap::new();
    for (proxy, command) in commands {
        let (id, decision) = match command {
            CallEffect::Exchange(ExchangeId(office), id, ExchangeCommand::SetUp(_)) => {
                (id, Decision::SetUp(*office))
            }
            CallEffect::Caller(_, id, CallerCommand::Refuse(_)) => (id, Decision::Refuse),
            CallEffect::Caller(_, id, CallerCommand::Fail) => (id, Decision::Fail),
            CallEffect::Caller(_, id, CallerCommand::Reject(_)) => (id, Decision::Reject),
            _ => continue,
        };
        by_call.entry((*proxy, id.clone())).or_default().push(decision);
    }
    by_call
}

impl<A: ProxyFleet, B: ProxyFleet> ProxyFleet for Twin<A, B> {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        self.first.start(day, proxy, now, seed)?;
        self.second.start(day, proxy, now, seed)
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.first.stop(proxy)?;
        self.second.stop(proxy)
    }

    fn tick(
        &mut self,
        now: Time,
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        let mut second = Vec::new();
        let from = out.len();
        self.second.tick(now, told.clone(), &mut second)?;
        self.first.tick(now, told, out)?;
        let (ours, theirs) = (decisions(&out[from..]), decisions(&second));
        let none = Vec::new();
        let calls: BTreeSet<_> = ours.keys().chain(theirs.keys()).collect();
        for key in calls {
            if self.apart.contains(&key.0) {
                continue;
            }
            let (a, b) = (ours.get(key).unwrap_or(&none), theirs.get(key).unwrap_or(&none));
            self.decisions += a.len().max(b.len()) as u64;
            if a != b {
                let (proxy, call) = key.clone();
                self.apart.insert(proxy);
                let (first, second) = (format!("{a:?}"), format!("{b:?}"));
                self.differences.push(Difference { at: now.0 - EPOCH, proxy, call: call.0, first, second });
            }
        }
        Ok(())
    }

    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        self.first.levels(proxy)
    }
}
