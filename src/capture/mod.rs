//! Captures: records of the events of a proxy's call table and of their effects, for replay. Nothing here does I/O;
//! the caller reads and writes the bytes.
//!
//! Entries carry sequence numbers, so that events with the same time replay in their original order.

pub mod frame;
pub mod replay;

use serde::{Deserialize, Serialize};

use crate::calls::tenants::{Change, Tenant};
use crate::calls::{CallEffect, CallEvent};
use crate::interface::{Settings, Time, Tuning};

/// One entry of a capture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The sequence number, counting up by one from 0 for each call table.
    pub seq: u64,
    /// The time on the proxy's clock, in seconds.
    pub at: Time,
    /// What the entry records.
    pub kind: EntryKind,
}

/// The kinds of entries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A call table was created from these values and no other state.
    Start(Box<TableStart>),
    /// The call table handled an event.
    Event(CallEvent),
    /// An administration interface changed the tenants.
    TenantChanges(Vec<Change>),
    /// The effects of the preceding event. Omitted if there were none.
    Effects(Vec<CallEffect>),
    /// This many entries are missing here because the writer of the capture could not keep up.
    Gap(u64),
}

/// The initial values of a call table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableStart {
    /// The settings.
    pub settings: Settings,
    /// The tuned values of the controller.
    pub tuning: Tuning,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The seed of the controller's random numbers.
    pub seed: u64,
}
