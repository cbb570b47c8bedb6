//! Simulated calls per second on one core, by fleet size; run with `cargo bench -p mallowring-lab`.

use std::path::Path;

use divan::counter::ItemsCount;
use divan::Bencher;
use mallowring::Tuning;
use mallowring_lab::day::Day;
use mallowring_lab::proxy::Shipped;
use mallowring_lab::scenario::Scenario;
use mallowring_lab::traffic::generate;
use mallowring_lab::world::run;

fn main() {
    divan::main();
}

/// A scenario of 20 s with `exchanges` exchanges at 90% of the planned load.
fn scenario(exchanges: usize) -> Scenario {
    let seconds = 20;
    let text = format!(
        "name = \"size\"\nseconds = {seconds}\n[fleet]\nexchanges = {exchanges}\n[load]\noffered = 0.9\n"
    );
    Scenario::parse(&text, Path::new("built in")).expect("the text above is a scenario")
}

/// Simulates a day with the shipped proxies; the items are calls, without redials.
#[divan::bench(args = [6, 20, 60, 200], sample_count = 3, sample_size = 1)]
fn calls(bencher: Bencher, exchanges: usize) {
    let day = Day::draw(&scenario(exchanges), 1);
    let callers = generate(&day);
    bencher.counter(ItemsCount::new(callers.len())).bench_local(|| {
        run(&day, &callers, &mut Shipped::new(Tuning::default()), 0).expect("shipped proxies do not fail")
    });
}

/// Generates a day and its traffic.
#[divan::bench(args = [6, 60, 200], sample_count = 3, sample_size = 1)]
fn draw(bencher: Bencher, exchanges: usize) {
    let scenario = scenario(exchanges);
    bencher.bench_local(|| generate(&Day::draw(&scenario, 1)).len());
}
