//! Calls simulated per core-second, by size of the fleet: `cargo bench -p mallowring-lab`.

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

/// A day of so many exchanges at 90% of the planned load; shorter where there are many.
fn scenario(exchanges: usize) -> Scenario {
    let seconds = 20;
    let text = format!(
        "name = \"size\"\nseconds = {seconds}\n[fleet]\nexchanges = {exchanges}\n[load]\noffered = 0.9\n"
    );
    Scenario::parse(&text, Path::new("built in")).expect("the text above is a scenario")
}

/// The whole run of a day with shipped proxies; the items are first tries of callers.
#[divan::bench(args = [6, 20, 60, 200], sample_count = 3, sample_size = 1)]
fn calls(bencher: Bencher, exchanges: usize) {
    let day = Day::draw(&scenario(exchanges), 1);
    let callers = generate(&day);
    bencher.counter(ItemsCount::new(callers.len())).bench_local(|| {
        run(&day, &callers, &mut Shipped::new(Tuning::default()), 0).expect("shipped proxies do not fail")
    });
}

/// Drawing a day and its traffic.
#[divan::bench(args = [6, 60, 200], sample_count = 3, sample_size = 1)]
fn draw(bencher: Bencher, exchanges: usize) {
    let scenario = scenario(exchanges);
    bencher.bench_local(|| generate(&Day::draw(&scenario, 1)).len());
}
