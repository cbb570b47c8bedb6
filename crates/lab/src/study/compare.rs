//! Paired comparison of two or more arms that were simulated on the same days.

use serde::{Deserialize, Serialize};

use super::stats::{paired, within_days, Interval, Verdict};
use super::{figures, secondary_figures, Arm};
use crate::scenario::Scenario;
use crate::world::DayResult;

/// One figure of a candidate compared with that of the baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Figure {
    /// Name of the figure.
    pub name: String,
    /// Mean of the baseline, with its interval after removing the variation between days.
    pub baseline: Interval,
    /// Mean of the candidate, with its interval after removing the variation between days.
    pub candidate: Interval,
    /// Candidate minus baseline, paired by day.
    pub difference: Interval,
    /// Verdict from the interval of the difference.
    pub verdict: Verdict,
    /// Whether the intervals of `baseline` and `candidate` do not overlap.
    pub apart: bool,
}

/// The mean state of the fleet by second, with the 95% interval of service over the days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Service of the calls whose first attempt was in this second.
    pub service: Interval,
    /// Share of circuits in use.
    pub occupancy: f64,
    /// Mean wait at the processors, seconds.
    pub wait: f64,
    /// Mean overload level of the proxies' own exchanges.
    pub own_level: f64,
    /// Mean over the proxies of the highest overload level of a far exchange.
    pub far_level: f64,
}

/// The results of a candidate compared with the baseline.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the candidate.
    pub name: String,
    /// Description of the candidate.
    pub about: String,
    /// Figures of service; higher is better.
    pub figures: Vec<Figure>,
    /// Figures that help to explain the result; neither higher nor lower is better.
    #[serde(rename = "asides")]
    pub secondary_figures: Vec<Figure>,
    /// Number of days on which the candidate broke a rule.
    pub broken_days: u32,
    /// Summary of the result in one sentence.
    pub sentence: String,
    /// State of the fleet by second.
    pub seconds: Vec<Second>,
}

/// The result of a comparison over one scenario.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// Description of the scenario.
    pub about: String,
    /// Seeds of the simulated days.
    pub seeds: Vec<u64>,
    /// Number of calls over all days, without redials.
    pub calls: u64,
    /// Name of the baseline.
    pub baseline: String,
    /// Number of days on which the baseline broke a rule.
    pub baseline_broken_days: u32,
    /// The baseline by second.
    pub baseline_seconds: Vec<Second>,
    /// Results of the candidates.
    pub candidates: Vec<Candidate>,
}

/// Computes the named figures of one day.
type FigureFn = fn(&Scenario, &DayResult) -> Vec<(String, f64)>;

/// Collects the values of each figure over all days.
fn columns(scenario: &Scenario, days: &[DayResult], figures_of: FigureFn) -> Vec<(String, Vec<f64>)> {
    let mut columns: Vec<(String, Vec<f64>)> = Vec::new();
    for day in days {
        for (ix, (name, x)) in figures_of(scenario, day).into_iter().enumerate() {
            match columns.get_mut(ix) {
                Some((_, values)) => values.push(x),
                None => columns.push((name, vec![x])),
            }
        }
    }
    columns
}

/// Compares each figure of two arms on the same days.
fn compare_figures(
    scenario: &Scenario,
    first: &[DayResult],
    second: &[DayResult],
    figures_of: FigureFn,
) -> Vec<Figure> {
    let pairs = columns(scenario, first, figures_of).into_iter().zip(columns(scenario, second, figures_of));
    let figure = |((name, a), (_, b)): ((String, Vec<f64>), (String, Vec<f64>))| {
        let (difference, verdict) = paired(&a, &b);
        let within = within_days(&[a, b]);
        let apart = within[0].is_apart(&within[1]);
        Figure { name, baseline: within[0], candidate: within[1], difference, verdict, apart }
    };
    pairs.map(figure).collect()
}

/// Means over the days for each second, up to the end of the shortest day.
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
            let values: Vec<f64> = days.iter().filter_map(|d| d.samples.get(s)).map(f).collect();
            super::stats::mean(&values)
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

/// Number of days with a broken rule.
fn count_broken_days(days: &[DayResult]) -> u32 {
    days.iter().filter(|d| d.broken_rules > 0).count() as u32
}

/// Summarizes the result: first the service, then the other figures that differ.
fn sentence(figures: &[Figure], broken_days: u32) -> String {
    let mut words = match figures.first() {
        Some(service) => {
            let change = service.difference.mean * 100.0;
            let half = service.difference.half.map_or(String::new(), |h| format!(" ± {:.2}", h * 100.0));
            format!("service {} ({change:+.2}{half} points in 100)", service.verdict.label())
        }
        None => "nothing to compare".to_owned(),
    };
    for verdict in [Verdict::Worse, Verdict::Better] {
        let parts: Vec<&str> =
            figures.iter().skip(1).filter(|f| f.verdict == verdict).map(|f| f.name.as_str()).collect();
        if !parts.is_empty() {
            words.push_str(&format!("; {}: {}", verdict.label(), parts.join(", ")));
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
    let candidate = |(arm, results): (&Arm, &Vec<DayResult>)| {
        let figures = compare_figures(scenario, base, results, figures);
        let broken_days = count_broken_days(results);
        Candidate {
            name: arm.name.clone(),
            about: arm.about.clone(),
            sentence: sentence(&figures, broken_days),
            figures,
            secondary_figures: compare_figures(scenario, base, results, secondary_figures),
            broken_days,
            seconds: by_second(results),
        }
    };
    Comparison {
        scenario: scenario.name.clone(),
        about: scenario.about.clone(),
        seeds: seeds.to_vec(),
        calls: base.iter().map(|d| d.calls).sum(),
        baseline: arms.first().map_or(String::new(), |a| a.name.clone()),
        baseline_broken_days: count_broken_days(base),
        baseline_seconds: by_second(base),
        candidates: arms.iter().zip(days).skip(1).map(candidate).collect(),
    }
}
