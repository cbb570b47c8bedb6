//! Service of a day: the worth of the calls that were established in time and never cut, over the worth offered.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::day::Day;

use crate::day::{Us, SECOND};
use crate::traffic::Caller;

/// The result of one caller's call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CallResult {
    /// When the call was established, µs.
    pub established_at: Option<Us>,
    /// Whether the call was routed over a tandem.
    pub tandem: bool,
    /// Whether the call was cut.
    pub cut: bool,
    /// When the caller's latest attempt failed or the call was cut, µs.
    pub ended_at: Us,
    /// Number of times that the caller dialled.
    pub tries: u32,
}

/// Service of a day and its parts. Except for `seconds`, all are shares from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// The score of the day: the weighted sum of the parts less the deductions; 0 if a rule was broken.
    pub figure: f64,
    /// Service over the whole day.
    pub whole: f64,
    /// Service in the worst 10 s.
    pub worst_10_s: f64,
    /// Service by class.
    pub classes: Vec<f64>,
    /// Service by tenant, for its calls within its share.
    pub tenants: Vec<f64>,
    /// Served and offered worth by second of the first dialling.
    pub seconds: Vec<[f64; 2]>,
    /// Deductions for late failures, wasted work and tandems.
    pub deductions: [f64; 3],
}

/// Weights of the whole day, the worst 10 s, the worst class and the worst tenant, as the operators set them.
const SCORE_WEIGHTS: [f64; 4] = [0.3, 0.4, 0.2, 0.1];
/// Deductions if all calls fail late, if as much work is wasted as was asked for, and if all calls use a tandem.
const DEDUCTION_WEIGHTS: [f64; 3] = [0.03, 0.02, 0.02];
/// Length of the window for the worst service, seconds.
const WORST_WINDOW_SECONDS: usize = 10;

/// Work of the fleet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessorWork {
    /// Work done by all processors, in set-ups.
    pub done: f64,
}

/// `part` as a share of `all`; 1 if there is nothing to share.
fn share(part: f64, all: f64) -> f64 {
    if all > 0.0 {
        part / all
    } else {
        1.0
    }
}

/// Computes the service of a day from the results of its callers' calls.
pub fn service(day: &Day, callers: &[Caller], call_results: &[CallResult], work: ProcessorWork) -> Service {
    let mut classes = vec![[0.0; 2]; day.classes.len()];
    let mut tenants = vec![[0.0; 2]; day.tenants.len()];
    let mut seconds = vec![[0.0; 2]; (day.end.div_ceil(SECOND) as usize).max(1)];
    let (mut served, mut offered, mut late, mut established, mut tandems) = (0.0, 0.0, 0.0, 0u64, 0u64);
    let mut useful = 0.0;
    for (caller, call_result) in callers.iter().zip(call_results) {
        let class = &day.classes[caller.class];
        let worth = class.worth * if caller.over_share { day.over_share_worth } else { 1.0 };
        let aim = caller.at + (class.aim_s * SECOND as f64) as Us;
        let value = match call_result.established_at {
            Some(at) if !call_result.cut => worth * if at <= aim { 1.0 } else { class.late_worth },
            _ => 0.0,
        };
        if call_result.established_at.is_some() {
            established += 1;
            tandems += u64::from(call_result.tandem);
            useful += if call_result.tandem { day.processor.tandem() } else { day.processor.direct() };
        } else if call_result.ended_at > aim {
            late += worth;
        }
        let second = ((caller.at / SECOND) as usize).min(seconds.len() - 1);
        let add = |pair: &mut [f64; 2]| {
            pair[0] += value;
            pair[1] += worth;
        };
        add(&mut seconds[second]);
        add(&mut classes[caller.class]);
        if !caller.over_share {
            add(&mut tenants[caller.tenant]);
        }
        served += value;
        offered += worth;
    }
    let shares = |pairs: &[[f64; 2]]| pairs.iter().map(|[s, o]| share(*s, *o)).collect::<Vec<_>>();
    let (classes, tenants) = (shares(&classes), shares(&tenants));
    let window = |w: &[[f64; 2]]| share(w.iter().map(|p| p[0]).sum(), w.iter().map(|p| p[1]).sum());
    let worst_10_s = seconds.windows(WORST_WINDOW_SECONDS.min(seconds.len())).map(window).fold(1.0, f64::min);
    let whole = share(served, offered);
    let least = |list: &[f64]| list.iter().copied().fold(1.0, f64::min);
    let requested_work = callers.len() as f64 * day.processor.direct();
    let wasted = if day.processor.set_up_us > 0.0 {
        share((work.done - useful).max(0.0), requested_work)
    } else {
        0.0
    };
    let tandem = if established > 0 { tandems as f64 / established as f64 } else { 0.0 };
    let late = if offered > 0.0 { late / offered } else { 0.0 };
    let deductions =
        [DEDUCTION_WEIGHTS[0] * late, DEDUCTION_WEIGHTS[1] * wasted.min(1.0), DEDUCTION_WEIGHTS[2] * tandem];
    let parts = [whole, worst_10_s, least(&classes), least(&tenants)];
    let figure: f64 = parts.iter().zip(SCORE_WEIGHTS).map(|(p, w)| p * w).sum();
    let figure = (figure - deductions.iter().sum::<f64>()).max(0.0);
    Service { figure, whole, worst_10_s, classes, tenants, seconds, deductions }
}

/// Times from the first dialling to the establishment of the call, by class.
#[derive(Clone, Debug)]
pub struct SetUpDelays {
    by_class: Vec<Histogram<u64>>,
}

/// Quantiles of one class's set-up delays, seconds; absent if no call was established.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// Established calls.
    #[serde(rename = "stood")]
    pub established: u64,
    /// Median.
    #[serde(rename = "half")]
    pub median: Option<f64>,
    /// 90th percentile.
    #[serde(rename = "ninety")]
    pub p90: Option<f64>,
    /// 99th percentile.
    #[serde(rename = "ninety_nine")]
    pub p99: Option<f64>,
}

impl SetUpDelays {
    /// Empty histograms.
    pub fn new(classes: usize) -> Self {
        // Three significant digits from 1 ms; the histogram resizes automatically, so recording cannot fail.
        let histogram = || Histogram::new(3).expect("three significant digits are allowed");
        SetUpDelays { by_class: (0..classes).map(|_| histogram()).collect() }
    }

    /// Records the set-up delay of a call.
    pub fn add(&mut self, class: usize, delay: Us) {
        if let Some(histogram) = self.by_class.get_mut(class) {
            histogram.saturating_record(delay / 1000);
        }
    }

    /// Quantiles by class.
    pub fn quantiles(&self) -> Vec<Quantiles> {
        let quantiles = |h: &Histogram<u64>| {
            let at = |q: f64| (!h.is_empty()).then(|| h.value_at_quantile(q) as f64 / 1000.0);
            Quantiles { established: h.len(), median: at(0.5), p90: at(0.9), p99: at(0.99) }
        };
        self.by_class.iter().map(quantiles).collect()
    }
}
