//! Division of the memory limit among the data that grow with traffic, and what is dropped when a share is used up.

use std::collections::VecDeque;

use crate::interface::Time;
use crate::sip::message::Message;

/// Memory of the program before the first call, in bytes.
const BASE_BYTES: usize = 12 * 1024 * 1024;
/// Memory limit in MB if the deployment sets none.
pub const DEFAULT_LIMIT_MB: usize = 1024;

/// Number of bytes for each use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Records of calls, with the session descriptions of their callers.
    pub calls: usize,
    /// Messages that wait to be written, on all connections together.
    pub queues: usize,
    /// What connections have received and is not handled yet.
    pub received: usize,
    /// Releases that wait until a caller connects.
    pub releases: usize,
    /// Received datagrams that wait to be handled.
    pub datagrams: usize,
    /// Server transactions of the SIP front.
    pub transactions: usize,
    /// Headers of open set-ups of the platform's callers, beyond what the records of their calls have room for.
    pub set_up_headers: usize,
}

impl MemoryPlan {
    /// Divides a limit in MB. The memory of the program itself is deducted, and at least a quarter of the rest is
    /// kept free.
    pub fn new(limit_mb: usize) -> Self {
        let free = (limit_mb * 1024 * 1024).saturating_sub(BASE_BYTES).max(4 * 1024 * 1024);
        MemoryPlan {
            calls: free / 4,
            queues: free / 8,
            received: free / 8,
            releases: free / 16,
            datagrams: free / 32,
            transactions: free / 8,
            set_up_headers: free / 32,
        }
    }
}

/// The messages that wait to be written on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutboundQueue {
    /// The number of the connection.
    pub connection: u64,
    /// Bytes that wait to be written.
    pub bytes: usize,
    /// The peer has proven useful: a caller by its first call, an exchange by accepting the connection.
    pub proven: bool,
}

/// Selects the connection to close when the queues together exceed their share: an unproven one first, then the one
/// with the most bytes waiting. Established calls survive this, as their messages may be sent on another connection.
pub fn connection_to_cut(queues: impl Iterator<Item = OutboundQueue>) -> Option<u64> {
    let nonempty = queues.filter(|queue| queue.bytes > 0);
    nonempty.max_by_key(|queue| (!queue.proven, queue.bytes)).map(|queue| queue.connection)
}

/// Releases that wait until a caller connects, limited in bytes. When the limit is exceeded, the oldest are dropped:
/// their callers have been disconnected the longest.
#[derive(Debug)]
pub struct WaitingReleases {
    limit: usize,
    bytes: usize,
    waiting: VecDeque<Message>,
    /// When the last one was added.
    last_added: Option<Time>,
}

impl WaitingReleases {
    /// Creates an empty queue of at most `limit` bytes.
    pub fn new(limit: usize) -> Self {
        WaitingReleases { limit, bytes: 0, waiting: VecDeque::new(), last_added: None }
    }

    /// Approximate number of bytes that a waiting message occupies.
    fn byte_size(message: &Message) -> usize {
        message.memory_bytes() + size_of::<Message>()
    }

    /// Adds a release, and returns how many releases were dropped to make room.
    pub fn push(&mut self, now: Time, release: Message) -> usize {
        self.last_added = Some(now);
        self.bytes += Self::byte_size(&release);
        self.waiting.push_back(release);
        let before = self.waiting.len();
        while self.bytes > self.limit {
            let Some(oldest) = self.waiting.pop_front() else { break };
            self.bytes -= Self::byte_size(&oldest);
        }
        before - self.waiting.len()
    }

    /// Removes and returns all releases, oldest first.
    pub fn take_all(&mut self) -> VecDeque<Message> {
        self.bytes = 0;
        self.last_added = None;
        std::mem::take(&mut self.waiting)
    }

    /// When the last of the waiting releases was added; `None` if none waits.
    pub fn last_added(&self) -> Option<Time> {
        self.last_added
    }

    /// Bytes that the waiting releases occupy.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_shares_leave_a_quarter_free_at_every_limit() {
        for limit_mb in [16, 32, 48, 192, 4096] {
            let plan = MemoryPlan::new(limit_mb);
            let fronts = plan.datagrams + plan.transactions + plan.set_up_headers;
            let parts = plan.calls + plan.queues + plan.received + plan.releases + fronts;
            assert!(
                parts <= (limit_mb * 1024 * 1024).saturating_sub(BASE_BYTES).max(4 * 1024 * 1024) * 3 / 4
            );
            assert!(plan.calls >= 1024 * 1024);
        }
    }

    #[test]
    fn an_unproven_connection_is_closed_before_a_slow_reader_with_calls() {
        let queue = |connection, bytes, proven| OutboundQueue { connection, bytes, proven };
        assert_eq!(
            connection_to_cut([queue(1, 0, false), queue(2, 9, true), queue(3, 99, true)].into_iter()),
            Some(3)
        );
        assert_eq!(connection_to_cut([queue(1, 5, false), queue(2, 9, true)].into_iter()), Some(1));
        assert_eq!(connection_to_cut([queue(1, 0, false)].into_iter()), None);
    }

    #[test]
    fn the_oldest_releases_are_dropped_over_the_limit() {
        let release = |n: usize| Message::request("BYE", "sip:x@net").with("Call-ID", n);
        let mut waiting = WaitingReleases::new(10 * WaitingReleases::byte_size(&release(0)));
        let dropped: usize = (0..25).map(|n| waiting.push(Time(0.0), release(n))).sum();
        assert!(dropped >= 15, "{dropped}");
        let kept = waiting.take_all();
        assert_eq!(kept.len(), 25 - dropped);
        assert_eq!(kept.back().and_then(|m| m.get("Call-ID")), Some("24"), "the newest stays");
        assert_eq!(waiting.bytes(), 0);
    }
}
