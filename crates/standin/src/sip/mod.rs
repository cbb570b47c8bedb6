//! Stand-ins for the SIP front of a proxy (RFC 3261) over TCP: callers, an exchange, and clients that flood it.

pub mod caller;
pub mod exchange;
pub mod flood;

use std::cell::Cell;
use std::net::SocketAddr;

use mallowring::sip::message::Message;

/// Numbers the branches and tags of one stand-in.
#[derive(Debug, Default)]
struct Numbers(Cell<u64>);

impl Numbers {
    fn next(&self) -> u64 {
        let number = self.0.get();
        self.0.set(number + 1);
        number
    }
}

/// Starts a request with the headers that each one needs.
fn request(method: &str, uri: &str, local: SocketAddr, branch: &str) -> Message {
    Message::request(method, uri)
        .with("Via", format!("SIP/2.0/TCP {local};branch=z9hG4bK{branch}"))
        .with("Max-Forwards", 70)
}

/// Starts a request within the dialog of a message that the other side has sent: its From and To change places.
fn request_in_dialog(method: &str, of: &Message, local: SocketAddr, branch: &str, number: u32) -> Message {
    let from_peer = of.method().is_some();
    let (from, to) = if from_peer { ("To", "From") } else { ("From", "To") };
    let target = of.get("Contact").map_or("", mallowring::sip::header::addr_spec);
    request(method, if target.is_empty() { "sip:peer@127.0.0.1" } else { target }, local, branch)
        .with("From", of.get(from).unwrap_or_default())
        .with("To", of.get(to).unwrap_or_default())
        .with("Call-ID", of.get("Call-ID").unwrap_or_default())
        .with("CSeq", format!("{number} {method}"))
}
