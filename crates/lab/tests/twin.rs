//! The call table used as a library and the same build behind the simulator's protocol make the same decisions.

mod common;

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use common::scenario;
use mallowring::Tuning;
use mallowring_lab::day::Day;
use mallowring_lab::proxy::{ExternalProgram, Shipped, Twin};
use mallowring_lab::traffic::generate;
use mallowring_lab::world::run;

/// Builds the simulator adapter of the root package and returns its path.
fn built_adapter() -> PathBuf {
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let built = Command::new(cargo)
        .args(["build", "--quiet", "--locked", "--package", "mallowring", "--bin", "mallowring-drill"])
        .current_dir(root)
        .status();
    assert!(built.is_ok_and(|status| status.success()), "the adapter builds");
    // This test's binary is in target/PROFILE/deps; the adapter was built with the dev profile.
    let test_binary = std::env::current_exe().expect("this test is a file");
    let target = test_binary.ancestors().nth(3).expect("target/PROFILE/deps/test");
    target.join("debug").join("mallowring-drill")
}

#[test]
fn call_table_and_protocol_decide_alike() {
    let program = built_adapter();
    let troubles = [
        "[load]\noffered = 1.3\n",
        "[[trouble]]\nkind = \"crash\"\nat = 3\nback_s = 3\n",
        "[[trouble]]\nkind = \"proxy-restart\"\nat = 3\nexchanges = 2\n[[trouble]]\nkind = \"lost-circuits\"\nat = 4\n\
         seconds = 4\nkeep = 0.4\n",
        "[[trouble]]\nkind = \"replace\"\nat = 1\nseconds = 4\nexchanges = 2\ndrain_s = 2\n",
    ];
    for trouble in troubles {
        let s = scenario(9, trouble);
        let day = Day::draw(&s, 3);
        let external = ExternalProgram::start(
            "drill",
            &[program.to_string_lossy().into_owned()],
            Duration::from_secs(60),
        );
        let external = external.expect("the adapter starts");
        let mut twin = Twin::new(Shipped::new(Tuning::default()), external);
        run(&day, &generate(&day), &mut twin, 0).expect("both answer");
        assert!(twin.decisions > 200, "{}", twin.decisions);
        assert_eq!(twin.differences, vec![], "{trouble}");
    }
}
