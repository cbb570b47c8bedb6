//! Random interleavings of the call table, the actors of exchanges and the exchanges themselves, with every message
//! between them delayed.

mod common;
mod model;

use model::World;
use proptest::prelude::*;
use proptest::strategy::ValueTree;

/// Number of random histories.
const HISTORIES: u32 = 2_000;
/// Number of steps of a history.
const STEPS: std::ops::Range<usize> = 100..900;

fn play(steps: &[(u8, u8, u8)]) -> (World, Result<(), String>) {
    let mut world = World::new();
    for step in steps {
        if let Err(broken) = world.step(*step) {
            return (world, Err(broken));
        }
    }
    let settled = world.settle();
    (world, settled)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: HISTORIES, failure_persistence: None, rng_seed: prop::test_runner::RngSeed::Fixed(28),
        ..ProptestConfig::default()
    })]

    /// Guards against two attempts of one call at exchanges at once, more than the settings allow, and missing or
    /// second final answers, whatever the order in which the parties learn of each other.
    #[test]
    fn no_order_of_events_brings_two_attempts_of_a_call_out(steps in prop::collection::vec(any::<(u8, u8, u8)>(), STEPS)) {
        let (world, result) = play(&steps);
        prop_assert!(result.is_ok(), "{:?}\n{}", result, world.trace.join("\n"));
    }
}

/// Guards against a model that never reaches what it is to check: a further attempt after a proven end.
#[test]
fn the_model_reaches_further_attempts() {
    let mut runner = proptest::test_runner::TestRunner::deterministic();
    let histories = prop::collection::vec(any::<(u8, u8, u8)>(), STEPS);
    let mut retries = 0;
    for _ in 0..200 {
        let steps = histories.new_tree(&mut runner).expect("a history").current();
        retries += play(&steps).0.retries;
    }
    assert!(retries >= 20, "{retries} further attempts in 200 histories");
}
