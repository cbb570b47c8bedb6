//! Past failures, decided again. A capture that decides differently is flagged with the input that shows it; a
//! change that is meant to alter decisions renews them with `scripts/renew-captures`.

use std::path::Path;

use mallowring::capture::frame::{read_capture, CaptureEnd};
use mallowring::capture::replay::replay;

#[test]
fn past_failures_are_decided_as_they_were() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/captures");
    let mut seen = 0;
    for entry in std::fs::read_dir(dir).expect("the captures are there") {
        let path = entry.expect("an entry").path();
        let capture = read_capture(&std::fs::read(&path).expect("a file")).expect("a whole capture");
        assert_eq!(capture.end, CaptureEnd::Complete, "{}", path.display());
        let done = replay(&capture.entries);
        assert_eq!(done.difference, None, "{}", path.display());
        assert!(done.inputs > 100 && done.commands > 100, "{}: {done:?}", path.display());
        seen += 1;
    }
    assert!(seen >= 4, "{seen} captures");
}
