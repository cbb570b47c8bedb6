//! The reader of a connection: splits the byte stream into frames, and passes each to the owner's mailbox. What it holds
//! counts against the memory of received data ([`crate::limits::inbound`]).

use std::io::{self, Read};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use smol::channel::Sender;
use smol::{future, Async, Timer};

use super::buffers::{ConnectionBuffers, SendQueue};
use super::{CloseReason, ConnectionEvent, Received};
use crate::limits::inbound::Admission;
use crate::net::turns::{Turn, Turns, SHORT_MESSAGE_BYTES};
use crate::net::with_timeout;
use crate::sip::message::{Frame, Framer, FramingError};
use crate::telemetry;

/// Short messages of one connection that wait for its owner. Further ones stay in the socket.
const MAX_UNHANDLED_MESSAGES: usize = 4;
/// Bytes read per system call.
const READ_CHUNK_BYTES: usize = 4096;
/// Pause before a reader looks again whether it may read what its socket holds.
const RETRY_DELAY: Duration = Duration::from_millis(2);

/// The number of short messages whose place a message takes.
fn weight(frame: &Frame) -> usize {
    frame.memory_bytes().div_ceil(SHORT_MESSAGE_BYTES).clamp(1, MAX_UNHANDLED_MESSAGES)
}

/// What one attempt to read has brought.
enum Progress {
    Bytes(usize),
    /// There is no memory for more at present, or the peer has to read first.
    Wait,
}

/// The memory and the turn of a frame that waits in a mailbox. Both are given back when it is dropped.
#[derive(Debug)]
pub struct QueuedFrame {
    buffers: Rc<ConnectionBuffers>,
    connection: u64,
    bytes: usize,
    _turn: Turn,
    /// Its place among the long messages of the mailbox.
    _long_turn: Option<Turn>,
}

impl Drop for QueuedFrame {
    fn drop(&mut self) {
        self.buffers.inbound.borrow_mut().frame_handled(self.connection, self.bytes);
    }
}

/// What bounds the reading of a connection.
#[derive(Clone, Debug)]
pub struct ReadLimits {
    /// Time within which a message has to be complete, from its first byte.
    pub message_timeout: Duration,
    /// The long messages that all connections of one mailbox may have in it.
    pub long_messages: Turns,
    /// The peer has to read what waits for it before more of its messages are read, so that its requests can't make a
    /// long queue longer.
    pub waits_for_peer: bool,
}

/// The reading side of one connection.
pub(super) struct Reader {
    pub(super) buffers: Rc<ConnectionBuffers>,
    pub(super) send_queue: Rc<SendQueue>,
    pub(super) connection: u64,
    pub(super) limits: ReadLimits,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.buffers.inbound.borrow_mut().connection_ended(self.connection);
    }
}

impl Reader {
    /// Reads until the connection ends or its owner does.
    pub(super) async fn run<M>(
        self,
        stream: Arc<Async<std::net::TcpStream>>,
        mailbox: Sender<M>,
        wrap: impl Fn(ConnectionEvent) -> M,
    ) {
        let mut framer = Framer::default();
        let turns = Turns::new(MAX_UNHANDLED_MESSAGES);
        let mut message_started = None;
        let close_reason = loop {
            match self.read_some(&stream, &mut framer, message_started).await {
                Ok(_) => {}
                Err(reason) => break reason,
            }
            match self.pass_on_frames(&mut framer, &turns, &mailbox, &wrap).await {
                Ok(0) => {}
                Ok(_) => message_started = None,
                Err(error) => break CloseReason::Framing(error),
            }
            if mailbox.is_closed() {
                return;
            }
            let is_incomplete = framer.has_partial_message();
            message_started = is_incomplete.then(|| message_started.unwrap_or_else(Instant::now));
            self.count_buffer(&mut framer);
        };
        drop(framer);
        // Frees the memory of the connection before its owner learns of the end.
        drop(self);
        let _ = mailbox.send(wrap(ConnectionEvent::Ended(close_reason))).await;
    }

    /// Reads what has arrived, as soon as there is memory for it.
    async fn read_some(
        &self,
        stream: &Async<std::net::TcpStream>,
        framer: &mut Framer,
        message_started: Option<Instant>,
    ) -> Result<(), CloseReason> {
        let reading = async {
            loop {
                match stream.read_with(|socket| self.try_read(socket, framer)).await? {
                    Progress::Bytes(n) => return Ok(n),
                    Progress::Wait => Timer::after(RETRY_DELAY).await,
                };
            }
        };
        let received = match message_started {
            None => reading.await,
            Some(started) => {
                let remaining = self.limits.message_timeout.saturating_sub(started.elapsed());
                with_timeout(remaining, reading).await
            }
        };
        match received {
            Ok(0) if self.send_queue.was_aborted() => Err(CloseReason::ClosedLocally),
            Ok(0) => Err(CloseReason::Closed),
            Ok(_) => Ok(()),
            Err(error) if message_started.is_some() && error.kind() == io::ErrorKind::TimedOut => {
                Err(CloseReason::CutShort)
            }
            Err(error) => Err(CloseReason::Broken(error)),
        }
    }

    /// Reads the available bytes if there is memory for them. They are read to the stack, so that an idle connection
    /// holds no buffer.
    fn try_read(&self, mut socket: &std::net::TcpStream, framer: &mut Framer) -> io::Result<Progress> {
        if self.limits.waits_for_peer && self.send_queue.is_long() {
            return Ok(Progress::Wait);
        }
        let admission = self.buffers.inbound.borrow().admit(self.connection, READ_CHUNK_BYTES);
        match admission {
            Admission::Granted => {}
            Admission::Wait => return Ok(Progress::Wait),
            Admission::AfterClosing(victim) => {
                telemetry::queue_limit_exceeded("received data");
                self.buffers.abort(victim, "received data exceeds its memory budget");
                return Ok(Progress::Wait);
            }
        }
        let mut bytes = [0; READ_CHUNK_BYTES];
        let n = socket.read(&mut bytes)?;
        framer.push(&bytes[..n]);
        self.count_buffer(framer);
        Ok(Progress::Bytes(n))
    }

    /// Sends the complete messages to the owner, one in each turn; returns their number.
    async fn pass_on_frames<M>(
        &self,
        framer: &mut Framer,
        turns: &Turns,
        mailbox: &Sender<M>,
        wrap: &impl Fn(ConnectionEvent) -> M,
    ) -> Result<usize, FramingError> {
        let mut passed_on = 0;
        while let Some(frame) = framer.next_frame()? {
            passed_on += 1;
            let turn = turns.next_of_weight(weight(&frame)).await;
            let long_turn = match weight(&frame) {
                1 => None,
                _ => Some(self.limits.long_messages.next().await),
            };
            let received = self.queue(frame, turn, long_turn);
            self.count_buffer(framer);
            if mailbox.send(wrap(ConnectionEvent::Received(received))).await.is_err() {
                break;
            }
            // Lets other actors run when a peer sends many messages at once.
            future::yield_now().await;
        }
        Ok(passed_on)
    }

    fn queue(&self, frame: Frame, turn: Turn, long_turn: Option<Turn>) -> Received {
        let bytes = frame.memory_bytes();
        self.buffers.inbound.borrow_mut().frame_queued(self.connection, bytes);
        let (buffers, connection) = (self.buffers.clone(), self.connection);
        let queued = QueuedFrame { buffers, connection, bytes, _turn: turn, _long_turn: long_turn };
        Received { frame, queued }
    }

    fn count_buffer(&self, framer: &mut Framer) {
        framer.free_empty_buffer();
        let mut inbound = self.buffers.inbound.borrow_mut();
        inbound.set_buffered(self.connection, framer.memory_bytes(), framer.has_partial_message());
    }
}
