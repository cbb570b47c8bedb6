//! The paper's procedure for setting overload thresholds (section 3.3), run on the modelled processor: set-ups
//! arrive as a Poisson process, and a controller samples the depth of the processor's queue and refuses the share
//! of set-ups that belongs to its overload level.

use mallowring::interface::ExchangeId;
use rand_distr::{Distribution, Exp1};
use serde::Serialize;

use crate::day::ProcessorParameters;
use crate::day::{Us, SECOND};
use crate::random::{stream, Purpose};
use crate::scenario::WorkTime;
use crate::world::processor::{Processor, Task};

/// Share of set-ups refused at levels 0 to 4 (section 3.2; without its rule for urgent calls).
const REFUSED_SHARE: [f64; 5] = [0.0, 0.2, 0.8, 1.0, 1.0];
/// Period at which the controller samples the queue depth, in µs.
const SAMPLE_PERIOD_US: Us = SECOND / 10;
/// A level counts as reported if more than this share of the samples is at it or above.
const REPORTED_SHARE: f64 = 0.01;

/// Onset and abatement thresholds of levels 1 to 4, in jobs in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Thresholds {
    /// A level is entered when the depth exceeds its onset threshold.
    pub onset: [f64; 4],
    /// A level is left when the depth falls below its abatement threshold.
    pub abate: [f64; 4],
}

impl Thresholds {
    /// Each onset is twice the previous one and each abatement threshold is the share `abate` of its onset, as in the
    /// shipped controller.
    pub fn doubling(onset1: f64, abate: f64) -> Self {
        let onset = [1.0, 2.0, 4.0, 8.0].map(|k| k * onset1);
        Thresholds { onset, abate: onset.map(|o| o * abate) }
    }

    /// Makes the levels above `highest` unreachable.
    fn up_to(mut self, highest: usize) -> Self {
        for level in highest..4 {
            self.onset[level] = f64::INFINITY;
        }
        self
    }

    /// The level that follows `level` at a queue depth.
    fn step(&self, mut level: usize, depth: f64) -> usize {
        while level < 4 && depth > self.onset[level] {
            level += 1;
        }
        while level > 0 && depth < self.abate[level - 1] {
            level -= 1;
        }
        level
    }
}

/// Result of a steady load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SteadyResult {
    /// Rate of offered set-ups, relative to the processor's capacity without refusals.
    pub offered: f64,
    /// Share of the samples at each level.
    #[serde(rename = "spent")]
    pub level_shares: [f64; 5],
    /// Number of changes to an adjacent level, and of all level changes.
    #[serde(rename = "moves")]
    pub level_changes: [u64; 2],
    /// Highest queue depth after the settling time.
    pub high: usize,
    /// Lowest queue depth after the settling time.
    pub low: usize,
}

impl SteadyResult {
    /// The largest share of the samples that lies in two adjacent levels; the paper requires a share of 1.
    pub fn largest_adjacent_share(&self) -> f64 {
        self.level_shares.windows(2).map(|w| w[0] + w[1]).fold(0.0, f64::max)
    }

    /// Whether more than `REPORTED_SHARE` of the samples are at `level` or above.
    fn reports(&self, level: usize) -> bool {
        self.level_shares[level..].iter().sum::<f64>() > REPORTED_SHARE
    }
}

/// A processor whose set-ups take 20 ms on average.
fn processor_settings() -> ProcessorParameters {
    ProcessorParameters {
        set_up_us: 20_000.0,
        inspect: 0.0,
        refuse: 0.2,
        answer_or_release: 0.0,
        longest_wait_us: f64::INFINITY,
        finish_first: false,
        cancel_drops: false,
        work: WorkTime::Exponential,
        cold_from: 1.0,
        cold_us: 1.0,
        cold_failure_window_us: SECOND,
        cold_failure_multiple: 1e9,
    }
}

/// Simulates a steady load for `seconds`.
pub fn run_steady_load(thresholds: &Thresholds, offered: f64, seconds: f64, seed: u64) -> SteadyResult {
    let parameters = processor_settings();
    let mut processor = Processor::new(ExchangeId(1), parameters, None);
    let mut arrivals = stream(seed, Purpose::Arrivals, 0);
    let mut work = stream(seed, Purpose::ProcessorWork, 0);
    let gap = parameters.set_up_us / offered;
    let (end, settled) = ((seconds * SECOND as f64) as Us, SECOND * 10);
    let (mut next, mut sample, mut completion) = (0.0, SAMPLE_PERIOD_US, None::<(Us, u64)>);
    let (mut level, mut refusal_credit) = (0usize, 0.0);
    let (mut sample_counts, mut level_changes, mut high, mut low) = ([0u64; 5], [0u64; 2], 0, usize::MAX);
    loop {
        let at = (next as Us).min(sample).min(completion.map_or(Us::MAX, |(at, _)| at));
        if at >= end {
            break;
        }
        if let Some((_, serial)) = completion.filter(|(d, _)| *d == at) {
            completion = processor.finish(at, serial, &mut work).and_then(|(_, next)| next);
        } else if sample == at {
            let depth = processor.present();
            let to = thresholds.step(level, depth as f64);
            if at >= settled {
                sample_counts[to] += 1;
                if to != level {
                    level_changes[0] += u64::from(to.abs_diff(level) == 1);
                    level_changes[1] += 1;
                }
                (high, low) = (high.max(depth), low.min(depth));
            }
            level = to;
            sample += SAMPLE_PERIOD_US;
        } else {
            refusal_credit += REFUSED_SHARE[level];
            let refuse = refusal_credit >= 1.0;
            refusal_credit -= if refuse { 1.0 } else { 0.0 };
            let (task, size) =
                if refuse { (Task::Refuse, parameters.refuse) } else { (Task::ReceiveSetUp(0), 1.0) };
            completion = processor.push(at, task, size, &mut work).or(completion);
            next += gap * Distribution::<f64>::sample(&Exp1, &mut arrivals);
        }
    }
    let all = sample_counts.iter().sum::<u64>().max(1) as f64;
    SteadyResult {
        offered,
        level_shares: sample_counts.map(|s| s as f64 / all),
        level_changes,
        high,
        low: low.min(high),
    }
}

/// Result of the procedure, by step.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ProcedureResult {
    /// Onset threshold of level 1, the start value.
    pub onset1: f64,
    /// Step 1: the lowest load that reports each level, relative to the processor's capacity.
    pub loads: Vec<f64>,
    /// Step 2: how far the queue depth exceeds the thresholds at each of these loads.
    pub deltas: Vec<f64>,
    /// Step 3: the resulting thresholds.
    pub tuned: Thresholds,
    /// Results of steady loads with those thresholds.
    pub with_tuned: Vec<SteadyResult>,
    /// Results of the same loads with thresholds that double from level to level.
    pub with_doubling: Vec<SteadyResult>,
}

/// Margin between levels as a share of onset 1; the paper adds 100 to an onset of 500.
const MARGIN_SHARE: f64 = 0.2;
/// Abatement threshold of level 1 as a share of its onset; the paper has 300 and 500.
const ABATE_SHARE: f64 = 0.6;

/// Runs the procedure from an onset of level 1, in set-ups. `seconds` is the length of each steady load of steps 1
/// and 2; the final loads last four times as long.
pub fn run_procedure(onset1: f64, seconds: f64, seed: u64) -> ProcedureResult {
    let grid: Vec<f64> = (16..=200).map(|k| f64::from(k) * 0.05).collect();
    let margin = MARGIN_SHARE * onset1;
    let mut thresholds = Thresholds::doubling(onset1, ABATE_SHARE);
    let (mut loads, mut deltas) = (Vec::new(), Vec::new());
    for level in 1..=4usize {
        // Step 1: raise the load until the level is reported, with the levels above it unreachable.
        let reported =
            |load: &&f64| run_steady_load(&thresholds.up_to(level), **load, seconds, seed).reports(level);
        let load = grid.iter().find(reported).copied().unwrap_or(10.0);
        // Step 2: how far the queue depth rises above the onset and falls below the abatement threshold.
        let result = run_steady_load(&thresholds.up_to(level), load, seconds, seed);
        let above = result.high as f64 - thresholds.onset[level - 1];
        let below = thresholds.abate[level - 1] - result.low as f64;
        let delta = if level == 1 { above } else { above.max(below) }.max(0.0);
        loads.push(load);
        deltas.push(delta);
        // Step 3: raise the thresholds of the next level by that and a margin.
        if level < 4 {
            thresholds.onset[level] = thresholds.onset[level - 1] + delta + margin;
            thresholds.abate[level] = thresholds.abate[level - 1] + delta + margin;
        }
    }
    let run_loads = |thresholds: &Thresholds| {
        let loads = [0.8, 1.0, 1.1, 1.2, 1.5, 2.0, 3.0, 4.0];
        loads.map(|load| run_steady_load(thresholds, load, 4.0 * seconds, seed + 1)).to_vec()
    };
    let with_doubling = run_loads(&Thresholds::doubling(onset1, ABATE_SHARE));
    ProcedureResult {
        onset1,
        loads,
        deltas,
        tuned: thresholds,
        with_tuned: run_loads(&thresholds),
        with_doubling,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn levels_have_two_thresholds() {
        let thresholds = Thresholds::doubling(10.0, 0.6);
        assert_eq!(thresholds.step(0, 10.0), 0);
        assert_eq!(thresholds.step(0, 11.0), 1);
        assert_eq!(thresholds.step(1, 7.0), 1, "the level stays between abatement 6 and onset 20");
        assert_eq!(thresholds.step(1, 5.0), 0);
        assert_eq!(thresholds.step(0, 100.0), 4);
        assert_eq!(thresholds.up_to(2).step(0, 100.0), 2);
    }

    #[test]
    fn wide_thresholds_hold_a_steady_load_between_neighbours() {
        let wide = Thresholds::doubling(40.0, 0.6);
        let narrow = Thresholds { onset: [2.0, 3.0, 4.0, 5.0], abate: [1.0, 2.0, 3.0, 4.0] };
        let (w, n) = (run_steady_load(&wide, 1.5, 200.0, 3), run_steady_load(&narrow, 1.5, 200.0, 3));
        assert!(w.largest_adjacent_share() > 0.99, "{w:?}");
        assert!(n.largest_adjacent_share() < 0.9, "{n:?}");
    }
}
