//! What a proxy was told and what it decided, kept so that it can be decided again. Nothing here does I/O: frames
//! are bytes that somebody else writes and reads.
//!
//! Every input has a number of its own, so that those of one moment come again in their true order.

pub mod frame;
pub mod replay;

use serde::{Deserialize, Serialize};

use crate::calls::tenants::{Change, Tenant};
use crate::calls::{CallEffect, CallEvent};
use crate::interface::{Settings, Time, Tuning};

/// One entry of a capture.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Its number, counting up by one from 0 for each call table.
    pub seq: u64,
    /// The proxy's clock, seconds.
    pub at: Time,
    /// What happened.
    pub kind: EntryKind,
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum EntryKind {
    /// A call table began, knowing nothing but this.
    Start(Box<TableStart>),
    /// It was told something.
    Input(CallEvent),
    /// The administration changed its tenants.
    TenantChanges(Vec<Change>),
    /// What it commanded upon the entry before.
    Commands(Vec<CallEffect>),
    /// So many entries were dropped here, as whoever writes could not keep up.
    Gap(u64),
}

/// What a call table begins with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableStart {
    /// The settings.
    pub settings: Settings,
    /// The module's tuned values.
    pub tuning: Tuning,
    /// The tenants.
    pub tenants: Vec<Tenant>,
    /// The seed.
    pub seed: u64,
}
