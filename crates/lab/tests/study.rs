//! Comparisons name what is worse and what is not; results are kept whole or not at all.

mod common;

use std::path::Path;

use common::scenario;
use indicatif::ProgressBar;
use mallowring::Tuning;
use mallowring_lab::scenario::Scenario;
use mallowring_lab::study::compare::{compare, Comparison};
use mallowring_lab::study::stats::Verdict;
use mallowring_lab::study::sweep::{grid, Axis};
use mallowring_lab::study::{keep, play, Arm};

fn built_in(name: &str) -> Arm {
    Arm::named(name).expect("it is built in")
}

fn compared(scenario: &Scenario, names: &[&str], days: u64) -> Comparison {
    let arms: Vec<Arm> = names.iter().map(|n| built_in(n)).collect();
    let seeds: Vec<u64> = (1..=days).collect();
    let played = play(scenario, &arms, &seeds, None, &ProgressBar::hidden()).expect("shipped proxies play");
    compare(scenario, &seeds, &arms, &played)
}

#[test]
fn known_bad_changes_are_worse_and_another_seed_is_not() {
    let s = scenario(
        16,
        "[load]\noffered = 1.25\n[[trouble]]\nkind = \"surge\"\nat = 5\nseconds = 5\nsize = 1.5\n",
    );
    let c =
        compared(&s, &["today", "refusal-off", "reservation-off", "refused-pause-3s", "another-seed"], 24);
    for bad in &c.candidates[..3] {
        let service = &bad.figures[0];
        assert_eq!(service.verdict, Verdict::Worse, "{}", bad.sentence);
        assert!(service.apart, "{}: the intervals overlap", bad.name);
        assert_eq!(bad.broken_days, 0);
    }
    let harmless = &c.candidates[3];
    assert_eq!(harmless.figures[0].verdict, Verdict::NoDifference, "{}", harmless.sentence);
    // Both arms met the very same callers.
    assert_eq!(c.candidates[3].figures.len(), 3 + s.classes.len() + s.tenants.len());
}

#[test]
fn a_comparison_with_itself_is_no_difference_at_all() {
    let c = compared(&scenario(8, ""), &["today", "today"], 3);
    for figure in &c.candidates[0].figures {
        assert_eq!((figure.difference.mean, figure.verdict), (0.0, Verdict::NoDifference), "{}", figure.name);
    }
}

#[test]
fn results_are_kept_whole_or_not_at_all() {
    let c = compared(&scenario(6, ""), &["today", "refusal-off"], 3);
    let dir = tempfile::tempdir().expect("a folder");
    let kept = dir.path().join("kept");
    keep::comparison(&kept, &c).expect("it can be kept");
    assert_eq!(keep::read(&kept).expect("it can be read"), c);
    for name in
        ["table.csv", "report.md", "figures.svg", "service.svg", "occupancy.svg", "wait.svg", "levels.svg"]
    {
        let text = std::fs::read_to_string(kept.join(name)).expect(name);
        assert!(text.len() > 200, "{name}: {text}");
    }
    // A name that can't be a file: what was kept stays, and nothing else is left.
    let before = std::fs::read_to_string(kept.join("report.md")).expect("it is there");
    let error = keep::files(&kept, &[("report.md", "new".into()), ("no/such/folder", "x".into())]);
    assert!(error.is_err());
    assert_eq!(std::fs::read_to_string(kept.join("report.md")).expect("it is there"), before);
    let left: Vec<_> =
        std::fs::read_dir(dir.path()).expect("a folder").map(|e| e.expect("an entry").file_name()).collect();
    assert_eq!(left, ["kept"], "nothing half-written stays");
}

#[test]
fn a_grid_takes_keys_of_both_sides_and_names_a_bad_one() {
    let s = scenario(6, "");
    let axes: Vec<Axis> = ["load.offered=0.7,[0.8, 0.9]", "tuning.abate=0.55,0.65"]
        .iter()
        .map(|a| a.parse().expect("an axis"))
        .collect();
    let points = grid(&s, &built_in("today"), &axes).expect("a grid");
    assert_eq!(points.len(), 4);
    assert_eq!(points[0].arm.tuning.abate, 0.55);
    assert_eq!(points[3].scenario.load.offered.highest(), 0.9);
    assert_eq!(points[3].arm.tuning, Tuning { abate: 0.65, ..Tuning::default() });
    for (axis, part) in
        [("load.offerd=1", "offerd"), ("load.offered=-1", "load.offered"), ("tuning.abat=1", "abat")]
    {
        let axis: Axis = axis.parse().expect("an axis");
        let error = grid(&s, &built_in("today"), &[axis]).expect_err("a bad key").to_string();
        assert!(error.contains(part), "{error}");
    }
    assert!("load.offered".parse::<Axis>().is_err());
}

#[test]
fn every_experiment_fits_the_schema_and_bad_ones_do_not() {
    let schema = serde_json::to_value(Scenario::schema()).expect("a schema is JSON");
    let validator = jsonschema::validator_for(&schema).expect("a schema");
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../experiments");
    let mut seen = 0;
    for entry in std::fs::read_dir(dir).expect("the experiments").map(|e| e.expect("an entry").path()) {
        if entry.extension().is_none_or(|e| e != "toml") {
            continue;
        }
        Scenario::read(&entry).unwrap_or_else(|e| panic!("{e}"));
        let text = std::fs::read_to_string(&entry).expect("a file");
        let value: toml::Value = toml::from_str(&text).expect("TOML");
        let value = serde_json::to_value(value).expect("JSON");
        assert!(
            validator.is_valid(&value),
            "{}: {:?}",
            entry.display(),
            validator.iter_errors(&value).next()
        );
        seen += 1;
    }
    assert!(seen >= 14, "{seen}");
    // Reading and the schema refuse alike.
    for text in [
        "[fleet]\nexchanges = 4\n[load]\noffered = -1",
        "[fleet]\nexchanges = 4\nexchange = 5",
        "seconds = 4",
    ] {
        let text = format!("name = \"bad\"\n{text}\n");
        assert!(Scenario::parse(&text, Path::new("bad.toml")).is_err(), "{text}");
        let value: toml::Value = toml::from_str(&text).expect("TOML");
        assert!(!validator.is_valid(&serde_json::to_value(value).expect("JSON")), "{text}");
    }
}
