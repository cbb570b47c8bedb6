//! One TCP connection that carries SIP messages: a reader, a writer with a bounded outbox, and its handle.
//!
//! An outbox costs what it holds. All outboxes together hold no more than their part of the memory
//! ([`crate::limits::memory`]): beyond it the connection that is furthest behind is cut.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, Read};
use std::net::Shutdown;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::channel::{bounded, Receiver, Sender};
use smol::io::AsyncWriteExt;
use smol::net::TcpStream;
use smol::{future, Async};

use super::{post_throttled, with_timeout, Tasks};
use crate::limits::memory::{slowest, Queue};
use crate::sip::message::{Framer, Lost, Malformed, Message};
use crate::telemetry;

/// Bytes that may wait for a slow reader before its connection is given up.
const MAX_QUEUED_BYTES: usize = 64 * 1024;
/// A reader that takes nothing at all for this long is given up.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The most bytes read at a time.
const READ_CHUNK_BYTES: usize = 4096;

/// What a connection brings to its owner.
#[derive(Debug)]
pub enum ConnectionEvent {
    /// A message, or what stood in its place.
    Message(Result<Message, Malformed>),
    /// It is over; nothing follows.
    Ended(CloseReason),
}

/// How a connection ended.
#[derive(Debug)]
pub enum CloseReason {
    /// The other side closed it.
    Closed,
    /// It broke.
    Broken(io::Error),
    /// The bounds of messages were lost.
    Framing(Lost),
    /// A message began and its rest did not come.
    CutShort,
}

/// What waits to be written on one connection.
#[derive(Debug)]
struct SendQueue {
    stream: TcpStream,
    pending: RefCell<Vec<u8>>,
    /// Bytes that wait, with those in the hands of the writer.
    queued_bytes: Cell<usize>,
    /// It has brought a call, or leads to an exchange.
    carries_calls: Cell<bool>,
    /// Only the way out is closed: what the other side has written is still read.
    half_closing: Cell<bool>,
    /// It was cut, and counts no longer.
    aborted: Cell<bool>,
}

/// All outboxes of the proxy, and the bytes that they may hold together.
#[derive(Debug)]
pub struct SendQueues {
    limit: usize,
    total: Cell<usize>,
    next_number: Cell<u64>,
    all: RefCell<BTreeMap<u64, Weak<SendQueue>>>,
}

impl SendQueues {
    /// None yet, with so many bytes for all.
    pub fn new(limit: usize) -> Rc<SendQueues> {
        Rc::new(SendQueues { limit, total: Cell::new(0), next_number: Cell::new(0), all: RefCell::default() })
    }

    /// Bytes that wait on all connections.
    pub fn total_bytes(&self) -> usize {
        self.total.get()
    }

    fn register(&self, send_queue: &Rc<SendQueue>) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.all.borrow_mut().insert(number, Rc::downgrade(send_queue));
        number
    }

    fn adjust(&self, send_queue: &SendQueue, added: usize, written: usize) {
        if send_queue.aborted.get() {
            return;
        }
        send_queue.queued_bytes.set((send_queue.queued_bytes.get() + added).saturating_sub(written));
        self.total.set((self.total.get() + added).saturating_sub(written));
    }

    /// Cuts whoever is furthest behind until what waits fits again.
    fn enforce_limit(&self) {
        while self.total.get() > self.limit {
            let all = self.all.borrow();
            let queue = |(number, send_queue): (&u64, &Weak<SendQueue>)| {
                let send_queue = send_queue.upgrade()?;
                Some(Queue {
                    connection: *number,
                    bytes: send_queue.queued_bytes.get(),
                    proven: send_queue.carries_calls.get(),
                })
            };
            let Some(number) = slowest(all.iter().filter_map(queue)) else { return };
            let Some(send_queue) = all.get(&number).and_then(Weak::upgrade) else { return };
            telemetry::queue_cut("all queues");
            self.abort(&send_queue, "all queues together hold too much");
        }
    }

    /// Ends a connection and frees what waits on it.
    fn abort(&self, send_queue: &SendQueue, reason: &'static str) {
        let peer = send_queue.stream.peer_addr().ok();
        tracing::warn!(
            ?peer,
            reason,
            bytes = send_queue.queued_bytes.get(),
            "slow reader: connection closed"
        );
        let _ = send_queue.stream.shutdown(Shutdown::Both);
        send_queue.pending.borrow_mut().clear();
        // With what the writer holds.
        self.adjust(send_queue, 0, send_queue.queued_bytes.get());
        send_queue.aborted.set(true);
    }
}

/// The owner's end of a connection. Dropping it lets what waits go out, then closes.
#[derive(Debug)]
pub struct ConnectionHandle {
    send_queues: Rc<SendQueues>,
    send_queue: Rc<SendQueue>,
    number: u64,
    /// Wakes the writer; closed, the writer ends.
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
    /// Starts to read and write. Whatever is read goes to the mailbox under the number given. A message has to be
    /// whole within a time from its first byte.
    pub fn open<M: 'static>(
        tasks: &Tasks,
        send_queues: &Rc<SendQueues>,
        stream: TcpStream,
        mailbox: Sender<M>,
        message_timeout: Duration,
        wrap: impl Fn(ConnectionEvent) -> M + 'static,
    ) -> ConnectionHandle {
        // Small messages at once; where the option fails they only come later.
        let _ = stream.set_nodelay(true);
        let send_queue = Rc::new(SendQueue {
            stream: stream.clone(),
            pending: RefCell::default(),
            queued_bytes: Cell::new(0),
            carries_calls: Cell::new(false),
            half_closing: Cell::new(false),
            aborted: Cell::new(false),
        });
        let number = send_queues.register(&send_queue);
        let (wake, wake_ups) = bounded(1);
        tasks.spawn(write(send_queues.clone(), send_queue.clone(), wake_ups)).detach();
        tasks.spawn(async move { read(stream, mailbox, message_timeout, wrap).await }).detach();
        ConnectionHandle { send_queues: send_queues.clone(), send_queue, number, wake }
    }

    /// It has brought a call, or leads to an exchange: others are cut before it.
    pub fn mark_carries_calls(&self) {
        self.send_queue.carries_calls.set(true);
    }

    /// Lets what waits go out and closes the way out; what the other side still writes is heard until it closes too or
    /// this is dropped.
    pub fn close_write(&self) {
        self.send_queue.half_closing.set(true);
        self.wake.close();
    }

    /// Queues a message. A reader too slow to keep up loses its connection, so that nobody waits for it.
    pub fn write(&self, message: &Message) -> bool {
        if self.wake.is_closed() || self.send_queue.aborted.get() {
            return false;
        }
        if self.send_queue.queued_bytes.get() > MAX_QUEUED_BYTES {
            telemetry::queue_cut("one queue");
            self.send_queues.abort(&self.send_queue, "its reader is too slow");
            return false;
        }
        let bytes = message.bytes();
        self.send_queues.adjust(&self.send_queue, bytes.len(), 0);
        self.send_queue.pending.borrow_mut().extend_from_slice(&bytes);
        // One that waits already wakes the writer for this as well.
        let _ = self.wake.try_send(());
        self.send_queues.enforce_limit();
        true
    }
}

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
        if written.is_err() {
            let pending = std::mem::take(&mut *send_queue.pending.borrow_mut()).len();
            send_queues.adjust(&send_queue, 0, pending);
            // Whatever else is queued has nowhere to go.
            wake_ups.close();
            break;
        }
    }
    let _ = stream.shutdown(if send_queue.half_closing.get() { Shutdown::Write } else { Shutdown::Both });
}

/// Reads what is there; between reads a connection holds no buffer.
fn read_some(mut stream: &std::net::TcpStream, framer: &mut Framer) -> io::Result<usize> {
    let mut bytes = [0; READ_CHUNK_BYTES];
    let n = stream.read(&mut bytes)?;
    framer.push(&bytes[..n]);
    Ok(n)
}

async fn read<M>(
    stream: TcpStream,
    mailbox: Sender<M>,
    message_timeout: Duration,
    wrap: impl Fn(ConnectionEvent) -> M,
) {
    let stream: Arc<Async<std::net::TcpStream>> = stream.into();
    let mut framer = Framer::default();
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
            Ok(0) => break CloseReason::Closed,
            Ok(_) => {}
            Err(error) if message_started.is_some() && error.kind() == io::ErrorKind::TimedOut => {
                break CloseReason::CutShort
            }
            Err(error) => break CloseReason::Broken(error),
        }
        loop {
            match framer.pull() {
                Ok(Some(message)) => {
                    message_started = None;
                    if !post_throttled(&mailbox, wrap(ConnectionEvent::Message(message))).await {
                        return;
                    }
                    // Whoever sends much at a time takes turns with all others.
                    future::yield_now().await;
                }
                Ok(None) => break,
                Err(error) => break 'reading CloseReason::Framing(error),
            }
        }
        framer.shrink();
        message_started = framer.is_within().then(|| message_started.unwrap_or_else(Instant::now));
    };
    let _ = mailbox.send(wrap(ConnectionEvent::Ended(close_reason))).await;
}
