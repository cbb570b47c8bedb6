//! Parsing of the header values that transactions and dialogs depend on: Via, From, To, Contact and their
//! URIs.

use std::net::{IpAddr, SocketAddr};

/// The transport protocol that carries a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Transport {
    /// Datagrams. The transaction layer retransmits what may have been lost.
    Udp,
    /// A reliable byte stream.
    Tcp,
}

impl Transport {
    /// Returns the name used in a Via header.
    pub fn name(self) -> &'static str {
        match self {
            Transport::Udp => "UDP",
            Transport::Tcp => "TCP",
        }
    }

    /// Parses a transport name, in any case.
    pub fn parse(name: &str) -> Option<Transport> {
        match name.to_ascii_lowercase().as_str() {
            "udp" => Some(Transport::Udp),
            "tcp" => Some(Transport::Tcp),
            _ => None,
        }
    }
}

/// The source or the destination of a message. For TCP, the address is that of the remote end of the
/// connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Hop {
    /// The transport protocol.
    pub transport: Transport,
    /// The IP address and port.
    pub addr: SocketAddr,
}

/// The default port for SIP over UDP and TCP (RFC 3261, section 19.1.2).
pub const DEFAULT_PORT: u16 = 5060;

/// Returns the first value of a comma-separated header.
pub fn first_value(value: &str) -> &str {
    split_first_value(value).0
}

/// Splits a comma-separated header into its first value, without the white space around it, and the rest from the
/// comma on. Commas inside quotes or angle brackets do not separate values.
pub fn split_first_value(value: &str) -> (&str, &str) {
    let (mut quoted, mut depth) = (false, 0_u32);
    for (ix, byte) in value.bytes().enumerate() {
        match byte {
            b'"' => quoted = !quoted,
            b'<' if !quoted => depth += 1,
            b'>' if !quoted => depth = depth.saturating_sub(1),
            b',' if !quoted && depth == 0 => {
                let (first, rest) = value.split_at(ix);
                return (first.trim(), rest);
            }
            _ => {}
        }
    }
    (value.trim(), "")
}

/// Returns the value of a parameter that follows a semicolon, or an empty string for a parameter without a
/// value.
pub fn parameter<'a>(value: &'a str, name: &str) -> Option<&'a str> {
    value.split(';').skip(1).find_map(|p| {
        let (n, v) = p.split_once('=').unwrap_or((p, ""));
        n.trim().eq_ignore_ascii_case(name).then(|| v.trim())
    })
}

/// Returns the tag of a From or To header value.
pub fn tag(value: &str) -> Option<&str> {
    let after = value.rsplit_once('>').map_or(value, |(_, after)| after);
    // Without angle brackets, all parameters belong to the header (RFC 3261, section 20).
    parameter(after, "tag").filter(|tag| !tag.is_empty())
}

/// Returns the URI of a From, To or Contact header value, without the display name and the header parameters.
pub fn addr_spec(value: &str) -> &str {
    let value = first_value(value);
    match value.split_once('<') {
        Some((_, rest)) => rest.split('>').next().unwrap_or("").trim(),
        None => value.split(';').next().unwrap_or("").trim(),
    }
}

/// Returns the URI of a Contact header value if it can be the address of a request: not empty, and without white space,
/// which would make the request line unreadable.
pub fn contact_uri(value: &str) -> Option<&str> {
    let uri = addr_spec(value);
    let is_part_of_uri = |c: char| !c.is_whitespace() && !c.is_control();
    (!uri.is_empty() && uri.chars().all(is_part_of_uri)).then_some(uri)
}

/// The parts of a `sip:` URI (RFC 3261, section 19.1).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Uri<'a> {
    /// The user part before the `@`, empty if there is none.
    pub user: &'a str,
    /// The host as written in the URI.
    pub host: &'a str,
    /// The port, if the URI contains one.
    pub port: Option<u16>,
    /// The transport, if the URI contains a known one.
    pub transport: Option<Transport>,
}

impl<'a> Uri<'a> {
    /// Parses a URI. Returns `None` if it is not a valid `sip:` URI.
    pub fn parse(text: &'a str) -> Option<Uri<'a>> {
        let (scheme, rest) = text.split_once(':')?;
        if !scheme.eq_ignore_ascii_case("sip") {
            return None;
        }
        let bare = rest.split('?').next()?;
        let transport = parameter(bare, "transport").and_then(Transport::parse);
        let bare = bare.split(';').next()?;
        let (user, host_and_port) = bare.rsplit_once('@').unwrap_or(("", bare));
        let (host, port) = host_port(host_and_port)?;
        Some(Uri { user: user.split(':').next().unwrap_or(""), host, port, transport })
    }

    /// Returns the destination that the URI names, if its host is an IP address.
    pub fn hop(&self) -> Option<Hop> {
        let ip: IpAddr = self.host.trim_matches(['[', ']']).parse().ok()?;
        let addr = SocketAddr::new(ip, self.port.unwrap_or(DEFAULT_PORT));
        Some(Hop { transport: self.transport.unwrap_or(Transport::Udp), addr })
    }
}

/// Splits a host and its optional port, with support for bracketed IPv6 addresses.
fn host_port(text: &str) -> Option<(&str, Option<u16>)> {
    let text = text.trim();
    let colon = text.rfind(':').filter(|ix| text.rfind(']').is_none_or(|bracket| bracket < *ix));
    match colon {
        _ if text.is_empty() => None,
        Some(ix) => Some((&text[..ix], Some(text[ix + 1..].trim().parse().ok()?))),
        None => Some((text, None)),
    }
}

/// The topmost Via header value (RFC 3261, section 20.42).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Via<'a> {
    /// The transport as the sender declares it; the message may have arrived over another one.
    pub transport: &'a str,
    /// The sent-by value: the host and optional port at which the sender expects responses.
    pub sent_by: &'a str,
    /// The branch parameter, which identifies the transaction.
    pub branch: Option<&'a str>,
    /// Whether the sender requests responses to the source port of its request (RFC 3581).
    pub rport: bool,
}

impl<'a> Via<'a> {
    /// Parses the first value of a Via header.
    pub fn parse(value: &'a str) -> Option<Via<'a>> {
        let value = first_value(value);
        let rest = value.strip_prefix("SIP/2.0/")?;
        let (transport, rest) = rest.split_once(char::is_whitespace)?;
        let sent_by = rest.split(';').next()?.trim();
        host_port(sent_by)?;
        let (branch, rport) = (parameter(value, "branch"), parameter(value, "rport").is_some());
        Some(Via { transport, sent_by, branch, rport })
    }

    /// Returns the port at which the sender expects responses.
    pub fn port(&self) -> u16 {
        host_port(self.sent_by).and_then(|(_, port)| port).unwrap_or(DEFAULT_PORT)
    }
}
