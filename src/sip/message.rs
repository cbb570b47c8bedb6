//! SIP messages: reading, writing and framing on a stream (RFC 3261, sections 7 and 18.3).

use thiserror::Error;

/// The most bytes of one message, head and body.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// The longest body that is passed over to find the next message; a longer one is not worth its reading.
const PASSABLE: usize = 4 * MAX_MESSAGE_BYTES;

/// The first line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request.
    Request {
        /// Its method.
        method: String,
        /// Its address.
        uri: String,
    },
    /// A response.
    Response {
        /// Its code.
        status: u16,
        /// Its phrase.
        reason: String,
    },
}

/// One message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The first line.
    pub start_line: StartLine,
    /// The headers in their order, without `Content-Length`, which the body tells.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A message whose bounds are known but that can't be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("malformed message: {problem}")]
pub struct MalformedMessage {
    /// What is wrong with it.
    pub problem: &'static str,
    /// What could be read of its headers, to answer by.
    pub headers: Vec<(String, String)>,
    /// It looks like a response, which is never answered.
    pub is_response: bool,
}

/// The bounds of the next message are unknown: the stream is of no more use.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("framing lost: {0}")]
pub struct FramingError(pub &'static str);

/// The full name of a header's compact form.
fn full_name(name: &str) -> &str {
    let [byte] = name.as_bytes() else { return name };
    match byte.to_ascii_lowercase() {
        b'i' => "Call-ID",
        b'f' => "From",
        b't' => "To",
        b'v' => "Via",
        b'm' => "Contact",
        b'l' => "Content-Length",
        b'c' => "Content-Type",
        b'e' => "Content-Encoding",
        b'k' => "Supported",
        b's' => "Subject",
        _ => name,
    }
}

/// The value of the first header of a name.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

impl Message {
    /// A request without headers.
    pub fn request(method: &str, uri: &str) -> Self {
        let start = StartLine::Request { method: method.to_owned(), uri: uri.to_owned() };
        Message { start_line: start, headers: Vec::new(), body: Vec::new() }
    }

    /// A response that carries the headers that RFC 3261, 8.2.6.2 wants copied.
    pub fn response(status: u16, reason: &str, to: &[(String, String)]) -> Self {
        let copied = ["Via", "From", "To", "Call-ID", "CSeq"];
        let copy = |(n, _): &&(String, String)| copied.iter().any(|c| n.eq_ignore_ascii_case(c));
        let headers = to.iter().filter(copy).cloned().collect();
        Message {
            start_line: StartLine::Response { status, reason: reason.to_owned() },
            headers,
            body: Vec::new(),
        }
    }

    /// The same with one more header. A line break in the value becomes a space.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        let value = value.to_string().replace(['\r', '\n'], " ");
        self.headers.push((name.to_owned(), value));
        self
    }

    /// The value of the first header of a name.
    pub fn get(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// The method of a request.
    pub fn method(&self) -> Option<&str> {
        match &self.start_line {
            StartLine::Request { method, .. } => Some(method),
            StartLine::Response { .. } => None,
        }
    }

    /// The code of a response.
    pub fn status(&self) -> Option<u16> {
        match self.start_line {
            StartLine::Request { .. } => None,
            StartLine::Response { status, .. } => Some(status),
        }
    }

    /// The number and the method in `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &str)> {
        let mut parts = self.get("CSeq")?.split_ascii_whitespace();
        let number = parts.next()?.parse().ok()?;
        Some((number, parts.next()?))
    }

    /// The message as it goes out.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut head = match &self.start_line {
            StartLine::Request { method, uri } => format!("{method} {uri} SIP/2.0\r\n"),
            StartLine::Response { status, reason } => format!("SIP/2.0 {status} {reason}\r\n"),
        };
        for (name, value) in &self.headers {
            head.push_str(name);
            head.push_str(": ");
            head.push_str(value);
            head.push_str("\r\n");
        }
        head.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads a datagram. A missing length means all of the rest (RFC 3261, 18.3).
    pub fn parse_datagram(bytes: &[u8]) -> Result<Message, MalformedMessage> {
        let bare = |what| MalformedMessage {
            problem: what,
            headers: Vec::new(),
            is_response: bytes.starts_with(b"SIP/"),
        };
        let Some((head, body)) = split(bytes) else { return Err(bare("its head has no end")) };
        let (lines, length) = headers(head).map_err(|lost| bare(lost.0))?;
        let body = &bytes[body..];
        let length = length.unwrap_or(body.len());
        match body.get(..length) {
            Some(body) => read(head, lines, body.to_vec()),
            None => Err(malformed("its body is cut short", head, lines)),
        }
    }
}

type Headers = Vec<(String, String)>;

fn malformed(what: &'static str, head: &[u8], headers: Headers) -> MalformedMessage {
    MalformedMessage { problem: what, headers, is_response: head.starts_with(b"SIP/") }
}

/// Where a head ends (without its empty line), and where its body begins.
fn split(bytes: &[u8]) -> Option<(&[u8], usize)> {
    bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').find_map(|(ix, _)| {
        let rest = &bytes[ix + 1..];
        let blank = if rest.starts_with(b"\r\n") { 2 } else { usize::from(rest.starts_with(b"\n")) };
        (blank > 0).then(|| (&bytes[..ix + 1], ix + 1 + blank))
    })
}

/// The headers that can be read, and the length of the body. Only a length that contradicts itself or is no
/// number loses the bounds of the message.
fn headers(head: &[u8]) -> Result<(Headers, Option<usize>), FramingError> {
    let text = String::from_utf8_lossy(head);
    let mut headers: Headers = Vec::new();
    let mut length = None;
    for line in text.lines().skip(1) {
        if line.starts_with([' ', '\t']) {
            if let Some((_, value)) = headers.last_mut() {
                value.push(' ');
                value.push_str(line.trim());
            }
            continue;
        }
        // A line without a colon is marked by an empty name, for `read` to find.
        let (name, value) = line.split_once(':').unwrap_or(("", line));
        let (name, value) = (full_name(name.trim()), value.trim());
        if !name.eq_ignore_ascii_case("Content-Length") {
            headers.push((name.to_owned(), value.to_owned()));
            continue;
        }
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let n = value.parse().ok().filter(|_| digits).ok_or(FramingError("Content-Length is no number"))?;
        if length.is_some_and(|old| old != n) {
            return Err(FramingError("Content-Length is said twice"));
        }
        length = Some(n);
    }
    Ok((headers, length))
}

fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&b))
}

/// Reads the first line and checks the headers that every message needs.
fn read(head: &[u8], headers: Headers, body: Vec<u8>) -> Result<Message, MalformedMessage> {
    let fault = |what| Err(malformed(what, head, headers.clone()));
    let Ok(text) = std::str::from_utf8(head) else { return fault("its head is not UTF-8") };
    let line = text.lines().next().unwrap_or("");
    let start = if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let (code, reason) = rest.split_once(' ').unwrap_or((rest, ""));
        match code.parse::<u16>() {
            Ok(status @ 100..=699) if code.len() == 3 => {
                StartLine::Response { status, reason: reason.to_owned() }
            }
            _ => return fault("its code is no code"),
        }
    } else {
        let parts: Vec<_> = line.split(' ').collect();
        match parts[..] {
            [method, uri, "SIP/2.0"] if is_token(method) && !uri.is_empty() => {
                StartLine::Request { method: method.to_owned(), uri: uri.to_owned() }
            }
            _ => return fault("its first line is no request line"),
        }
    };
    if headers.iter().any(|(name, _)| !is_token(name)) {
        return fault("a header has no name");
    }
    let message = Message { start_line: start, headers, body };
    if message.get("Call-ID").is_none_or(str::is_empty) {
        return Err(malformed("it has no Call-ID", head, message.headers));
    }
    match (message.cseq(), message.method()) {
        (None, _) => Err(malformed("it has no CSeq", head, message.headers)),
        (Some((_, said)), Some(method)) if said != method => {
            Err(malformed("its CSeq names another method", head, message.headers))
        }
        _ => Ok(message),
    }
}

/// Cuts a stream into messages as its bytes come in.
#[derive(Debug, Default)]
pub struct Framer {
    held: Vec<u8>,
    /// Bytes of an overlong body that are still to be passed over.
    skip: usize,
}

impl Framer {
    /// Takes what has come in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// Frees what an empty buffer holds, for a connection that may be idle for long.
    pub fn shrink(&mut self) {
        if self.held.is_empty() {
            self.held = Vec::new();
        }
    }

    /// Whether a message has begun whose end is not in.
    pub fn has_partial_message(&self) -> bool {
        self.skip > 0 || !self.held.is_empty()
    }

    /// The next whole message, if it is in.
    pub fn next_message(&mut self) -> Result<Option<Result<Message, MalformedMessage>>, FramingError> {
        let passed = self.skip.min(self.held.len());
        self.held.drain(..passed);
        self.skip -= passed;
        // Line breaks between messages keep a connection alive (RFC 5626, 3.5.1).
        let blank = self.held.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.held.drain(..blank);
        let Some((head, body)) = split(&self.held) else {
            let long = self.held.len() > MAX_MESSAGE_BYTES;
            return if long { Err(FramingError("a head has no end")) } else { Ok(None) };
        };
        if body > MAX_MESSAGE_BYTES {
            return Err(FramingError("a head is too long"));
        }
        let (lines, length) = headers(head)?;
        let length = length.ok_or(FramingError("a message has no Content-Length"))?;
        if length > PASSABLE {
            return Err(FramingError("a body is far too long"));
        }
        if length > MAX_MESSAGE_BYTES - body {
            // Its bounds are known: it is passed over, and the stream goes on.
            let fault = malformed("it is too long", head, lines);
            self.skip = length;
            self.held.drain(..body);
            return Ok(Some(Err(fault)));
        }
        if self.held.len() < body + length {
            return Ok(None);
        }
        let message = read(head, lines, self.held[body..body + length].to_vec());
        self.held.drain(..body + length);
        Ok(Some(message))
    }
}
