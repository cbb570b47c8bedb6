//! A TCP connection that carries SIP messages: a reader, a writer with a bounded send queue, and the owner's handle.
//!
//! A send queue uses memory only for the bytes it holds. All send queues share one memory budget
//! ([`crate::limits::memory`]). When it is exceeded, the connection with the longest queue is closed; one that never
//! carried a call is closed first.
//!
//! What an established call is owed, such as its release, has no part in the limit of one queue, and is kept until it is
//! written: the owner gets it back from a connection that ends before, to send it on another one.

mod buffers;
mod reader;

use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::channel::{bounded, Receiver, Sender};
use smol::net::TcpStream;
use smol::Async;

pub use self::buffers::ConnectionBuffers;
use self::buffers::{OwedMessage, SendQueue};
use self::reader::Reader;
pub use self::reader::{QueuedFrame, ReadLimits};
use super::{with_timeout, Executor};
use crate::limits::slow_reader::PATIENCE;
use crate::sip::message::{Frame, FramingError, MalformedMessage, Message};
use crate::telemetry;

/// A connection whose peer reads nothing for so long, while something waits for it, is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// What a connection reports to its owner.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// A message was received.
    Received(Received),
    /// The connection has ended; this is its last event.
    Ended(CloseReason),
}

/// A received message that is not parsed yet: parsed it may take many times the memory. Its memory counts, and the next
/// messages of its connection wait, until it is dropped.
#[derive(Debug)]
pub struct Received {
    frame: Frame,
    queued: QueuedFrame,
}

impl Received {
    /// Parses the message. The bytes that were received are freed; the turn is kept with the second value.
    pub fn parse(self) -> (Result<Message, MalformedMessage>, QueuedFrame) {
        (self.frame.parse(), self.queued)
    }
}

/// Why a connection ended.
#[derive(Debug)]
pub enum CloseReason {
    /// The peer closed it in order.
    Closed,
    /// This proxy closed it, as the peer read too slowly or a write failed.
    ClosedLocally,
    /// An I/O error, such as a reset.
    Broken(io::Error),
    /// The end of a message in the byte stream could not be determined.
    Framing(FramingError),
    /// A message was not complete within the message timeout.
    CutShort,
}

/// The owner's handle of a connection. When it is dropped, queued messages are still sent, then the connection
/// closes.
#[derive(Debug)]
pub struct ConnectionHandle {
    buffers: Rc<ConnectionBuffers>,
    send_queue: Rc<SendQueue>,
    number: u64,
    /// Wakes the writer. Closing this channel ends the writer once its queue is empty.
    wake: Sender<()>,
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.buffers.all.borrow_mut().remove(&self.number);
        if self.send_queue.half_closing.get() {
            let _ = self.send_queue.socket.get_ref().shutdown(Shutdown::Both);
        }
    }
}

impl ConnectionHandle {
    /// Starts the reader and the writer of a connected stream. Events are wrapped with `wrap` and sent to `mailbox`.
    pub fn open<M: 'static>(
        tasks: &Executor,
        buffers: &Rc<ConnectionBuffers>,
        stream: TcpStream,
        mailbox: Sender<M>,
        limits: ReadLimits,
        wrap: impl Fn(ConnectionEvent) -> M + 'static,
    ) -> ConnectionHandle {
        // Sends small messages without delay. If the option can't be set, they are only delayed.
        let _ = stream.set_nodelay(true);
        let socket: Arc<Async<std::net::TcpStream>> = stream.into();
        let send_queue = SendQueue::new(socket.clone());
        let number = buffers.register(&send_queue);
        let (wake, wake_ups) = bounded(1);
        tasks.spawn("writer", write(buffers.clone(), send_queue.clone(), wake_ups));
        let reader =
            Reader { buffers: buffers.clone(), send_queue: send_queue.clone(), connection: number, limits };
        tasks.spawn("reader", reader.run(socket, mailbox, wrap));
        ConnectionHandle { buffers: buffers.clone(), send_queue, number, wake }
    }

    /// Marks the connection as one that carries calls: others are closed first when the send queues grow too long.
    pub fn mark_carries_calls(&self) {
        self.send_queue.carries_calls.set(true);
        self.buffers.inbound.borrow_mut().mark_proven(self.number);
    }

    /// Closes the write half after the queued messages. Messages from the peer are still received until the peer
    /// closes its half or this handle is dropped.
    pub fn close_write(&self) {
        self.send_queue.half_closing.set(true);
        self.wake.close();
    }

    /// Queues a message without waiting; returns false if the connection is closing.
    pub fn write(&self, message: &Message) -> bool {
        if self.is_closing() {
            return false;
        }
        let length = self.send_queue.append(message);
        self.wake_writer(length);
        true
    }

    /// Queues a message that a call is owed; gives it back if the connection is closing. If it can't be written, [`ConnectionHandle::take_undelivered`] returns it.
    pub fn write_owed(&self, message: Message) -> Result<(), Message> {
        if self.is_closing() {
            return Err(message);
        }
        let length = self.send_queue.append(&message);
        let written_at = self.send_queue.queued_in_all.get();
        self.send_queue.owed.borrow_mut().push_back(OwedMessage { message, written_at });
        self.wake_writer(length);
        Ok(())
    }

    /// Number of bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        self.send_queue.queued_bytes()
    }

    /// Takes the owed messages that were not written, once the connection has ended.
    pub fn take_undelivered(&self) -> Vec<Message> {
        let owed = std::mem::take(&mut *self.send_queue.owed.borrow_mut());
        owed.into_iter().map(|owed| owed.message).collect()
    }

    fn is_closing(&self) -> bool {
        self.wake.is_closed() || self.send_queue.aborted.get()
    }

    /// Counts queued bytes and wakes the writer. A long queue is first written as far as the socket takes it: the writer
    /// may not have run since the last message.
    fn wake_writer(&self, added: usize) {
        self.buffers.count_queued(added);
        if self.send_queue.is_long() {
            self.buffers.flush(&self.send_queue);
        }
        // If a wake-up is already queued, it covers this message as well.
        let _ = self.wake.try_send(());
        self.buffers.enforce_limit();
    }
}

/// The writer: sends what is queued until the handle is dropped, a write fails or the peer reads too little.
async fn write(buffers: Rc<ConnectionBuffers>, send_queue: Rc<SendQueue>, wake_ups: Receiver<()>) {
    let socket = send_queue.socket.clone();
    let mut last_progress = Instant::now();
    loop {
        if send_queue.queued_bytes() == 0 {
            if wake_ups.recv().await.is_err() && send_queue.queued_bytes() == 0 {
                break;
            }
            last_progress = Instant::now();
            continue;
        }
        let writing = socket.write_with(|socket| buffers.write_some(&send_queue, socket));
        let written = with_timeout(PATIENCE, writing).await;
        let now = Instant::now();
        match written {
            Ok(_) => last_progress = now,
            Err(error) if error.kind() == io::ErrorKind::TimedOut && now - last_progress < WRITE_TIMEOUT => {}
            Err(_) => {
                buffers.drop_queued(&send_queue);
                // The connection has failed: later writes are refused.
                wake_ups.close();
                break;
            }
        }
        if send_queue.is_read_too_slowly(now) {
            telemetry::queue_limit_exceeded("one queue");
            buffers.abort_queue(&send_queue, "its peer reads too slowly");
        }
    }
    let half = if send_queue.half_closing.get() { Shutdown::Write } else { Shutdown::Both };
    let _ = socket.get_ref().shutdown(half);
}
