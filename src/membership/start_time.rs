//! Start times of exchanges as discovery gives them. No I/O.

use crate::interface::Time;

/// The start time of the process that runs at an exchange, from the one known so far and the one that discovery gives
/// now. Discovery may repeat an earlier entry or leave the time out; a process never starts earlier than it did.
pub fn latest_start(known: Option<Time>, told: Option<Time>) -> Option<Time> {
    match (known, told) {
        (Some(known), Some(told)) => Some(Time(known.0.max(told.0))),
        (known, told) => told.or(known),
    }
}
