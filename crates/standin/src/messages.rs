//! Builds, reads and writes the messages of the platform's protocol.

use std::io;

use mallowring::sip::message::{Framer, Message};
use smol::io::{AsyncReadExt, AsyncWriteExt};
use smol::net::TcpStream;

/// Reads complete messages from a stream.
#[derive(Debug)]
pub struct MessageReader {
    stream: TcpStream,
    framer: Framer,
}

impl MessageReader {
    /// Creates a reader that starts at a message boundary of the stream.
    pub fn new(stream: TcpStream) -> MessageReader {
        MessageReader { stream, framer: Framer::default() }
    }

    /// Returns the next message that can be parsed; `None` once the stream has ended, failed or lost its framing.
    pub async fn next(&mut self) -> Option<Message> {
        let mut bytes = vec![0; 16 * 1024];
        loop {
            match self.framer.next_message() {
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

/// Writes one message to the stream.
pub async fn send(stream: &mut TcpStream, message: &Message) -> io::Result<()> {
    stream.write_all(&message.to_bytes()).await
}

/// Returns the Call-ID of a message, or an empty string if it has none.
pub fn call_id_of(message: &Message) -> String {
    message.get("Call-ID").unwrap_or_default().to_owned()
}

/// Builds the NOTIFY that reports the free circuits and the size of a trunk group.
pub fn trunk_group_state(free: u32, size: u32) -> Message {
    Message::request("NOTIFY", "sip:proxy@net")
        .with("Call-ID", "state")
        .with("CSeq", "1 NOTIFY")
        .with("X-Gauges", format!("idle:{free};circuits:{size};reduce:-1;avg_ms:-1"))
}

/// Builds a release (BYE) with a cause (Q.850): 16 for a normal end of the call, 41 for an interrupted call.
pub fn release_request(call: &str, cause: u32) -> Message {
    Message::request("BYE", "sip:x@net")
        .with("Via", "SIP/2.0/TCP peer")
        .with("Call-ID", call)
        .with("CSeq", "2 BYE")
        .with("Reason", format!("Q.850;cause={cause}"))
}

/// Builds an OPTIONS request, which tests whether the peer answers.
pub fn options_request() -> Message {
    Message::request("OPTIONS", "sip:ping@net").with("Call-ID", "t").with("CSeq", "1 OPTIONS")
}

/// A set-up (INVITE) as a caller sends it.
#[derive(Clone, Debug)]
pub struct SetUp {
    /// The Call-ID: 16 hexadecimal digits.
    pub call_id: String,
    /// The called number, which tells the stand-in exchange how to handle the call ([`CallScript`]).
    pub number: String,
    /// Time the caller waits for a final answer, in milliseconds.
    pub deadline_ms: u64,
    /// The number of the called exchange.
    pub destination: i64,
}

impl SetUp {
    /// Builds the INVITE.
    pub fn message(&self) -> Message {
        let mut message = Message::request("INVITE", &format!("sip:{}@net", self.number))
            .with("Via", "SIP/2.0/TCP peer")
            .with("Call-ID", &self.call_id)
            .with("CSeq", "1 INVITE")
            // The more valuable class: it is refused only at the highest overload level.
            .with("X-Tier", "alarm")
            .with("X-Deadline", self.deadline_ms)
            .with("X-Attrs", format!("dest:{};width:1;via:-1", self.destination));
        message.body = format!("offer-{}", self.call_id).into_bytes();
        message
    }
}

/// How a stand-in exchange handles a call, encoded in the called number.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallScript {
    /// Time until the set-up is answered, in milliseconds.
    pub answer_ms: u64,
    /// Holding time of the call after the answer, in milliseconds.
    pub hold_ms: u64,
}

impl CallScript {
    /// Returns the called number that encodes the script.
    pub fn called_number(&self) -> String {
        format!("a{}-h{}", self.answer_ms, self.hold_ms)
    }

    /// Parses the script from the request URI of a set-up.
    pub fn parse(uri: &str) -> Option<CallScript> {
        let number = uri.strip_prefix("sip:")?.split_once('@')?.0;
        let (answer, hold) = number.split_once('-')?;
        let answer_ms = answer.strip_prefix('a')?.parse().ok()?;
        let hold_ms = hold.strip_prefix('h')?.parse().ok()?;
        Some(CallScript { answer_ms, hold_ms })
    }
}
