//! The messages of the platform's protocol that stand-ins send, and one connection that carries them.

use std::io;

use mallowring::sip::message::{Framer, Message};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

/// Reads whole messages from a stream.
#[derive(Debug)]
pub struct MessageReader {
    stream: TcpStream,
    framer: Framer,
}

impl MessageReader {
    /// A reader at the beginning of a stream.
    pub fn new(stream: TcpStream) -> MessageReader {
        MessageReader { stream, framer: Framer::default() }
    }

    /// The next message; `None` once the stream has ended, broken or lost its bounds.
    pub async fn next(&mut self) -> Option<Message> {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            match self.framer.pull() {
                Ok(Some(Ok(message))) => return Some(message),
                Ok(Some(Err(_))) => continue,
                Ok(None) => {}
                Err(_) => return None,
            }
            match self.stream.read(&mut bytes).await {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.framer.push(&bytes[..n]),
            }
        }
    }
}

/// Writes one message.
pub async fn send(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    stream.write_all(&message.bytes()).await
}

/// The id of a message's call, or nothing.
pub fn call_id(message: &Message) -> String {
    message.get("Call-ID").unwrap_or_default().to_owned()
}

/// The state of a trunk group.
pub fn trunk_group_state(free: u32, size: u32) -> Message {
    Message::request("NOTIFY", "sip:proxy@net")
        .with("Call-ID", "state")
        .with("CSeq", "1 NOTIFY")
        .with("X-Gauges", format!("idle:{free};circuits:{size};reduce:-1;avg_ms:-1"))
}

/// A release with a cause (Q.850): 16 for a call that has come to its end, 41 for one that was cut.
pub fn release_request(call: &str, cause: u32) -> Message {
    Message::request("BYE", "sip:x@net")
        .with("Via", "SIP/2.0/TCP peer")
        .with("Call-ID", call)
        .with("CSeq", "2 BYE")
        .with("Reason", format!("Q.850;cause={cause}"))
}

/// A test.
pub fn options_request() -> Message {
    Message::request("OPTIONS", "sip:ping@net").with("Call-ID", "t").with("CSeq", "1 OPTIONS")
}

/// A set-up, as a caller sends it.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// The id of the call, 16 hex digits.
    pub call_id: String,
    /// The number called, which tells the stand-in exchange what to do ([`Script`]).
    pub number: String,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// The number of the exchange called.
    pub destination: i64,
}

impl SetUp {
    /// The message.
    pub fn message(&self) -> Message {
        let mut message = Message::request("INVITE", &format!("sip:{}@net", self.number))
            .with("Via", "SIP/2.0/TCP peer")
            .with("Call-ID", &self.call_id)
            .with("CSeq", "1 INVITE")
            // The more valuable class: no level but the highest refuses it.
            .with("X-Tier", "alarm")
            .with("X-Deadline", self.deadline_ms)
            .with("X-Attrs", format!("dest:{};width:1;via:-1", self.destination));
        message.body = format!("offer-{}", self.call_id).into_bytes();
        message
    }
}

/// What an exchange does with a call, written in the number called.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallScript {
    /// Milliseconds until the set-up is answered.
    pub answer_ms: u64,
    /// Milliseconds for which the call stands then.
    pub hold_ms: u64,
}

impl CallScript {
    /// The number to call.
    pub fn called_number(&self) -> String {
        format!("a{}-h{}", self.answer_ms, self.hold_ms)
    }

    /// Reads the number in the first line of a set-up.
    pub fn parse(uri: &str) -> Option<CallScript> {
        let number = uri.strip_prefix("sip:")?.split_once('@')?.0;
        let (answer, hold) = number.split_once('-')?;
        let answer_ms = answer.strip_prefix('a')?.parse().ok()?;
        let hold_ms = hold.strip_prefix('h')?.parse().ok()?;
        Some(CallScript { answer_ms, hold_ms })
    }
}
