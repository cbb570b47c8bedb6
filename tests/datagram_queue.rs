//! The queue of received datagrams: senders take turns, and a flood loses its own.

use std::net::SocketAddr;

use mallowring::limits::datagrams::DatagramQueue;

fn sender(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

/// Guards against a BYE that waits behind the datagrams of a flood: each sender has its turn.
#[test]
fn senders_take_turns() {
    let mut queue = DatagramQueue::new(1 << 20);
    for n in 0..10 {
        assert_eq!(queue.push(sender(1), vec![n]), 0);
    }
    queue.push(sender(2), vec![20]);
    queue.push(sender(3), vec![30]);
    let order: Vec<u8> = std::iter::from_fn(|| queue.pop()).map(|(_, datagram)| datagram[0]).collect();
    assert_eq!(order, [0, 20, 30, 1, 2, 3, 4, 5, 6, 7, 8, 9]);
    assert!(queue.is_empty());
}

/// Guards against a flood that makes others lose theirs, by number and by bytes.
#[test]
fn what_is_dropped_belongs_to_the_sender_with_the_most() {
    let mut queue = DatagramQueue::new(4000);
    let dropped: usize = (0..100).map(|_| queue.push(sender(1), vec![1; 10])).sum();
    assert!((50..100).contains(&dropped), "{dropped}");
    assert_eq!(queue.push(sender(2), vec![2; 10]), 0);
    queue.push(sender(3), vec![3; 3000]);
    let mut kept: Vec<u8> = std::iter::from_fn(|| queue.pop()).map(|(_, datagram)| datagram[0]).collect();
    kept.sort_unstable();
    assert!(kept.contains(&2), "{kept:?}");
    assert!(!kept.contains(&3), "it had the most bytes");
    assert_eq!(queue.push(sender(4), vec![4; 4001]), 1, "it alone is too much");
    assert!(queue.is_empty() && queue.pop().is_none());
}

/// Guards against tiny datagrams from ever new ports, of which only the content was counted: each one takes hundreds of
/// bytes, so that they took many times the limit.
#[test]
fn the_records_of_senders_count_against_the_limit() {
    const SENDER_RECORD_BYTES: usize = 256;
    let mut queue = DatagramQueue::new(64 * 1024);
    for port in 1..u16::MAX {
        queue.push(sender(port), vec![1]);
    }
    let kept = std::iter::from_fn(|| queue.pop()).count();
    assert!((1..64 * 1024 / SENDER_RECORD_BYTES).contains(&kept), "{kept} senders have a record");
}
