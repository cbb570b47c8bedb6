//! SIP messages: parsing, serialization and framing on a stream (RFC 3261, sections 7 and 18.3).

use thiserror::Error;

/// Largest size of a message in bytes, including its header section and its body.
pub const MAX_MESSAGE_BYTES: usize = 16 * 1024;
/// Largest body in bytes that is skipped to reach the next message; a larger one ends the stream, since it is
/// not worth reading.
const MAX_SKIPPED_BODY_BYTES: usize = 4 * MAX_MESSAGE_BYTES;

/// Smallest block of memory that the allocator hands out, and the bytes that it adds to each.
const MIN_ALLOCATION_BYTES: usize = 32;
const ALLOCATION_HEADER_BYTES: usize = 8;

/// Memory in bytes that an allocation of this size takes.
fn allocated_bytes(size: usize) -> usize {
    match size {
        0 => 0,
        _ => (size + ALLOCATION_HEADER_BYTES).next_multiple_of(16).max(MIN_ALLOCATION_BYTES),
    }
}

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

/// Whether responses repeat a header of their request (RFC 3261, section 8.2.6.2).
fn is_copied_to_response(name: &str) -> bool {
    ["Via", "From", "To", "Call-ID", "CSeq"].iter().any(|copied| name.eq_ignore_ascii_case(copied))
}

/// The headers of a request that its responses repeat. They take no more memory than their text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHeaders {
    /// Lines of a name and a value, which contain no line break.
    lines: Box<str>,
}

/// What separates a name from its value in [`ResponseHeaders`].
const NAME_SEPARATOR: &str = ": ";

impl ResponseHeaders {
    /// Keeps what responses need of a request's headers.
    pub fn of(request_headers: &[(String, String)]) -> Self {
        let mut lines = String::new();
        for (name, value) in request_headers.iter().filter(|(name, _)| is_copied_to_response(name)) {
            lines.extend([name, NAME_SEPARATOR, value, "\n"]);
        }
        ResponseHeaders { lines: lines.into_boxed_str() }
    }

    /// Creates a response.
    pub fn response(&self, status: u16, reason: &str) -> Message {
        let headers = self.lines.lines().filter_map(|line| line.split_once(NAME_SEPARATOR));
        Message {
            start_line: StartLine::Response { status, reason: reason.to_owned() },
            headers: headers.map(|(name, value)| (name.to_owned(), value.to_owned())).collect(),
            body: Vec::new(),
        }
    }

    /// Memory that they occupy, in bytes.
    pub fn memory_bytes(&self) -> usize {
        allocated_bytes(self.lines.len())
    }
}

impl Message {
    /// Creates a request without headers.
    pub fn request(method: &str, uri: &str) -> Self {
        let start_line = StartLine::Request { method: method.to_owned(), uri: uri.to_owned() };
        Message { start_line, headers: Vec::new(), body: Vec::new() }
    }

    /// Creates a response with the headers copied from the request that RFC 3261, section 8.2.6.2 requires.
    pub fn response(status: u16, reason: &str, request_headers: &[(String, String)]) -> Self {
        let headers = request_headers.iter().filter(|(name, _)| is_copied_to_response(name));
        let headers = headers.cloned().collect();
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

    /// Returns the memory that the message occupies beside its own structure, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let header_bytes = |(name, value): &(String, String)| {
            allocated_bytes(name.capacity()) + allocated_bytes(value.capacity())
        };
        let list = allocated_bytes(self.headers.capacity() * size_of::<(String, String)>());
        list + self.headers.iter().map(header_bytes).sum::<usize>() + allocated_bytes(self.body.capacity())
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

    /// Parses a datagram with all its headers. Without a `Content-Length` the body extends to the end of the datagram (RFC
    /// 3261, section 18.3).
    pub fn parse_datagram(bytes: &[u8]) -> Result<Message, MalformedMessage> {
        Self::parse_datagram_keeping(bytes, Keep::All)
    }

    /// Parses a datagram, without headers that the proxy does not read.
    pub fn parse_known_of_datagram(bytes: &[u8]) -> Result<Message, MalformedMessage> {
        Self::parse_datagram_keeping(bytes, Keep::Known)
    }

    fn parse_datagram_keeping(bytes: &[u8], keep: Keep) -> Result<Message, MalformedMessage> {
        let without_headers = |problem| MalformedMessage {
            problem,
            headers: Vec::new(),
            is_response: bytes.starts_with(b"SIP/"),
        };
        let Some((head, body)) = split_head(bytes) else {
            return Err(without_headers("the header section does not end"));
        };
        let length = content_length(head).map_err(|error| without_headers(error.0))?;
        let headers = parse_headers(head, keep);
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
    find_body(bytes, 0).map(|(head, body)| (&bytes[..head], body))
}

/// Looks for the empty line that ends a header section, not before this offset. Returns the length of the section
/// without that line, and the offset of the body.
fn find_body(bytes: &[u8], from: usize) -> Option<(usize, usize)> {
    bytes.iter().enumerate().skip(from).filter(|(_, b)| **b == b'\n').find_map(|(ix, _)| {
        let rest = &bytes[ix + 1..];
        let blank = if rest.starts_with(b"\r\n") { 2 } else { usize::from(rest.starts_with(b"\n")) };
        (blank > 0).then_some((ix + 1, ix + 1 + blank))
    })
}

/// Whether a line continues the header before it (RFC 3261, section 7.3.1).
fn is_folded(line: &str) -> bool {
    line.starts_with([' ', '\t'])
}

/// Returns the name and the value of a header line. A line without a colon gets an empty name, which
/// [`parse_message`] rejects.
fn split_header(line: &str) -> (&str, &str) {
    let (name, value) = line.split_once(':').unwrap_or(("", line));
    (full_name(name.trim()), value.trim())
}

fn is_content_length(name: &str) -> bool {
    name.eq_ignore_ascii_case("Content-Length")
}

/// Whether a header line may have the name Content-Length or its compact form, by its first byte.
fn may_be_content_length(line: &[u8]) -> bool {
    let first = line.iter().find(|byte| !byte.is_ascii_control());
    first.is_some_and(|byte| matches!(byte, b'c' | b'C' | b'l' | b'L') || !byte.is_ascii())
}

/// Returns the `Content-Length` of a header section. Only an invalid or contradictory one is an error, since it leaves
/// the bounds of the message unknown; other faults are left for [`parse_message`].
fn content_length(head: &[u8]) -> Result<Option<usize>, FramingError> {
    let mut length = None;
    for line in head.split(|byte| *byte == b'\n').skip(1).filter(|line| may_be_content_length(line)) {
        let line = String::from_utf8_lossy(line);
        let (name, value) = split_header(&line);
        if is_folded(&line) || !is_content_length(name) {
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
    Ok(length)
}

/// The headers that the proxy reads, without Content-Length.
const KNOWN_HEADERS: [&str; 20] = [
    "Via",
    "From",
    "To",
    "Call-ID",
    "CSeq",
    "Contact",
    "Max-Forwards",
    "Require",
    "Record-Route",
    "Route",
    "Expires",
    "Priority",
    "Reason",
    "X-Tier",
    "X-Tenant",
    "X-Deadline",
    "X-Resent",
    "X-Attrs",
    "X-Gauges",
    "X-Outcome",
];

/// Which headers of a message are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Keep {
    All,
    /// Those that the proxy reads, and the first one whose name is invalid.
    Known,
}

fn is_known(name: &str) -> bool {
    KNOWN_HEADERS.iter().any(|known| name.eq_ignore_ascii_case(known))
}

/// Parses the headers other than `Content-Length`.
fn parse_headers(head: &[u8], keep: Keep) -> Headers {
    let text = String::from_utf8_lossy(head);
    let mut headers: Headers = Vec::new();
    let mut has_invalid_name = false;
    let mut is_last_kept = false;
    for line in text.lines().skip(1) {
        if is_folded(line) {
            if let Some((_, value)) = headers.last_mut().filter(|_| is_last_kept) {
                let continued = line.trim();
                if !value.is_empty() && !continued.is_empty() {
                    value.push(' ');
                }
                value.push_str(continued);
            }
            continue;
        }
        let (name, value) = split_header(line);
        if is_content_length(name) {
            continue;
        }
        let is_first_invalid = !has_invalid_name && !is_token(name);
        has_invalid_name |= is_first_invalid;
        is_last_kept = keep == Keep::All || is_first_invalid || is_known(name);
        if is_last_kept {
            headers.push((name.to_owned(), value.to_owned()));
        }
    }
    headers.shrink_to_fit();
    headers
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

/// A message of a stream: its bounds are known, its content is not parsed yet. It takes no more memory than the bytes
/// that were received, while a parsed message may take many times as much.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    bytes: Vec<u8>,
    /// Length of the header section without the empty line that ends it.
    head: usize,
    /// Offset of the body; `None` if the body is too long and is skipped.
    body: Option<usize>,
}

impl Frame {
    /// Parses the message, without headers that the proxy does not read.
    pub fn parse(&self) -> Result<Message, MalformedMessage> {
        self.parse_keeping(Keep::Known)
    }

    fn parse_keeping(&self, keep: Keep) -> Result<Message, MalformedMessage> {
        let head = &self.bytes[..self.head];
        let headers = parse_headers(head, keep);
        match self.body {
            Some(body) => parse_message(head, headers, self.bytes[body..].to_vec()),
            None => Err(malformed("the message is too long", head, headers)),
        }
    }

    /// Memory that the frame occupies, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}

/// The bounds of the message at the start of a buffer.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    /// Length of the header section without the empty line that ends it.
    head: usize,
    /// Offset of the body.
    body: usize,
    /// Length of the body.
    length: usize,
}

/// The least number of bytes by which the buffer of a framer grows.
const BUFFER_GROWTH_BYTES: usize = 512;
/// Length of the longest line end that [`find_body`] looks for behind a line.
const BLANK_LINE_BYTES: usize = 2;

/// Splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Framer {
    /// Received bytes that no returned message contains yet.
    buffer: Vec<u8>,
    /// Remaining bytes of an oversized body that are skipped as they arrive.
    bytes_to_skip: usize,
    /// Bytes at the start of the buffer in which no header section ends.
    searched: usize,
    /// The bounds of the first message, once its header section is complete.
    bounds: Option<Bounds>,
}

impl Framer {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        if self.buffer.capacity() < self.buffer.len() + bytes.len() {
            // Memory is limited, so that the buffer grows by what arrives and not by its own length.
            self.buffer.reserve_exact(bytes.len().max(BUFFER_GROWTH_BYTES));
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Frees the memory of an empty buffer, since a connection may stay idle for a long time.
    pub fn free_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Memory that the buffer occupies, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Whether a message has been received in part.
    pub fn has_partial_message(&self) -> bool {
        self.bytes_to_skip > 0 || !self.buffer.is_empty()
    }

    /// Returns the next message with all its headers, or `None` until it has been received in full.
    pub fn next_message(&mut self) -> Result<Option<Result<Message, MalformedMessage>>, FramingError> {
        Ok(self.next_frame()?.map(|frame| frame.parse_keeping(Keep::All)))
    }

    /// Returns the next message without parsing it, or `None` until it has been received in full.
    pub fn next_frame(&mut self) -> Result<Option<Frame>, FramingError> {
        self.skip_bytes();
        let Some(Bounds { head, body, length }) = self.find_bounds()? else { return Ok(None) };
        if length > MAX_MESSAGE_BYTES - body {
            // The bounds of the message are known, so its body is skipped and the stream stays usable.
            self.bytes_to_skip = length;
            let bytes = self.take(body);
            return Ok(Some(Frame { bytes, head, body: None }));
        }
        if self.buffer.len() < body + length {
            return Ok(None);
        }
        let bytes = self.take(body + length);
        Ok(Some(Frame { bytes, head, body: Some(body) }))
    }

    /// Drops the bytes of an oversized body, and line breaks between messages, which are keep-alives (RFC 5626, section
    /// 3.5.1).
    fn skip_bytes(&mut self) {
        if self.bounds.is_some() {
            return;
        }
        let skipped = self.bytes_to_skip.min(self.buffer.len());
        self.bytes_to_skip -= skipped;
        let keep_alive = self.buffer[skipped..].iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        if skipped + keep_alive > 0 {
            self.buffer.drain(..skipped + keep_alive);
            self.searched = 0;
        }
    }

    /// Returns the bounds of the first message, once its header section is complete.
    fn find_bounds(&mut self) -> Result<Option<Bounds>, FramingError> {
        if self.bounds.is_some() {
            return Ok(self.bounds);
        }
        let Some((head, body)) = find_body(&self.buffer, self.searched) else {
            self.searched = self.buffer.len().saturating_sub(BLANK_LINE_BYTES);
            let long = self.buffer.len() > MAX_MESSAGE_BYTES;
            return if long { Err(FramingError("a header section does not end")) } else { Ok(None) };
        };
        if body > MAX_MESSAGE_BYTES {
            return Err(FramingError("a header section is too long"));
        }
        let length = content_length(&self.buffer[..head])?;
        let length = length.ok_or(FramingError("a message has no Content-Length"))?;
        if length > MAX_SKIPPED_BODY_BYTES {
            return Err(FramingError("a body is too long to skip"));
        }
        self.bounds = Some(Bounds { head, body, length });
        Ok(self.bounds)
    }

    /// Removes the first message.
    fn take(&mut self, length: usize) -> Vec<u8> {
        (self.bounds, self.searched) = (None, 0);
        let rest = self.buffer.split_off(length);
        let mut bytes = std::mem::replace(&mut self.buffer, rest);
        bytes.shrink_to_fit();
        bytes
    }
}
