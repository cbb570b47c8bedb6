//! Experiments: simulation of the same days with several arms on common random numbers, and its evaluation with
//! confidence intervals, verdicts, tables and charts.

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

/// Simulates the days (seeds) of a scenario with every arm. The results are ordered by arm, then by day,
/// independently of the number of threads.
pub fn run_arms(
    scenario: &Scenario,
    arms: &[Arm],
    seeds: &[u64],
    traffic: Option<&Path>,
    progress: &ProgressBar,
) -> Result<Vec<Vec<DayResult>>, LabError> {
    progress.set_length((arms.len() * seeds.len()) as u64);
    let run_seed = |seed: &u64| -> Result<Vec<DayResult>, LabError> {
        let day = Day::draw(scenario, *seed);
        let callers = match traffic {
            Some(path) => recorded::read(path, &day)?,
            None => generate(&day),
        };
        let results = arms.iter().map(|arm| {
            let result = run(&day, &callers, arm.proxy_fleet()?.as_mut(), arm.salt);
            progress.inc(1);
            result
        });
        results.collect()
    };
    let days: Vec<Vec<DayResult>> = seeds.par_iter().map(run_seed).collect::<Result<_, _>>()?;
    let mut by_arm: Vec<Vec<DayResult>> = arms.iter().map(|_| Vec::new()).collect();
    for day in days {
        for (arm, result) in by_arm.iter_mut().zip(day) {
            arm.push(result);
        }
    }
    Ok(by_arm)
}

/// The named figures of a day that are compared, the service first; higher is better for all of them.
pub fn figures(scenario: &Scenario, day: &DayResult) -> Vec<(String, f64)> {
    let service = &day.service;
    let mut figures = vec![
        ("service".to_owned(), service.figure),
        ("whole".to_owned(), service.whole),
        ("worst 10 s".to_owned(), service.worst_10_s),
    ];
    let classes = scenario.classes.iter().map(|c| &c.name).zip(&service.classes);
    figures.extend(classes.map(|(name, x)| (format!("class {name}"), *x)));
    let tenants = scenario.tenants.iter().map(|t| &t.name).zip(&service.tenants);
    figures.extend(tenants.map(|(name, x)| (format!("tenant {name}"), *x)));
    figures
}

/// Named figures of a day that help to explain the result; neither higher nor lower is better.
pub fn secondary_figures(scenario: &Scenario, day: &DayResult) -> Vec<(String, f64)> {
    let calls = day.calls.max(1) as f64;
    let mut figures = vec![
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
        figures.push((format!("9 in 10 of {} stand within, s", class.name), wait));
    }
    figures
}
