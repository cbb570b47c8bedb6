//! The core: calls as requests, attempts and outcomes. It knows no wire, no socket and no clock.
//!
//! A [`Table`] takes [`CallEvent`]s from the fronts, the exchanges' adapters, the list and the clock, lets the
//! decision module decide and turns its actions into [`CallEffect`]s. The rules are guarded here once for all
//! fronts: one final answer, one attempt at a time, the pause after a time-out, reset or cancel, drains.

mod table;
pub mod tenants;
pub mod wheel;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
pub use table::{Table, MARGIN};

use crate::interface::*;

/// Which front a call came in by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// SIP with transactions and dialogs.
    Sip,
}

/// A call that a caller asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// Its id, never used twice.
    pub id: CallId,
    /// Where the answer goes.
    pub front: Front,
    /// The class by name.
    pub class: String,
    /// The tenant by name, where the caller gave one.
    pub tenant: Option<String>,
    /// How long the caller waits.
    pub ttl: Secs,
    /// It comes from another proxy and goes on to its destination or back.
    pub transit: bool,
    /// The advised tandem; in transit, the exchange of origin.
    pub hop: Option<ExchangeNumber>,
    /// It was cut and comes again.
    pub re_established: bool,
    /// It is marked as the caller's retry.
    pub redial: bool,
    /// The circuits it takes.
    pub width: u32,
    /// The destination.
    pub dest: ExchangeNumber,
    /// The number called.
    pub number: String,
    /// What the caller describes; passed on as it is.
    pub description: Arc<[u8]>,
}

/// What the core is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallEvent {
    /// A caller asks for a call.
    Request(Request),
    /// The caller has stopped waiting.
    CallerGaveUp(CallId),
    /// The caller ends a call that stands.
    CallerReleased(CallId),
    /// An exchange has answered a set-up.
    Answered {
        /// The call.
        id: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// The attempt, where the wire tells it.
        leg: Option<u32>,
        /// What the exchange describes; passed on as it is.
        description: Arc<[u8]>,
    },
    /// A set-up has ended without an answer.
    SetUpFailed {
        /// The call.
        id: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// The attempt, where the wire tells it.
        leg: Option<u32>,
        /// How it ended.
        outcome: Outcome,
        /// Why.
        cause: Cause,
        /// The report that came along.
        report: LoadReport,
    },
    /// An exchange has ended a call that stands.
    ExchangeReleased {
        /// The call.
        id: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// It came to its end; else it was cut.
        completed: bool,
        /// The report that came along.
        report: LoadReport,
    },
    /// The state of a trunk group.
    Status {
        /// The exchange at its other end.
        exchange: ExchangeId,
        /// What it says.
        report: LoadReport,
    },
    /// The process of an exchange has died: whatever stood there is cut.
    ExchangeDown(ExchangeId),
    /// News of the exchanges.
    Roster {
        /// The whole list, or changes.
        full: bool,
        /// Its lines.
        entries: Vec<RosterEntry>,
    },
    /// A timer asked for by [`CallEffect::StartTimer`].
    TimerExpired(CallTimer),
    /// The state of a trunk group is not told any longer.
    StatusLost(ExchangeId),
}

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallTimer {
    /// An attempt has run its time.
    AttemptTimeout(CallId, u32),
    /// The last moment for a final answer.
    Deadline(CallId),
    /// The module asked for it.
    Controller(TimerToken),
}

/// Why a request is turned down without the module being asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// No class of that name.
    UnknownClass,
    /// No tenant of that name, or a suspended one.
    UnknownTenant,
    /// No exchange of that number was ever listed.
    UnknownDestination,
    /// A figure is out of its range: the time to wait, the width or the advised exchange.
    OutOfRange,
}

/// What a caller is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallerCommand {
    /// The call stands.
    Answer(Arc<[u8]>),
    /// Turned away; trying again is harmless, after the time given.
    Refuse(Option<Secs>),
    /// Failed for good.
    Fail,
    /// Turned down as it makes no sense here.
    Reject(RejectReason),
    /// A call that stood is over: at its end, or cut.
    Release {
        /// It came to its end.
        completed: bool,
    },
}

/// What an exchange is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ExchangeCommand {
    /// Set a call up.
    SetUp(SetUp),
    /// Stop the set-up.
    CancelSetUp {
        /// The attempt.
        leg: u32,
    },
    /// End the call.
    Release {
        /// The attempt, where it is known.
        leg: Option<u32>,
    },
}

/// One attempt.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SetUp {
    /// Its number, from 0.
    pub leg: u32,
    /// The class by name.
    pub class: String,
    /// The number called.
    pub number: String,
    /// The circuits it takes.
    pub width: u32,
    /// It goes straight to its destination, and so stands in the line of that exchange alone.
    pub direct: bool,
    /// What the caller describes.
    pub description: Arc<[u8]>,
    /// When it is given up.
    pub abandon_at: Time,
}

/// What the core wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallEffect {
    /// Tell a caller.
    Caller(Front, CallId, CallerCommand),
    /// Tell an exchange.
    Exchange(ExchangeId, CallId, ExchangeCommand),
    /// Wake the core.
    StartTimer(Time, CallTimer),
    /// A line for the log.
    Log(String),
}
