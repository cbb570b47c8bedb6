//! The inside of the headers that transactions and dialogs rest on: Via, From and To, Contact, addresses.

use std::net::{IpAddr, SocketAddr};

/// The ways a message travels.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Transport {
    /// Datagrams: lost ones are sent again.
    Udp,
    /// Connections.
    Tcp,
}

impl Transport {
    /// Its name in a Via.
    pub fn name(self) -> &'static str {
        match self {
            Transport::Udp => "UDP",
            Transport::Tcp => "TCP",
        }
    }

    /// Reads a name.
    pub fn parse(name: &str) -> Option<Transport> {
        match name.to_ascii_lowercase().as_str() {
            "udp" => Some(Transport::Udp),
            "tcp" => Some(Transport::Tcp),
            _ => None,
        }
    }
}

/// Where a message goes or comes from. A TCP one names the far end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hop {
    /// How.
    pub transport: Transport,
    /// Where.
    pub addr: SocketAddr,
}

/// The port where none is named.
pub const DEFAULT_PORT: u16 = 5060;

/// The first of the values that a header may list, split where no quote or bracket is open.
pub fn first_value(value: &str) -> &str {
    let (mut quoted, mut depth) = (false, 0_u32);
    for (ix, byte) in value.bytes().enumerate() {
        match byte {
            b'"' => quoted = !quoted,
            b'<' if !quoted => depth += 1,
            b'>' if !quoted => depth = depth.saturating_sub(1),
            b',' if !quoted && depth == 0 => return value[..ix].trim(),
            _ => {}
        }
    }
    value.trim()
}

/// The value of a parameter behind semicolons; empty where it has none.
pub fn parameter<'a>(value: &'a str, name: &str) -> Option<&'a str> {
    value.split(';').skip(1).find_map(|p| {
        let (n, v) = p.split_once('=').unwrap_or((p, ""));
        n.trim().eq_ignore_ascii_case(name).then(|| v.trim())
    })
}

/// The tag of a From or To.
pub fn tag(value: &str) -> Option<&str> {
    let after = value.rsplit_once('>').map_or(value, |(_, after)| after);
    // Without brackets all parameters are the header's own (RFC 3261, 20).
    parameter(after, "tag").filter(|tag| !tag.is_empty())
}

/// The address in a From, To or Contact, without its name and the header's parameters.
pub fn addr_spec(value: &str) -> &str {
    let value = first_value(value);
    match value.split_once('<') {
        Some((_, rest)) => rest.split('>').next().unwrap_or("").trim(),
        None => value.split(';').next().unwrap_or("").trim(),
    }
}

/// The parts of a `sip:` address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Uri<'a> {
    /// Before the `@`; empty where there is none.
    pub user: &'a str,
    /// The host as written.
    pub host: &'a str,
    /// The port, where it is named.
    pub port: Option<u16>,
    /// The transport, where it is named.
    pub transport: Option<Transport>,
}

impl<'a> Uri<'a> {
    /// Reads an address; `None` where it is no `sip:` one.
    pub fn parse(text: &'a str) -> Option<Uri<'a>> {
        let (scheme, rest) = text.split_once(':')?;
        if !scheme.eq_ignore_ascii_case("sip") {
            return None;
        }
        let bare = rest.split('?').next()?;
        let transport = parameter(bare, "transport").and_then(Transport::parse);
        let bare = bare.split(';').next()?;
        let (user, place) = bare.rsplit_once('@').unwrap_or(("", bare));
        let (host, port) = host_port(place)?;
        Some(Uri { user: user.split(':').next().unwrap_or(""), host, port, transport })
    }

    /// Where it leads, if its host is a number address.
    pub fn hop(&self) -> Option<Hop> {
        let ip: IpAddr = self.host.trim_matches(['[', ']']).parse().ok()?;
        let addr = SocketAddr::new(ip, self.port.unwrap_or(DEFAULT_PORT));
        Some(Hop { transport: self.transport.unwrap_or(Transport::Udp), addr })
    }
}

fn host_port(text: &str) -> Option<(&str, Option<u16>)> {
    let text = text.trim();
    let colon = text.rfind(':').filter(|ix| text.rfind(']').is_none_or(|bracket| bracket < *ix));
    match colon {
        _ if text.is_empty() => None,
        Some(ix) => Some((&text[..ix], Some(text[ix + 1..].trim().parse().ok()?))),
        None => Some((text, None)),
    }
}

/// The topmost Via.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Via<'a> {
    /// As said by the sender; a message may come another way.
    pub transport: &'a str,
    /// Host and port that responses are wanted at.
    pub sent_by: &'a str,
    /// Names the transaction.
    pub branch: Option<&'a str>,
    /// The sender wants responses at the port its request came from (RFC 3581).
    pub rport: bool,
}

impl<'a> Via<'a> {
    /// Reads the first value of a Via.
    pub fn parse(value: &'a str) -> Option<Via<'a>> {
        let value = first_value(value);
        let rest = value.strip_prefix("SIP/2.0/")?;
        let (transport, rest) = rest.split_once(char::is_whitespace)?;
        let sent_by = rest.split(';').next()?.trim();
        host_port(sent_by)?;
        let (branch, rport) = (parameter(value, "branch"), parameter(value, "rport").is_some());
        Some(Via { transport, sent_by, branch, rport })
    }

    /// The port that responses are wanted at.
    pub fn port(&self) -> u16 {
        host_port(self.sent_by).and_then(|(_, port)| port).unwrap_or(DEFAULT_PORT)
    }
}
