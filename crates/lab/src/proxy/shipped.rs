//! The shipped call table with the shipped decision module, the same code as in the signalling proxy.

use mallowring::calls::tenants::{Tenant, Tenants};
use mallowring::calls::{CallEffect, Table};
use mallowring::interface::Time;
use mallowring::Tuning;

use super::{EventsByProxy, OverloadLevels, ProxyFleet};
use crate::day::Day;
use crate::LabError;

/// A fleet of shipped proxies with one tuning.
#[derive(Debug)]
pub struct Shipped {
    tuning: Tuning,
    tables: Vec<Option<Table>>,
    effects: Vec<CallEffect>,
}

impl Shipped {
    /// A fleet without running proxies.
    pub fn new(tuning: Tuning) -> Self {
        Shipped { tuning, tables: Vec::new(), effects: Vec::new() }
    }
}

impl ProxyFleet for Shipped {
    fn start(&mut self, day: &Day, proxy: usize, now: Time, seed: u64) -> Result<(), LabError> {
        if self.tables.len() <= proxy {
            self.tables.resize_with(proxy + 1, || None);
        }
        let tenant =
            |t: &crate::day::TenantDay| Tenant { name: t.name.clone(), suspended: false, max_calls: None };
        let tenants = Tenants::new(day.tenants.iter().map(tenant));
        let table = Table::with_tuning(day.settings(proxy), self.tuning.clone(), tenants, seed, now);
        self.tables[proxy] = Some(table);
        Ok(())
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        if let Some(table) = self.tables.get_mut(proxy) {
            *table = None;
        }
        Ok(())
    }

    fn tick(
        &mut self,
        now: Time,
        events: EventsByProxy,
        out: &mut Vec<(usize, CallEffect)>,
    ) -> Result<(), LabError> {
        for (proxy, inbox) in events {
            let Some(Some(table)) = self.tables.get_mut(proxy) else { continue };
            for event in inbox {
                table.handle(now, event, &mut self.effects);
            }
            out.extend(self.effects.drain(..).map(|effect| (proxy, effect)));
        }
        Ok(())
    }

    fn levels(&self, proxy: usize) -> Option<OverloadLevels> {
        let (own, far) = self.tables.get(proxy)?.as_ref()?.levels();
        Some(OverloadLevels {
            own,
            far: far.into_iter().map(|(number, level)| (number.0 as usize, level)).collect(),
        })
    }
}
