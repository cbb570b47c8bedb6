//! A whole trial, drawn from its seed before it starts.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::fault::{FaultKind, Target};

/// One call as its caller wants it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedCall {
    /// Seconds from the start of the load.
    pub at: f64,
    /// The proxy that is asked, from 0.
    pub proxy: usize,
    /// Which of the proxy's callers asks, from 0.
    pub caller: usize,
    /// The exchange called, from 0.
    pub exchange: usize,
    /// Milliseconds until the exchange answers.
    pub answer_ms: u64,
    /// Milliseconds for which the call stands.
    pub hold_ms: u64,
    /// How long the caller waits, in milliseconds.
    pub deadline_ms: u64,
    /// The caller ends it after so many milliseconds.
    pub hang_up_ms: Option<u64>,
}

/// One fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedFault {
    /// Seconds from the start of the load.
    pub at: f64,
    /// For so many seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// Its kind.
    pub kind: FaultKind,
    /// Which exchange or proxy, from 0; nothing where it hits discovery.
    pub target: usize,
}

/// A trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Proxies.
    pub proxies: usize,
    /// Exchanges.
    pub exchanges: usize,
    /// Seconds of load.
    pub seconds: f64,
    /// The longest that a caller waits, in seconds: each class gives up then.
    pub give_up: f64,
    /// The limit on descriptors.
    pub descriptors: u64,
    /// The limit on memory, in MB.
    pub memory_mb: u64,
    /// Set-ups a second that an exchange bears when it is warm.
    pub exchange_rate: f64,
    /// Callers of each proxy.
    pub callers: usize,
    /// Calls, in the order of time.
    pub calls: Vec<PlannedCall>,
    /// Faults, in the order of time.
    pub faults: Vec<PlannedFault>,
}

/// What narrows a plan.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Only faults of these kinds; of all where there is none.
    pub only: Vec<FaultKind>,
    /// Seconds of load at the most.
    pub max_seconds: Option<f64>,
}

impl Plan {
    /// Draws a trial. The same seed and options give the same one.
    pub fn draw(seed: u64, options: &Options) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let (proxies, exchanges) = (rng.random_range(2..=6), rng.random_range(3..=12));
        let seconds: f64 = rng.random_range(10.0..=25.0);
        let seconds = options.max_seconds.map_or(seconds, |max| seconds.min(max));
        let give_up = [0.3, 0.6, 1.0, 2.0, 3.0, 6.0, 9.0][rng.random_range(0..7)];
        let mut plan = Plan {
            seed,
            proxies,
            exchanges,
            seconds,
            give_up,
            descriptors: [160, 256, 1024][rng.random_range(0..3)],
            memory_mb: [32, 48, 192][rng.random_range(0..3)],
            exchange_rate: 40.0,
            callers: rng.random_range(1..=6),
            calls: Vec::new(),
            faults: Vec::new(),
        };
        plan.faults = plan.draw_faults(&mut rng, options);
        plan.calls = plan.draw_calls(&mut rng);
        plan
    }

    fn draw_calls(&self, rng: &mut Pcg64Mcg) -> Vec<PlannedCall> {
        let mut calls = Vec::new();
        for proxy in 0..self.proxies {
            let rate: f64 = rng.random_range(1.0..=15.0);
            let mut at = rng.random_range(0.0..0.5);
            while at < self.seconds {
                let hold_ms = match rng.random_range(0..10) {
                    0 => rng.random_range(12_000..30_000),
                    1 | 2 => rng.random_range(20..200),
                    _ => rng.random_range(200..8_000),
                };
                let caller_wait_s = self.give_up * rng.random_range(0.4..=1.0);
                let slow_answer = rng.random_range(0..20) == 0;
                let answer_s = if slow_answer {
                    caller_wait_s * rng.random_range(0.5..1.5)
                } else {
                    rng.random_range(0.002..0.06)
                };
                let hangs_up = rng.random_range(0..6) == 0;
                calls.push(PlannedCall {
                    at,
                    proxy,
                    caller: rng.random_range(0..self.callers),
                    exchange: rng.random_range(0..self.exchanges),
                    answer_ms: (answer_s * 1000.0) as u64,
                    hold_ms,
                    deadline_ms: (caller_wait_s * 1000.0).round() as u64,
                    hang_up_ms: hangs_up.then(|| rng.random_range(5..3_000)),
                });
                at += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
            }
        }
        calls.sort_by(|a, b| a.at.total_cmp(&b.at));
        calls
    }

    /// Bursts of two to four faults that overlap, and some alone.
    fn draw_faults(&self, rng: &mut Pcg64Mcg, options: &Options) -> Vec<PlannedFault> {
        let kinds: Vec<FaultKind> = match options.only.is_empty() {
            true => FaultKind::ALL.to_vec(),
            false => options.only.clone(),
        };
        let mut faults = Vec::new();
        let mut burst_start: f64 = rng.random_range(1.0..3.0);
        while burst_start < self.seconds - 1.0 {
            // Signals come in series.
            let is_signal_series = rng.random_range(0..4) == 0 && kinds.contains(&FaultKind::Terminate);
            let series_kind = if is_signal_series { Some(FaultKind::Terminate) } else { None };
            for n in 0..rng.random_range(1..=4) {
                let drawn = kinds[rng.random_range(0..kinds.len())];
                let kind = series_kind.filter(|_| n > 0).unwrap_or(drawn);
                let target = match kind.target() {
                    Target::Exchange => rng.random_range(0..self.exchanges),
                    Target::Proxy => rng.random_range(0..self.proxies),
                    Target::Discovery => 0,
                };
                let (shortest, longest) = kind.duration_range_s();
                let at = burst_start + rng.random_range(0.0..1.2);
                let duration_s = rng.random_range(shortest..=longest);
                faults.push(PlannedFault { at, duration_s, kind, target });
            }
            burst_start += rng.random_range(2.0..6.0);
        }
        faults.sort_by(|a, b| a.at.total_cmp(&b.at));
        faults
    }

    /// The longest deadline, as the platform counts it, and 0.7 s: SIGKILL comes so long after SIGTERM.
    pub fn kill_after(&self) -> f64 {
        self.give_up.min(3.0) + 0.7
    }
}
