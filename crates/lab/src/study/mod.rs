//! Experiments: days played by several arms on the same random numbers, intervals, verdicts, tables and charts.

pub mod arm;
pub mod chart;
pub mod compare;
pub mod keep;
pub mod paper;
pub mod stats;
pub mod sweep;
pub mod table;
pub mod verify;

use std::path::Path;

use indicatif::ProgressBar;
use rayon::prelude::*;

pub use arm::Arm;

use crate::day::Day;
use crate::scenario::Scenario;
use crate::traffic::{generate, recorded};
use crate::world::{run, DayResult};
use crate::LabError;

/// Plays days (seeds) of a scenario with every arm; results are by arm, then by day, whatever the threads do.
pub fn play(
    scenario: &Scenario,
    arms: &[Arm],
    seeds: &[u64],
    traffic: Option<&Path>,
    progress: &ProgressBar,
) -> Result<Vec<Vec<DayResult>>, LabError> {
    progress.set_length((arms.len() * seeds.len()) as u64);
    let one = |seed: &u64| -> Result<Vec<DayResult>, LabError> {
        let day = Day::draw(scenario, *seed);
        let callers = match traffic {
            Some(path) => recorded::read(path, &day)?,
            None => generate(&day),
        };
        let played = arms.iter().map(|arm| {
            let result = run(&day, &callers, arm.seats()?.as_mut(), arm.salt);
            progress.inc(1);
            result
        });
        played.collect()
    };
    let days: Vec<Vec<DayResult>> = seeds.par_iter().map(one).collect::<Result<_, _>>()?;
    let mut by_arm: Vec<Vec<DayResult>> = arms.iter().map(|_| Vec::new()).collect();
    for day in days {
        for (arm, result) in by_arm.iter_mut().zip(day) {
            arm.push(result);
        }
    }
    Ok(by_arm)
}

/// The figures of a day that are compared, by name: those of service first, where more is better.
pub fn figures(scenario: &Scenario, day: &DayResult) -> Vec<(String, f64)> {
    let s = &day.service;
    let mut figures = vec![
        ("service".to_owned(), s.figure),
        ("whole".to_owned(), s.whole),
        ("worst 10 s".to_owned(), s.worst_10_s),
    ];
    let classes = scenario.classes.iter().map(|c| &c.name).zip(&s.classes);
    figures.extend(classes.map(|(name, x)| (format!("class {name}"), *x)));
    let tenants = scenario.tenants.iter().map(|t| &t.name).zip(&s.tenants);
    figures.extend(tenants.map(|(name, x)| (format!("tenant {name}"), *x)));
    figures
}

/// Figures that explain, where neither more nor less is better.
pub fn asides(scenario: &Scenario, day: &DayResult) -> Vec<(String, f64)> {
    let calls = day.calls.max(1) as f64;
    let mut asides = vec![
        ("attempts a call".to_owned(), day.sends_per_call),
        ("tries a call".to_owned(), day.ends.tries as f64 / calls),
        ("refused tries a call".to_owned(), day.ends.refused as f64 / calls),
        ("turned away as full, a call".to_owned(), day.ends.far_processor_full as f64 / calls),
        ("turned back, a call".to_owned(), day.ends.cranked_back as f64 / calls),
        ("no circuit, a call".to_owned(), day.ends.no_circuit as f64 / calls),
        ("cut, a call".to_owned(), day.ends.cut as f64 / calls),
        ("over a tandem".to_owned(), day.tandem_share),
        ("processors busy".to_owned(), day.busy),
    ];
    for (class, waits) in scenario.classes.iter().zip(&day.waits) {
        let wait = waits.p90.unwrap_or(0.0);
        asides.push((format!("9 in 10 of {} stand within, s", class.name), wait));
    }
    asides
}
