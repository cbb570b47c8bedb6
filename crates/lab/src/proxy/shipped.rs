//! The shipped call table with the shipped module: the very code that serves.

use mallowring::calls::tenants::{Tenant, Tenants};
use mallowring::calls::{CallEffect, Table};
use mallowring::interface::Time;
use mallowring::Tuning;

use super::{Levels, Seats, Told};
use crate::day::Day;
use crate::LabError;

/// A fleet of shipped proxies with one set of tuned values.
#[derive(Debug)]
pub struct Shipped {
    tuning: Tuning,
    tables: Vec<Option<Table>>,
    commands: Vec<CallEffect>,
}

impl Shipped {
    /// Empty seats.
    pub fn new(tuning: Tuning) -> Self {
        Shipped { tuning, tables: Vec::new(), commands: Vec::new() }
    }
}

impl Seats for Shipped {
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
        if let Some(seat) = self.tables.get_mut(proxy) {
            *seat = None;
        }
        Ok(())
    }

    fn tick(&mut self, now: Time, told: Told, out: &mut Vec<(usize, CallEffect)>) -> Result<(), LabError> {
        for (proxy, inputs) in told {
            let Some(Some(table)) = self.tables.get_mut(proxy) else { continue };
            for input in inputs {
                table.handle(now, input, &mut self.commands);
            }
            out.extend(self.commands.drain(..).map(|command| (proxy, command)));
        }
        Ok(())
    }

    fn levels(&self, proxy: usize) -> Option<Levels> {
        let (own, far) = self.tables.get(proxy)?.as_ref()?.levels();
        Some(Levels { own, far: far.into_iter().map(|(number, level)| (number.0 as usize, level)).collect() })
    }
}
