//! The phases of a shutdown on a scripted clock.

use mallowring::interface::Time;
use mallowring::recovery::shutdown::{ConnectionUse, RemainingWork, Shutdown, RELEASE_PERIOD};

/// When SIGTERM arrives in these tests.
const TERM: f64 = 100.0;
/// Longest deadlines of deployments, and the earliest time of SIGKILL after SIGTERM for each.
const DEADLINES_AND_KILLS: [(f64, f64); 5] = [(0.3, 1.0), (0.6, 1.3), (1.0, 1.7), (3.0, 3.7), (9.0, 3.7)];

fn connection(open: usize, established: usize) -> ConnectionUse {
    ConnectionUse { open, established, carries_calls: true }
}

fn at(seconds: f64) -> Time {
    Time(TERM + seconds)
}

/// Guards against set-ups without an answer at SIGKILL: new ones are refused at once 0.7 s after SIGTERM, and open ones
/// shortly before the earliest SIGKILL.
#[test]
fn set_ups_are_served_then_refused_and_open_ones_are_refused_before_the_earliest_kill() {
    for (longest_deadline, earliest_kill) in DEADLINES_AND_KILLS {
        let shutdown = Shutdown::begin(at(0.0), longest_deadline);
        assert!(shutdown.accepts_set_ups(at(0.69)) && !shutdown.accepts_set_ups(at(0.71)));
        assert!(!shutdown.must_refuse_open(at(earliest_kill - 0.2)));
        assert!(shutdown.must_refuse_open(at(earliest_kill - 0.1)));
        assert!(shutdown.refusal_time().0 < TERM + earliest_kill - 0.1);
    }
}

/// Guards against releases that find no connection: one with established calls was closed just before the earliest
/// SIGKILL, which need not come (review, case 2). It is kept as long as the calls stand, whatever the deadline.
#[test]
fn a_connection_is_kept_until_its_set_ups_are_answered_and_its_calls_are_over() {
    for (longest_deadline, earliest_kill) in DEADLINES_AND_KILLS {
        let shutdown = Shutdown::begin(at(0.0), longest_deadline);
        for seconds in [0.8, earliest_kill - 0.1, earliest_kill, earliest_kill + 30.0] {
            assert!(shutdown.may_close_connection(at(seconds), &connection(0, 0), 0));
            assert!(!shutdown.may_close_connection(at(seconds), &connection(1, 0), 0));
            assert!(!shutdown.may_close_connection(at(seconds), &connection(0, 1), 0), "{seconds}");
        }
        assert!(!shutdown.may_close_connection(at(0.5), &connection(0, 0), 0), "set-ups are still served");
    }
}

/// Guards against releases that find no connection although their caller has one: the connection of the set-up is
/// gone, and another one that carries calls is closed because none of its own stands.
#[test]
fn a_connection_that_carries_calls_is_kept_for_calls_without_a_connection() {
    let shutdown = Shutdown::begin(at(0.0), 3.0);
    assert!(!shutdown.may_close_connection(at(5.0), &connection(0, 0), 1));
    let never_used = ConnectionUse::default();
    assert!(shutdown.may_close_connection(at(5.0), &never_used, 1), "no release is sent on it");
}

#[test]
fn the_front_accepts_until_nothing_is_left_and_callers_had_time_to_connect_again() {
    let shutdown = Shutdown::begin(at(0.0), 3.0);
    let done = |unconnected_since: f64| RemainingWork {
        established: 0,
        last_undelivered_release: None,
        unconnected_since: at(unconnected_since),
    };
    assert!(!shutdown.may_stop_accepting(at(0.9), &done(0.0)), "callers may be about to connect");
    assert!(!shutdown.may_stop_accepting(at(2.1), &done(2.0)), "a set-up may have crossed the close");
    assert!(shutdown.may_stop_accepting(at(2.21), &done(2.0)));
    let standing = RemainingWork { established: 1, ..done(2.0) };
    assert!(!shutdown.may_stop_accepting(at(60.0), &standing), "its release needs a connection");
    let undelivered = RemainingWork { last_undelivered_release: Some(at(10.0)), ..done(2.0) };
    assert!(!shutdown.may_stop_accepting(at(10.0 + RELEASE_PERIOD - 0.01), &undelivered));
    assert!(shutdown.may_stop_accepting(at(10.0 + RELEASE_PERIOD + 0.01), &undelivered));
}

/// Guards against an exit that drops releases on their way, such as a BYE whose datagram was lost.
#[test]
fn the_proxy_exits_once_its_releases_are_delivered_or_their_time_is_over() {
    let shutdown = Shutdown::begin(at(0.0), 3.0);
    assert!(!shutdown.may_exit(at(0.9), at(0.1), false), "requests may still arrive");
    assert!(shutdown.may_exit(at(1.1), at(0.1), false));
    assert!(!shutdown.may_exit(at(5.0 + RELEASE_PERIOD - 0.01), at(5.0), true));
    assert!(shutdown.may_exit(at(5.0 + RELEASE_PERIOD + 0.01), at(5.0), true));
}
