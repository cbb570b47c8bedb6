//! Phases of a shutdown: which requests the proxy still serves after SIGTERM, which connections it keeps, and when it
//! may exit. No I/O, and time is a parameter.
//!
//! The platform's protocol gives the times. SIGKILL follows SIGTERM no earlier than after 0.7 s plus the longest
//! deadline of the deployment, which counts as 3 s at most; it may come later or never. Until then callers continue to
//! send on open connections. New set-ups are refused at once, and those that are still open shortly before the earliest
//! SIGKILL get their final answer then, so that no set-up is left unanswered. A connection on which calls were set up
//! stays open until they are over, and the proxy accepts connections until every release is delivered: as long as the
//! process runs, it owes the callers the releases of their calls.

use crate::interface::{Secs, Time};

/// Seconds after SIGTERM during which new set-ups are still served.
const SERVING_PERIOD: Secs = 0.7;
/// Upper bound, in seconds, of the deadline that the platform waits for before SIGKILL.
const LONGEST_DEADLINE: Secs = 3.0;
/// Open set-ups are refused this many seconds before the earliest SIGKILL, so that their callers get a final answer.
const REFUSE_BEFORE_KILL: Secs = 0.15;
/// Minimum time in seconds from SIGTERM to the exit: callers that are about to connect still reach the proxy.
const MIN_SHUTDOWN: Secs = 1.0;
/// Minimum time in seconds from the close of the last connection to the exit: a caller whose set-up crossed the close
/// sends it again on a new connection.
const RECONNECT_PERIOD: Secs = 0.2;
/// Time in seconds after the end of a call within which its release has to reach the caller, with the tolerance of the
/// protocol. A release that could not be delivered by then is lost.
pub const RELEASE_PERIOD: Secs = 8.05;

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    started: Time,
    /// The longest deadline of the deployment, limited to the upper bound of the platform.
    max_deadline: Secs,
}

/// What a caller's connection is needed for.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionUse {
    /// Number of set-ups on it without a final answer.
    pub open: usize,
    /// Number of established calls that were set up on it.
    pub established: usize,
    /// It has carried a valid set-up, so that releases may be sent on it.
    pub carries_calls: bool,
}

impl ConnectionUse {
    /// Whether nothing is left that needs the connection, if `orphaned` established calls have lost the connections on
    /// which they were set up: the releases of these go out on any other one that carries calls.
    pub fn is_over(&self, orphaned: usize) -> bool {
        let awaited = self.carries_calls && orphaned > 0;
        self.open == 0 && self.established == 0 && !awaited
    }
}

/// What a front still has to do for its callers.
#[derive(Clone, Copy, Debug)]
pub struct RemainingWork {
    /// Number of established calls.
    pub established: usize,
    /// When the last of the releases was issued that wait for a connection of a caller.
    pub last_undelivered_release: Option<Time>,
    /// Since when no caller is connected.
    pub unconnected_since: Time,
}

impl Shutdown {
    /// Starts a shutdown on SIGTERM. No caller of the deployment waits longer than `longest_deadline`.
    pub fn begin(now: Time, longest_deadline: Secs) -> Self {
        Shutdown { started: now, max_deadline: longest_deadline.clamp(0.0, LONGEST_DEADLINE) }
    }

    /// Whether new set-ups are still served. Later ones are refused at once.
    pub fn accepts_set_ups(&self, now: Time) -> bool {
        now - self.started < SERVING_PERIOD
    }

    /// Whether all open set-ups have to be refused now, as their final answer.
    pub fn must_refuse_open(&self, now: Time) -> bool {
        now >= self.refusal_time()
    }

    /// When [`Shutdown::must_refuse_open`] begins.
    pub fn refusal_time(&self) -> Time {
        self.started + (SERVING_PERIOD + self.max_deadline - REFUSE_BEFORE_KILL)
    }

    /// Whether a connection may be closed. Established calls keep it open at all times: their callers wait for the
    /// releases on it, and may not connect again.
    pub fn may_close_connection(&self, now: Time, connection: &ConnectionUse, orphaned: usize) -> bool {
        !self.accepts_set_ups(now) && connection.is_over(orphaned)
    }

    /// Whether a front may stop accepting connections.
    pub fn may_stop_accepting(&self, now: Time, remaining: &RemainingWork) -> bool {
        now - self.started >= MIN_SHUTDOWN
            && had_time_to_reconnect(now, remaining.unconnected_since)
            && remaining.established == 0
            && !is_release_owed(now, remaining.last_undelivered_release)
    }

    /// Whether the proxy may exit, if its last call ended at `last_call_ended` and some releases may still be on their
    /// way (`releases_pending`).
    pub fn may_exit(&self, now: Time, last_call_ended: Time, releases_pending: bool) -> bool {
        now - self.started >= MIN_SHUTDOWN
            && !(releases_pending && is_release_owed(now, Some(last_call_ended)))
    }
}

/// Whether callers whose connections were closed at `unconnected_since` had time to send a set-up again that crossed the
/// close.
pub fn had_time_to_reconnect(now: Time, unconnected_since: Time) -> bool {
    now - unconnected_since >= RECONNECT_PERIOD
}

/// Whether a release that was issued at this time still has to be delivered.
fn is_release_owed(now: Time, issued: Option<Time>) -> bool {
    issued.is_some_and(|issued| now - issued < RELEASE_PERIOD)
}
