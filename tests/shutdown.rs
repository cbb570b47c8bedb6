//! The phases of a shutdown on a scripted clock.

use mallowring::interface::Time;
use mallowring::recovery::shutdown::Shutdown;

/// Guards against connections with calls that stay open until SIGKILL: a set-up that arrives on one just before could not
/// be answered. SIGKILL comes 0.7 s plus the longest deadline after SIGTERM at the earliest. Seen in the soak (seed 16).
#[test]
fn connections_may_be_closed_from_the_refusal_time_on_which_lies_before_the_earliest_kill() {
    for (longest_deadline, earliest_kill) in [(0.3, 1.0), (1.0, 1.7), (9.0, 3.7)] {
        let shutdown = Shutdown::begin(Time(100.0), longest_deadline);
        let refusal_time = shutdown.refusal_time();
        assert!(refusal_time.0 < 100.0 + earliest_kill - 0.1, "{refusal_time:?}");
        assert!(!shutdown.may_close_connection(Time(refusal_time.0 - 0.001), 0, 1));
        assert!(shutdown.may_close_connection(refusal_time, 0, 1));
        assert!(shutdown.must_refuse_open(refusal_time));
    }
}
