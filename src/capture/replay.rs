//! Replays a capture: passes its events to a new call table and compares the effects with the recorded ones.

use super::{Entry, EntryKind};
use crate::calls::tenants::Tenants;
use crate::calls::{CallEffect, Table};

/// The first event whose effects differ from the recorded ones.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The event.
    pub entry: Entry,
    /// The effects in the capture.
    pub recorded: Vec<CallEffect>,
    /// The effects of the replay.
    pub replayed: Vec<CallEffect>,
}

/// The result of a replay.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplayReport {
    /// The number of events replayed.
    pub events: u64,
    /// The number of effects that were the same.
    pub effects: u64,
    /// The number of entries that were not replayed because no start precedes them, or none since the last gap.
    pub skipped_entries: u64,
    /// The number of entries missing from the capture. After a gap, the replay resumes at the next start.
    pub dropped_entries: u64,
    /// The first difference. The replay ends there.
    pub difference: Option<Box<Difference>>,
}

/// Replays a capture up to the first difference.
pub fn replay(entries: &[Entry]) -> ReplayReport {
    let mut report = ReplayReport::default();
    let mut table: Option<Table> = None;
    let mut output = Vec::new();
    for (ix, entry) in entries.iter().enumerate() {
        match (&entry.kind, table.as_mut()) {
            (EntryKind::Start(start), _) => {
                let tenants = Tenants::new(start.tenants.iter().cloned());
                let (settings, tuning) = (start.settings.clone(), start.tuning.clone());
                table = Some(Table::with_tuning(settings, tuning, tenants, start.seed, entry.at));
            }
            // The missing entries may have changed the state of the table.
            (EntryKind::Gap(dropped), _) => {
                report.dropped_entries += dropped;
                table = None;
            }
            (EntryKind::Effects(_), Some(_)) => {}
            (_, None) => report.skipped_entries += 1,
            (EntryKind::TenantChanges(changes), Some(table)) => {
                // A change that failed in the original run fails again, and has no effect in either.
                let _ = table.tenants_mut().apply(changes);
            }
            (EntryKind::Event(event), Some(table)) => {
                output.clear();
                table.handle(entry.at, event.clone(), &mut output);
                report.events += 1;
                // No entry of effects follows an event without effects.
                let recorded: &[CallEffect] = match entries.get(ix + 1).map(|e| &e.kind) {
                    Some(EntryKind::Effects(effects)) => effects,
                    _ => &[],
                };
                if recorded != output {
                    let (recorded, replayed) = (recorded.to_vec(), std::mem::take(&mut output));
                    report.difference =
                        Some(Box::new(Difference { entry: entry.clone(), recorded, replayed }));
                    return report;
                }
                report.effects += output.len() as u64;
            }
        }
    }
    report
}
