//! Compares two fleets side by side: both receive the same events, only the effects of the first are applied, and the
//! first decision in which the second differs is recorded for each proxy.

use std::collections::{BTreeMap, BTreeSet};

use mallowring::calls::{CallEffect, CallerCommand, ExchangeCommand};
use mallowring::interface::{CallId, ExchangeId, Time};
use serde::Serialize;

use super::{EventsByProxy, OverloadLevels, ProxyFleet};
use crate::day::Day;
use crate::day::EPOCH;
use crate::LabError;

/// A decision on a call. The variants' names appear in the texts of [`Difference`].
#[derive(Clone, Debug, PartialEq, Serialize)]
enum Decision {
    SetUp(u64),
    Refuse,
    Fail,
    Reject,
}

/// A difference between the decisions of the two fleets on a call.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Difference {
    /// Time of the day, seconds.
    pub at: f64,
    /// The proxy.
    pub proxy: usize,
    /// The call.
    pub call: String,
    /// The decisions of the first fleet, an empty list if there were none.
    pub first: String,
    /// The decisions of the second fleet.
    pub second: String,
}

/// Two fleets that receive the same events.
pub struct Twin<A, B> {
    first: A,
    second: B,
    /// Decisions compared.
    pub decisions: u64,
    /// The first difference of each proxy. Its two sides have different states from then on, so later ones mean
    /// nothing.
    pub differences: Vec<Difference>,
    /// Proxies whose two sides have differed.
    diverged: BTreeSet<usize>,
}

impl<A: ProxyFleet, B: ProxyFleet> Twin<A, B> {
    /// Compares two fleets.
    pub fn new(first: A, second: B) -> Self {
        Twin { first, second, decisions: 0, differences: Vec::new(), diverged: BTreeSet::new() }
    }
}

/// The decisions among effects, by proxy and call.
fn decisions(effects: &[(usize, CallEffect)]) -> BTreeMap<(usize, CallId), Vec<Decision>> {
    let mut by_call: BTreeMap<_, Vec<Decision>> = BTreeMap::new();
    for (proxy, effect) in effects {
        let (id, decision) = match effect {
            CallEffect::Exchange(ExchangeId(exchange_id), id, ExchangeCommand::SetUp(_)) => {
                (id, Decision::SetUp(*exchange_id))
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
        events: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        let mut second_effects = Vec::new();
        let first_new = out.len();
        self.second.tick(now, events.clone(), &mut second_effects)?;
        self.first.tick(now, events, out)?;
        let (by_first, by_second) = (decisions(&out[first_new..]), decisions(&second_effects));
        let none = Vec::new();
        let calls: BTreeSet<_> = by_first.keys().chain(by_second.keys()).collect();
        for key in calls {
            if self.diverged.contains(&key.0) {
                continue;
            }
            let (a, b) = (by_first.get(key).unwrap_or(&none), by_second.get(key).unwrap_or(&none));
            self.decisions += a.len().max(b.len()) as u64;
            if a != b {
                let (proxy, call) = key.clone();
                self.diverged.insert(proxy);
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
