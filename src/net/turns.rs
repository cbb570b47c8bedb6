//! Bounded use of a mailbox by one source of network input. Mailboxes are unbounded, so that nothing that has to be
//! delivered is lost to a full one. Each source of input instead may have a few messages in a mailbox at a time: then no
//! source can make the others wait for more than these, and memory is bounded by the number of sources.

use std::sync::Arc;

use smol::lock::{Semaphore, SemaphoreGuardArc};

/// The messages that one source may have in a mailbox.
#[derive(Clone, Debug)]
pub struct Turns(Arc<Semaphore>);

/// The right to have one message in a mailbox. It travels with the message and is given back when the message has been
/// handled.
#[derive(Debug)]
pub struct Turn(#[allow(dead_code, reason = "held until it is dropped")] SemaphoreGuardArc);

impl Turns {
    /// Allows a source this many messages in the mailbox.
    pub fn new(messages: usize) -> Self {
        Turns(Arc::new(Semaphore::new(messages)))
    }

    /// Waits until the source may send a message.
    pub async fn next(&self) -> Turn {
        Turn(self.0.acquire_arc().await)
    }
}
