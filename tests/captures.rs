//! Replays captures of past failures. A capture whose decisions differ fails the test, which prints the event with the
//! first difference. A change that is meant to alter decisions renews the captures with `scripts/renew-captures`.

use std::path::Path;

use mallowring::capture::frame::{read_capture, CaptureEnd};
use mallowring::capture::replay::replay;

#[test]
fn captures_of_past_failures_replay_with_the_same_decisions() {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/captures");
    let mut count = 0;
    for entry in std::fs::read_dir(dir).expect("the directory of captures exists") {
        let path = entry.expect("the directory can be read").path();
        let capture = read_capture(&std::fs::read(&path).expect("the capture can be read"))
            .expect("the capture is valid");
        assert_eq!(capture.end, CaptureEnd::Complete, "{}", path.display());
        let report = replay(&capture.entries);
        assert_eq!(report.difference, None, "{}", path.display());
        assert!(report.events > 100 && report.effects > 100, "{}: {report:?}", path.display());
        count += 1;
    }
    assert!(count >= 4, "{count} captures");
}
