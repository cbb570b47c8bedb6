//! Two or more arms on the same days.

use serde::{Deserialize, Serialize};

use super::stats::{paired, within_days, Interval, Verdict};
use super::{asides, figures, Arm};
use crate::scenario::Scenario;
use crate::world::DayResult;

/// One figure of a candidate beside the baseline's.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Its name.
    pub name: String,
    /// The baseline's mean, with the interval after the days' own differences were taken out.
    pub baseline: Interval,
    /// The candidate's.
    pub candidate: Interval,
    /// Candidate less baseline, paired by day.
    pub difference: Interval,
    /// What that says.
    pub verdict: Verdict,
    /// The two intervals lie apart.
    pub apart: bool,
}

/// The mean state of the fleet by second, with the 95% interval of service over the days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Service of the calls that were first tried then.
    pub service: Interval,
    /// Share of circuits in use.
    pub occupancy: f64,
    /// Mean wait at the processors, seconds.
    pub wait: f64,
    /// Mean own level of overload.
    pub own_level: f64,
    /// Mean of the highest far level.
    pub far_level: f64,
}

/// A candidate beside the baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its name.
    pub name: String,
    /// What it is.
    pub about: String,
    /// Figures where more is better.
    pub figures: Vec<Figure>,
    /// Figures that explain.
    pub asides: Vec<Figure>,
    /// Days on which it broke a rule.
    pub broken_days: u32,
    /// The result in words.
    pub sentence: String,
    /// By second.
    pub seconds: Vec<Second>,
}

/// A whole comparison.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The scenario.
    pub scenario: String,
    /// What it shows.
    pub about: String,
    /// Days that were played.
    pub seeds: Vec<u64>,
    /// Calls of all days, first tries.
    pub calls: u64,
    /// The baseline's name.
    pub baseline: String,
    /// Days on which the baseline broke a rule.
    pub baseline_broken_days: u32,
    /// The baseline by second.
    pub baseline_seconds: Vec<Second>,
    /// The candidates.
    pub candidates: Vec<Candidate>,
}

type Named = fn(&Scenario, &DayResult) -> Vec<(String, f64)>;

fn columns(scenario: &Scenario, days: &[DayResult], of: Named) -> Vec<(String, Vec<f64>)> {
    let mut columns: Vec<(String, Vec<f64>)> = Vec::new();
    for day in days {
        for (ix, (name, x)) in of(scenario, day).into_iter().enumerate() {
            match columns.get_mut(ix) {
                Some((_, xs)) => xs.push(x),
                None => columns.push((name, vec![x])),
            }
        }
    }
    columns
}

fn beside(scenario: &Scenario, first: &[DayResult], second: &[DayResult], of: Named) -> Vec<Figure> {
    let pairs = columns(scenario, first, of).into_iter().zip(columns(scenario, second, of));
    let figure = |((name, a), (_, b)): ((String, Vec<f64>), (String, Vec<f64>))| {
        let (difference, verdict) = paired(&a, &b);
        let within = within_days(&[a, b]);
        let apart = within[0].is_apart(&within[1]);
        Figure { name, baseline: within[0], candidate: within[1], difference, verdict, apart }
    };
    pairs.map(figure).collect()
}

fn by_second(days: &[DayResult]) -> Vec<Second> {
    let shortest = days.iter().map(|d| d.service.seconds.len()).min().unwrap_or(0);
    let second = |s: usize| {
        let of_day = |d: &DayResult| {
            let [served, offered] = d.service.seconds[s];
            if offered > 0.0 {
                served / offered
            } else {
                1.0
            }
        };
        let service = super::stats::t_interval(&days.iter().map(of_day).collect::<Vec<_>>());
        let mean = |f: fn(&crate::world::Sample) -> f64| {
            let xs: Vec<f64> = days.iter().filter_map(|d| d.samples.get(s)).map(f).collect();
            super::stats::mean(&xs)
        };
        Second {
            service,
            occupancy: mean(|x| x.occupancy),
            wait: mean(|x| x.wait),
            own_level: mean(|x| x.own_level),
            far_level: mean(|x| x.far_level),
        }
    };
    (0..shortest).map(second).collect()
}

fn broken(days: &[DayResult]) -> u32 {
    days.iter().filter(|d| d.broken_rules > 0).count() as u32
}

/// The result in words: the service first, then which parts differ.
fn sentence(figures: &[Figure], broken_days: u32) -> String {
    let mut words = match figures.first() {
        Some(service) => {
            let change = service.difference.mean * 100.0;
            let half = service.difference.half.map_or(String::new(), |h| format!(" ± {:.2}", h * 100.0));
            format!("service {} ({change:+.2}{half} points in 100)", service.verdict.words())
        }
        None => "nothing to compare".to_owned(),
    };
    for verdict in [Verdict::Worse, Verdict::Better] {
        let parts: Vec<&str> =
            figures.iter().skip(1).filter(|f| f.verdict == verdict).map(|f| f.name.as_str()).collect();
        if !parts.is_empty() {
            words.push_str(&format!("; {}: {}", verdict.words(), parts.join(", ")));
        }
    }
    if broken_days > 0 {
        words.push_str(&format!("; rules broken on {broken_days} days"));
    }
    words
}

/// Compares the first arm with each of the others.
pub fn compare(scenario: &Scenario, seeds: &[u64], arms: &[Arm], days: &[Vec<DayResult>]) -> Comparison {
    let empty = Vec::new();
    let base = days.first().unwrap_or(&empty);
    let candidate = |(arm, played): (&Arm, &Vec<DayResult>)| {
        let figures = beside(scenario, base, played, figures);
        let broken_days = broken(played);
        Candidate {
            name: arm.name.clone(),
            about: arm.about.clone(),
            sentence: sentence(&figures, broken_days),
            figures,
            asides: beside(scenario, base, played, asides),
            broken_days,
            seconds: by_second(played),
        }
    };
    Comparison {
        scenario: scenario.name.clone(),
        about: scenario.about.clone(),
        seeds: seeds.to_vec(),
        calls: base.iter().map(|d| d.calls).sum(),
        baseline: arms.first().map_or(String::new(), |a| a.name.clone()),
        baseline_broken_days: broken(base),
        baseline_seconds: by_second(base),
        candidates: arms.iter().zip(days).skip(1).map(candidate).collect(),
    }
}
