//! One TCP connection that carries SIP messages: a reader, a writer with a bounded queue, and its handle.

use std::cell::Cell;
use std::io;
use std::net::Shutdown;
use std::rc::Rc;
use std::time::{Duration, Instant};

use smol::channel::{bounded, Receiver, Sender};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;
use smol::{future, Timer};

use super::{or_late, Tasks};
use crate::sip::message::{Framer, Lost, Malformed, Message};

/// Messages, and bytes, that may wait for a slow reader before its connection is given up.
const QUEUE: usize = 1024;
const QUEUED: usize = 64 * 1024;
/// A reader that takes nothing at all for this long is given up.
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Messages in the owner's mailbox beyond which readers wait: what is left of it is for the owner's other news.
const BACKLOG: usize = 64;
const BACK_OFF: Duration = Duration::from_millis(2);

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

/// The owner's end of a connection. Dropping it lets what is queued go out, then closes.
#[derive(Debug)]
pub struct Conn {
    queue: Sender<Vec<u8>>,
    queued: Rc<Cell<usize>>,
    /// Only the way out is closed: what the other side has written is still read.
    finishing: Rc<Cell<bool>>,
    stream: TcpStream,
}

impl Drop for Conn {
    fn drop(&mut self) {
        if self.finishing.get() {
            let _ = self.stream.shutdown(Shutdown::Both);
        }
    }
}

impl Conn {
    /// Starts to read and write. Whatever is read goes to the mailbox under the number given. A message has to be
    /// whole within a time from its first byte.
    pub fn open<M: 'static>(
        tasks: &Tasks,
        stream: TcpStream,
        mailbox: Sender<M>,
        whole_within: Duration,
        wrap: impl Fn(Heard) -> M + 'static,
    ) -> Conn {
        // Small messages at once; where the option fails they only come later.
        let _ = stream.set_nodelay(true);
        let (queue, lines) = bounded(QUEUE);
        let queued = Rc::new(Cell::new(0));
        let finishing = Rc::new(Cell::new(false));
        tasks.spawn(write(stream.clone(), lines, queued.clone(), finishing.clone())).detach();
        let reading = stream.clone();
        tasks.spawn(async move { read(reading, mailbox, whole_within, wrap).await }).detach();
        Conn { queue, queued, finishing, stream }
    }

    /// Lets what is queued go out and closes the way out; what the other side still writes is heard until it closes
    /// too or this is dropped.
    pub fn finish(&self) {
        self.finishing.set(true);
        self.queue.close();
    }

    /// Queues a message. A reader too slow to keep up loses its connection, so that nobody waits for it.
    pub fn write(&self, message: &Message) -> bool {
        let bytes = message.bytes();
        let waiting = self.queued.get();
        let size = bytes.len();
        let queued = waiting <= QUEUED && self.queue.try_send(bytes).is_ok();
        if queued {
            self.queued.set(waiting + size);
        } else if !self.finishing.get() {
            tracing::warn!(peer = ?self.stream.peer_addr().ok(), "slow reader: connection closed");
            let _ = self.stream.shutdown(Shutdown::Both);
        }
        queued
    }
}

async fn write(
    mut stream: TcpStream,
    lines: Receiver<Vec<u8>>,
    queued: Rc<Cell<usize>>,
    finishing: Rc<Cell<bool>>,
) {
    while let Ok(mut bytes) = lines.recv().await {
        while bytes.len() <= 1 << 14 {
            let Ok(more) = lines.try_recv() else { break };
            bytes.extend_from_slice(&more);
        }
        if or_late(WRITE_LIMIT, stream.write_all(&bytes)).await.is_err() {
            break;
        }
        queued.set(queued.get().saturating_sub(bytes.len()));
    }
    let _ = stream.shutdown(if finishing.get() { Shutdown::Write } else { Shutdown::Both });
}

async fn read<M>(
    mut stream: TcpStream,
    mailbox: Sender<M>,
    whole_within: Duration,
    wrap: impl Fn(Heard) -> M,
) {
    let mut framer = Framer::default();
    let mut bytes = vec![0; 4096];
    let mut since = None;
    let over = 'reading: loop {
        let got = match since {
            None => stream.read(&mut bytes).await,
            Some(since) => {
                let left = whole_within.saturating_sub(Instant::elapsed(&since));
                or_late(left, stream.read(&mut bytes)).await
            }
        };
        match got {
            Ok(0) => break Over::Closed,
            Ok(n) => framer.push(&bytes[..n]),
            Err(error) if since.is_some() && error.kind() == io::ErrorKind::TimedOut => break Over::CutShort,
            Err(error) => break Over::Broken(error),
        }
        loop {
            match framer.pull() {
                Ok(Some(message)) => {
                    since = None;
                    while mailbox.len() >= BACKLOG {
                        Timer::after(BACK_OFF).await;
                    }
                    if mailbox.send(wrap(Heard::Message(message))).await.is_err() {
                        return;
                    }
                    // Whoever sends much at a time takes turns with all others.
                    future::yield_now().await;
                }
                Ok(None) => break,
                Err(lost) => break 'reading Over::Framing(lost),
            }
        }
        since = framer.is_within().then(|| since.unwrap_or_else(Instant::now));
    };
    let _ = mailbox.send(wrap(Heard::Over(over))).await;
}
