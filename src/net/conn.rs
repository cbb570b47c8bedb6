//! One TCP connection that carries SIP messages: a reader, a writer with a bounded queue, and its handle.

use std::io;
use std::net::Shutdown;

use smol::channel::{bounded, Receiver, Sender};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

use super::Tasks;
use crate::sip::message::{Framer, Lost, Malformed, Message};

/// Messages that may wait for a slow reader before its connection is given up.
const QUEUE: usize = 1024;

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
}

/// The owner's end of a connection. Dropping it lets what is queued go out, then closes.
#[derive(Debug)]
pub struct Conn {
    queue: Sender<Vec<u8>>,
    stream: TcpStream,
}

impl Conn {
    /// Starts to read and write. Whatever is read goes to the mailbox under the number given.
    pub fn open<M: 'static>(
        tasks: &Tasks,
        stream: TcpStream,
        mailbox: Sender<M>,
        wrap: impl Fn(Heard) -> M + 'static,
    ) -> Conn {
        // Small messages at once; where the option fails they only come later.
        let _ = stream.set_nodelay(true);
        let (queue, lines) = bounded(QUEUE);
        tasks.spawn(write(stream.clone(), lines)).detach();
        let reading = stream.clone();
        tasks.spawn(async move { read(reading, mailbox, wrap).await }).detach();
        Conn { queue, stream }
    }

    /// Queues a message. A reader too slow to keep up loses its connection, so that nobody waits for it.
    pub fn write(&self, message: &Message) -> bool {
        let queued = self.queue.try_send(message.bytes()).is_ok();
        if !queued {
            tracing::warn!(peer = ?self.stream.peer_addr().ok(), "slow reader: connection closed");
            let _ = self.stream.shutdown(Shutdown::Both);
        }
        queued
    }
}

async fn write(mut stream: TcpStream, lines: Receiver<Vec<u8>>) {
    while let Ok(mut bytes) = lines.recv().await {
        while let Ok(more) = lines.try_recv() {
            bytes.extend_from_slice(&more);
            if bytes.len() > 1 << 16 {
                break;
            }
        }
        if stream.write_all(&bytes).await.is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

async fn read<M>(mut stream: TcpStream, mailbox: Sender<M>, wrap: impl Fn(Heard) -> M) {
    let mut framer = Framer::default();
    let mut bytes = vec![0; 8192];
    let over = 'reading: loop {
        match stream.read(&mut bytes).await {
            Ok(0) => break Over::Closed,
            Ok(n) => framer.push(&bytes[..n]),
            Err(error) => break Over::Broken(error),
        }
        loop {
            match framer.pull() {
                Ok(Some(message)) => {
                    if mailbox.send(wrap(Heard::Message(message))).await.is_err() {
                        return;
                    }
                }
                Ok(None) => break,
                Err(lost) => break 'reading Over::Framing(lost),
            }
        }
    };
    let _ = mailbox.send(wrap(Heard::Over(over))).await;
}
