//! SIP messages as the pages describe them: building, and reading from a stream or a datagram.

use std::io::Read;

/// A message: the first line, the headers in order, the body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn new(first: impl Into<String>) -> Message {
        Message { first: first.into(), headers: Vec::new(), body: Vec::new() }
    }

    pub fn with(mut self, name: &str, value: impl ToString) -> Message {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn body(mut self, body: &[u8]) -> Message {
        self.body = body.to_vec();
        self
    }

    /// A response that repeats the headers of the request which SIP requires.
    pub fn response(&self, status: &str) -> Message {
        let mut response = Message::new(format!("SIP/2.0 {status}"));
        for (name, value) in &self.headers {
            if ["via", "from", "to", "call-id", "cseq"].contains(&name.to_ascii_lowercase().as_str()) {
                response.headers.push((name.clone(), value.clone()));
            }
        }
        response
    }

    pub fn get(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value.as_str())
    }

    /// The method of a request; empty for a response.
    pub fn method(&self) -> &str {
        if self.first.starts_with("SIP/") {
            return "";
        }
        self.first.split(' ').next().unwrap_or("")
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u32 {
        if !self.first.starts_with("SIP/") {
            return 0;
        }
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The method in `CSeq`.
    pub fn cseq_method(&self) -> &str {
        self.get("CSeq").split(' ').nth(1).unwrap_or("")
    }

    pub fn cause(&self) -> &str {
        self.get("Reason").split("cause=").nth(1).unwrap_or("")
    }

    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.first);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Reads a message from the start of the bytes; returns it with its length.
    pub fn parse(bytes: &[u8]) -> Option<(Message, usize)> {
        let start = bytes.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        let end = bytes[start..].windows(4).position(|w| w == b"\r\n\r\n")? + start;
        let head = String::from_utf8_lossy(&bytes[start..end]).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message::new(lines.next().unwrap_or(""));
        let mut length = 0;
        for line in lines {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            if name.trim().eq_ignore_ascii_case("Content-Length") {
                length = value.trim().parse().unwrap_or(0);
            } else {
                message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        let body = bytes.get(end + 4..end + 4 + length)?;
        message.body = body.to_vec();
        Some((message, end + 4 + length))
    }
}

/// Reads messages from a stream.
pub struct Reader<R> {
    stream: R,
    buffer: Vec<u8>,
}

impl<R: Read> Reader<R> {
    pub fn new(stream: R) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// The next message; `None` once the stream has ended.
    pub fn next(&mut self) -> Option<Message> {
        loop {
            if let Some((message, length)) = Message::parse(&self.buffer) {
                self.buffer.drain(..length);
                return Some(message);
            }
            let mut chunk = [0; 4096];
            match self.stream.read(&mut chunk) {
                Ok(0) | Err(_) => return None,
                Ok(n) => self.buffer.extend_from_slice(&chunk[..n]),
            }
        }
    }
}
