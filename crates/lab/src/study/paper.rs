//! The paper's procedure for thresholds (section 3.3), walked on the modelled processor: set-ups come evenly at
//! random, a controller samples the depth of the line, and turns away the share of its level.

use mallowring::interface::ExchangeId;
use rand_distr::{Distribution, Exp1};
use serde::Serialize;

use crate::day::ProcessorParameters;
use crate::day::{Us, SECOND};
use crate::random::{stream, Purpose};
use crate::scenario::WorkTime;
use crate::world::processor::{Processor, Task};

/// Share that is turned away at levels 0 to 4 (section 3.2; urgent calls are left out here).
const REFUSED: [f64; 5] = [0.0, 0.2, 0.8, 1.0, 1.0];
/// The controller samples the depth once in this, µs.
const SAMPLE: Us = SECOND / 10;
/// A level counts as reported once this share of the time is spent at it or above.
const REPORTED: f64 = 0.01;

/// Onset and abate thresholds of levels 1 to 4, jobs in the line.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Thresholds {
    /// A level is entered when the depth passes this.
    pub onset: [f64; 4],
    /// It is left below this.
    pub abate: [f64; 4],
}

impl Thresholds {
    /// Each onset twice the one before, abates at a share of them, as the shipped module has them.
    pub fn doubling(onset1: f64, abate: f64) -> Self {
        let onset = [1.0, 2.0, 4.0, 8.0].map(|k| k * onset1);
        Thresholds { onset, abate: onset.map(|o| o * abate) }
    }

    /// Levels from `known` + 1 on are out of reach.
    fn up_to(mut self, known: usize) -> Self {
        for level in known..4 {
            self.onset[level] = f64::INFINITY;
        }
        self
    }

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

/// What a steady load did.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Steady {
    /// Set-ups offered over those that the processor can do with nothing turned away.
    pub offered: f64,
    /// Share of the samples at each level.
    pub spent: [f64; 5],
    /// Moves to a neighbouring level, and all moves.
    pub moves: [u64; 2],
    /// Highest and lowest depth after the line had settled.
    pub high: usize,
    /// The lowest.
    pub low: usize,
}

impl Steady {
    /// The largest share of the samples that two neighbouring levels hold together: the paper wants all.
    pub fn two_neighbours(&self) -> f64 {
        self.spent.windows(2).map(|w| w[0] + w[1]).fold(0.0, f64::max)
    }

    fn reports(&self, level: usize) -> bool {
        self.spent[level..].iter().sum::<f64>() > REPORTED
    }
}

/// A processor of the operators' kind whose set-ups take 20 ms.
fn works() -> ProcessorParameters {
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

/// Plays a steady load.
pub fn steady(thresholds: &Thresholds, offered: f64, seconds: f64, seed: u64) -> Steady {
    let works = works();
    let mut processor = Processor::new(ExchangeId(1), works, None);
    let mut arrivals = stream(seed, Purpose::Arrivals, 0);
    let mut work = stream(seed, Purpose::ProcessorWork, 0);
    let gap = works.set_up_us / offered;
    let (end, settled) = ((seconds * SECOND as f64) as Us, SECOND * 10);
    let (mut next, mut sample, mut done) = (0.0, SAMPLE, None::<(Us, u64)>);
    let (mut level, mut debt) = (0usize, 0.0);
    let (mut spent, mut moves, mut high, mut low) = ([0u64; 5], [0u64; 2], 0, usize::MAX);
    loop {
        let at = (next as Us).min(sample).min(done.map_or(Us::MAX, |(at, _)| at));
        if at >= end {
            break;
        }
        if let Some((_, serial)) = done.filter(|(d, _)| *d == at) {
            done = processor.finish(at, serial, &mut work).and_then(|(_, next)| next);
        } else if sample == at {
            let depth = processor.present();
            let to = thresholds.step(level, depth as f64);
            if at >= settled {
                spent[to] += 1;
                if to != level {
                    moves[0] += u64::from(to.abs_diff(level) == 1);
                    moves[1] += 1;
                }
                (high, low) = (high.max(depth), low.min(depth));
            }
            level = to;
            sample += SAMPLE;
        } else {
            debt += REFUSED[level];
            let refuse = debt >= 1.0;
            debt -= if refuse { 1.0 } else { 0.0 };
            let (task, size) =
                if refuse { (Task::Refuse, works.refuse) } else { (Task::ReceiveSetUp(0), 1.0) };
            done = processor.push(at, task, size, &mut work).or(done);
            next += gap * Distribution::<f64>::sample(&Exp1, &mut arrivals);
        }
    }
    let all = spent.iter().sum::<u64>().max(1) as f64;
    Steady { offered, spent: spent.map(|s| s as f64 / all), moves, high, low: low.min(high) }
}

/// The procedure's steps and what they yield.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Walk {
    /// Onset 1, where it begins.
    pub onset1: f64,
    /// Step 1: the load at which each level is first reported, over the processor's own rate.
    pub loads: Vec<f64>,
    /// Step 2: how far the depth leaves its thresholds at each of these loads.
    pub deltas: Vec<f64>,
    /// Step 3: the thresholds set by them.
    pub tuned: Thresholds,
    /// Steady loads under those thresholds.
    pub with_tuned: Vec<Steady>,
    /// The same under thresholds that double.
    pub with_doubling: Vec<Steady>,
}

/// The margin that the paper adds, as a share of onset 1 (100 of 500 there).
const MARGIN: f64 = 0.2;
/// The paper's abate over its onset at level 1 (300 of 500).
const ABATE: f64 = 0.6;

/// Walks the procedure from an onset of level 1, in set-ups. `seconds` is the length of each steady load.
pub fn walk(onset1: f64, seconds: f64, seed: u64) -> Walk {
    let grid: Vec<f64> = (16..=200).map(|k| f64::from(k) * 0.05).collect();
    let margin = MARGIN * onset1;
    let mut t = Thresholds::doubling(onset1, ABATE);
    let (mut loads, mut deltas) = (Vec::new(), Vec::new());
    for level in 1..=4usize {
        // Step 1: raise the load until the level is reported, the next ones being out of reach.
        let reported = |load: &&f64| steady(&t.up_to(level), **load, seconds, seed).reports(level);
        let load = grid.iter().find(reported).copied().unwrap_or(10.0);
        // Step 2: how far the line goes beyond the onset, and below the abate threshold, under that load.
        let seen = steady(&t.up_to(level), load, seconds, seed);
        let above = seen.high as f64 - t.onset[level - 1];
        let below = t.abate[level - 1] - seen.low as f64;
        let delta = if level == 1 { above } else { above.max(below) }.max(0.0);
        loads.push(load);
        deltas.push(delta);
        // Step 3: the next level lies beyond that, with a margin.
        if level < 4 {
            t.onset[level] = t.onset[level - 1] + delta + margin;
            t.abate[level] = t.abate[level - 1] + delta + margin;
        }
    }
    let played = |t: &Thresholds| {
        let loads = [0.8, 1.0, 1.1, 1.2, 1.5, 2.0, 3.0, 4.0];
        loads.map(|load| steady(t, load, 4.0 * seconds, seed + 1)).to_vec()
    };
    let with_doubling = played(&Thresholds::doubling(onset1, ABATE));
    Walk { onset1, loads, deltas, tuned: t, with_tuned: played(&t), with_doubling }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn levels_have_two_thresholds() {
        let t = Thresholds::doubling(10.0, 0.6);
        assert_eq!(t.step(0, 10.0), 0);
        assert_eq!(t.step(0, 11.0), 1);
        assert_eq!(t.step(1, 7.0), 1, "between abate 6 and onset 20 a level stays");
        assert_eq!(t.step(1, 5.0), 0);
        assert_eq!(t.step(0, 100.0), 4);
        assert_eq!(t.up_to(2).step(0, 100.0), 2);
    }

    #[test]
    fn wide_thresholds_hold_a_steady_load_between_neighbours() {
        let wide = Thresholds::doubling(40.0, 0.6);
        let narrow = Thresholds { onset: [2.0, 3.0, 4.0, 5.0], abate: [1.0, 2.0, 3.0, 4.0] };
        let (w, n) = (steady(&wide, 1.5, 200.0, 3), steady(&narrow, 1.5, 200.0, 3));
        assert!(w.two_neighbours() > 0.99, "{w:?}");
        assert!(n.two_neighbours() < 0.9, "{n:?}");
    }
}
