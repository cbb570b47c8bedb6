//! Bounded use of a mailbox by one source of network input. Mailboxes are unbounded, so that nothing that has to be
//! delivered is lost to a full one. Each source of input instead may have a few messages in a mailbox at a time: then no
//! source can make the others wait for more than these, and memory is bounded by the number of sources.

use std::sync::Arc;

use smol::lock::{Semaphore, SemaphoreGuardArc};

/// Length of a message in bytes that counts as one short message. A longer one takes more work, and counts as several.
pub const SHORT_MESSAGE_BYTES: usize = 4 * 1024;
/// Long messages that all sources together may have in one mailbox.
const LONG_MESSAGES_AT_ONCE: usize = 4;

/// The messages that one source may have in a mailbox.
#[derive(Clone, Debug)]
pub struct Turns(Arc<Semaphore>);

/// The right to have one message in a mailbox. It travels with the message and is given back when the message has been
/// handled.
#[derive(Debug)]
pub struct Turn(#[allow(dead_code, reason = "held until it is dropped")] Vec<SemaphoreGuardArc>);

impl Turns {
    /// Allows all sources of one mailbox together a few long messages in it, so that a short one never waits for many of
    /// them.
    pub fn for_long_messages() -> Self {
        Turns::new(LONG_MESSAGES_AT_ONCE)
    }

    /// Allows a source this many messages in the mailbox.
    pub fn new(messages: usize) -> Self {
        Turns(Arc::new(Semaphore::new(messages)))
    }

    /// Waits until the source may send a message.
    pub async fn next(&self) -> Turn {
        self.next_of_weight(1).await
    }

    /// Waits until the source may send a message that takes the place of several. Only one task may wait.
    pub async fn next_of_weight(&self, weight: usize) -> Turn {
        let mut guards = Vec::with_capacity(weight);
        for _ in 0..weight {
            guards.push(self.0.acquire_arc().await);
        }
        Turn(guards)
    }
}
