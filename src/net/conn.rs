//! A TCP connection that carries SIP messages: a reader, a writer with a bounded send queue, and the owner's handle.
//!
//! A send queue uses memory only for the bytes it holds. All send queues share one memory budget
//! ([`crate::limits::memory`]). When it is exceeded, the connection with the longest queue is closed; one that never
//! carried a call is closed first.
//!
//! What an established call is owed, such as its release, has no part in the limit of one queue, and is kept until it is
//! written: the owner gets it back from a connection that ends before, to send it on another one.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read};
use std::net::Shutdown;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::channel::{bounded, Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::{future, Async};

use super::turns::{Turn, Turns};
use super::{with_timeout, Executor};
use crate::limits::memory::{connection_to_cut, OutboundQueue};
use crate::sip::message::{Framer, FramingError, MalformedMessage, Message};
use crate::telemetry;

/// Length of a send queue, in bytes, beyond which a connection is closed because its peer reads too slowly.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// Time limit of one write. A connection whose peer reads too little for so long is closed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Messages of one connection that wait for its owner. Further ones stay in the socket.
const MAX_UNHANDLED_MESSAGES: usize = 4;
/// Bytes read per system call.
const READ_CHUNK_BYTES: usize = 4096;

/// What a connection reports to its owner.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// A message was received, or one that could not be parsed. The turn is kept until it is handled.
    Message(Result<Message, MalformedMessage>, Turn),
    /// The connection has ended; this is its last event.
    Ended(CloseReason),
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

/// A message that has to be delivered, on another connection if need be.
#[derive(Debug)]
struct OwedMessage {
    message: Message,
    length: usize,
    /// Number of bytes written to the connection when all of it is written.
    written_at: u64,
}

/// The bytes waiting to be written to one connection.
#[derive(Debug)]
struct SendQueue {
    stream: TcpStream,
    pending: RefCell<Vec<u8>>,
    /// Length of `pending` plus the bytes that the writer is sending.
    queued_bytes: Cell<usize>,
    /// Number of bytes ever queued, and ever written.
    queued_in_all: Cell<u64>,
    written_in_all: Cell<u64>,
    /// The owed messages that are not written yet, oldest first.
    owed: RefCell<VecDeque<OwedMessage>>,
    /// The peer has set up a call, or is an exchange.
    carries_calls: Cell<bool>,
    /// Only the write half is to be closed; the read half stays open.
    half_closing: Cell<bool>,
    /// This proxy has closed the connection without sending everything. Its bytes no longer count.
    aborted: Cell<bool>,
}

/// All send queues of the proxy, with the memory budget they share.
#[derive(Debug)]
pub struct SendQueues {
    limit: usize,
    total: Cell<usize>,
    next_number: Cell<u64>,
    all: RefCell<BTreeMap<u64, Weak<SendQueue>>>,
}

impl SendQueue {
    /// Length of the queue without the owed messages.
    fn limited_bytes(&self) -> usize {
        let owed: usize = self.owed.borrow().iter().map(|owed| owed.length).sum();
        self.queued_bytes.get().saturating_sub(owed)
    }

    /// Appends a message; returns its length.
    fn append(&self, message: &Message) -> usize {
        let bytes = message.to_bytes();
        self.queued_in_all.set(self.queued_in_all.get() + bytes.len() as u64);
        self.pending.borrow_mut().extend_from_slice(&bytes);
        bytes.len()
    }

    /// Records that bytes were written.
    fn record_written(&self, bytes: usize) {
        let written = self.written_in_all.get() + bytes as u64;
        self.written_in_all.set(written);
        let mut owed = self.owed.borrow_mut();
        while owed.front().is_some_and(|first| first.written_at <= written) {
            owed.pop_front();
        }
    }
}

impl SendQueues {
    /// Creates an empty set with a budget of `limit` bytes.
    pub fn new(limit: usize) -> Rc<SendQueues> {
        Rc::new(SendQueues { limit, total: Cell::new(0), next_number: Cell::new(0), all: RefCell::default() })
    }

    /// Bytes queued on all connections.
    pub fn total_bytes(&self) -> usize {
        self.total.get()
    }

    fn register(&self, send_queue: &Rc<SendQueue>) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.all.borrow_mut().insert(number, Rc::downgrade(send_queue));
        number
    }

    /// Adds queued bytes and subtracts written ones, for one queue and in total.
    fn adjust(&self, send_queue: &SendQueue, added: usize, written: usize) {
        if send_queue.aborted.get() {
            return;
        }
        send_queue.queued_bytes.set((send_queue.queued_bytes.get() + added).saturating_sub(written));
        self.total.set((self.total.get() + added).saturating_sub(written));
    }

    /// Aborts connections, in the order given by [`connection_to_cut`], until the queued bytes fit the budget.
    fn enforce_limit(&self) {
        while self.total.get() > self.limit {
            let all = self.all.borrow();
            let queue = |(number, send_queue): (&u64, &Weak<SendQueue>)| {
                let send_queue = send_queue.upgrade()?;
                Some(OutboundQueue {
                    connection: *number,
                    bytes: send_queue.queued_bytes.get(),
                    proven: send_queue.carries_calls.get(),
                })
            };
            let Some(number) = connection_to_cut(all.iter().filter_map(queue)) else { return };
            let Some(send_queue) = all.get(&number).and_then(Weak::upgrade) else { return };
            telemetry::queue_limit_exceeded("all queues");
            self.abort(&send_queue, "the send queues exceed their memory budget");
        }
    }

    /// Closes a connection and drops its queued bytes.
    fn abort(&self, send_queue: &SendQueue, reason: &'static str) {
        let peer = send_queue.stream.peer_addr().ok();
        tracing::warn!(
            ?peer,
            reason,
            bytes = send_queue.queued_bytes.get(),
            "peer reads too slowly: connection closed"
        );
        let _ = send_queue.stream.shutdown(Shutdown::Both);
        send_queue.pending.borrow_mut().clear();
        // Includes the bytes that the writer is still sending.
        self.adjust(send_queue, 0, send_queue.queued_bytes.get());
        send_queue.aborted.set(true);
    }
}

/// The owner's handle of a connection. When it is dropped, queued messages are still sent, then the connection
/// closes.
#[derive(Debug)]
pub struct ConnectionHandle {
    send_queues: Rc<SendQueues>,
    send_queue: Rc<SendQueue>,
    number: u64,
    /// Wakes the writer. Closing this channel ends the writer once its queue is empty.
    wake: Sender<()>,
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.send_queues.all.borrow_mut().remove(&self.number);
        if self.send_queue.half_closing.get() {
            let _ = self.send_queue.stream.shutdown(Shutdown::Both);
        }
    }
}

impl ConnectionHandle {
    /// Starts the reader and the writer of a connected stream. Events are wrapped with `wrap` and sent to `mailbox`.
    /// Each message has to be complete within `message_timeout` from its first byte.
    pub fn open<M: 'static>(
        tasks: &Executor,
        send_queues: &Rc<SendQueues>,
        stream: TcpStream,
        mailbox: Sender<M>,
        message_timeout: Duration,
        wrap: impl Fn(ConnectionEvent) -> M + 'static,
    ) -> ConnectionHandle {
        // Sends small messages without delay. If the option can't be set, they are only delayed.
        let _ = stream.set_nodelay(true);
        let send_queue = Rc::new(SendQueue {
            stream: stream.clone(),
            pending: RefCell::default(),
            queued_bytes: Cell::new(0),
            queued_in_all: Cell::new(0),
            written_in_all: Cell::new(0),
            owed: RefCell::default(),
            carries_calls: Cell::new(false),
            half_closing: Cell::new(false),
            aborted: Cell::new(false),
        });
        let number = send_queues.register(&send_queue);
        let (wake, wake_ups) = bounded(1);
        tasks.spawn("writer", write(send_queues.clone(), send_queue.clone(), wake_ups));
        let reading = send_queue.clone();
        tasks.spawn("reader", async move { read(stream, &reading, mailbox, message_timeout, wrap).await });
        ConnectionHandle { send_queues: send_queues.clone(), send_queue, number, wake }
    }

    /// Marks the connection as one that carries calls: others are closed first when the send queues grow too long.
    pub fn mark_carries_calls(&self) {
        self.send_queue.carries_calls.set(true);
    }

    /// Closes the write half after the queued messages. Messages from the peer are still received until the peer
    /// closes its half or this handle is dropped.
    pub fn close_write(&self) {
        self.send_queue.half_closing.set(true);
        self.wake.close();
    }

    /// Queues a message without waiting; returns false if the connection is closing. A connection whose queue is too
    /// long is closed, so that one slow peer delays no other.
    pub fn write(&self, message: &Message) -> bool {
        if self.is_closing() {
            return false;
        }
        if self.send_queue.limited_bytes() > MAX_QUEUED_BYTES {
            telemetry::queue_limit_exceeded("one queue");
            self.send_queues.abort(&self.send_queue, "its send queue is too long");
            return false;
        }
        let length = self.send_queue.append(message);
        self.wake_writer(length);
        true
    }

    /// Queues a message that an established call is owed, whatever the length of the queue; returns false if the
    /// connection is closing. If it can't be written, [`ConnectionHandle::take_undelivered`] returns it.
    pub fn write_owed(&self, message: Message) -> Result<(), Message> {
        if self.is_closing() {
            return Err(message);
        }
        let length = self.send_queue.append(&message);
        let written_at = self.send_queue.queued_in_all.get();
        self.send_queue.owed.borrow_mut().push_back(OwedMessage { message, length, written_at });
        self.wake_writer(length);
        Ok(())
    }

    /// Number of bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        self.send_queue.queued_bytes.get()
    }

    /// Takes the owed messages that were not written, once the connection has ended.
    pub fn take_undelivered(&self) -> Vec<Message> {
        let owed = std::mem::take(&mut *self.send_queue.owed.borrow_mut());
        owed.into_iter().map(|owed| owed.message).collect()
    }

    fn is_closing(&self) -> bool {
        self.wake.is_closed() || self.send_queue.aborted.get()
    }

    /// Counts queued bytes and wakes the writer.
    fn wake_writer(&self, added: usize) {
        self.send_queues.adjust(&self.send_queue, added, 0);
        // If a wake-up is already queued, it covers this message as well.
        let _ = self.wake.try_send(());
        self.send_queues.enforce_limit();
    }
}

/// The writer: sends what is queued until the handle is dropped or a write fails.
async fn write(send_queues: Rc<SendQueues>, send_queue: Rc<SendQueue>, wake_ups: Receiver<()>) {
    let mut stream = send_queue.stream.clone();
    loop {
        let bytes = std::mem::take(&mut *send_queue.pending.borrow_mut());
        if bytes.is_empty() {
            if wake_ups.recv().await.is_err() && send_queue.pending.borrow().is_empty() {
                break;
            }
            continue;
        }
        let written = with_timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        send_queues.adjust(&send_queue, 0, bytes.len());
        if written.is_ok() {
            send_queue.record_written(bytes.len());
        } else {
            let pending = std::mem::take(&mut *send_queue.pending.borrow_mut()).len();
            send_queues.adjust(&send_queue, 0, pending);
            send_queue.aborted.set(true);
            // The connection has failed: later writes are refused.
            wake_ups.close();
            break;
        }
    }
    let _ = stream.shutdown(if send_queue.half_closing.get() { Shutdown::Write } else { Shutdown::Both });
}

/// Reads the available bytes. The buffer is on the stack, so that an idle connection holds none.
fn read_some(mut stream: &std::net::TcpStream, framer: &mut Framer) -> io::Result<usize> {
    let mut bytes = [0; READ_CHUNK_BYTES];
    let n = stream.read(&mut bytes)?;
    framer.push(&bytes[..n]);
    Ok(n)
}

/// The reader: frames the byte stream and sends each message to the owner's mailbox.
async fn read<M>(
    stream: TcpStream,
    send_queue: &SendQueue,
    mailbox: Sender<M>,
    message_timeout: Duration,
    wrap: impl Fn(ConnectionEvent) -> M,
) {
    let stream: Arc<Async<std::net::TcpStream>> = stream.into();
    let mut framer = Framer::default();
    let turns = Turns::new(MAX_UNHANDLED_MESSAGES);
    let mut message_started = None;
    let close_reason = 'reading: loop {
        let reading = stream.read_with(|socket| read_some(socket, &mut framer));
        let received = match message_started {
            None => reading.await,
            Some(message_started) => {
                let remaining = message_timeout.saturating_sub(Instant::elapsed(&message_started));
                with_timeout(remaining, reading).await
            }
        };
        match received {
            Ok(0) if send_queue.aborted.get() => break CloseReason::ClosedLocally,
            Ok(0) => break CloseReason::Closed,
            Ok(_) => {}
            Err(error) if message_started.is_some() && error.kind() == io::ErrorKind::TimedOut => {
                break CloseReason::CutShort
            }
            Err(error) => break CloseReason::Broken(error),
        }
        loop {
            match framer.next_message() {
                Ok(Some(message)) => {
                    message_started = None;
                    let event = ConnectionEvent::Message(message, turns.next().await);
                    if mailbox.send(wrap(event)).await.is_err() {
                        return;
                    }
                    // Lets other actors run when a peer sends many messages at once.
                    future::yield_now().await;
                }
                Ok(None) => break,
                Err(error) => break 'reading CloseReason::Framing(error),
            }
        }
        framer.free_empty_buffer();
        message_started = framer.has_partial_message().then(|| message_started.unwrap_or_else(Instant::now));
    };
    let _ = mailbox.send(wrap(ConnectionEvent::Ended(close_reason))).await;
}
