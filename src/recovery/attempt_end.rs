//! Decides whether a call may be attempted again after one of its attempts has ended. No I/O.
//!
//! Two attempts of one call must never be pending at exchanges at the same time, and a pause has to follow an attempt
//! that was cancelled or reset. Only the exchange knows when an attempt is over: a CANCEL, or the end of a connection,
//! takes effect when the exchange reads it, which may be long after this proxy sent or noticed it. A set-up that is
//! still unread may even be read afterwards. So a further attempt needs evidence of the end; without it the call gets
//! its final answer at once.

use std::collections::{BTreeSet, VecDeque};

use crate::interface::{CallId, Outcome, Secs, Time};

/// Number of calls that are remembered because an attempt of theirs may still be pending.
const MAX_REMEMBERED_CALLS: usize = 1024;

/// What proves that an attempt is over at its exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// The exchange sent a final answer, or the set-up was never sent to it.
    FinalAnswer,
    /// The process of the exchange has ended, and its set-ups with it.
    ProcessEnded,
    /// Nothing: the proxy cancelled the set-up, or the connection ended under it.
    Unconfirmed,
}

impl EndEvidence {
    /// Whether the call may be attempted again.
    pub fn permits_retry(self) -> bool {
        self != EndEvidence::Unconfirmed
    }

    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            EndEvidence::FinalAnswer => "final answer",
            EndEvidence::ProcessEnded => "process ended",
            EndEvidence::Unconfirmed => "none",
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
