//! The model held against theory: Erlang's loss formula, the M/M/1 line, Little's law, conservation, and the
//! paper's procedure for thresholds.

use std::path::Path;

use mallowring::Tuning;
use rayon::prelude::*;
use serde::Serialize;

use super::paper::{walk, Steady, Walk};
use super::stats::{t_interval, Interval};
use super::table;
use crate::day::Day;
use crate::proxy::{Direct, EventsByProxy, ProxyFleet, Shipped};
use crate::scenario::Scenario;
use crate::traffic::generate;
use crate::world::{run, DayResult};
use crate::LabError;

/// One figure beside what theory says.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Check {
    /// What is checked.
    pub name: String,
    /// What theory says.
    pub expected: f64,
    /// What the model does, with its 95% interval over independent runs.
    pub measured: Interval,
    /// Measured over expected, less 1; the plain difference where nothing is expected.
    pub deviation: f64,
    /// It is within the tolerance, or theory lies within the interval.
    pub holds: bool,
}

/// The largest relative deviation that is no finding.
const TOLERANCE: f64 = 0.03;

fn check(name: String, expected: f64, measured: &[f64]) -> Check {
    let measured = t_interval(measured);
    let deviation = if expected == 0.0 { measured.mean } else { measured.mean / expected - 1.0 };
    let within = measured.ends().is_some_and(|(low, high)| low <= expected && expected <= high);
    Check { name, expected, measured, deviation, holds: within || deviation.abs() <= TOLERANCE }
}

/// Erlang's loss formula by its recursion: the share of calls that find all of `circuits` busy at `erlangs`.
pub fn erlang_b(circuits: u32, erlangs: f64) -> f64 {
    (1..=circuits).fold(1.0, |blocked, n| {
        let offered = erlangs * blocked;
        offered / (f64::from(n) + offered)
    })
}

/// Two exchanges and nothing else: no delays, no redials, one class, one tenant, even traffic.
fn bare(seconds: f64, erlangs: f64, size: u32, processor: &str) -> Result<Scenario, LabError> {
    let text = format!(
        r#"
        name = "theory"
        seconds = {seconds}
        [fleet]
        exchanges = 2
        regions = ["one"]
        same_ms = 0
        jitter = 0
        tick_ms = 1
        [load]
        offered = 1
        [groups]
        erlangs = {erlangs}
        pair_cv = 0
        missed_cv = 0
        drift_cv = 0
        drift_s = {seconds}
        size = {size}
        [processor]
        {processor}
        [callers]
        redials = 0
        impatient = 0
        [[class]]
        name = "call"
        share = 1
        hold_s = 10
        hold_cv = 1
        aim_s = 100000
        give_up_s = 200000
        worth = 1
        late_worth = 1
        [[tenant]]
        name = "all"
        share = 1
        "#
    );
    Scenario::parse(&text, Path::new("built in"))
}

fn runs(scenario: &Scenario, seeds: u64) -> Result<Vec<DayResult>, LabError> {
    let one = |seed: u64| {
        let day = Day::draw(scenario, seed);
        run(&day, &generate(&day), &mut Direct::default(), 0)
    };
    (1..=seeds).into_par_iter().map(one).collect()
}

/// Little's law in a processor's line: the mean number there, over the rate of set-ups times their mean time there.
fn little_in_line(day: &DayResult, set_up_s: f64) -> f64 {
    let line = &day.queues[0];
    let all: f64 = line.present.iter().sum();
    let mean = line.present.iter().enumerate().map(|(k, t)| k as f64 * t).sum::<f64>() / all.max(1.0);
    let rate = line.served as f64 / (all / 1e6).max(1.0);
    mean / (rate * (line.waited / line.served.max(1) as f64 / 1e6 + set_up_s)).max(1e-12)
}

/// Theory's other checks, which every run has to pass.
fn conserved(name: &str, days: &[DayResult]) -> Vec<Check> {
    let leaks: Vec<f64> = days.iter().map(|d| (d.leaks.len() as u64 + d.broken_rules) as f64).collect();
    let little: Vec<f64> = days.iter().map(|d| d.littles_law[0] / d.littles_law[1].max(1e-12)).collect();
    vec![
        check(format!("{name}: left over at the end, or rules broken"), 0.0, &leaks),
        check(format!("{name}: standing calls, mean over rate x time"), 1.0, &little),
    ]
}

/// Blocking of one group at several loads.
fn blocking(scale: f64) -> Result<Vec<Check>, LabError> {
    let mut checks = Vec::new();
    for (size, erlangs) in [(10, 5.0), (20, 12.0), (20, 20.0), (20, 30.0), (60, 54.0)] {
        // Half of the group's traffic comes from either end.
        let scenario = bare(20_000.0 * scale, erlangs / 2.0, size, "use = 0")?;
        let days = runs(&scenario, 16)?;
        let blocked: Vec<f64> =
            days.iter().map(|d| d.groups[0].1 as f64 / d.groups[0].0.max(1) as f64).collect();
        let name = format!("Erlang B, {size} circuits, {erlangs} Erlang");
        checks.push(check(name, erlang_b(size, erlangs), &blocked));
        checks.extend(conserved(&format!("{size} circuits, {erlangs} Erlang"), &days));
    }
    Ok(checks)
}

/// The line of a processor. Its set-ups come from its own callers and from the other exchange, whose line they
/// have passed: a Jackson network, in which every line is an M/M/1 of its own.
fn line(scale: f64) -> Result<Vec<Check>, LabError> {
    let mut checks = Vec::new();
    for busy in [0.5, 0.7, 0.85] {
        let processor = format!(
            "use = {busy}\nlook = 0\nfollow = 0\nwork = \"exponential\"\nlongest_wait_ms = 1e9\ncold_s = 1"
        );
        let scenario = bare(4000.0 * scale, 100.0, 100_000, &processor)?;
        let days = runs(&scenario, 16)?;
        let set_up = Day::draw(&scenario, 1).processor.set_up_us / 1e6;
        let waits: Vec<f64> =
            days.iter().map(|d| d.queues[0].waited / d.queues[0].served.max(1) as f64 / 1e6).collect();
        checks.push(check(format!("M/M/1 at {busy}: mean wait, s"), busy * set_up / (1.0 - busy), &waits));
        let little: Vec<f64> = days.iter().map(|d| little_in_line(d, set_up)).collect();
        checks.push(check(format!("M/M/1 at {busy}: Little's law in the line"), 1.0, &little));
        for k in [0usize, 1, 2, 4, 8] {
            let present = |d: &DayResult| {
                let all: f64 = d.queues[0].present.iter().sum();
                d.queues[0].present.get(k).copied().unwrap_or(0.0) / all.max(1.0)
            };
            let shares: Vec<f64> = days.iter().map(present).collect();
            let expected = (1.0 - busy) * busy.powi(k as i32);
            checks.push(check(format!("M/M/1 at {busy}: share of time with {k} present"), expected, &shares));
        }
        checks.extend(conserved(&format!("M/M/1 at {busy}"), &days));
    }
    Ok(checks)
}

/// Shipped proxies whose levels are read after every tick.
struct Watched {
    inner: Shipped,
    /// Levels of far processors, by proxy and exchange.
    last: Vec<Vec<usize>>,
    /// Moves of a far level, by from and to.
    moves: [[u64; 5]; 5],
    /// Ticks spent with a far level.
    spent: [u64; 5],
}

impl ProxyFleet for Watched {
    fn start(
        &mut self,
        day: &Day,
        proxy: usize,
        now: mallowring::interface::Time,
        seed: u64,
    ) -> Result<(), LabError> {
        self.inner.start(day, proxy, now, seed)
    }

    fn stop(&mut self, proxy: usize) -> Result<(), LabError> {
        self.inner.stop(proxy)
    }

    fn tick(
        &mut self,
        now: mallowring::interface::Time,
        told: EventsByProxy,
        out: &mut Vec<(usize, mallowring::calls::CallEffect)>,
    ) -> Result<(), LabError> {
        self.inner.tick(now, told, out)?;
        for (proxy, last) in self.last.iter_mut().enumerate() {
            let Some(levels) = self.inner.levels(proxy) else { continue };
            for (exchange, level) in levels.far {
                let (from, to) = (last[exchange].min(4), level.min(4));
                self.moves[from][to] += u64::from(from != to);
                self.spent[to] += 1;
                last[exchange] = level;
            }
        }
        Ok(())
    }
}

/// One steady load of the paper's procedure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SteadyLoad {
    /// Offered over planned.
    pub offered: f64,
    /// Share of the time at each level.
    pub spent: [f64; 5],
    /// Moves between neighbouring levels, and all moves.
    pub neighbours: [u64; 2],
    /// Longest line seen at a processor.
    pub high: usize,
}

/// The shipped module's far levels under steady loads.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Levels {
    /// The loads and the levels that they bring.
    pub loads: Vec<SteadyLoad>,
    /// The lowest load at which a twentieth of the time is spent at each level or above.
    pub first: Vec<(usize, f64)>,
    /// Share of all moves that were between neighbours.
    pub neighbours: f64,
}

/// Far levels under steady loads, with exchanges whose processors alone are short.
fn levels(tuning: &Tuning, scale: f64) -> Result<Levels, LabError> {
    let loads = [0.8, 1.0, 1.1, 1.2, 1.35, 1.5, 1.75, 2.0, 2.5, 3.0];
    let one = |offered: &f64| -> Result<SteadyLoad, LabError> {
        let text = format!(
            r#"
            name = "steady"
            seconds = {}
            [fleet]
            exchanges = 4
            [load]
            offered = {offered}
            [groups]
            erlangs = 145
            pair_cv = 0
            missed_cv = 0
            drift_cv = 0
            size = 2000
            [processor]
            use = 0.75
            look = 0.22
            refuse = 0.2
            follow = 0.37
            longest_wait_ms = 2500
            [reports]
            period_ms = 500
            delay_ms = 150
            noise = 0.09
            [callers]
            redials = 0
            "#,
            120.0 * scale
        );
        let scenario = Scenario::parse(&text, Path::new("built in"))?;
        let (mut spent, mut neighbours, mut high) = ([0u64; 5], [0u64; 2], 0);
        for seed in 1..=4 {
            let day = Day::draw(&scenario, seed);
            let mut seats = Watched {
                inner: Shipped::new(tuning.clone()),
                last: vec![vec![0; day.exchange_count]; day.exchange_count],
                moves: [[0; 5]; 5],
                spent: [0; 5],
            };
            let result = run(&day, &generate(&day), &mut seats, 0)?;
            for (from, row) in seats.moves.iter().enumerate() {
                for (to, count) in row.iter().enumerate() {
                    neighbours[0] += if from.abs_diff(to) == 1 { *count } else { 0 };
                    neighbours[1] += count;
                }
            }
            spent.iter_mut().zip(seats.spent).for_each(|(all, s)| *all += s);
            high = result.queues.iter().map(|l| l.longest).fold(high, usize::max);
        }
        let all = spent.iter().sum::<u64>().max(1) as f64;
        let spent = spent.map(|s| s as f64 / all);
        Ok(SteadyLoad { offered: *offered, spent, neighbours, high })
    };
    let loads: Vec<SteadyLoad> = loads.par_iter().map(one).collect::<Result<_, _>>()?;
    // A level is reported once a twentieth of the time is spent there or above.
    let reported = |level: usize| loads.iter().find(|l| l.spent[level..].iter().sum::<f64>() >= 0.05);
    let first = (1..5).filter_map(|level| reported(level).map(|l| (level, l.offered))).collect();
    let moves = loads.iter().fold([0, 0], |a, l| [a[0] + l.neighbours[0], a[1] + l.neighbours[1]]);
    Ok(Levels { loads, first, neighbours: moves[0] as f64 / moves[1].max(1) as f64 })
}

/// All of it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verification {
    /// Against theory.
    pub checks: Vec<Check>,
    /// The paper's procedure (section 3.3), from three onsets of level 1.
    pub procedure: Vec<Walk>,
    /// The shipped module's levels, which rest on late reports of many senders.
    pub shipped: Levels,
}

impl Verification {
    /// Whether all checks hold.
    pub fn holds(&self) -> bool {
        self.checks.iter().all(|c| c.holds)
    }

    /// For people.
    pub fn text(&self) -> String {
        let row = |c: &Check| {
            vec![
                c.name.clone(),
                format!("{:.5}", c.expected),
                match c.measured.half {
                    Some(half) => format!("{:.5} ± {half:.5}", c.measured.mean),
                    None => format!("{:.5}", c.measured.mean),
                },
                if c.expected == 0.0 {
                    format!("{:+.2}", c.deviation)
                } else {
                    format!("{:+.2}%", c.deviation * 100.0)
                },
                if c.holds { "holds" } else { "DOES NOT HOLD" }.to_owned(),
            ]
        };
        let header = ["against theory", "expected", "measured", "deviation", ""];
        let mut text = table::plain(&header, self.checks.iter().map(row).collect());
        text.push_str("\n\n");
        for walk in &self.procedure {
            text.push_str(&walk_text(walk));
        }
        text.push_str("The shipped module's far levels, which rest on late reports:\n\n");
        let row = |l: &SteadyLoad| {
            let mut row = vec![format!("{:.2}", l.offered)];
            row.extend(l.spent.iter().map(|s| format!("{:.1}%", s * 100.0)));
            row.push(l.high.to_string());
            row.push(format!("{} of {}", l.neighbours[0], l.neighbours[1]));
            row
        };
        let mut header = vec!["steady load"];
        header.extend(LEVELS);
        header.extend(["longest line", "moves to a neighbour"]);
        text.push_str(&table::plain(&header, self.shipped.loads.iter().map(row).collect()));
        let first: Vec<String> = self
            .shipped
            .first
            .iter()
            .map(|(level, load)| format!("level {level} from load {load}"))
            .collect();
        text.push_str(&format!(
            "\n\n{}. {:.2}% of all moves were between neighbours.\n",
            first.join(", "),
            self.shipped.neighbours * 100.0
        ));
        text
    }
}

const LEVELS: [&str; 5] = ["level 0", "level 1", "level 2", "level 3", "level 4"];

/// One walk of the paper's procedure, for people.
fn walk_text(walk: &Walk) -> String {
    let list = |xs: &[f64]| xs.iter().map(|x| format!("{x:.1}")).collect::<Vec<_>>().join(", ");
    let mut text = format!(
        "The paper's procedure from onset 1 = {:.0} set-ups:\n  step 1, loads that report levels 1 to 4: {}\n  \
         step 2, the line leaves its thresholds by: {}\n  step 3, onsets {}; abates {}\n\n",
        walk.onset1,
        walk.loads.iter().map(|x| format!("{x:.2}")).collect::<Vec<_>>().join(", "),
        list(&walk.deltas),
        list(&walk.tuned.onset),
        list(&walk.tuned.abate),
    );
    let row = |(name, s): (&str, &Steady)| {
        let mut row = vec![name.to_owned(), format!("{:.2}", s.offered)];
        row.extend(s.spent.iter().map(|s| format!("{:.1}%", s * 100.0)));
        row.push(s.high.to_string());
        row.push(format!("{} of {}", s.moves[0], s.moves[1]));
        row.push(format!("{:.1}%", s.two_neighbours() * 100.0));
        row
    };
    let tuned = walk.with_tuned.iter().map(|s| ("step 3", s));
    let rows = tuned.chain(walk.with_doubling.iter().map(|s| ("doubling", s))).map(row).collect();
    let mut header = vec!["thresholds", "steady load"];
    header.extend(LEVELS);
    header.extend(["highest depth", "moves to a neighbour", "in two neighbours"]);
    text.push_str(&format!("{}\n\n", table::plain(&header, rows)));
    text
}

/// Holds the model against theory. `scale` shortens the runs (1 is the full length).
pub fn verify(scale: f64) -> Result<Verification, LabError> {
    let mut checks = blocking(scale)?;
    checks.extend(line(scale)?);
    let procedure = [6.0, 12.0, 24.0].into_par_iter().map(|onset1| walk(onset1, 300.0 * scale, 1)).collect();
    Ok(Verification { checks, procedure, shipped: levels(&Tuning::default(), scale)? })
}

#[cfg(test)]
mod tests {
    use super::erlang_b;

    #[test]
    fn erlang_b_matches_published_tables() {
        // 10 circuits at 5 Erlang block 1.84%, 20 at 12 Erlang 0.98%, 1 at 1 Erlang a half.
        assert!((erlang_b(10, 5.0) - 0.01838).abs() < 1e-4);
        assert!((erlang_b(20, 12.0) - 0.0098).abs() < 2e-4);
        assert_eq!(erlang_b(1, 1.0), 0.5);
    }
}
