//! Phases of a shutdown: which requests the proxy still serves after SIGTERM, and when it may exit. No I/O, and time
//! is a parameter.
//!
//! The platform's protocol gives the times. SIGKILL follows SIGTERM no earlier than after 0.7 s plus the longest
//! deadline of the deployment, which counts as 3 s at most. Until then callers continue to send on open connections.
//! A connection with calls may stay open until their releases are sent; new set-ups on it are refused, and it is
//! closed when no call is left on it.

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

/// A shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    started: Time,
    /// The longest deadline of the deployment, limited to the upper bound of the platform.
    max_deadline: Secs,
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

    /// When [`Shutdown::must_refuse_open`] begins. Connections have to be closed then, without delay.
    pub fn refusal_time(&self) -> Time {
        self.started + (SERVING_PERIOD + self.max_deadline - REFUSE_BEFORE_KILL)
    }

    /// Whether a connection with this number of open set-ups and established calls may be closed. Just before the
    /// earliest SIGKILL, connections with established calls may be closed as well: requests that arrived on them
    /// later could not be answered.
    pub fn may_close_connection(&self, now: Time, open: usize, established: usize) -> bool {
        !self.accepts_set_ups(now) && open == 0 && (established == 0 || self.must_refuse_open(now))
    }

    /// Whether the proxy may stop accepting connections and exit, if it has had no connection since
    /// `unconnected_since`.
    pub fn may_exit(&self, now: Time, unconnected_since: Time) -> bool {
        now - self.started >= MIN_SHUTDOWN && now - unconnected_since >= RECONNECT_PERIOD
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn set_ups_are_served_then_refused_and_open_ones_are_refused_before_the_earliest_kill() {
        let shutdown = Shutdown::begin(Time(10.0), 9.0);
        assert!(shutdown.accepts_set_ups(Time(10.69)) && !shutdown.accepts_set_ups(Time(10.71)));
        assert!(!shutdown.must_refuse_open(Time(13.5)) && shutdown.must_refuse_open(Time(13.56)));
        assert!(
            !shutdown.may_close_connection(Time(10.5), 0, 0)
                && shutdown.may_close_connection(Time(10.8), 0, 0)
        );
        assert!(
            !shutdown.may_close_connection(Time(10.8), 1, 0)
                && !shutdown.may_close_connection(Time(10.8), 0, 1)
        );
        assert!(
            shutdown.may_close_connection(Time(13.6), 0, 1)
                && !shutdown.may_close_connection(Time(13.6), 1, 0)
        );
        let short = Shutdown::begin(Time(10.0), 0.3);
        assert!(!short.must_refuse_open(Time(10.8)) && short.must_refuse_open(Time(10.9)));
    }

    #[test]
    fn the_proxy_exits_after_a_period_without_connections() {
        let shutdown = Shutdown::begin(Time(10.0), 3.0);
        assert!(!shutdown.may_exit(Time(10.9), Time(10.0)), "callers may be about to connect");
        assert!(!shutdown.may_exit(Time(12.1), Time(12.0)), "a set-up may have crossed the close");
        assert!(shutdown.may_exit(Time(12.21), Time(12.0)));
    }
}
