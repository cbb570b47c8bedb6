//! The datagrams that wait to be handled, queued by sender. Senders take turns, so that a flood delays its own sender
//! only; at a limit, what is dropped belongs to the sender with the most bytes waiting. No I/O.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Most datagrams of one sender that wait.
const MAX_PER_SENDER: usize = 32;

/// Memory in bytes that the queue of a sender takes beside its datagrams.
const SENDER_BYTES: usize = 384;
/// Memory in bytes that a datagram takes beside its content.
const DATAGRAM_BYTES: usize = 32;

/// Memory in bytes that a waiting datagram takes.
fn memory_bytes(datagram: &[u8]) -> usize {
    DATAGRAM_BYTES + datagram.len()
}

/// The waiting datagrams of one sender, oldest first.
#[derive(Debug, Default)]
struct Sender {
    waiting: VecDeque<Vec<u8>>,
    bytes: usize,
}

/// The waiting datagrams of all senders.
#[derive(Debug)]
pub struct DatagramQueue {
    /// Limit of `bytes`.
    limit: usize,
    bytes: usize,
    senders: BTreeMap<SocketAddr, Sender>,
    /// The senders with a waiting datagram, in the order of their turns.
    turns: VecDeque<SocketAddr>,
}

impl DatagramQueue {
    /// Creates an empty queue of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        DatagramQueue { limit, bytes: 0, senders: BTreeMap::new(), turns: VecDeque::new() }
    }

    /// Whether no datagram waits.
    pub fn is_empty(&self) -> bool {
        self.turns.is_empty()
    }

    /// Adds a datagram. Returns the number of datagrams that were dropped for it; this one may be among them.
    pub fn push(&mut self, from: SocketAddr, datagram: Vec<u8>) -> usize {
        let sender = self.senders.entry(from).or_default();
        if sender.waiting.len() >= MAX_PER_SENDER {
            return 1;
        }
        if sender.waiting.is_empty() {
            self.turns.push_back(from);
            self.bytes += SENDER_BYTES;
        }
        sender.bytes += memory_bytes(&datagram);
        self.bytes += memory_bytes(&datagram);
        sender.waiting.push_back(datagram);
        let mut dropped = 0;
        while self.bytes > self.limit {
            self.drop_newest_of_largest();
            dropped += 1;
        }
        dropped
    }

    /// Drops the newest datagram of the sender with the most bytes.
    fn drop_newest_of_largest(&mut self) {
        let largest = self.senders.iter().max_by_key(|(_, sender)| sender.bytes).map(|(addr, _)| *addr);
        let Some(largest) = largest else { return };
        self.take(largest, VecDeque::pop_back);
        if !self.senders.contains_key(&largest) {
            self.turns.retain(|turn| *turn != largest);
        }
    }

    /// Removes one datagram of a sender, and the sender if it has no other.
    fn take(
        &mut self,
        from: SocketAddr,
        remove: impl FnOnce(&mut VecDeque<Vec<u8>>) -> Option<Vec<u8>>,
    ) -> Option<Vec<u8>> {
        let sender = self.senders.get_mut(&from)?;
        let datagram = remove(&mut sender.waiting)?;
        sender.bytes -= memory_bytes(&datagram);
        self.bytes -= memory_bytes(&datagram);
        if sender.waiting.is_empty() {
            self.bytes -= SENDER_BYTES;
            self.senders.remove(&from);
        }
        Some(datagram)
    }

    /// Removes the oldest datagram of the sender whose turn it is.
    pub fn pop(&mut self) -> Option<(SocketAddr, Vec<u8>)> {
        let from = self.turns.pop_front()?;
        let more = self.senders.get(&from).is_some_and(|sender| sender.waiting.len() > 1);
        if more {
            self.turns.push_back(from);
        }
        let datagram = self.take(from, VecDeque::pop_front)?;
        Some((from, datagram))
    }
}
