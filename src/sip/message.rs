//! SIP messages: parsing, serialization and framing on a stream (RFC 3261, sections 7 and 18.3).

use thiserror::Error;

/// Largest size of a message in bytes, including its header section and its body.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Largest body in bytes that is skipped to reach the next message; a larger one ends the stream, since it is
/// not worth reading.
const MAX_SKIPPED_BODY_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// The start-line of a message (RFC 3261, section 7).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartLine {
    /// A request.
    Request {
        /// The method, such as `INVITE`.
        method: String,
        /// The Request-URI.
        uri: String,
    },
    /// A response.
    Response {
        /// The status code.
        status: u16,
        /// The reason phrase.
        reason: String,
    },
}

/// A SIP message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Message {
    /// The start-line.
    pub start_line: StartLine,
    /// The headers in the order received, without `Content-Length`, which follows from the body.
    pub headers: Vec<(String, String)>,
    /// The body, empty if there is none.
    pub body: Vec<u8>,
}

/// A message with known bounds that cannot be parsed. The stream it arrived on stays usable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("malformed message: {problem}")]
pub struct MalformedMessage {
    /// The reason why the message cannot be parsed.
    pub problem: &'static str,
    /// The headers that could be parsed, for building an error response.
    pub headers: Vec<(String, String)>,
    /// Whether the message looks like a response. Responses are never answered.
    pub is_response: bool,
}

/// Reports that the bounds of the next message on a stream cannot be determined, so the stream must be
/// closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("framing lost: {0}")]
pub struct FramingError(pub &'static str);

/// Expands the compact form of a header name (RFC 3261, section 7.3.3).
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

/// Returns the value of the first header with the given name.
pub fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

impl Message {
    /// Creates a request without headers.
    pub fn request(method: &str, uri: &str) -> Self {
        let start_line = StartLine::Request { method: method.to_owned(), uri: uri.to_owned() };
        Message { start_line, headers: Vec::new(), body: Vec::new() }
    }

    /// Creates a response with the headers copied from the request that RFC 3261, section 8.2.6.2 requires.
    pub fn response(status: u16, reason: &str, request_headers: &[(String, String)]) -> Self {
        let copied = ["Via", "From", "To", "Call-ID", "CSeq"];
        let is_copied = |(n, _): &&(String, String)| copied.iter().any(|c| n.eq_ignore_ascii_case(c));
        let headers = request_headers.iter().filter(is_copied).cloned().collect();
        Message {
            start_line: StartLine::Response { status, reason: reason.to_owned() },
            headers,
            body: Vec::new(),
        }
    }

    /// Appends a header. A line break in the value becomes a space.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        let value = value.to_string().replace(['\r', '\n'], " ");
        self.headers.push((name.to_owned(), value));
        self
    }

    /// Returns the value of the first header with the given name.
    pub fn get(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns the method of a request, or `None` for a response.
    pub fn method(&self) -> Option<&str> {
        match &self.start_line {
            StartLine::Request { method, .. } => Some(method),
            StartLine::Response { .. } => None,
        }
    }

    /// Returns the status code of a response, or `None` for a request.
    pub fn status(&self) -> Option<u16> {
        match self.start_line {
            StartLine::Request { .. } => None,
            StartLine::Response { status, .. } => Some(status),
        }
    }

    /// Returns the sequence number and the method of `CSeq`.
    pub fn cseq(&self) -> Option<(u32, &str)> {
        let mut parts = self.get("CSeq")?.split_ascii_whitespace();
        let number = parts.next()?.parse().ok()?;
        Some((number, parts.next()?))
    }

    /// Returns the approximate memory that the message occupies, in bytes.
    pub fn approximate_bytes(&self) -> usize {
        let header_bytes =
            |(name, value): &(String, String)| name.len() + value.len() + size_of::<(String, String)>();
        self.headers.iter().map(header_bytes).sum::<usize>() + self.body.len()
    }

    /// Serializes the message and adds its `Content-Length`.
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

    /// Parses a datagram. Without a `Content-Length` the body extends to the end of the datagram (RFC 3261,
    /// section 18.3).
    pub fn parse_datagram(bytes: &[u8]) -> Result<Message, MalformedMessage> {
        let without_headers = |problem| MalformedMessage {
            problem,
            headers: Vec::new(),
            is_response: bytes.starts_with(b"SIP/"),
        };
        let Some((head, body)) = split_head(bytes) else {
            return Err(without_headers("the header section does not end"));
        };
        let (headers, length) = parse_headers(head).map_err(|error| without_headers(error.0))?;
        let body = &bytes[body..];
        let length = length.unwrap_or(body.len());
        match body.get(..length) {
            Some(body) => parse_message(head, headers, body.to_vec()),
            None => Err(malformed("the body is shorter than its Content-Length", head, headers)),
        }
    }
}

/// Names and values of headers in the order received.
type Headers = Vec<(String, String)>;

fn malformed(problem: &'static str, head: &[u8], headers: Headers) -> MalformedMessage {
    MalformedMessage { problem, headers, is_response: head.starts_with(b"SIP/") }
}

/// Returns the header section without its final empty line, and the offset of the body.
fn split_head(bytes: &[u8]) -> Option<(&[u8], usize)> {
    bytes.iter().enumerate().filter(|(_, b)| **b == b'\n').find_map(|(ix, _)| {
        let rest = &bytes[ix + 1..];
        let blank = if rest.starts_with(b"\r\n") { 2 } else { usize::from(rest.starts_with(b"\n")) };
        (blank > 0).then(|| (&bytes[..ix + 1], ix + 1 + blank))
    })
}

/// Parses the headers and the `Content-Length`. Only an invalid or contradictory `Content-Length` is an
/// error, since it leaves the bounds of the message unknown; other faults are left for [`parse_message`].
fn parse_headers(head: &[u8]) -> Result<(Headers, Option<usize>), FramingError> {
    let text = String::from_utf8_lossy(head);
    let mut headers: Headers = Vec::new();
    let mut length = None;
    for line in text.lines().skip(1) {
        if line.starts_with([' ', '\t']) {
            if let Some((_, value)) = headers.last_mut() {
                let continued = line.trim();
                if !value.is_empty() && !continued.is_empty() {
                    value.push(' ');
                }
                value.push_str(continued);
            }
            continue;
        }
        // A line without a colon gets an empty name, which `parse_message` rejects.
        let (name, value) = line.split_once(':').unwrap_or(("", line));
        let (name, value) = (full_name(name.trim()), value.trim());
        if !name.eq_ignore_ascii_case("Content-Length") {
            headers.push((name.to_owned(), value.to_owned()));
            continue;
        }
        let digits = !value.is_empty() && value.bytes().all(|b| b.is_ascii_digit());
        let n =
            value.parse().ok().filter(|_| digits).ok_or(FramingError("Content-Length is not a number"))?;
        if length.is_some_and(|old| old != n) {
            return Err(FramingError("two Content-Length headers differ"));
        }
        length = Some(n);
    }
    Ok((headers, length))
}

/// Whether the text is a token (RFC 3261, section 25.1).
fn is_token(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-.!%*_+`'~".contains(&b))
}

/// Parses the start-line and checks the headers that every message must have.
fn parse_message(head: &[u8], headers: Headers, body: Vec<u8>) -> Result<Message, MalformedMessage> {
    let error = |problem| Err(malformed(problem, head, headers.clone()));
    let Ok(text) = std::str::from_utf8(head) else { return error("the header section is not UTF-8") };
    let line = text.lines().next().unwrap_or("");
    let start_line = if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let (code, reason) = rest.split_once(' ').unwrap_or((rest, ""));
        match code.parse::<u16>() {
            Ok(status @ 100..=699) if code.len() == 3 => {
                StartLine::Response { status, reason: reason.to_owned() }
            }
            _ => return error("the status code is invalid"),
        }
    } else {
        let parts: Vec<_> = line.split(' ').collect();
        match parts[..] {
            [method, uri, "SIP/2.0"] if is_token(method) && !uri.is_empty() => {
                StartLine::Request { method: method.to_owned(), uri: uri.to_owned() }
            }
            _ => return error("the request line is invalid"),
        }
    };
    if headers.iter().any(|(name, _)| !is_token(name)) {
        return error("a header name is missing or invalid");
    }
    let message = Message { start_line, headers, body };
    if message.get("Call-ID").is_none_or(str::is_empty) {
        return Err(malformed("Call-ID is missing", head, message.headers));
    }
    match (message.cseq(), message.method()) {
        (None, _) => Err(malformed("CSeq is missing or invalid", head, message.headers)),
        (Some((_, cseq_method)), Some(method)) if cseq_method != method => {
            Err(malformed("the method in CSeq differs from the request method", head, message.headers))
        }
        _ => Ok(message),
    }
}

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Framer {
    /// Received bytes that no returned message contains yet.
    buffer: Vec<u8>,
    /// Remaining bytes of an oversized body that are skipped as they arrive.
    bytes_to_skip: usize,
}

impl Framer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Frees the memory of an empty buffer, since a connection may stay idle for a long time.
    pub fn free_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Whether a message has been received in part.
    pub fn has_partial_message(&self) -> bool {
        self.bytes_to_skip > 0 || !self.buffer.is_empty()
    }

    /// Returns the next message, or `None` until it has been received in full.
    pub fn next_message(&mut self) -> Result<Option<Result<Message, MalformedMessage>>, FramingError> {
        let skipped = self.bytes_to_skip.min(self.buffer.len());
        self.buffer.drain(..skipped);
        self.bytes_to_skip -= skipped;
        // Line breaks between messages are keep-alives (RFC 5626, section 3.5.1).
        let keep_alive = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.buffer.drain(..keep_alive);
        let Some((head, body)) = split_head(&self.buffer) else {
            let long = self.buffer.len() > MAX_MESSAGE_BYTES;
            return if long { Err(FramingError("a header section does not end")) } else { Ok(None) };
        };
        if body > MAX_MESSAGE_BYTES {
            return Err(FramingError("a header section is too long"));
        }
        let (headers, length) = parse_headers(head)?;
        let length = length.ok_or(FramingError("a message has no Content-Length"))?;
        if length > MAX_SKIPPED_BODY_BYTES {
            return Err(FramingError("a body is too long to skip"));
        }
        if length > MAX_MESSAGE_BYTES - body {
            // The bounds of the message are known, so its body is skipped and the stream stays usable.
            let error = malformed("the message is too long", head, headers);
            self.bytes_to_skip = length;
            self.buffer.drain(..body);
            return Ok(Some(Err(error)));
        }
        if self.buffer.len() < body + length {
            return Ok(None);
        }
        let message = parse_message(head, headers, self.buffer[body..body + length].to_vec());
        self.buffer.drain(..body + length);
        Ok(Some(message))
    }
}
