//! Call handling, independent of protocols, sockets and clocks: requests, attempts and their outcomes.
//!
//! A [`Table`] handles [`CallEvent`]s from the fronts, the connections to exchanges, discovery and the timers. It
//! passes them to the decision module and turns the resulting actions into [`CallEffect`]s. It enforces the protocol
//! rules for all fronts: one final answer per request, one attempt at a time, a pause after a time-out, reset or
//! cancel, and no new set-ups to a draining exchange.

mod table;
pub mod tenants;
pub mod wheel;

use std::sync::Arc;

use serde::{Deserialize, Serialize};
pub use table::{Table, MARGIN, RECORD_BYTES};

use crate::interface::*;
use crate::recovery::attempt_end::AttemptEnd;

/// The protocol front end on which a call arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Front {
    /// The platform's protocol.
    Platform,
    /// SIP, with transactions and dialogs.
    Sip,
}

/// A caller's request for a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The id of the call, which is never reused.
    pub id: CallId,
    /// The front that sends the answer to the caller.
    pub front: Front,
    /// The name of the class.
    pub class: String,
    /// The name of the tenant, if the caller gave one.
    pub tenant: Option<String>,
    /// How long the caller waits for a final answer.
    pub ttl: Secs,
    /// Whether it is a transit call: another proxy sent it, and this one forwards it to its destination or turns it
    /// back.
    pub transit: bool,
    /// The tandem that the centre advises; for a transit call, the exchange of origin.
    pub hop: Option<ExchangeNumber>,
    /// Whether the call was cut and is now set up again.
    pub re_established: bool,
    /// Whether the caller marked it as a redial.
    pub redial: bool,
    /// Number of circuits that it takes.
    pub width: u32,
    /// The number of the destination exchange.
    pub dest: ExchangeNumber,
    /// The dialled number.
    pub number: String,
    /// The session description of the caller, passed on unchanged.
    pub description: Arc<[u8]>,
    /// Memory in bytes that the front holds for the call, beyond what each call takes.
    #[serde(skip)]
    pub front_bytes: usize,
}

impl Request {
    /// Approximate number of bytes that the record of the call will occupy.
    pub fn record_bytes(&self) -> usize {
        RECORD_BYTES + self.description.len() + self.front_bytes
    }
}

/// An event that the call table handles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallEvent {
    /// A caller requests a call.
    Request(Request),
    /// The caller has stopped waiting for an answer.
    CallerGaveUp(CallId),
    /// The caller has released an established call.
    CallerReleased(CallId),
    /// An exchange has answered a set-up.
    Answered {
        /// The call.
        id: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// The attempt, if the protocol identifies it.
        leg: Option<u32>,
        /// The session description of the exchange, passed on unchanged.
        description: Arc<[u8]>,
    },
    /// A set-up has ended without being established.
    SetUpFailed {
        /// The call.
        id: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// The attempt, if the protocol identifies it.
        leg: Option<u32>,
        /// How it ended.
        end: AttemptEnd,
        /// The cause that was given.
        cause: Cause,
        /// The load report that came with the message.
        report: LoadReport,
    },
    /// An exchange has released an established call.
    ExchangeReleased {
        /// The call.
        id: CallId,
        /// The exchange.
        exchange: ExchangeId,
        /// Whether the call was completed; otherwise it was cut.
        completed: bool,
        /// The load report that came with the message.
        report: LoadReport,
    },
    /// The state of a trunk group has arrived.
    Status {
        /// The exchange at the other end of the trunk group.
        exchange: ExchangeId,
        /// The state.
        report: LoadReport,
    },
    /// The process of an exchange has died: its established calls are cut. The ends of set-ups are reported for each.
    ExchangeDown(ExchangeId),
    /// The roster, or changes of it, have arrived.
    Roster {
        /// Whether the entries are the full roster; otherwise they are changes.
        full: bool,
        /// The entries.
        entries: Vec<RosterEntry>,
    },
    /// A timer that [`CallEffect::StartTimer`] started has expired.
    TimerExpired(CallTimer),
    /// The state of the trunk group to an exchange is no longer received.
    StatusLost(ExchangeId),
}

/// What a timer is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallTimer {
    /// The time limit of an attempt, which its number identifies.
    AttemptTimeout(CallId, u32),
    /// The latest time for the final answer.
    Deadline(CallId),
    /// A timer of the decision module.
    Controller(TimerToken),
}

/// Why a request is rejected without a decision of the decision module.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// There is no class of that name.
    UnknownClass,
    /// There is no tenant of that name, or it is suspended.
    UnknownTenant,
    /// No exchange of that number has ever been on the roster.
    UnknownDestination,
    /// A value is out of range: the time that the caller waits, the width, or the tandem or exchange of origin.
    OutOfRange,
}

/// A message to a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallerCommand {
    /// The call is established. Contains the session description of the exchange.
    Answer(Arc<[u8]>),
    /// The request is refused. The caller may try again, after the cool-down if one is given.
    Refuse(Option<Secs>),
    /// The request has failed for good.
    Fail,
    /// The request is invalid.
    Reject(RejectReason),
    /// An established call has ended.
    Release {
        /// Whether the call was completed; otherwise it was cut.
        completed: bool,
    },
}

/// A message to an exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ExchangeCommand {
    /// Sets a call up.
    SetUp(SetUp),
    /// Cancels a set-up.
    CancelSetUp {
        /// The attempt.
        leg: u32,
    },
    /// Releases a call.
    Release {
        /// The attempt, if it is known.
        leg: Option<u32>,
    },
}

/// An attempt to set a call up.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SetUp {
    /// The number of the attempt, from 0.
    pub leg: u32,
    /// The name of the class.
    pub class: String,
    /// The dialled number.
    pub number: String,
    /// Number of circuits that it takes.
    pub width: u32,
    /// Whether the set-up goes directly to its destination, and so waits in the queue of that exchange only.
    pub direct: bool,
    /// The session description of the caller.
    pub description: Arc<[u8]>,
    /// The time at which the attempt is given up.
    pub abandon_at: Time,
}

/// An effect that the owner of the call table carries out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallEffect {
    /// Sends a message to a caller.
    Caller(Front, CallId, CallerCommand),
    /// Sends a message to an exchange.
    Exchange(ExchangeId, CallId, ExchangeCommand),
    /// Starts a timer that expires at the given time.
    StartTimer(Time, CallTimer),
    /// Writes a line to the log.
    Log(String),
}
