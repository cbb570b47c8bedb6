//! The memory of all connections: what waits to be written on each, and what was received and is not handled yet.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Instant;

use smol::Async;

use crate::limits::inbound::InboundBudget;
use crate::limits::memory::{connection_to_cut, OutboundQueue};
use crate::limits::slow_reader::{ReadingProgress, LONG_QUEUE_BYTES};
use crate::sip::message::Message;
use crate::telemetry;

/// A message that has to be delivered, on another connection if need be.
#[derive(Debug)]
pub(super) struct OwedMessage {
    pub(super) message: Message,
    /// Number of bytes written to the connection when all of it is written.
    pub(super) written_at: u64,
}

/// The bytes waiting to be written to one connection.
#[derive(Debug)]
pub(super) struct SendQueue {
    pub(super) socket: Arc<Async<TcpStream>>,
    pending: RefCell<VecDeque<u8>>,
    /// Number of bytes ever queued, and ever written.
    pub(super) queued_in_all: Cell<u64>,
    written_in_all: Cell<u64>,
    /// How the peer reads.
    progress: Cell<ReadingProgress>,
    /// The owed messages that are not written yet, oldest first.
    pub(super) owed: RefCell<VecDeque<OwedMessage>>,
    /// The peer has set up a call, or is an exchange.
    pub(super) carries_calls: Cell<bool>,
    /// Only the write half is to be closed; the read half stays open.
    pub(super) half_closing: Cell<bool>,
    /// This proxy has closed the connection without sending everything. Its bytes no longer count.
    pub(super) aborted: Cell<bool>,
}

/// The buffers of all connections, with the memory budgets they share.
#[derive(Debug)]
pub struct ConnectionBuffers {
    /// Limit of `total`.
    limit: usize,
    /// Bytes that wait to be written on all connections.
    total: Cell<usize>,
    next_number: Cell<u64>,
    pub(super) all: RefCell<BTreeMap<u64, Weak<SendQueue>>>,
    /// What was received and is not handled yet.
    pub(super) inbound: RefCell<InboundBudget>,
}

impl SendQueue {
    /// Whether this proxy has closed the connection without sending everything.
    pub(super) fn was_aborted(&self) -> bool {
        self.aborted.get()
    }

    /// Creates an empty queue of a connection.
    pub(super) fn new(socket: Arc<Async<TcpStream>>) -> Rc<SendQueue> {
        Rc::new(SendQueue {
            socket,
            pending: RefCell::default(),
            queued_in_all: Cell::new(0),
            written_in_all: Cell::new(0),
            progress: Cell::default(),
            owed: RefCell::default(),
            carries_calls: Cell::new(false),
            half_closing: Cell::new(false),
            aborted: Cell::new(false),
        })
    }

    /// Number of bytes that wait to be written.
    pub(super) fn queued_bytes(&self) -> usize {
        self.pending.borrow().len()
    }

    /// Whether the peer has more to read than the socket takes at once.
    pub(super) fn is_long(&self) -> bool {
        self.queued_bytes() > LONG_QUEUE_BYTES
    }

    /// Whether the queue stays long because the peer reads too little.
    pub(super) fn is_read_too_slowly(&self, now: Instant) -> bool {
        let mut progress = self.progress.get();
        let is_too_slow = progress.is_too_slow(now, self.queued_bytes(), self.written_in_all.get());
        self.progress.set(progress);
        is_too_slow
    }

    /// Appends a message; returns its length.
    pub(super) fn append(&self, message: &Message) -> usize {
        let bytes = message.to_bytes();
        self.queued_in_all.set(self.queued_in_all.get() + bytes.len() as u64);
        self.pending.borrow_mut().extend(&bytes);
        bytes.len()
    }

    /// Writes what the socket takes at once; returns the number of bytes.
    fn write_some(&self, mut socket: &TcpStream) -> io::Result<usize> {
        let mut pending = self.pending.borrow_mut();
        let n = socket.write(pending.as_slices().0)?;
        pending.drain(..n);
        if pending.is_empty() {
            // An idle connection holds no buffer.
            *pending = VecDeque::new();
        }
        Ok(n)
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

impl ConnectionBuffers {
    /// Creates an empty set with a budget of `outbound` bytes for what waits to be written, and one of `inbound` bytes
    /// for what was received.
    pub fn new(outbound: usize, inbound: usize) -> Rc<ConnectionBuffers> {
        Rc::new(ConnectionBuffers {
            limit: outbound,
            total: Cell::new(0),
            next_number: Cell::new(0),
            all: RefCell::default(),
            inbound: RefCell::new(InboundBudget::new(inbound)),
        })
    }

    /// Bytes queued on all connections.
    pub fn total_bytes(&self) -> usize {
        self.total.get()
    }

    pub(super) fn register(&self, send_queue: &Rc<SendQueue>) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.all.borrow_mut().insert(number, Rc::downgrade(send_queue));
        number
    }

    /// Counts a message that was appended to a queue.
    pub(super) fn count_queued(&self, bytes: usize) {
        self.total.set(self.total.get() + bytes);
    }

    /// Writes what the socket of a queue takes at once; returns the number of bytes.
    pub(super) fn write_some(&self, send_queue: &SendQueue, socket: &TcpStream) -> io::Result<usize> {
        let n = send_queue.write_some(socket)?;
        send_queue.record_written(n);
        self.total.set(self.total.get() - n);
        Ok(n)
    }

    /// Writes what the socket of a queue takes now, without waiting for it. A failure is left to the writer.
    pub(super) fn flush(&self, send_queue: &SendQueue) -> usize {
        self.write_some(send_queue, send_queue.socket.get_ref()).unwrap_or(0)
    }

    /// Drops what is queued on a connection, which is closed or has failed.
    pub(super) fn drop_queued(&self, send_queue: &SendQueue) {
        let dropped = std::mem::take(&mut *send_queue.pending.borrow_mut()).len();
        self.total.set(self.total.get() - dropped);
        send_queue.aborted.set(true);
    }

    /// Writes what sockets take, and aborts connections, in the order given by [`connection_to_cut`], until the queued
    /// bytes fit the budget.
    pub(super) fn enforce_limit(&self) {
        while self.total.get() > self.limit {
            let all = self.all.borrow();
            let queue = |(number, send_queue): (&u64, &Weak<SendQueue>)| {
                let send_queue = send_queue.upgrade()?;
                Some(OutboundQueue {
                    connection: *number,
                    bytes: send_queue.queued_bytes(),
                    proven: send_queue.carries_calls.get(),
                })
            };
            let Some(number) = connection_to_cut(all.iter().filter_map(queue)) else { return };
            let Some(send_queue) = all.get(&number).and_then(Weak::upgrade) else { return };
            if self.flush(&send_queue) > 0 {
                continue;
            }
            telemetry::queue_limit_exceeded("all queues");
            self.abort_queue(&send_queue, "the send queues exceed their memory budget");
        }
    }

    /// Closes a connection, given by its number, and drops its queued bytes.
    pub(super) fn abort(&self, number: u64, reason: &'static str) {
        if let Some(send_queue) = self.all.borrow().get(&number).and_then(Weak::upgrade) {
            self.abort_queue(&send_queue, reason);
        }
    }

    /// Closes a connection and drops its queued bytes.
    pub(super) fn abort_queue(&self, send_queue: &SendQueue, reason: &'static str) {
        let peer = send_queue.socket.get_ref().peer_addr().ok();
        tracing::warn!(?peer, reason, bytes = send_queue.queued_bytes(), "connection closed");
        let _ = send_queue.socket.get_ref().shutdown(Shutdown::Both);
        self.drop_queued(send_queue);
    }
}
