//! Decides again what a capture holds.

use super::{Entry, EntryKind};
use crate::calls::tenants::Tenants;
use crate::calls::{CallEffect, Table};

/// The first place at which the decisions differ.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The entry that was answered differently.
    pub entry: Entry,
    /// What was commanded then.
    pub recorded: Vec<CallEffect>,
    /// What is commanded now.
    pub replayed: Vec<CallEffect>,
}

/// What came of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayReport {
    /// Inputs that were decided again.
    pub events: u64,
    /// Commands that came out the same.
    pub effects: u64,
    /// Entries before the first start: nothing can be said of them.
    pub skipped_entries: u64,
    /// Entries that were dropped when the capture was made. What follows is only decided again from the next start on.
    pub dropped_entries: u64,
    /// Where the decisions differ first, if they do.
    pub difference: Option<Box<Difference>>,
}

/// Hands a capture's inputs to a fresh call table and holds its commands against those that were given then.
pub fn replay(entries: &[Entry]) -> ReplayReport {
    let mut done = ReplayReport::default();
    let mut table: Option<Table> = None;
    let mut out = Vec::new();
    for (ix, entry) in entries.iter().enumerate() {
        match (&entry.kind, table.as_mut()) {
            (EntryKind::Start(start), _) => {
                let tenants = Tenants::new(start.tenants.iter().cloned());
                let (settings, tuning) = (start.settings.clone(), start.tuning.clone());
                table = Some(Table::tuned(settings, tuning, tenants, start.seed, entry.at));
            }
            // Whatever was dropped may have changed the table.
            (EntryKind::Gap(dropped), _) => {
                done.dropped_entries += dropped;
                table = None;
            }
            (EntryKind::Effects(_), Some(_)) => {}
            (_, None) => done.skipped_entries += 1,
            (EntryKind::TenantChanges(changes), Some(table)) => {
                // A change that was refused then is refused again: it left no trace in either.
                let _ = table.tenants_mut().change(changes);
            }
            (EntryKind::Event(event), Some(table)) => {
                out.clear();
                table.handle(entry.at, event.clone(), &mut out);
                done.events += 1;
                // Where nothing was commanded nothing was written.
                let recorded: &[CallEffect] = match entries.get(ix + 1).map(|e| &e.kind) {
                    Some(EntryKind::Effects(effects)) => effects,
                    _ => &[],
                };
                if recorded != out {
                    let (recorded, replayed) = (recorded.to_vec(), std::mem::take(&mut out));
                    done.difference = Some(Box::new(Difference { entry: entry.clone(), recorded, replayed }));
                    return done;
                }
                done.effects += out.len() as u64;
            }
        }
    }
    done
}
