//! Traffic files, used in place of drawn traffic: CSV with a header and one record per caller.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::{caller, mark_over_share, Caller};
use crate::day::SECOND;
use crate::day::{us, Day};
use crate::random::{stream, Purpose};
use crate::LabError;

/// A record of a traffic file.
#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Record {
    /// Time of the first dialling, seconds from the start of the day.
    at_s: f64,
    /// Exchange of the caller, from 0.
    origin: usize,
    /// Exchange called, from 0.
    dest: usize,
    /// Name of the class.
    class: String,
    /// Name of the tenant.
    tenant: String,
    /// Holding time, seconds; drawn from the scenario if empty.
    hold_s: Option<f64>,
    /// Number called.
    number: u32,
}

/// Writes callers as a traffic file.
pub fn write(path: &Path, day: &Day, callers: &[Caller]) -> Result<(), LabError> {
    let file_error = |e: csv::Error| LabError::File { path: path.to_owned(), source: e.into() };
    let mut out = csv::Writer::from_path(path).map_err(file_error)?;
    for c in callers {
        let row = Record {
            at_s: c.at as f64 / SECOND as f64,
            origin: c.origin,
            dest: c.dest,
            class: day.classes[c.class].name.clone(),
            tenant: day.tenants[c.tenant].name.clone(),
            hold_s: Some(c.hold as f64 / SECOND as f64),
            number: c.number,
        };
        out.serialize(row).map_err(file_error)?;
    }
    out.flush().map_err(LabError::file(path))
}

/// Reads a traffic file for a day. The callers' behaviour, which no proxy sees, is drawn from the scenario.
pub fn read(path: &Path, day: &Day) -> Result<Vec<Caller>, LabError> {
    let file_error = |e: csv::Error| LabError::File { path: path.to_owned(), source: e.into() };
    let mut reader = csv::Reader::from_path(path).map_err(file_error)?;
    let mut callers = Vec::new();
    for (ix, row) in reader.deserialize::<Record>().enumerate() {
        let record = ix as u64 + 1;
        let invalid = |what: String| LabError::Traffic { path: path.to_owned(), record, what };
        let row = row.map_err(|e| invalid(e.to_string()))?;
        let class = day.classes.iter().position(|c| c.name == row.class);
        let class = class.ok_or_else(|| invalid(format!("class '{}' is not in the scenario", row.class)))?;
        let tenant = day.tenants.iter().position(|t| t.name == row.tenant);
        let tenant =
            tenant.ok_or_else(|| invalid(format!("tenant '{}' is not in the scenario", row.tenant)))?;
        if row.origin >= day.exchange_count || row.dest >= day.exchange_count || row.origin == row.dest {
            return Err(invalid(format!("no call goes from exchange {} to {}", row.origin, row.dest)));
        }
        if !(row.at_s.is_finite() && row.at_s >= 0.0) || row.hold_s.is_some_and(|h| !(h > 0.0 && h < 1e6)) {
            return Err(invalid("want a time of 0 or above, and a holding time above 0".to_owned()));
        }
        let rng = &mut stream(day.seed, Purpose::Caller, ix as u64);
        let mut c = caller(day, rng, us(row.at_s), row.origin, row.dest);
        (c.class, c.tenant, c.number, c.width) = (class, tenant, row.number, day.classes[class].width);
        c.hold = row.hold_s.map_or(c.hold, us).max(1);
        callers.push(c);
    }
    callers.sort_by_key(|c| c.at);
    mark_over_share(day, &mut callers);
    Ok(callers)
}
