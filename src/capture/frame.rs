//! The form of a capture: a head, then frames that each can be checked and read alone.
//!
//! | bytes | head |
//! | --- | --- |
//! | 6 | `MWCAPT` |
//! | 2 | version, little-endian like all numbers here |
//! | 4 | CRC-32 (IEEE) of the eight above |
//!
//! | bytes | frame |
//! | --- | --- |
//! | 4 | `FRAM` |
//! | 4, 4, 4 | length stored, length plain, entries |
//! | 8 | number of the first entry |
//! | 4, 4 | CRC-32 of what is stored, and of the 28 bytes before this one |
//! | stored | an LZ4 block of entries in postcard's form, one after the other |

use thiserror::Error;

use super::Entry;

/// The version that is written, and the only one that is read.
pub const VERSION: u16 = 1;

const MAGIC: &[u8; 6] = b"MWCAPT";
const HEAD: usize = 12;
const MARK: &[u8; 4] = b"FRAM";
const FRAME_HEAD: usize = 32;
/// A frame is closed once its entries are this long together, bytes.
const FULL: usize = 32 * 1024;
/// The longest frame that is believed, bytes: one entry over the usual length fits, a made-up length does not.
const LONGEST: u32 = 16 * 1024 * 1024;

/// Why a capture can't be read any further. Offsets count bytes from its beginning.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CaptureError {
    /// It does not begin like one.
    #[error("this is no capture")]
    NotACapture,
    /// Another version has written it.
    #[error("the capture has version {0}; version {VERSION} is read")]
    UnsupportedVersion(u16),
    /// A byte is not what was written.
    #[error("the frame at byte {offset} is damaged: {reason}")]
    Corrupted {
        /// Where its frame begins.
        offset: usize,
        /// What shows it.
        reason: &'static str,
    },
    /// An entry can't be put into a form.
    #[error("an entry can't be written: {0}")]
    Encoding(String),
}

/// How a capture ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaptureEnd {
    /// After a whole frame.
    Complete,
    /// In the middle of a frame that begins at `offset`.
    Truncated {
        /// Where it begins.
        offset: usize,
        /// Bytes that are missing of it, where its head is whole.
        missing_bytes: Option<usize>,
        /// Entries that are missing with it, where its head is whole.
        missing_entries: Option<u32>,
    },
}

/// What a capture holds.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// Its entries.
    pub entries: Vec<Entry>,
    /// How it ends.
    pub end: CaptureEnd,
}

/// The head that a capture begins with.
pub fn header() -> [u8; HEAD] {
    let mut head = [0; HEAD];
    head[..6].copy_from_slice(MAGIC);
    head[6..8].copy_from_slice(&VERSION.to_le_bytes());
    let crc = crc32fast::hash(&head[..8]);
    head[8..].copy_from_slice(&crc.to_le_bytes());
    head
}

/// Gathers entries into frames.
#[derive(Debug, Default)]
pub struct FrameWriter {
    plain: Vec<u8>,
    entries: u32,
    first: u64,
}

impl FrameWriter {
    /// None yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an entry; returns a frame to be written where it has become full.
    pub fn push(&mut self, entry: &Entry) -> Result<Option<Vec<u8>>, CaptureError> {
        if self.entries == 0 {
            self.first = entry.seq;
        }
        let begun = self.plain.len();
        let plain = std::mem::take(&mut self.plain);
        match postcard::to_extend(entry, plain) {
            Ok(plain) => self.plain = plain,
            // What was gathered is gone with the buffer: it would be no whole frame.
            Err(e) => {
                let lost = std::mem::take(&mut self.entries);
                return Err(CaptureError::Encoding(format!(
                    "{e}; {lost} entries of {begun} bytes are lost with it"
                )));
            }
        }
        self.entries += 1;
        Ok(if self.plain.len() >= FULL { self.close() } else { None })
    }

    /// Closes the frame that is open; nothing if it is empty.
    pub fn close(&mut self) -> Option<Vec<u8>> {
        if self.entries == 0 {
            return None;
        }
        let stored = lz4_flex::block::compress(&self.plain);
        let mut frame = Vec::with_capacity(FRAME_HEAD + stored.len());
        frame.extend_from_slice(MARK);
        for n in [stored.len() as u32, self.plain.len() as u32, self.entries] {
            frame.extend_from_slice(&n.to_le_bytes());
        }
        frame.extend_from_slice(&self.first.to_le_bytes());
        frame.extend_from_slice(&crc32fast::hash(&stored).to_le_bytes());
        frame.extend_from_slice(&crc32fast::hash(&frame).to_le_bytes());
        frame.extend_from_slice(&stored);
        self.plain.clear();
        self.entries = 0;
        Some(frame)
    }
}

fn number(bytes: &[u8], at: usize) -> u32 {
    let four = bytes.get(at..at + 4).and_then(|b| b.try_into().ok());
    four.map_or(0, u32::from_le_bytes)
}

/// Reads a capture up to its last whole frame. A cut is no error: what is missing is told. A byte that was changed is
/// one, with the offset of its frame.
pub fn read_capture(bytes: &[u8]) -> Result<Capture, CaptureError> {
    let mut capture = Capture { entries: Vec::new(), end: CaptureEnd::Complete };
    let cut = |offset| CaptureEnd::Truncated { offset, missing_bytes: None, missing_entries: None };
    if bytes.len() < HEAD {
        let begun = bytes.len().min(MAGIC.len());
        if bytes[..begun] != MAGIC[..begun] {
            return Err(CaptureError::NotACapture);
        }
        capture.end = cut(0);
        return Ok(capture);
    }
    if &bytes[..6] != MAGIC {
        return Err(CaptureError::NotACapture);
    }
    if number(bytes, 8) != crc32fast::hash(&bytes[..8]) {
        return Err(CaptureError::Corrupted { offset: 0, reason: "the head's checksum" });
    }
    let version = u16::from_le_bytes([bytes[6], bytes[7]]);
    if version != VERSION {
        return Err(CaptureError::UnsupportedVersion(version));
    }
    let mut offset = HEAD;
    while offset < bytes.len() {
        let rest = &bytes[offset..];
        let damaged = |reason| CaptureError::Corrupted { offset, reason };
        if rest.len() < FRAME_HEAD {
            capture.end = cut(offset);
            return Ok(capture);
        }
        let (head, rest) = rest.split_at(FRAME_HEAD);
        if &head[..4] != MARK {
            return Err(damaged("no frame begins here"));
        }
        if number(head, 28) != crc32fast::hash(&head[..28]) {
            return Err(damaged("the checksum of its head"));
        }
        let (stored, plain, entries) = (number(head, 4), number(head, 8), number(head, 12));
        if stored > LONGEST || plain > LONGEST {
            return Err(damaged("a length beyond all measure"));
        }
        let stored = stored as usize;
        let Some(block) = rest.get(..stored) else {
            capture.end = CaptureEnd::Truncated {
                offset,
                missing_bytes: Some(stored - rest.len()),
                missing_entries: Some(entries),
            };
            return Ok(capture);
        };
        if number(head, 24) != crc32fast::hash(block) {
            return Err(damaged("its checksum"));
        }
        let plain = lz4_flex::block::decompress(block, plain as usize)
            .map_err(|_| damaged("it can't be decompressed"))?;
        let mut left = plain.as_slice();
        for _ in 0..entries {
            let (entry, rest) =
                postcard::take_from_bytes(left).map_err(|_| damaged("an entry of another form"))?;
            capture.entries.push(entry);
            left = rest;
        }
        if !left.is_empty() {
            return Err(damaged("more than its entries"));
        }
        offset += FRAME_HEAD + stored;
    }
    Ok(capture)
}
