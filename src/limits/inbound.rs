//! The memory of what connections have received and what is not handled yet: messages that are incomplete, and frames
//! that wait in a mailbox. No I/O.
//!
//! A connection may always hold a short message, so that no other one can keep it from being read. More than that counts
//! against a limit that all connections share. At the limit, what is complete is handled first; if nothing is, the
//! connection whose message has been incomplete the longest is closed, one that never carried a valid request first.

use std::collections::BTreeMap;

/// Bytes that each connection may hold whatever the others hold.
const GUARANTEED_BYTES: usize = 4 * 1024;

/// Whether a connection may read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may read.
    Granted,
    /// It has to wait until frames that others have received are handled.
    Wait,
    /// This connection, which may be the one that asks, has to be closed first.
    AfterClosing(u64),
}

/// What one connection holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Holding {
    /// Bytes of its receive buffer.
    buffered: usize,
    /// Bytes of its frames that wait in a mailbox.
    queued: usize,
    /// Position among the connections with an incomplete message, by when it began; `None` if there is none.
    incomplete: Option<u64>,
    /// It has carried a valid request, or leads to an exchange.
    proven: bool,
}

impl Holding {
    fn bytes(&self) -> usize {
        self.buffered + self.queued
    }
}

/// The bytes that all connections hold.
#[derive(Debug)]
pub struct InboundBudget {
    limit: usize,
    taken: usize,
    next_position: u64,
    connections: BTreeMap<u64, Holding>,
}

impl InboundBudget {
    /// Creates a budget of this many bytes.
    pub fn new(limit: usize) -> Self {
        InboundBudget { limit, taken: 0, next_position: 0, connections: BTreeMap::new() }
    }

    /// Bytes that all connections hold together.
    pub fn taken(&self) -> usize {
        self.taken
    }

    /// Decides whether a connection may read this many bytes at most.
    pub fn admit(&self, connection: u64, bytes: usize) -> Admission {
        let own = self.connections.get(&connection).map_or(0, Holding::bytes);
        if own + bytes <= GUARANTEED_BYTES || self.taken + bytes <= self.limit {
            return Admission::Granted;
        }
        let is_handled_soon = |holding: &Holding| holding.queued > 0;
        if self.connections.values().any(is_handled_soon) {
            return Admission::Wait;
        }
        let incomplete = self.connections.iter().filter(|(_, holding)| holding.incomplete.is_some());
        let oldest = incomplete.min_by_key(|(_, holding)| (holding.proven, holding.incomplete));
        oldest.map_or(Admission::Wait, |(victim, _)| Admission::AfterClosing(*victim))
    }

    /// Marks a connection that has carried a valid request, or leads to an exchange.
    pub fn mark_proven(&mut self, connection: u64) {
        self.connections.entry(connection).or_default().proven = true;
    }

    /// Records the size of a connection's receive buffer, and whether it holds an incomplete message.
    pub fn set_buffered(&mut self, connection: u64, bytes: usize, is_incomplete: bool) {
        let holding = self.connections.entry(connection).or_default();
        self.taken = self.taken - holding.buffered + bytes;
        holding.buffered = bytes;
        match (is_incomplete, holding.incomplete) {
            (true, None) => {
                holding.incomplete = Some(self.next_position);
                self.next_position += 1;
            }
            (true, Some(_)) => {}
            (false, _) => holding.incomplete = None,
        }
        self.remove_if_empty(connection);
    }

    /// Records that a frame of a connection was put into a mailbox.
    pub fn frame_queued(&mut self, connection: u64, bytes: usize) {
        self.connections.entry(connection).or_default().queued += bytes;
        self.taken += bytes;
    }

    /// Records that a frame of a connection was handled.
    pub fn frame_handled(&mut self, connection: u64, bytes: usize) {
        let Some(holding) = self.connections.get_mut(&connection) else { return };
        let handled = bytes.min(holding.queued);
        holding.queued -= handled;
        self.taken -= handled;
        self.remove_if_empty(connection);
    }

    /// Records that a connection reads no more. Its queued frames still count until they are handled.
    pub fn connection_ended(&mut self, connection: u64) {
        if let Some(holding) = self.connections.get_mut(&connection) {
            holding.proven = false;
        }
        self.set_buffered(connection, 0, false);
    }

    fn remove_if_empty(&mut self, connection: u64) {
        if self.connections.get(&connection) == Some(&Holding::default()) {
            self.connections.remove(&connection);
        }
    }
}
