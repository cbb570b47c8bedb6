//! Captures of simulated proxies: replay with the same effects, truncation at any byte and corruption of any bit.

mod common;

use common::{scenario, simulate};
use mallowring::calls::CallEvent;
use mallowring::capture::frame::{header, read_capture, CaptureEnd, CaptureError, FrameWriter};
use mallowring::capture::replay::replay;
use mallowring::capture::{Entry, EntryKind};
use mallowring::interface::{ExchangeId, LoadReport, Time};
use mallowring::Tuning;
use mallowring_lab::proxy::Capturing;

/// The captures of a small day with several troubles.
fn captures() -> Vec<Vec<Entry>> {
    let s = scenario(
        7,
        "[load]\noffered = 1.4\n[[trouble]]\nkind = \"lost-circuits\"\nat = 2\nseconds = 3\nkeep = 0.4\n[[trouble]]\n\
         kind = \"proxy-restart\"\nat = 4\nexchanges = [1]\n[[trouble]]\nkind = \"replace\"\nat = 0\nseconds = 1\n\
         exchanges = [2]\ndrain_s = 2\n",
    );
    let mut fleet = Capturing::new(Tuning::default());
    let day = simulate(&s, 3, &mut fleet);
    assert_eq!(day.leaks, Vec::<String>::new());
    fleet.captures.into_values().collect()
}

fn encode(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = header().to_vec();
    let mut frames = FrameWriter::new();
    for entry in entries {
        bytes.extend(frames.push(entry).expect("the entry can be encoded").into_iter().flatten());
    }
    bytes.extend(frames.close().into_iter().flatten());
    bytes
}

#[test]
fn a_replay_repeats_every_effect() {
    for entries in captures() {
        let capture = read_capture(&encode(&entries)).expect("the capture is complete");
        assert_eq!(capture.end, CaptureEnd::Complete);
        assert_eq!(capture.entries, entries);
        let report = replay(&capture.entries);
        assert_eq!(report.difference, None);
        assert!(report.events > 300 && report.effects > 200, "{report:?}");
        assert_eq!((report.skipped_entries, report.dropped_entries), (0, 0));
    }
}

#[test]
fn a_different_decision_is_reported() {
    let mut entries = captures().swap_remove(0);
    for entry in &mut entries {
        if let EntryKind::Start(start) = &mut entry.kind {
            start.tuning.refused = [0.0; 5];
            start.tuning.reserve = 0.0;
        }
    }
    let difference = replay(&entries).difference.expect("another tuning leads to other decisions");
    assert_ne!(difference.recorded, difference.replayed);
    assert!(matches!(difference.entry.kind, EntryKind::Event(_)));
}

#[test]
fn entries_after_a_gap_are_not_replayed() {
    let mut entries = captures().swap_remove(0);
    let at = entries.len() / 2;
    let gap = Entry { kind: EntryKind::Gap(3), ..entries[at].clone() };
    entries.splice(at..at + 3, [gap]);
    let report = replay(&entries);
    assert_eq!((report.difference, report.dropped_entries), (None, 3));
    assert!(report.skipped_entries > 100, "no entry is replayed on an unknown state");
}

#[test]
fn a_truncated_capture_is_read_up_to_its_last_complete_frame() {
    let entries = captures().swap_remove(0);
    let mut bytes = header().to_vec();
    let mut ends = vec![(bytes.len(), 0)];
    for (ix, some) in entries[..60].chunks(12).enumerate() {
        let mut frames = FrameWriter::new();
        for entry in some {
            assert_eq!(frames.push(entry).expect("the entry can be encoded"), None);
        }
        bytes.extend(frames.close().into_iter().flatten());
        ends.push((bytes.len(), (ix + 1) * 12));
    }
    for cut in 0..=bytes.len() {
        let got = read_capture(&bytes[..cut]).expect("a truncated capture can be read");
        let whole = ends.iter().rev().find(|(end, _)| *end <= cut);
        assert_eq!(got.entries, entries[..whole.map_or(0, |(_, n)| *n)], "truncated at {cut}");
        let on_edge = ends.iter().any(|(end, _)| *end == cut);
        assert_eq!(got.end == CaptureEnd::Complete, on_edge, "truncated at {cut}");
        if let CaptureEnd::Truncated { offset, missing_bytes: Some(missing), missing_entries: Some(lost) } =
            got.end
        {
            let next = ends.iter().find(|(end, _)| *end > cut).expect("a frame is truncated");
            assert_eq!((offset, cut + missing, lost), (whole.expect("the header is complete").0, next.0, 12));
        }
    }
}

#[test]
fn any_flipped_bit_is_detected() {
    let entries = captures().swap_remove(0);
    let bytes = encode(&entries[..40]);
    for bit in 0..bytes.len() * 8 {
        let mut flipped = bytes.clone();
        flipped[bit / 8] ^= 1 << (bit % 8);
        match read_capture(&flipped) {
            Err(CaptureError::Corrupted { offset, .. }) => assert!(offset <= bit / 8, "bit {bit}: {offset}"),
            Err(CaptureError::NotACapture) => assert!(bit / 8 < 6),
            other => panic!("bit {bit}: {other:?}"),
        }
    }
}

#[test]
fn another_format_version_is_rejected_with_its_number() {
    let mut bytes = encode(&captures().swap_remove(0)[..5]);
    bytes[6..8].copy_from_slice(&7u16.to_le_bytes());
    let crc = crc32fast::hash(&bytes[..8]);
    bytes[8..12].copy_from_slice(&crc.to_le_bytes());
    assert_eq!(read_capture(&bytes), Err(CaptureError::UnsupportedVersion(7)));
    assert_eq!(read_capture(b"something else altogether"), Err(CaptureError::NotACapture));
}

#[test]
fn entries_of_the_same_time_keep_their_order_and_unusual_numbers_their_bits() {
    let unusual = [f64::INFINITY, f64::NEG_INFINITY, -0.0, f64::MIN_POSITIVE / 2.0, 0.1 + 0.2];
    let entry = |seq: u64| {
        let report = LoadReport {
            queueing_delay: Some(unusual[seq as usize % unusual.len()]),
            ..LoadReport::default()
        };
        Entry {
            seq,
            at: Time(1000.0),
            kind: EntryKind::Event(CallEvent::Status { exchange: ExchangeId(seq), report }),
        }
    };
    let entries: Vec<Entry> = (0..5000).map(entry).collect();
    let decoded = read_capture(&encode(&entries)).expect("the capture is complete").entries;
    assert_eq!(decoded.iter().map(|e| e.seq).collect::<Vec<_>>(), (0..5000).collect::<Vec<_>>());
    let bits = |entries: &[Entry]| -> Vec<u64> {
        let wait = |e: &Entry| match &e.kind {
            EntryKind::Event(CallEvent::Status { report, .. }) => {
                report.queueing_delay.map_or(0, f64::to_bits)
            }
            _ => 0,
        };
        entries.iter().map(wait).collect()
    };
    assert_eq!(bits(&entries), bits(&decoded));
}
