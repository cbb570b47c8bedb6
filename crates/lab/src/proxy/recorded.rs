//! Shipped proxies that keep captures: each event, followed by the effects that it caused.

use std::collections::BTreeMap;

use mallowring::calls::tenants::Tenant;
use mallowring::calls::CallEffect;
use mallowring::capture::{Entry, EntryKind, TableStart};
use mallowring::interface::Time;
use mallowring::Tuning;

use super::{EventsByProxy, OverloadLevels, ProxyFleet, Shipped};
use crate::day::Day;
use crate::LabError;

/// A fleet of shipped proxies with a capture of each.
#[derive(Debug)]
pub struct Capturing {
    inner: Shipped,
    tuning: Tuning,
    /// The captures, by proxy.
    pub captures: BTreeMap<usize, Vec<Entry>>,
}

impl Capturing {
    /// A fleet without running proxies.
    pub fn new(tuning: Tuning) -> Self {
        Capturing { inner: Shipped::new(tuning.clone()), tuning, captures: BTreeMap::new() }
    }

    fn record(&mut self, proxy: usize, at: Time, kind: EntryKind) {
        let entries = self.captures.entry(proxy).or_default();
        let seq = entries.len() as u64;
        entries.push(Entry { seq, at, kind });
    }
}

impl ProxyFleet for Capturing {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        let name = |t: &crate::day::TenantDay| t.name.clone();
        let tenants = day.tenants.iter().map(name);
        let tenants = tenants.map(|name| Tenant { name, suspended: false, max_calls: None }).collect();
        let start = TableStart { settings: day.settings(proxy), tuning: self.tuning.clone(), tenants, seed };
        self.record(proxy, now, EntryKind::Start(Box::new(start)));
        self.inner.start(day, proxy, now, seed)
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.inner.stop(proxy)
    }

    fn tick(
        &mut self,
        now: Time,
        events: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        for (proxy, inbox) in events {
            for event in inbox {
                self.record(proxy, now, EntryKind::Event(event.clone()));
                let first_new = out.len();
                self.inner.tick(now, vec![(proxy, vec![event])], out)?;
                let effects: Vec<CallEffect> =
                    out[first_new..].iter().map(|(_, effect)| effect.clone()).collect();
                if !effects.is_empty() {
                    self.record(proxy, now, EntryKind::Effects(effects));
                }
            }
        }
        Ok(())
    }

    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        self.inner.levels(proxy)
    }
}
