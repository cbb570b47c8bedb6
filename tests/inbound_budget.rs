//! Who may hold received data, and which connection is closed when all of them hold too much.

use mallowring::limits::inbound::{Admission, InboundBudget};

const LIMIT: usize = 64 * 1024;
const CHUNK: usize = 4 * 1024;

/// Guards against connections that stop half way through large messages: at the limit the oldest is closed, and one that
/// has never carried a valid request before one that has.
#[test]
fn at_the_limit_the_connection_with_the_oldest_incomplete_message_is_closed() {
    let mut budget = InboundBudget::new(LIMIT);
    budget.mark_proven(1);
    for connection in 1..=4 {
        assert_eq!(budget.admit(connection, CHUNK), Admission::Granted);
        budget.set_buffered(connection, LIMIT / 4, true);
    }
    assert_eq!(budget.admit(5, CHUNK), Admission::Granted, "each connection may hold a short message");
    budget.set_buffered(5, CHUNK, true);
    assert_eq!(budget.admit(5, CHUNK), Admission::AfterClosing(2), "1 has carried a valid request");
    budget.connection_ended(2);
    assert_eq!(budget.admit(5, CHUNK), Admission::Granted);
    budget.set_buffered(5, LIMIT / 4, true);
    (3..=5).for_each(|connection| budget.connection_ended(connection));
    budget.set_buffered(6, LIMIT, false);
    assert_eq!(budget.admit(1, CHUNK), Admission::AfterClosing(1), "no other one is incomplete");
}

/// Guards against the close of a connection for room that comes by itself: what is complete is answered.
#[test]
fn a_connection_waits_while_complete_messages_are_handled() {
    let mut budget = InboundBudget::new(LIMIT);
    budget.set_buffered(1, CHUNK, true);
    budget.frame_queued(2, LIMIT);
    budget.set_buffered(3, CHUNK, true);
    assert_eq!(budget.admit(3, CHUNK), Admission::Wait);
    // The frame still counts when its connection has ended.
    budget.connection_ended(2);
    assert_eq!(budget.admit(3, CHUNK), Admission::Wait);
    budget.frame_handled(2, LIMIT);
    assert_eq!(budget.admit(3, CHUNK), Admission::Granted);
    (1..=3).for_each(|connection| budget.connection_ended(connection));
    assert_eq!(budget.taken(), 0);
}
