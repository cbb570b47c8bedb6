//! The file format of captures: a header, then frames that can be verified and decoded independently of each other.
//!
//! | bytes | header |
//! | --- | --- |
//! | 6 | `MWCAPT` |
//! | 2 | version, little-endian like all numbers in the file |
//! | 4 | CRC-32 (IEEE) of the preceding 8 bytes |
//!
//! | bytes | frame |
//! | --- | --- |
//! | 4 | `FRAM` |
//! | 4, 4, 4 | compressed length, uncompressed length, number of entries |
//! | 8 | sequence number of the first entry |
//! | 4, 4 | CRC-32 of the compressed block, CRC-32 of the preceding 28 bytes |
//! | compressed length | LZ4 block of consecutive entries in postcard encoding |

use thiserror::Error;

use super::Entry;

/// The format version that is written, and the only one that can be read.
pub const VERSION: u16 = 2;

/// The first bytes of a capture.
const MAGIC: &[u8; 6] = b"MWCAPT";
/// The length of the file header, in bytes.
const HEADER_BYTES: usize = 12;
/// The first bytes of a frame.
const FRAME_MAGIC: &[u8; 4] = b"FRAM";
/// The length of a frame header, in bytes.
const FRAME_HEADER_BYTES: usize = 32;
/// A frame is closed when its encoded entries reach this length, in bytes.
const FRAME_FULL_BYTES: usize = 32 * 1024;
/// The longest block accepted, compressed or not, in bytes. A frame with one unusually long entry fits; an
/// invented length is rejected.
const MAX_BLOCK_BYTES: u32 = 16 * 1024 * 1024;

/// Why a capture can't be read or written. Offsets are in bytes from the start of the file.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum CaptureError {
    /// The file does not start with the magic bytes of a capture.
    #[error("this is not a capture")]
    NotACapture,
    /// The file has another format version.
    #[error("the capture has format version {0}; only version {VERSION} can be read")]
    UnsupportedVersion(u16),
    /// The header or a frame is corrupted.
    #[error("the frame at byte {offset} is corrupted: {reason}")]
    Corrupted {
        /// The start of the corrupted frame; 0 for the file header.
        offset: usize,
        /// How the corruption shows.
        reason: &'static str,
    },
    /// An entry can't be encoded.
    #[error("an entry can't be encoded: {0}")]
    Encoding(String),
}

/// How a capture ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CaptureEnd {
    /// After a complete frame, or after the header.
    Complete,
    /// In the middle of a frame or of the header.
    Truncated {
        /// The start of the truncated frame; 0 for the file header.
        offset: usize,
        /// How many bytes of the frame are missing; `None` if its header is incomplete.
        missing_bytes: Option<usize>,
        /// How many entries the frame contained; `None` if its header is incomplete.
        missing_entries: Option<u32>,
    },
}

/// A decoded capture.
#[derive(Clone, Debug, PartialEq)]
pub struct Capture {
    /// The entries of all complete frames.
    pub entries: Vec<Entry>,
    /// How the file ends.
    pub end: CaptureEnd,
}

/// Encodes the file header.
pub fn header() -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..6].copy_from_slice(MAGIC);
    header[6..8].copy_from_slice(&VERSION.to_le_bytes());
    let crc = crc32fast::hash(&header[..8]);
    header[8..].copy_from_slice(&crc.to_le_bytes());
    header
}

/// Encodes entries into frames.
#[derive(Debug, Default)]
pub struct FrameWriter {
    uncompressed: Vec<u8>,
    entry_count: u32,
    first_seq: u64,
}

impl FrameWriter {
    /// A writer without entries.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an entry. Returns the frame to be written if this entry has filled it.
    pub fn push(&mut self, entry: &Entry) -> Result<Option<Vec<u8>>, CaptureError> {
        if self.entry_count == 0 {
            self.first_seq = entry.seq;
        }
        let previous_bytes = self.uncompressed.len();
        let buffer = std::mem::take(&mut self.uncompressed);
        match postcard::to_extend(entry, buffer) {
            Ok(buffer) => self.uncompressed = buffer,
            // A failed encoding consumes the buffer, so the earlier entries of this frame are lost too.
            Err(e) => {
                let lost_entries = std::mem::take(&mut self.entry_count);
                return Err(CaptureError::Encoding(format!(
                    "{e}; {lost_entries} earlier entries ({previous_bytes} bytes) are lost with it"
                )));
            }
        }
        self.entry_count += 1;
        Ok(if self.uncompressed.len() >= FRAME_FULL_BYTES { self.close() } else { None })
    }

    /// Closes the current frame and returns it; `None` if it has no entries.
    pub fn close(&mut self) -> Option<Vec<u8>> {
        if self.entry_count == 0 {
            return None;
        }
        let compressed = lz4_flex::block::compress(&self.uncompressed);
        let mut frame = Vec::with_capacity(FRAME_HEADER_BYTES + compressed.len());
        frame.extend_from_slice(FRAME_MAGIC);
        for n in [compressed.len() as u32, self.uncompressed.len() as u32, self.entry_count] {
            frame.extend_from_slice(&n.to_le_bytes());
        }
        frame.extend_from_slice(&self.first_seq.to_le_bytes());
        frame.extend_from_slice(&crc32fast::hash(&compressed).to_le_bytes());
        frame.extend_from_slice(&crc32fast::hash(&frame).to_le_bytes());
        frame.extend_from_slice(&compressed);
        self.uncompressed.clear();
        self.entry_count = 0;
        Some(frame)
    }
}

/// Reads the number at an offset; 0 beyond the end.
fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let four_bytes = bytes.get(offset..offset + 4).and_then(|b| b.try_into().ok());
    four_bytes.map_or(0, u32::from_le_bytes)
}

/// Decodes a capture up to its last complete frame. A truncated file is not an error; [`Capture::end`] states what is
/// missing. A corrupted byte is an error that states the offset of its frame.
pub fn read_capture(bytes: &[u8]) -> Result<Capture, CaptureError> {
    let mut capture = Capture { entries: Vec::new(), end: CaptureEnd::Complete };
    let truncated = |offset| CaptureEnd::Truncated { offset, missing_bytes: None, missing_entries: None };
    if bytes.len() < HEADER_BYTES {
        let magic_bytes = bytes.len().min(MAGIC.len());
        if bytes[..magic_bytes] != MAGIC[..magic_bytes] {
            return Err(CaptureError::NotACapture);
        }
        capture.end = truncated(0);
        return Ok(capture);
    }
    if &bytes[..6] != MAGIC {
        return Err(CaptureError::NotACapture);
    }
    if read_u32(bytes, 8) != crc32fast::hash(&bytes[..8]) {
        return Err(CaptureError::Corrupted {
            offset: 0,
            reason: "the checksum of the file header does not match",
        });
    }
    let version = u16::from_le_bytes([bytes[6], bytes[7]]);
    if version != VERSION {
        return Err(CaptureError::UnsupportedVersion(version));
    }
    let mut offset = HEADER_BYTES;
    while offset < bytes.len() {
        let remaining = &bytes[offset..];
        let corrupted = |reason| CaptureError::Corrupted { offset, reason };
        if remaining.len() < FRAME_HEADER_BYTES {
            capture.end = truncated(offset);
            return Ok(capture);
        }
        let (header, remaining) = remaining.split_at(FRAME_HEADER_BYTES);
        if &header[..4] != FRAME_MAGIC {
            return Err(corrupted("no frame starts here"));
        }
        if read_u32(header, 28) != crc32fast::hash(&header[..28]) {
            return Err(corrupted("the checksum of the frame header does not match"));
        }
        let (compressed_bytes, uncompressed_bytes, entry_count) =
            (read_u32(header, 4), read_u32(header, 8), read_u32(header, 12));
        if compressed_bytes > MAX_BLOCK_BYTES || uncompressed_bytes > MAX_BLOCK_BYTES {
            return Err(corrupted("a block length is over the limit"));
        }
        let compressed_bytes = compressed_bytes as usize;
        let Some(block) = remaining.get(..compressed_bytes) else {
            capture.end = CaptureEnd::Truncated {
                offset,
                missing_bytes: Some(compressed_bytes - remaining.len()),
                missing_entries: Some(entry_count),
            };
            return Ok(capture);
        };
        if read_u32(header, 24) != crc32fast::hash(block) {
            return Err(corrupted("the checksum of the block does not match"));
        }
        let uncompressed = lz4_flex::block::decompress(block, uncompressed_bytes as usize)
            .map_err(|_| corrupted("the block can't be decompressed"))?;
        let mut undecoded = uncompressed.as_slice();
        for _ in 0..entry_count {
            let (entry, rest) =
                postcard::take_from_bytes(undecoded).map_err(|_| corrupted("an entry can't be decoded"))?;
            capture.entries.push(entry);
            undecoded = rest;
        }
        if !undecoded.is_empty() {
            return Err(corrupted("the block is longer than its entries"));
        }
        offset += FRAME_HEADER_BYTES + compressed_bytes;
    }
    Ok(capture)
}
