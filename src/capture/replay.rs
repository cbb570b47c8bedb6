//! Decides again what a capture holds.

use super::{Entry, What};
use crate::calls::tenants::Tenants;
use crate::calls::{CallEffect, Table};

/// The first place at which the decisions differ.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The entry that was answered differently.
    pub told: Entry,
    /// What was commanded then.
    pub then: Vec<CallEffect>,
    /// What is commanded now.
    pub now: Vec<CallEffect>,
}

/// What came of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Replayed {
    /// Inputs that were decided again.
    pub inputs: u64,
    /// Commands that came out the same.
    pub commands: u64,
    /// Entries before the first start: nothing can be said of them.
    pub skipped: u64,
    /// Entries that were dropped when the capture was made. What follows is only decided again from the next start on.
    pub gaps: u64,
    /// Where the decisions differ first, if they do.
    pub difference: Option<Box<Difference>>,
}

/// Hands a capture's inputs to a fresh call table and holds its commands against those that were given then.
pub fn replay(entries: &[Entry]) -> Replayed {
    let mut done = Replayed::default();
    let mut table: Option<Table> = None;
    let mut out = Vec::new();
    for (ix, entry) in entries.iter().enumerate() {
        match (&entry.what, table.as_mut()) {
            (What::Start(start), _) => {
                let tenants = Tenants::new(start.tenants.iter().cloned());
                let (settings, tuning) = (start.settings.clone(), start.tuning.clone());
                table = Some(Table::tuned(settings, tuning, tenants, start.seed, entry.at));
            }
            // Whatever was dropped may have changed the table.
            (What::Gap(dropped), _) => {
                done.gaps += dropped;
                table = None;
            }
            (What::Commanded(_), Some(_)) => {}
            (_, None) => done.skipped += 1,
            (What::Tenants(changes), Some(table)) => {
                // A change that was refused then is refused again: it left no trace in either.
                let _ = table.tenants_mut().change(changes);
            }
            (What::Told(input), Some(table)) => {
                out.clear();
                table.handle(entry.at, input.clone(), &mut out);
                done.inputs += 1;
                // Where nothing was commanded nothing was written.
                let then: &[CallEffect] = match entries.get(ix + 1).map(|e| &e.what) {
                    Some(What::Commanded(commands)) => commands,
                    _ => &[],
                };
                if then != out {
                    let (then, now) = (then.to_vec(), std::mem::take(&mut out));
                    done.difference = Some(Box::new(Difference { told: entry.clone(), then, now }));
                    return done;
                }
                done.commands += out.len() as u64;
            }
        }
    }
    done
}
