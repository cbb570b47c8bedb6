//! What a proxy that was told to end still owes, and when it may end. No I/O, and time is a parameter.
//!
//! The figures are those of the platform's protocol page, 'Figures': SIGKILL comes no earlier than the longest deadline
//! of the deployment (counted as 3 s at most) and 0.7 s after SIGTERM; callers go on sending on open connections until
//! then. A connection that carries calls may stay until their ends are told; new set-ups are refused, and it is closed
//! when nothing is left on it.

use crate::interface::{Secs, Time};

/// Set-ups that come so long after SIGTERM are still served.
const SERVE: Secs = 0.7;
/// The longest deadline that the platform waits for.
const LONGEST_DEADLINE: Secs = 3.0;
/// Set-ups that are still open so long before the earliest SIGKILL are refused.
const CONCLUDE_BEFORE_KILL: Secs = 0.15;
/// The proxy does not end earlier: callers that were about to connect find it.
const LINGER: Secs = 1.0;
/// From the end of the last connection until the proxy ends: a set-up that crossed its close comes again.
const CROSSING: Secs = 0.2;

/// A shutdown under way.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    began: Time,
    /// The longest deadline of the deployment, as the platform counts it.
    longest: Secs,
}

impl Shutdown {
    /// SIGTERM came, in a deployment where no caller waits longer than this.
    pub fn begin(now: Time, longest_deadline: Secs) -> Self {
        Shutdown { began: now, longest: longest_deadline.clamp(0.0, LONGEST_DEADLINE) }
    }

    /// New set-ups are served; later ones are refused at once.
    pub fn accepts_set_ups(&self, now: Time) -> bool {
        now - self.began < SERVE
    }

    /// Whatever is still open has to get its final answer now.
    pub fn must_refuse_open(&self, now: Time) -> bool {
        now - self.began >= SERVE + self.longest - CONCLUDE_BEFORE_KILL
    }

    /// A connection may be closed on which so many set-ups are open and calls stand. Just before the earliest SIGKILL
    /// those with standing calls go as well: what came on them then could not be answered.
    pub fn may_close_connection(&self, now: Time, open: usize, standing: usize) -> bool {
        !self.accepts_set_ups(now) && open == 0 && (standing == 0 || self.must_refuse_open(now))
    }

    /// The proxy may stop to accept and end, as there has been no connection since a time.
    pub fn may_exit(&self, now: Time, unconnected_since: Time) -> bool {
        now - self.began >= LINGER && now - unconnected_since >= CROSSING
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn set_ups_are_served_then_refused_then_concluded_before_the_earliest_kill() {
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
    fn the_proxy_ends_once_no_connection_has_been_there_for_a_while() {
        let shutdown = Shutdown::begin(Time(10.0), 3.0);
        assert!(!shutdown.may_exit(Time(10.9), Time(10.0)), "callers may be about to connect");
        assert!(!shutdown.may_exit(Time(12.1), Time(12.0)), "a set-up may have crossed the close");
        assert!(shutdown.may_exit(Time(12.21), Time(12.0)));
    }
}
