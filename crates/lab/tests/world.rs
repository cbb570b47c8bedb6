//! The fleet simulation: the effect of each trouble, consistency of calls, circuits and jobs, and reproducible results.

mod common;

use common::{scenario, shipped, simulate};
use mallowring_lab::day::Day;
use mallowring_lab::proxy::Direct;
use mallowring_lab::traffic::{generate, recorded};
use mallowring_lab::world::DayResult;

fn assert_consistent(day: &DayResult) {
    assert_eq!(day.leaks, Vec::<String>::new());
    assert_eq!(day.violations, vec![], "{:?}", day.violations);
}

#[test]
fn a_calm_day_is_served_without_leaks() {
    let day = shipped(&scenario(20, "[load]\noffered = 0.6\n"), 3);
    assert_consistent(&day);
    assert!(day.calls > 400, "{}", day.calls);
    assert!(day.service.whole > 0.95, "{}", day.service.whole);
    assert!((day.littles_law[0] / day.littles_law[1] - 1.0).abs() < 1e-9, "{:?}", day.littles_law);
    // Every request ends exactly once: established, refused, abandoned, or lost with its proxy.
    let ends = &day.ends;
    assert_eq!(ends.tries, ends.established + ends.refused + ends.abandoned + ends.lost);
}

#[test]
fn a_seed_gives_the_same_result_on_any_number_of_threads() {
    let s = scenario(12, "[[trouble]]\nkind = \"crash\"\nat = 4\nback_s = 3\n");
    let text = |seed| serde_json::to_string(&shipped(&s, seed)).expect("a result is plain data");
    let sequential: Vec<String> = (1..5).map(text).collect();
    let parallel: Vec<String> = std::thread::scope(|scope| {
        let runs: Vec<_> = (1..5).map(|seed| scope.spawn(move || seed)).collect();
        let seeds: Vec<u64> = runs.into_iter().map(|r| r.join().expect("no panic")).collect();
        let threads: Vec<_> = seeds.into_iter().map(|seed| scope.spawn(move || text(seed))).collect();
        threads.into_iter().map(|r| r.join().expect("no panic")).collect()
    });
    assert_eq!(sequential, parallel);
    assert_ne!(sequential[0], sequential[1]);
}

#[test]
fn every_pair_of_troubles_is_consistent() {
    let troubles = [
        "kind = \"surge\"\nat = 3\nseconds = 4\nsize = 1.8",
        "kind = \"lopsided\"\nat = 3\nseconds = 6\nshare = 0.2",
        "kind = \"replace\"\nat = 1\nseconds = 6\nexchanges = 2\ndrain_s = 3",
        "kind = \"lost-circuits\"\nat = 4\nseconds = 5\nkeep = 0.4",
        "kind = \"slow\"\nat = 3\nseconds = 5\nsize = 2.5",
        "kind = \"crash\"\nat = 4\nexchanges = [1]\nback_s = 4",
        "kind = \"proxy-restart\"\nat = 4\nexchanges = 2",
        "kind = \"roster-stopped\"\nat = 1\nseconds = 9",
    ];
    for (ix, one) in troubles.iter().enumerate() {
        for other in &troubles[ix..] {
            let s =
                scenario(14, &format!("[load]\noffered = 1.1\n[[trouble]]\n{one}\n[[trouble]]\n{other}\n"));
            for seed in 1..3 {
                let day = shipped(&s, seed);
                assert_eq!(day.leaks, Vec::<String>::new(), "{one} and {other}, seed {seed}");
                assert_eq!(day.violations, vec![], "{one} and {other}, seed {seed}");
            }
        }
    }
}

#[test]
fn a_lost_group_cuts_the_calls_on_it() {
    let calm = scenario(20, "");
    let s = scenario(20, "[[trouble]]\nkind = \"lost-circuits\"\nat = 12\nseconds = 6\nkeep = 0.3\n");
    let (calm, lost) = (shipped(&calm, 5), shipped(&s, 5));
    assert_consistent(&lost);
    assert_eq!(calm.ends.cut, 0);
    assert!(lost.ends.cut > 50, "{}", lost.ends.cut);
    // Only the circuits in working order can be in use.
    assert!(lost.samples[14].occupancy < 0.75 * calm.samples[14].occupancy);
}

#[test]
fn a_surge_raises_arrivals_in_its_span_alone() {
    let s = scenario(20, "[[trouble]]\nkind = \"surge\"\nat = 8\nseconds = 6\nsize = 2\nramp_s = 0\n");
    let day = Day::draw(&s, 2);
    let callers = generate(&day);
    let within =
        |from: u64, to: u64| callers.iter().filter(|c| (from..to).contains(&(c.at / 1_000_000))).count();
    let (before, during) = (within(2, 8) as f64, within(8, 14) as f64);
    assert!((1.7..2.4).contains(&(during / before)), "{during} against {before}");
}

#[test]
fn lopsided_load_arrives_at_one_exchange() {
    let s = scenario(
        20,
        "[[trouble]]\nkind = \"lopsided\"\nat = 0\nseconds = 20\nexchanges = [2]\nshare = 0.5\n",
    );
    let share_and_calls = |s: &mallowring_lab::scenario::Scenario| {
        let callers = generate(&Day::draw(s, 2));
        assert!(callers.iter().all(|c| c.origin != c.dest));
        (callers.iter().filter(|c| c.origin == 2).count() as f64 / callers.len() as f64, callers.len())
    };
    let ((quiet, all), (crowded, same)) = (share_and_calls(&scenario(20, "")), share_and_calls(&s));
    assert!(crowded > quiet + 0.15, "{crowded} against {quiet}");
    assert_eq!(all, same, "the number of calls stays the same, only their origins change");
}

#[test]
fn a_crash_cuts_calls_and_a_restart_serves_more() {
    let s = scenario(24, "[[trouble]]\nkind = \"crash\"\nat = 10\nexchanges = [0]\nback_s = 4\n");
    let day = shipped(&s, 4);
    assert_consistent(&day);
    assert!(day.ends.cut > 100, "{}", day.ends.cut);
    assert!(day.ends.no_connection > 0, "the proxies learn of the crash with a delay");
    let never = scenario(24, "[[trouble]]\nkind = \"crash\"\nat = 10\nexchanges = [0]\n");
    let never = shipped(&never, 4);
    assert!(never.service.whole < day.service.whole, "{} {}", never.service.whole, day.service.whole);
}

#[test]
fn an_overloaded_cold_processor_stays_down() {
    // Proxies without overload control send the cold processor its full share of three times the planned load.
    let text = "[load]\noffered = 3\n[groups]\nsize = 5000\n[processor]\nlongest_wait_ms = 100000\ncold_from = 0.1\n\
                cold_s = 15\n[rules]\nfall_multiple = 2\n[callers]\nredials = 0\n[[trouble]]\nkind = \"replace\"\n\
                at = 2\nseconds = 1\nexchanges = [1]\ndrain_s = 0.5\n";
    let s = scenario(20, text);
    let day = simulate(&s, 1, &mut Direct::default());
    let cold: Vec<_> = day.violations.iter().filter(|b| b.what.contains("pushed over")).collect();
    assert_eq!(cold.len(), 1, "it fails once and stays down: {:?}", day.violations);
    assert_eq!(day.service.figure, 0.0, "a broken rule sets the score to 0");
    // Calls to it fail until the end of the day.
    let last: Vec<_> = day.service.seconds[15..].iter().collect();
    let served: f64 = last.iter().map(|s| s[0]).sum::<f64>() / last.iter().map(|s| s[1]).sum::<f64>();
    assert!(served < 0.7, "{served}");
    assert_consistent(&shipped(&s, 1));
}

#[test]
fn a_proxy_that_restarts_loses_its_state_and_breaks_no_rule() {
    let s = scenario(20, "[[trouble]]\nkind = \"proxy-restart\"\nat = 9\nexchanges = [1, 2]\nseconds = 1\n");
    let day = shipped(&s, 6);
    assert_consistent(&day);
    assert!(day.ends.lost > 0, "requests without a final answer are lost");
}

#[test]
fn proxies_without_roster_updates_send_to_removed_exchanges() {
    let replace = "[[trouble]]\nkind = \"replace\"\nat = 2\nseconds = 4\nexchanges = [1]\ndrain_s = 2\n";
    let updated = shipped(&scenario(20, replace), 7);
    let stopped = "[[trouble]]\nkind = \"roster-stopped\"\nat = 1\nseconds = 15\n";
    let without_updates = shipped(&scenario(20, &format!("{replace}{stopped}")), 7);
    assert_consistent(&without_updates);
    assert!(
        without_updates.ends.no_connection > 2 * updated.ends.no_connection,
        "{:?} {:?}",
        without_updates.ends,
        updated.ends
    );
}

#[test]
fn answers_before_set_ups_relieve_a_loaded_processor() {
    let day = |first: bool| {
        let text =
            format!("[load]\noffered = 1.3\n[groups]\nsize = 500\n[processor]\nfinish_first = {first}\n");
        simulate(&scenario(20, &text), 2, &mut Direct::default())
    };
    let (behind, ahead) = (day(false), day(true));
    assert!(
        ahead.ends.established > behind.ends.established,
        "{} {}",
        ahead.ends.established,
        behind.ends.established
    );
}

#[test]
fn traffic_from_a_file_is_the_same_traffic() {
    let s = scenario(8, "");
    let day = Day::draw(&s, 3);
    let callers = generate(&day);
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("calls.csv");
    recorded::write(&path, &day, &callers).expect("it can be written");
    let reread = recorded::read(&path, &day).expect("it can be read");
    let plain = |c: &mallowring_lab::traffic::Caller| {
        (c.at, c.origin, c.dest, c.class, c.tenant, c.hold, c.number, c.over_share)
    };
    assert_eq!(callers.iter().map(plain).collect::<Vec<_>>(), reread.iter().map(plain).collect::<Vec<_>>());
    let text = std::fs::read_to_string(&path).expect("it is there");
    std::fs::write(&path, text.replacen("trace-read", "no-such", 1)).expect("it can be written");
    let error = recorded::read(&path, &day).expect_err("the class is unknown").to_string();
    assert!(error.contains("calls.csv: record 1: class 'no-such'"), "{error}");
}
