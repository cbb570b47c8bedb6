//! Capture files: written whole, read as far as they go, decided again.

use std::fs;
use std::path::Path;

use mallowring::capture::frame::{header, read_capture, CaptureEnd, CaptureError, FrameWriter};
use mallowring::capture::replay::replay;
use mallowring::capture::{Entry, EntryKind};
use mallowring::Tuning;

use crate::LabError;

/// Writes a capture, whole or not at all; returns its length in bytes.
pub fn write(path: &Path, entries: &[Entry]) -> Result<usize, LabError> {
    let fault = |source: CaptureError| LabError::Capture { path: path.to_owned(), source };
    let mut bytes = header().to_vec();
    let mut frames = FrameWriter::new();
    for entry in entries {
        bytes.extend(frames.push(entry).map_err(fault)?.into_iter().flatten());
    }
    bytes.extend(frames.close().into_iter().flatten());
    let part = path.with_extension("part");
    fs::write(&part, &bytes).map_err(LabError::file(&part))?;
    fs::rename(&part, path).map_err(LabError::file(path))?;
    Ok(bytes.len())
}

/// Decides a capture again, with other tuned values where they are given. Returns what came of it in words, and
/// whether every decision was the same.
pub fn decide_again(path: &Path, tuning: Option<&Tuning>) -> Result<(String, bool), LabError> {
    let bytes = fs::read(path).map_err(LabError::file(path))?;
    let mut capture =
        read_capture(&bytes).map_err(|source| LabError::Capture { path: path.to_owned(), source })?;
    for entry in &mut capture.entries {
        if let (EntryKind::Start(start), Some(tuning)) = (&mut entry.kind, tuning) {
            start.tuning = tuning.clone();
        }
    }
    let done = replay(&capture.entries);
    let mut text = format!(
        "{}: {} inputs decided again, {} commands the same",
        path.display(),
        done.events,
        done.effects
    );
    if let CaptureEnd::Truncated { offset, missing_bytes: bytes, missing_entries: entries } = capture.end {
        let missing = match (bytes, entries) {
            (Some(bytes), Some(entries)) => format!("{bytes} bytes and {entries} entries are missing"),
            _ => "how much is missing is not known".to_owned(),
        };
        text.push_str(&format!("; cut off in the frame at byte {offset}: {missing}"));
    }
    if done.dropped_entries > 0 {
        text.push_str(&format!("; {} entries were dropped when it was made", done.dropped_entries));
    }
    if done.skipped_entries > 0 {
        text.push_str(&format!(
            "; {} entries passed over for want of a start before them",
            done.skipped_entries
        ));
    }
    let same = done.difference.is_none();
    if let Some(d) = done.difference {
        text.push_str(&format!(
            "\n  the first difference, at {:.4} s, entry {}:\n  told  {:?}\n  then  {:?}\n  now   {:?}",
            d.entry.at.0, d.entry.seq, d.entry.kind, d.recorded, d.replayed
        ));
    }
    Ok((text, same))
}
