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

use super::{post_with_backpressure, with_timeout, Tasks};
use crate::limits::memory::{slowest, Queue};
use crate::sip::message::{Framer, Lost, Malformed, Message};
use crate::telemetry;

/// Bytes that may wait for a slow reader before its connection is given up.
const QUEUED: usize = 64 * 1024;
/// A reader that takes nothing at all for this long is given up.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// The most bytes read at a time.
const READ_AT_ONCE: usize = 4096;

/// What a connection brings to its owner.
#[derive(Debug)]
pub enum Heard {
    /// A message, or what stood in its place.
    Message(Result<Message, Malformed>),
    /// It is over; nothing follows.
    Over(Over),
}

/// How a connection ended.
#[derive(Debug)]
pub enum Over {
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
struct Outbox {
    stream: TcpStream,
    waiting: RefCell<Vec<u8>>,
    /// Bytes that wait, with those in the hands of the writer.
    size: Cell<usize>,
    /// It has brought a call, or leads to an exchange.
    proven: Cell<bool>,
    /// Only the way out is closed: what the other side has written is still read.
    finishing: Cell<bool>,
    /// It was cut, and counts no longer.
    cut: Cell<bool>,
}

/// All outboxes of the proxy, and the bytes that they may hold together.
#[derive(Debug)]
pub struct Outboxes {
    limit: usize,
    total: Cell<usize>,
    next: Cell<u64>,
    all: RefCell<BTreeMap<u64, Weak<Outbox>>>,
}

impl Outboxes {
    /// None yet, with so many bytes for all.
    pub fn new(limit: usize) -> Rc<Outboxes> {
        Rc::new(Outboxes { limit, total: Cell::new(0), next: Cell::new(0), all: RefCell::default() })
    }

    /// Bytes that wait on all connections.
    pub fn queued(&self) -> usize {
        self.total.get()
    }

    fn add(&self, outbox: &Rc<Outbox>) -> u64 {
        let number = self.next.get();
        self.next.set(number + 1);
        self.all.borrow_mut().insert(number, Rc::downgrade(outbox));
        number
    }

    fn count(&self, outbox: &Outbox, added: usize, written: usize) {
        if outbox.cut.get() {
            return;
        }
        outbox.size.set((outbox.size.get() + added).saturating_sub(written));
        self.total.set((self.total.get() + added).saturating_sub(written));
    }

    /// Cuts whoever is furthest behind until what waits fits again.
    fn make_room(&self) {
        while self.total.get() > self.limit {
            let all = self.all.borrow();
            let queue = |(number, outbox): (&u64, &Weak<Outbox>)| {
                let outbox = outbox.upgrade()?;
                Some(Queue { connection: *number, bytes: outbox.size.get(), proven: outbox.proven.get() })
            };
            let Some(number) = slowest(all.iter().filter_map(queue)) else { return };
            let Some(outbox) = all.get(&number).and_then(Weak::upgrade) else { return };
            telemetry::queue_cut("all queues");
            self.cut(&outbox, "all queues together hold too much");
        }
    }

    /// Ends a connection and frees what waits on it.
    fn cut(&self, outbox: &Outbox, reason: &'static str) {
        let peer = outbox.stream.peer_addr().ok();
        tracing::warn!(?peer, reason, bytes = outbox.size.get(), "slow reader: connection closed");
        let _ = outbox.stream.shutdown(Shutdown::Both);
        outbox.waiting.borrow_mut().clear();
        // With what the writer holds.
        self.count(outbox, 0, outbox.size.get());
        outbox.cut.set(true);
    }
}

/// The owner's end of a connection. Dropping it lets what waits go out, then closes.
#[derive(Debug)]
pub struct Conn {
    outboxes: Rc<Outboxes>,
    outbox: Rc<Outbox>,
    number: u64,
    /// Wakes the writer; closed, the writer ends.
    wake: Sender<()>,
}

impl Drop for Conn {
    fn drop(&mut self) {
        self.outboxes.all.borrow_mut().remove(&self.number);
        if self.outbox.finishing.get() {
            let _ = self.outbox.stream.shutdown(Shutdown::Both);
        }
    }
}

impl Conn {
    /// Starts to read and write. Whatever is read goes to the mailbox under the number given. A message has to be
    /// whole within a time from its first byte.
    pub fn open<M: 'static>(
        tasks: &Tasks,
        outboxes: &Rc<Outboxes>,
        stream: TcpStream,
        mailbox: Sender<M>,
        whole_within: Duration,
        wrap: impl Fn(Heard) -> M + 'static,
    ) -> Conn {
        // Small messages at once; where the option fails they only come later.
        let _ = stream.set_nodelay(true);
        let outbox = Rc::new(Outbox {
            stream: stream.clone(),
            waiting: RefCell::default(),
            size: Cell::new(0),
            proven: Cell::new(false),
            finishing: Cell::new(false),
            cut: Cell::new(false),
        });
        let number = outboxes.add(&outbox);
        let (wake, woken) = bounded(1);
        tasks.spawn(write(outboxes.clone(), outbox.clone(), woken)).detach();
        tasks.spawn(async move { read(stream, mailbox, whole_within, wrap).await }).detach();
        Conn { outboxes: outboxes.clone(), outbox, number, wake }
    }

    /// It has brought a call, or leads to an exchange: others are cut before it.
    pub fn prove(&self) {
        self.outbox.proven.set(true);
    }

    /// Lets what waits go out and closes the way out; what the other side still writes is heard until it closes too or
    /// this is dropped.
    pub fn finish(&self) {
        self.outbox.finishing.set(true);
        self.wake.close();
    }

    /// Queues a message. A reader too slow to keep up loses its connection, so that nobody waits for it.
    pub fn write(&self, message: &Message) -> bool {
        if self.wake.is_closed() || self.outbox.cut.get() {
            return false;
        }
        if self.outbox.size.get() > QUEUED {
            telemetry::queue_cut("one queue");
            self.outboxes.cut(&self.outbox, "its reader is too slow");
            return false;
        }
        let bytes = message.bytes();
        self.outboxes.count(&self.outbox, bytes.len(), 0);
        self.outbox.waiting.borrow_mut().extend_from_slice(&bytes);
        // One that waits already wakes the writer for this as well.
        let _ = self.wake.try_send(());
        self.outboxes.make_room();
        true
    }
}

async fn write(outboxes: Rc<Outboxes>, outbox: Rc<Outbox>, woken: Receiver<()>) {
    let mut stream = outbox.stream.clone();
    loop {
        let bytes = std::mem::take(&mut *outbox.waiting.borrow_mut());
        if bytes.is_empty() {
            if woken.recv().await.is_err() && outbox.waiting.borrow().is_empty() {
                break;
            }
            continue;
        }
        let written = with_timeout(WRITE_LIMIT, stream.write_all(&bytes)).await;
        outboxes.count(&outbox, 0, bytes.len());
        if written.is_err() {
            let waiting = std::mem::take(&mut *outbox.waiting.borrow_mut()).len();
            outboxes.count(&outbox, 0, waiting);
            // Whatever else is queued has nowhere to go.
            woken.close();
            break;
        }
    }
    let _ = stream.shutdown(if outbox.finishing.get() { Shutdown::Write } else { Shutdown::Both });
}

/// Reads what is there; between reads a connection holds no buffer.
fn read_some(mut stream: &std::net::TcpStream, framer: &mut Framer) -> io::Result<usize> {
    let mut bytes = [0; READ_AT_ONCE];
    let n = stream.read(&mut bytes)?;
    framer.push(&bytes[..n]);
    Ok(n)
}

async fn read<M>(stream: TcpStream, mailbox: Sender<M>, whole_within: Duration, wrap: impl Fn(Heard) -> M) {
    let stream: Arc<Async<std::net::TcpStream>> = stream.into();
    let mut framer = Framer::default();
    let mut since = None;
    let over = 'reading: loop {
        let reading = stream.read_with(|socket| read_some(socket, &mut framer));
        let got = match since {
            None => reading.await,
            Some(since) => {
                let left = whole_within.saturating_sub(Instant::elapsed(&since));
                with_timeout(left, reading).await
            }
        };
        match got {
            Ok(0) => break Over::Closed,
            Ok(_) => {}
            Err(error) if since.is_some() && error.kind() == io::ErrorKind::TimedOut => break Over::CutShort,
            Err(error) => break Over::Broken(error),
        }
        loop {
            match framer.pull() {
                Ok(Some(message)) => {
                    since = None;
                    if !post_with_backpressure(&mailbox, wrap(Heard::Message(message))).await {
                        return;
                    }
                    // Whoever sends much at a time takes turns with all others.
                    future::yield_now().await;
                }
                Ok(None) => break,
                Err(lost) => break 'reading Over::Framing(lost),
            }
        }
        framer.shrink();
        since = framer.is_within().then(|| since.unwrap_or_else(Instant::now));
    };
    let _ = mailbox.send(wrap(Heard::Over(over))).await;
}
