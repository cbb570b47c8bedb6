//! Plans of whole trials, drawn from their seeds.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::fault::{FaultKind, Target};

/// Number of calls of a crowd at each proxy.
const CROWD_CALLS: usize = 80;
/// Time within which a crowd arrives, in seconds.
const CROWD_SECONDS: f64 = 0.8;

/// Changes a trial's seed for the draws that concern its SIP fronts.
const SIP_SEED: u64 = 0x51b0;

/// One planned call.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedCall {
    /// Time of the set-up, in seconds from the start of the load.
    pub at: f64,
    /// Index of the proxy that the caller is connected to, from 0.
    pub proxy: usize,
    /// Index of the caller among the callers of the proxy, from 0.
    pub caller: usize,
    /// Index of the called exchange, from 0.
    pub exchange: usize,
    /// Time until the exchange answers, in milliseconds.
    pub answer_ms: u64,
    /// Holding time of the call, in milliseconds.
    pub hold_ms: u64,
    /// Time the caller waits for a final answer, in milliseconds.
    pub deadline_ms: u64,
    /// Time after which the caller releases the call, in milliseconds; `None` if it leaves the release to the
    /// exchange.
    pub hang_up_ms: Option<u64>,
}

/// One planned fault.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PlannedFault {
    /// Start time, in seconds from the start of the load.
    pub at: f64,
    /// Duration in seconds.
    #[serde(rename = "lasts")]
    pub duration_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Index of the exchange or proxy, from 0; unused for faults of discovery.
    pub target: usize,
}

/// The plan of a trial.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Plan {
    /// The seed of the trial.
    pub seed: u64,
    /// Number of proxies.
    pub proxies: usize,
    /// Number of exchanges.
    pub exchanges: usize,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// The longest time a caller waits, in seconds; the callers of each class give up after it.
    pub give_up: f64,
    /// Limit on file descriptors of each proxy.
    pub descriptors: u64,
    /// Limit on memory of each proxy, in MB.
    pub memory_mb: u64,
    /// Capacity of a warm exchange, in set-ups per second.
    pub exchange_rate: f64,
    /// Number of callers of each proxy.
    pub callers: usize,
    /// Whether a relay stands between the proxies and each exchange.
    pub relayed: bool,
    /// Start of a crowd of calls at every proxy, in seconds from the start of the load, if there is one.
    pub crowd_at: Option<f64>,
    /// Whether the proxies have a SIP front too, with an exchange and callers of its own.
    pub sip: bool,
    /// Calls to the SIP fronts in chronological order.
    pub sip_calls: Vec<PlannedCall>,
    /// Calls in chronological order.
    pub calls: Vec<PlannedCall>,
    /// Faults in chronological order.
    pub faults: Vec<PlannedFault>,
}

/// Restrictions on a plan.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Kinds of faults to draw from; empty for all.
    pub only: Vec<FaultKind>,
    /// Upper bound on the duration of the load, in seconds.
    pub max_seconds: Option<f64>,
}

impl Plan {
    /// Draws a plan. The same seed and options give the same plan.
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
            relayed: rng.random_range(0..2) == 0,
            crowd_at: None,
            sip: false,
            sip_calls: Vec::new(),
            calls: Vec::new(),
            faults: Vec::new(),
        };
        // Draws of their own, so that plans without a SIP front stay as they were.
        let mut sip_rng = Pcg64Mcg::seed_from_u64(seed ^ SIP_SEED);
        let wants_sip = options.only.is_empty() || options.only.iter().any(|kind| kind.needs_sip());
        plan.sip = wants_sip && (!options.only.is_empty() || sip_rng.random_range(0..2) == 0);
        if plan.sip {
            plan.sip_calls = plan.draw_sip_calls(&mut sip_rng);
        }
        plan.faults = plan.draw_faults(&mut rng, options);
        plan.calls = plan.draw_calls(&mut rng);
        if rng.random_range(0..4) == 0 {
            plan.add_crowd(&mut rng);
        }
        plan
    }

    /// Adds a crowd: many short calls at every proxy at once.
    fn add_crowd(&mut self, rng: &mut Pcg64Mcg) {
        let crowd_at = rng.random_range(0.2..0.8) * self.seconds;
        self.crowd_at = Some(crowd_at);
        for proxy in 0..self.proxies {
            for _ in 0..CROWD_CALLS {
                self.calls.push(PlannedCall {
                    at: crowd_at + rng.random_range(0.0..CROWD_SECONDS),
                    proxy,
                    caller: rng.random_range(0..self.callers),
                    exchange: rng.random_range(0..self.exchanges),
                    answer_ms: rng.random_range(2..60),
                    hold_ms: rng.random_range(20..2_000),
                    deadline_ms: (self.give_up * 1000.0).round() as u64,
                    hang_up_ms: None,
                });
            }
        }
        self.calls.sort_by(|a, b| a.at.total_cmp(&b.at));
    }

    fn draw_sip_calls(&self, rng: &mut Pcg64Mcg) -> Vec<PlannedCall> {
        let mut calls = Vec::new();
        for proxy in 0..self.proxies {
            let rate: f64 = rng.random_range(1.0..=4.0);
            let mut at = rng.random_range(0.0..0.5);
            while at < self.seconds {
                let caller_wait_s = self.give_up * rng.random_range(0.6..=1.0);
                calls.push(PlannedCall {
                    at,
                    proxy,
                    caller: 0,
                    exchange: 0,
                    answer_ms: rng.random_range(2..60),
                    hold_ms: rng.random_range(200..9_000),
                    deadline_ms: (caller_wait_s * 1000.0).round() as u64,
                    hang_up_ms: None,
                });
                at += -(1.0 - rng.random_range(0.0..1.0_f64)).ln() / rate;
            }
        }
        calls.sort_by(|a, b| a.at.total_cmp(&b.at));
        calls
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
                let slow_answer = rng.random_range(0..8) == 0;
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

    /// Draws bursts of one to four faults, which may overlap.
    fn draw_faults(&self, rng: &mut Pcg64Mcg, options: &Options) -> Vec<PlannedFault> {
        let mut kinds: Vec<FaultKind> = match options.only.is_empty() {
            true => FaultKind::ALL.to_vec(),
            false => options.only.clone(),
        };
        kinds.retain(|kind| self.relayed || !kind.needs_relay());
        kinds.retain(|kind| self.sip || !kind.needs_sip());
        if kinds.is_empty() {
            return Vec::new();
        }
        let mut faults = Vec::new();
        let mut burst_start: f64 = rng.random_range(1.0..3.0);
        while burst_start < self.seconds - 1.0 {
            // In a series, every fault after the first of a burst is a SIGTERM.
            let is_signal_series = rng.random_range(0..4) == 0 && kinds.contains(&FaultKind::Terminate);
            let series_kind = if is_signal_series { Some(FaultKind::Terminate) } else { None };
            for n in 0..rng.random_range(1..=4) {
                let drawn = kinds[rng.random_range(0..kinds.len())];
                let kind = series_kind.filter(|_| n > 0).unwrap_or(drawn);
                let target = match kind.target() {
                    Target::Exchange => rng.random_range(0..self.exchanges),
                    Target::Proxy => rng.random_range(0..self.proxies),
                    Target::Discovery | Target::Trial => 0,
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

    /// Returns the time between SIGTERM and SIGKILL, in seconds: the longest deadline, which the platform caps at 3
    /// s, plus 0.7 s.
    pub fn kill_after(&self) -> f64 {
        self.give_up.min(3.0) + 0.7
    }
}
