//! Shipped proxies whose captures are kept: what they were told, and what they commanded upon each of it.

use std::collections::BTreeMap;

use mallowring::calls::tenants::Tenant;
use mallowring::calls::CallEffect;
use mallowring::capture::{Entry, EntryKind, TableStart};
use mallowring::interface::Time;
use mallowring::Tuning;

use super::{EventsByProxy, OverloadLevels, ProxyFleet, Shipped};
use crate::day::Day;
use crate::LabError;

/// A fleet of them.
#[derive(Debug)]
pub struct Capturing {
    inner: Shipped,
    tuning: Tuning,
    /// The captures, by proxy.
    pub captures: BTreeMap<usize, Vec<Entry>>,
}

impl Capturing {
    /// Empty seats.
    pub fn new(tuning: Tuning) -> Self {
        Capturing { inner: Shipped::new(tuning.clone()), tuning, captures: BTreeMap::new() }
    }

    fn keep(&mut self, proxy: usize, at: Time, kind: EntryKind) {
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
        self.keep(proxy, now, EntryKind::Start(Box::new(start)));
        self.inner.start(day, proxy, now, seed)
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.inner.stop(proxy)
    }

    fn tick(
        &mut self,
        now: Time,
        told: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        for (proxy, inputs) in told {
            for input in inputs {
                self.keep(proxy, now, EntryKind::Event(input.clone()));
                let from = out.len();
                self.inner.tick(now, vec![(proxy, vec![input])], out)?;
                let commands: Vec<CallEffect> = out[from..].iter().map(|(_, c)| c.clone()).collect();
                if !commands.is_empty() {
                    self.keep(proxy, now, EntryKind::Effects(commands));
                }
            }
        }
        Ok(())
    }

    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        self.inner.levels(proxy)
    }
}
