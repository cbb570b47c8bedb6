//! Plans depend on their seed alone, and the command line names what is wrong with an option.

use std::process::Command;

use mallowring_soak::fault::FaultKind;
use mallowring_soak::plan::{Options, Plan};

#[test]
fn a_seed_draws_the_same_trial_again_and_another_seed_another() {
    let draw = |seed| Plan::draw(seed, &Options::default());
    assert_eq!(draw(7), draw(7));
    assert_ne!(draw(7), draw(8));
}

#[test]
fn plans_stay_in_their_ranges_and_hold_every_fault() {
    let plans: Vec<Plan> = (0..200).map(|seed| Plan::draw(seed, &Options::default())).collect();
    for plan in &plans {
        assert!((2..=6).contains(&plan.proxies) && (3..=12).contains(&plan.exchanges));
        assert!((10.0..=25.0).contains(&plan.seconds) && (0.3..=9.0).contains(&plan.give_up));
        assert!(plan.calls.iter().all(|call| call.at < plan.seconds && call.deadline_ms > 0));
        assert!(plan.calls.iter().all(|call| call.deadline_ms as f64 <= plan.give_up * 1000.0));
    }
    for kind in FaultKind::ALL {
        let n = plans.iter().flat_map(|plan| &plan.faults).filter(|fault| fault.kind == kind).count();
        assert!(n > 10, "{}: {n}", kind.name());
    }
}

#[test]
fn only_the_faults_that_are_named_are_drawn() {
    let options = Options { only: vec![FaultKind::Hang, FaultKind::Kill], max_seconds: Some(4.0) };
    let plan = Plan::draw(3, &options);
    assert!(plan.seconds <= 4.0);
    assert!(plan.faults.iter().all(|fault| options.only.contains(&fault.kind)));
}

#[test]
fn a_bad_option_ends_with_2_and_names_it() {
    let program = env!("CARGO_BIN_EXE_mallowring-soak");
    for (args, expected) in [
        (&["run", "--seeds", "9..1"][..], "9..1"),
        (&["run", "--seeds", "1..2", "--only", "earthquake"][..], "earthquake"),
        (&["replay"][..], "SEED"),
        (&["replay", "1", "--program", "/nowhere/at/all"][..], "seed 1"),
    ] {
        let output = Command::new(program).args(args).output().expect("the program starts");
        assert_eq!(output.status.code(), Some(2), "{args:?}");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(stderr.contains(expected), "{args:?}: {stderr}");
    }
}
