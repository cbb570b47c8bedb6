//! The limit on memory, parted among what grows with traffic, and who is cut first when a part is used up.

use std::collections::VecDeque;

use crate::sip::message::Message;

/// What the program needs before the first call, in bytes.
const BASE: usize = 12 * 1024 * 1024;
/// Where the deployment names no limit.
pub const DEFAULT_LIMIT_MB: usize = 1024;

/// How many bytes each part may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Records of calls, with what their callers describe.
    pub calls: usize,
    /// Messages that wait to be written, over all connections.
    pub queues: usize,
    /// Releases that wait for a connection from a caller.
    pub releases: usize,
}

impl MemoryPlan {
    /// Parts a limit in MB: what is left beside the program itself, with a quarter of it kept free.
    pub fn new(limit_mb: usize) -> Self {
        let free = (limit_mb * 1024 * 1024).saturating_sub(BASE).max(4 * 1024 * 1024);
        MemoryPlan { calls: free / 4, queues: free / 4, releases: free / 16 }
    }
}

/// One connection with messages that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OutboundQueue {
    /// Its number.
    pub connection: u64,
    /// Bytes that wait for its reader.
    pub bytes: usize,
    /// It has brought a call.
    pub proven: bool,
}

/// The connection to cut when queues hold more than their part: one that never asked for a call, else the one whose
/// reader is furthest behind. Calls that stand are not lost by it: they may be told elsewhere.
pub fn connection_to_cut(queues: impl Iterator<Item = OutboundQueue>) -> Option<u64> {
    let behind = queues.filter(|queue| queue.bytes > 0);
    behind.max_by_key(|queue| (!queue.proven, queue.bytes)).map(|queue| queue.connection)
}

/// Releases that wait for a connection from a caller, within their part. At the bound the oldest goes: its caller has
/// been away the longest.
#[derive(Debug)]
pub struct WaitingReleases {
    limit: usize,
    bytes: usize,
    waiting: VecDeque<Message>,
}

impl WaitingReleases {
    /// None yet, with so many bytes for all.
    pub fn new(limit: usize) -> Self {
        WaitingReleases { limit, bytes: 0, waiting: VecDeque::new() }
    }

    /// What a message takes while it waits.
    fn weight(message: &Message) -> usize {
        let headers: usize = message.headers.iter().map(|(name, value)| name.len() + value.len() + 48).sum();
        headers + message.body.len() + size_of::<Message>()
    }

    /// One more; returns how many went for it.
    pub fn push(&mut self, release: Message) -> usize {
        self.bytes += Self::weight(&release);
        self.waiting.push_back(release);
        let before = self.waiting.len();
        while self.bytes > self.limit {
            let Some(oldest) = self.waiting.pop_front() else { break };
            self.bytes -= Self::weight(&oldest);
        }
        before - self.waiting.len()
    }

    /// All of them, oldest first.
    pub fn take_all(&mut self) -> VecDeque<Message> {
        self.bytes = 0;
        std::mem::take(&mut self.waiting)
    }

    /// Bytes that they take.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_parts_leave_room_at_every_limit() {
        for limit_mb in [16, 32, 48, 192, 4096] {
            let plan = MemoryPlan::new(limit_mb);
            let parts = plan.calls + plan.queues + plan.releases;
            assert!(parts <= (limit_mb * 1024 * 1024).saturating_sub(BASE).max(4 * 1024 * 1024) * 3 / 4);
            assert!(plan.calls >= 1024 * 1024);
        }
    }

    #[test]
    fn whoever_asked_for_nothing_is_cut_before_a_slow_reader_with_calls() {
        let queue = |connection, bytes, proven| OutboundQueue { connection, bytes, proven };
        assert_eq!(
            connection_to_cut([queue(1, 0, false), queue(2, 9, true), queue(3, 99, true)].into_iter()),
            Some(3)
        );
        assert_eq!(connection_to_cut([queue(1, 5, false), queue(2, 9, true)].into_iter()), Some(1));
        assert_eq!(connection_to_cut([queue(1, 0, false)].into_iter()), None);
    }

    #[test]
    fn the_oldest_release_goes_when_they_take_too_much() {
        let release = |n: usize| Message::request("BYE", "sip:x@net").with("Call-ID", n);
        let mut waiting = WaitingReleases::new(10 * WaitingReleases::weight(&release(0)));
        let gone: usize = (0..25).map(|n| waiting.push(release(n))).sum();
        assert!(gone >= 15, "{gone}");
        let kept = waiting.take_all();
        assert_eq!(kept.len(), 25 - gone);
        assert_eq!(kept.back().and_then(|m| m.get("Call-ID")), Some("24"), "the newest stays");
        assert_eq!(waiting.bytes(), 0);
    }
}
