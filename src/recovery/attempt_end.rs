//! The ways in which an attempt can end, and what each of them proves. No I/O.
//!
//! Two attempts of one call must never be pending at exchanges at the same time, and only an exchange knows when an
//! attempt is over. A CANCEL, or the end of a connection, takes effect when the exchange reads it, which may be long
//! after this proxy sent or noticed it. What a third party says (discovery, a system in front of the exchange, the
//! network) may be late or wrong. So a further attempt needs a statement of the exchange about this very attempt, or
//! the certainty that no byte of its set-up was written; without it the call gets its final answer at once.
//!
//! `docs/attempt-ends.md` lists the ends with their sources and tests.

use std::collections::{BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::interface::{CallId, Outcome, Secs, Time};

/// Number of calls that are remembered because an attempt of theirs may still be pending.
const MAX_REMEMBERED_CALLS: usize = 1024;

/// How an attempt ended for this proxy without establishing its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptEnd {
    /// The exchange refused the set-up, which never ran (503).
    Refused,
    /// The exchange did not send the set-up on: it never left (480).
    NeverLeft,
    /// The exchange answered with an error after it had worked on the set-up (486, 500).
    Error,
    /// The exchange, or a system in front of it, answered that the set-up broke on its way (504).
    BrokenOnItsWay,
    /// The set-up was answered with a status that the protocol does not define.
    UnknownAnswer,
    /// No byte of the set-up was written: it waited for a connection that did not come up, or for nothing.
    NeverSent,
    /// The set-up was held back here, as its answer could not be told from one to an earlier attempt.
    HeldBack,
    /// The connection ended while the set-up was pending on it.
    ConnectionEnded,
    /// Discovery has removed the exchange, which may still work.
    ExchangeRemoved,
    /// No answer arrived in time.
    TimedOut,
    /// This proxy cancelled the attempt.
    Cancelled,
}

/// What the end of an attempt proves about its set-up at the exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The set-up never ran.
    NeverRan,
    /// The exchange has worked on the set-up and is done with it.
    Over,
    /// Nothing: the set-up may be pending, or be read later.
    Nothing,
}

impl Proof {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Proof::NeverRan => "never ran",
            Proof::Over => "over",
            Proof::Nothing => "none",
        }
    }
}

impl AttemptEnd {
    /// All ends.
    pub const ALL: [AttemptEnd; 11] = [
        AttemptEnd::Refused,
        AttemptEnd::NeverLeft,
        AttemptEnd::Error,
        AttemptEnd::BrokenOnItsWay,
        AttemptEnd::UnknownAnswer,
        AttemptEnd::NeverSent,
        AttemptEnd::HeldBack,
        AttemptEnd::ConnectionEnded,
        AttemptEnd::ExchangeRemoved,
        AttemptEnd::TimedOut,
        AttemptEnd::Cancelled,
    ];

    /// What a final answer of the platform's protocol states, by its status (300 to 699).
    pub fn from_status(status: u16) -> AttemptEnd {
        match status {
            503 => AttemptEnd::Refused,
            480 => AttemptEnd::NeverLeft,
            486 | 500 => AttemptEnd::Error,
            504 => AttemptEnd::BrokenOnItsWay,
            _ => AttemptEnd::UnknownAnswer,
        }
    }

    /// What a final response to an INVITE states, by its status (RFC 3261, 21.3 to 21.6): the server is done with the
    /// transaction, unless it is a gateway that reports a time-out of others, or the response to a CANCEL.
    pub fn from_sip_status(status: u16) -> AttemptEnd {
        match status {
            503 => AttemptEnd::Refused,
            480 => AttemptEnd::NeverLeft,
            408 => AttemptEnd::TimedOut,
            487 => AttemptEnd::Cancelled,
            504 => AttemptEnd::BrokenOnItsWay,
            _ => AttemptEnd::Error,
        }
    }

    /// What the end proves.
    pub fn proof(self) -> Proof {
        match self {
            AttemptEnd::Refused | AttemptEnd::NeverLeft | AttemptEnd::NeverSent | AttemptEnd::HeldBack => {
                Proof::NeverRan
            }
            AttemptEnd::Error => Proof::Over,
            AttemptEnd::BrokenOnItsWay
            | AttemptEnd::UnknownAnswer
            | AttemptEnd::ConnectionEnded
            | AttemptEnd::ExchangeRemoved
            | AttemptEnd::TimedOut
            | AttemptEnd::Cancelled => Proof::Nothing,
        }
    }

    /// Whether the call may be attempted again.
    pub fn permits_retry(self) -> bool {
        self.proof() != Proof::Nothing
    }

    /// The outcome that the decision module learns.
    pub fn outcome(self) -> Outcome {
        match self {
            AttemptEnd::Refused => Outcome::Refused,
            AttemptEnd::NeverLeft | AttemptEnd::HeldBack => Outcome::NotSent,
            AttemptEnd::Error | AttemptEnd::UnknownAnswer => Outcome::Error,
            AttemptEnd::NeverSent => Outcome::ConnectFailed,
            AttemptEnd::BrokenOnItsWay | AttemptEnd::ConnectionEnded | AttemptEnd::ExchangeRemoved => {
                Outcome::Reset
            }
            AttemptEnd::TimedOut => Outcome::TimedOut,
            AttemptEnd::Cancelled => Outcome::Cancelled,
        }
    }

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptEnd::Refused => "refused",
            AttemptEnd::NeverLeft => "never left",
            AttemptEnd::Error => "error",
            AttemptEnd::BrokenOnItsWay => "broken on its way",
            AttemptEnd::UnknownAnswer => "unknown answer",
            AttemptEnd::NeverSent => "never sent",
            AttemptEnd::HeldBack => "held back",
            AttemptEnd::ConnectionEnded => "connection ended",
            AttemptEnd::ExchangeRemoved => "exchange removed",
            AttemptEnd::TimedOut => "timed out",
            AttemptEnd::Cancelled => "cancelled",
        }
    }
}

/// The earliest time of the next attempt of a call, after an attempt that ended with `outcome` at `now`.
pub fn earliest_retry(now: Time, outcome: Outcome, release_pause: Secs) -> Time {
    match outcome {
        Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => now + release_pause,
        _ => now,
    }
}

/// The latest calls that ended here while an attempt of theirs may still be pending. A caller may send a set-up again
/// under its id when its connection was closed; such a call must not be attempted again.
#[derive(Debug, Default)]
pub struct AbandonedCalls {
    in_order: VecDeque<CallId>,
    ids: BTreeSet<CallId>,
}

impl AbandonedCalls {
    /// Remembers a call; forgets the oldest one beyond the limit.
    pub fn insert(&mut self, id: CallId) {
        if !self.ids.insert(id.clone()) {
            return;
        }
        self.in_order.push_back(id);
        if self.in_order.len() > MAX_REMEMBERED_CALLS {
            if let Some(oldest) = self.in_order.pop_front() {
                self.ids.remove(&oldest);
            }
        }
    }

    /// Whether an attempt of this call may still be pending.
    pub fn contains(&self, id: &CallId) -> bool {
        self.ids.contains(id)
    }
}
