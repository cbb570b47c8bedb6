//! Which peer reads too slowly. No I/O, and time is a parameter.
//!
//! A queue is long for a moment whenever much is answered at once, which says nothing about its reader. A peer is slow
//! if its queue stays long, and it reads less than that length in all of a time.

use std::time::{Duration, Instant};

/// Length of a send queue in bytes up to which its reader is never slow.
pub const LONG_QUEUE_BYTES: usize = 64 * 1024;
/// Time in which the peer of a long queue has to read [`LONG_QUEUE_BYTES`].
pub const PATIENCE: Duration = Duration::from_secs(2);

/// How the peer of one send queue reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingProgress {
    /// Since when the queue is long, and how many bytes had ever been read by then.
    long_since: Option<(Instant, u64)>,
}

impl ReadingProgress {
    /// Takes the present length of the queue, and the bytes that the peer's socket has ever accepted. Returns whether the
    /// peer is too slow.
    pub fn is_too_slow(&mut self, now: Instant, queued: usize, accepted: u64) -> bool {
        if queued <= LONG_QUEUE_BYTES {
            self.long_since = None;
            return false;
        }
        let (since, accepted_before) = *self.long_since.get_or_insert((now, accepted));
        if accepted - accepted_before >= LONG_QUEUE_BYTES as u64 {
            self.long_since = Some((now, accepted));
            return false;
        }
        now.saturating_duration_since(since) >= PATIENCE
    }
}
