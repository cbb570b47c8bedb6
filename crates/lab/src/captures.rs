//! Capture files: writing them atomically, and replaying them, also when they are truncated.

use std::fs;
use std::path::Path;

use mallowring::capture::frame::{header, read_capture, CaptureEnd, CaptureError, FrameWriter};
use mallowring::capture::replay::replay;
use mallowring::capture::{Entry, EntryKind};
use mallowring::Tuning;

use crate::LabError;

/// Writes a capture file atomically, by way of a temporary file; returns its length in bytes.
pub fn write(path: &Path, entries: &[Entry]) -> Result<usize, LabError> {
    let capture_error = |source: CaptureError| LabError::Capture { path: path.to_owned(), source };
    let mut bytes = header().to_vec();
    let mut frames = FrameWriter::new();
    for entry in entries {
        bytes.extend(frames.push(entry).map_err(capture_error)?.into_iter().flatten());
    }
    bytes.extend(frames.close().into_iter().flatten());
    let temporary = path.with_extension("part");
    fs::write(&temporary, &bytes).map_err(LabError::file(&temporary))?;
    fs::rename(&temporary, path).map_err(LabError::file(path))?;
    Ok(bytes.len())
}

/// Replays a capture file, with `tuning` in place of the captured tuning if given. Returns a report, and whether
/// every decision was the same as recorded.
pub fn replay_file(path: &Path, tuning: Option<&Tuning>) -> Result<(String, bool), LabError> {
    let bytes = fs::read(path).map_err(LabError::file(path))?;
    let mut capture =
        read_capture(&bytes).map_err(|source| LabError::Capture { path: path.to_owned(), source })?;
    for entry in &mut capture.entries {
        if let (EntryKind::Start(start), Some(tuning)) = (&mut entry.kind, tuning) {
            start.tuning = tuning.clone();
        }
    }
    let outcome = replay(&capture.entries);
    let mut text = format!(
        "{}: {} inputs replayed, {} commands identical",
        path.display(),
        outcome.events,
        outcome.effects
    );
    if let CaptureEnd::Truncated { offset, missing_bytes: bytes, missing_entries: entries } = capture.end {
        let missing = match (bytes, entries) {
            (Some(bytes), Some(entries)) => format!("{bytes} bytes and {entries} entries are missing"),
            _ => "the missing amount is unknown".to_owned(),
        };
        text.push_str(&format!("; truncated in the frame at byte {offset}: {missing}"));
    }
    if outcome.dropped_entries > 0 {
        text.push_str(&format!("; {} entries were dropped during recording", outcome.dropped_entries));
    }
    if outcome.skipped_entries > 0 {
        text.push_str(&format!(
            "; {} entries before the first start entry were skipped",
            outcome.skipped_entries
        ));
    }
    let same = outcome.difference.is_none();
    if let Some(d) = outcome.difference {
        text.push_str(&format!(
            "\n  first difference, at {:.4} s, entry {}:\n  input     {:?}\n  recorded  {:?}\n  replayed  {:?}",
            d.entry.at.0, d.entry.seq, d.entry.kind, d.recorded, d.replayed
        ));
    }
    Ok((text, same))
}
