//! Service as the brief counts it: the worth of calls that stood in time and were never cut, over the worth offered.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::day::Day;

use crate::day::{Us, SECOND};
use crate::traffic::Caller;

/// What became of one caller.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fate {
    /// When its call stood, µs.
    pub stood: Option<Us>,
    /// It stood over a tandem.
    pub tandem: bool,
    /// It was cut.
    pub cut: bool,
    /// When its last try ended without standing, µs.
    pub ended: Us,
    /// Tries it made.
    pub tries: u32,
}

/// Parts of the service. All are shares from 0 to 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Service {
    /// The figure of the day: the parts weighed together, less the deductions; 0 if a rule was broken.
    pub figure: f64,
    /// The whole run.
    pub whole: f64,
    /// The worst 10 s.
    pub worst_10_s: f64,
    /// By class.
    pub classes: Vec<f64>,
    /// By subscriber, within its share.
    pub tenants: Vec<f64>,
    /// Served worth by second of the first try.
    pub seconds: Vec<[f64; 2]>,
    /// Points taken off: failing late, wasted work, tandems.
    pub deductions: [f64; 3],
}

/// Weights of the parts ('How we count' of the operators' brief).
const WEIGHTS: [f64; 4] = [0.3, 0.4, 0.2, 0.1];
/// Points for all failing late, as much work wasted as was asked for, all over a tandem.
const PRICES: [f64; 3] = [0.03, 0.02, 0.02];
const WINDOW: usize = 10;

/// What counts beside the callers' fates.
#[derive(Clone, Copy, Debug, Default)]
pub struct Work {
    /// Done by all processors, set-ups.
    pub done: f64,
}

fn share(part: f64, all: f64) -> f64 {
    if all > 0.0 {
        part / all
    } else {
        1.0
    }
}

/// Counts the service of a day whose callers met these fates.
pub fn service(day: &Day, callers: &[Caller], fates: &[Fate], work: Work) -> Service {
    let mut classes = vec![[0.0; 2]; day.classes.len()];
    let mut tenants = vec![[0.0; 2]; day.tenants.len()];
    let mut seconds = vec![[0.0; 2]; (day.end.div_ceil(SECOND) as usize).max(1)];
    let (mut served, mut offered, mut late, mut stood, mut tandems) = (0.0, 0.0, 0.0, 0u64, 0u64);
    let mut useful = 0.0;
    for (caller, fate) in callers.iter().zip(fates) {
        let class = &day.classes[caller.class];
        let worth = class.worth * if caller.over_share { day.over_share } else { 1.0 };
        let aim = caller.at + (class.aim_s * SECOND as f64) as Us;
        let value = match fate.stood {
            Some(at) if !fate.cut => worth * if at <= aim { 1.0 } else { class.late_worth },
            _ => 0.0,
        };
        if fate.stood.is_some() {
            stood += 1;
            tandems += u64::from(fate.tandem);
            useful += if fate.tandem { day.processor.tandem() } else { day.processor.direct() };
        } else if fate.ended > aim {
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
    let of = |pairs: &[[f64; 2]]| pairs.iter().map(|[s, o]| share(*s, *o)).collect::<Vec<_>>();
    let (classes, tenants) = (of(&classes), of(&tenants));
    let window = |w: &[[f64; 2]]| share(w.iter().map(|p| p[0]).sum(), w.iter().map(|p| p[1]).sum());
    let worst_10_s = seconds.windows(WINDOW.min(seconds.len())).map(window).fold(1.0, f64::min);
    let whole = share(served, offered);
    let least = |list: &[f64]| list.iter().copied().fold(1.0, f64::min);
    let asked = callers.len() as f64 * day.processor.direct();
    let wasted =
        if day.processor.set_up_us > 0.0 { share((work.done - useful).max(0.0), asked) } else { 0.0 };
    let tandem = if stood > 0 { tandems as f64 / stood as f64 } else { 0.0 };
    let late = if offered > 0.0 { late / offered } else { 0.0 };
    let deductions = [PRICES[0] * late, PRICES[1] * wasted.min(1.0), PRICES[2] * tandem];
    let parts = [whole, worst_10_s, least(&classes), least(&tenants)];
    let figure: f64 = parts.iter().zip(WEIGHTS).map(|(p, w)| p * w).sum();
    let figure = (figure - deductions.iter().sum::<f64>()).max(0.0);
    Service { figure, whole, worst_10_s, classes, tenants, seconds, deductions }
}

/// Times from the first try to standing, by class.
#[derive(Clone, Debug)]
pub struct Waits {
    by_class: Vec<Histogram<u64>>,
}

/// Quantiles of one class's waits, seconds; absent where no call stood.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    /// Calls that stood.
    pub stood: u64,
    /// Half of the calls stood within this.
    #[serde(rename = "half")]
    pub median: Option<f64>,
    /// 90 in 100 did.
    #[serde(rename = "ninety")]
    pub p90: Option<f64>,
    /// 99 in 100 did.
    #[serde(rename = "ninety_nine")]
    pub p99: Option<f64>,
}

impl Waits {
    /// None yet.
    pub fn new(classes: usize) -> Self {
        // Three digits from 1 ms up; the range grows by itself, so neither call can fail on these constants.
        let one = || Histogram::new(3).expect("three significant digits are allowed");
        Waits { by_class: (0..classes).map(|_| one()).collect() }
    }

    /// A call of a class stood after so long.
    pub fn add(&mut self, class: usize, wait: Us) {
        if let Some(histogram) = self.by_class.get_mut(class) {
            histogram.saturating_record(wait / 1000);
        }
    }

    /// Quantiles by class.
    pub fn quantiles(&self) -> Vec<Quantiles> {
        let of = |h: &Histogram<u64>| {
            let at = |q: f64| (!h.is_empty()).then(|| h.value_at_quantile(q) as f64 / 1000.0);
            Quantiles { stood: h.len(), median: at(0.5), p90: at(0.9), p99: at(0.99) }
        };
        self.by_class.iter().map(of).collect()
    }
}
