//! Captures: decided again one for one, cut anywhere, damaged anywhere.

mod common;

use common::{play, scenario};
use mallowring::calls::CallEvent;
use mallowring::capture::frame::{header, read_capture, CaptureEnd, CaptureError, FrameWriter};
use mallowring::capture::replay::replay;
use mallowring::capture::{Entry, EntryKind};
use mallowring::interface::{ExchangeId, LoadReport, Time};
use mallowring::Tuning;
use mallowring_lab::proxy::Capturing;

/// The captures of a small day on which much goes wrong.
fn captures() -> Vec<Vec<Entry>> {
    let s = scenario(
        7,
        "[load]\noffered = 1.4\n[[trouble]]\nkind = \"lost-circuits\"\nat = 2\nseconds = 3\nkeep = 0.4\n[[trouble]]\n\
         kind = \"proxy-restart\"\nat = 4\nexchanges = [1]\n[[trouble]]\nkind = \"replace\"\nat = 0\nseconds = 1\n\
         exchanges = [2]\ndrain_s = 2\n",
    );
    let mut seats = Capturing::new(Tuning::default());
    let day = play(&s, 3, &mut seats);
    assert_eq!(day.leaks, Vec::<String>::new());
    seats.captures.into_values().collect()
}

fn written(entries: &[Entry]) -> Vec<u8> {
    let mut bytes = header().to_vec();
    let mut frames = FrameWriter::new();
    for entry in entries {
        bytes.extend(frames.push(entry).expect("it has a form").into_iter().flatten());
    }
    bytes.extend(frames.close().into_iter().flatten());
    bytes
}

#[test]
fn a_capture_is_decided_again_one_for_one() {
    for entries in captures() {
        let again = read_capture(&written(&entries)).expect("it is whole");
        assert_eq!(again.end, CaptureEnd::Complete);
        assert_eq!(again.entries, entries);
        let done = replay(&again.entries);
        assert_eq!(done.difference, None);
        assert!(done.events > 300 && done.effects > 200, "{done:?}");
        assert_eq!((done.skipped_entries, done.dropped_entries), (0, 0));
    }
}

#[test]
fn a_decision_that_differs_is_found() {
    let mut entries = captures().swap_remove(0);
    for entry in &mut entries {
        if let EntryKind::Start(start) = &mut entry.kind {
            start.tuning.refused = [0.0; 5];
            start.tuning.reserve = 0.0;
        }
    }
    let difference = replay(&entries).difference.expect("other values decide otherwise");
    assert_ne!(difference.recorded, difference.replayed);
    assert!(matches!(difference.entry.kind, EntryKind::Event(_)));
}

#[test]
fn a_gap_is_not_pretended_over() {
    let mut entries = captures().swap_remove(0);
    let at = entries.len() / 2;
    let gap = Entry { kind: EntryKind::Gap(3), ..entries[at].clone() };
    entries.splice(at..at + 3, [gap]);
    let done = replay(&entries);
    assert_eq!((done.difference, done.dropped_entries), (None, 3));
    assert!(done.skipped_entries > 100, "nothing after it is decided on a state that is not known");
}

#[test]
fn a_cut_at_every_byte_reads_up_to_its_last_whole_frame() {
    let entries = captures().swap_remove(0);
    let mut bytes = header().to_vec();
    let mut ends = vec![(bytes.len(), 0)];
    for (ix, some) in entries[..60].chunks(12).enumerate() {
        let mut frames = FrameWriter::new();
        for entry in some {
            assert_eq!(frames.push(entry).expect("it has a form"), None);
        }
        bytes.extend(frames.close().into_iter().flatten());
        ends.push((bytes.len(), (ix + 1) * 12));
    }
    for cut in 0..=bytes.len() {
        let got = read_capture(&bytes[..cut]).expect("a cut is no error");
        let whole = ends.iter().rev().find(|(end, _)| *end <= cut);
        assert_eq!(got.entries, entries[..whole.map_or(0, |(_, n)| *n)], "cut at {cut}");
        let on_edge = ends.iter().any(|(end, _)| *end == cut);
        assert_eq!(got.end == CaptureEnd::Complete, on_edge, "cut at {cut}");
        if let CaptureEnd::Truncated { offset, missing_bytes: Some(missing), missing_entries: Some(lost) } =
            got.end
        {
            let next = ends.iter().find(|(end, _)| *end > cut).expect("a frame is cut");
            assert_eq!((offset, cut + missing, lost), (whole.expect("the head is whole").0, next.0, 12));
        }
    }
}

#[test]
fn a_flipped_bit_is_found_wherever_it_is() {
    let entries = captures().swap_remove(0);
    let bytes = written(&entries[..40]);
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
fn another_version_is_refused_with_its_number() {
    let mut bytes = written(&captures().swap_remove(0)[..5]);
    bytes[6..8].copy_from_slice(&7u16.to_le_bytes());
    let crc = crc32fast::hash(&bytes[..8]);
    bytes[8..12].copy_from_slice(&crc.to_le_bytes());
    assert_eq!(read_capture(&bytes), Err(CaptureError::UnsupportedVersion(7)));
    assert_eq!(read_capture(b"something else altogether"), Err(CaptureError::NotACapture));
}

#[test]
fn entries_of_one_moment_keep_their_order_and_odd_figures_their_bits() {
    let odd = [f64::INFINITY, f64::NEG_INFINITY, -0.0, f64::MIN_POSITIVE / 2.0, 0.1 + 0.2];
    let entry = |seq: u64| {
        let report =
            LoadReport { queueing_delay: Some(odd[seq as usize % odd.len()]), ..LoadReport::default() };
        Entry {
            seq,
            at: Time(1000.0),
            kind: EntryKind::Event(CallEvent::Status { exchange: ExchangeId(seq), report }),
        }
    };
    let entries: Vec<Entry> = (0..5000).map(entry).collect();
    let again = read_capture(&written(&entries)).expect("it is whole").entries;
    assert_eq!(again.iter().map(|e| e.seq).collect::<Vec<_>>(), (0..5000).collect::<Vec<_>>());
    let bits = |entries: &[Entry]| -> Vec<u64> {
        let wait = |e: &Entry| match &e.kind {
            EntryKind::Event(CallEvent::Status { report, .. }) => {
                report.queueing_delay.map_or(0, f64::to_bits)
            }
            _ => 0,
        };
        entries.iter().map(wait).collect()
    };
    assert_eq!(bits(&entries), bits(&again));
}
