//! One day of a scenario: every range drawn, the groups sized, the troubles put on the clock.

use mallowring::interface::Settings;
use rand_pcg::Pcg64;
use serde_json::{json, Value};

use crate::random::{below, lognormal, stream, Purpose};
use crate::scenario::{Backoff, Scenario, Shape, Trouble, Who, WorkTime};

/// Simulated time, µs from the start of the day.
pub type Us = u64;
/// One second.
pub const SECOND: Us = 1_000_000;
/// Where the proxies' clocks stand at the start of the day, seconds.
pub const EPOCH: f64 = 1000.0;

/// Figures of a processor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessorParameters {
    /// Time of a set-up at full capacity, µs; 0 for no work at all.
    pub set_up_us: f64,
    /// Work of inspecting an incoming call, set-ups.
    pub inspect: f64,
    /// Work of turning away, set-ups.
    pub refuse: f64,
    /// Work of an answer or a release, set-ups.
    pub answer_or_release: f64,
    /// Longest wait of a set-up, µs.
    pub longest_wait_us: f64,
    /// What follows a set-up goes before new ones.
    pub finish_first: bool,
    /// A set-up that was given up is dropped.
    pub cancel_drops: bool,
    /// How long the same work takes.
    pub work: WorkTime,
    /// Share of the capacity at a cold start.
    pub cold_from: f64,
    /// Time to be warm, µs.
    pub cold_us: f64,
    /// Window of the rule on cold processors, µs.
    pub fall_us: Us,
    /// Multiple of that rule.
    pub fall_multiple: f64,
}

impl ProcessorParameters {
    /// Work of a call that goes direct, set-ups: an inspection, a set-up, an answer and a release at either end.
    pub fn direct(&self) -> f64 {
        self.inspect + 2.0 + 4.0 * self.answer_or_release
    }

    /// Work of a call over a tandem.
    pub fn tandem(&self) -> f64 {
        2.0 * self.inspect + 3.0 + 6.0 * self.answer_or_release
    }
}

/// A class on this day.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDay {
    /// Its name.
    pub name: String,
    /// Its part of the calls, all classes together 1.
    pub share: f64,
    /// Circuits.
    pub width: u32,
    /// Mean holding time, s, and its coefficient of variation.
    pub hold_s: f64,
    /// The latter.
    pub hold_cv: f64,
    /// Aim, s.
    pub aim_s: f64,
    /// Give-up time, s.
    pub give_up_s: f64,
    /// Worth.
    pub worth: f64,
    /// Share of it when late.
    pub late_worth: f64,
}

/// A subscriber on this day.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantDay {
    /// Its name.
    pub name: String,
    /// Its share.
    pub share: f64,
    /// Its part of the calls, all together 1.
    pub part: f64,
    /// Calls a second within its share, over the fleet.
    pub quota: f64,
}

/// Habits of callers on this day.
#[derive(Clone, Debug, PartialEq)]
pub struct CallersDay {
    /// Further tries, mean.
    pub redials: f64,
    /// Share of the give-up time that one try lasts.
    pub try_share: f64,
    /// Wait before a redial, s.
    pub wait_s: f64,
    /// How it grows.
    pub backoff: Backoff,
    /// Share that heeds cool-downs.
    pub heed: f64,
    /// Share that leaves early.
    pub impatient: f64,
    /// Share of cut calls that come again.
    pub come_again: f64,
    /// Redials are marked.
    pub marked: bool,
}

/// A span of a trouble, µs: its start, and the moment after its end.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Its start.
    pub at: Us,
    /// The first moment after it.
    pub until: Us,
}

impl Span {
    /// Whether a moment is within.
    pub fn holds(&self, now: Us) -> bool {
        (self.at..self.until).contains(&now)
    }
}

/// A trouble with its figures drawn and its exchanges named; see [`Trouble`] for what each does.
#[derive(Clone, Debug, PartialEq)]
pub enum TroubleDay {
    /// Times the usual, and the rise and fall, µs each.
    Surge(Span, f64, Us),
    /// The exchanges that get this share of all calls.
    Lopsided(Span, Vec<usize>, f64),
    /// One exchange's processor drains for the span; its successor starts at the moment named last.
    Replace(Span, usize, Us),
    /// The region, and the part of its groups to others that is kept.
    LostCircuits(Span, usize, f64),
    /// The exchanges, and how many times slower.
    Slow(Span, Vec<usize>, f64),
    /// The exchange whose processor dies, and when a new one starts there.
    Crash(Us, usize, Option<Us>),
    /// The exchange whose proxy is away for the span.
    ProxyRestart(Span, usize),
    /// The proxies that are told nothing.
    RosterStopped(Span, Vec<usize>),
}

/// All figures of one day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Its seed.
    pub seed: u64,
    /// Exchanges.
    pub n: usize,
    /// Regions by name.
    pub regions: Vec<String>,
    /// Region of each exchange.
    pub region: Vec<usize>,
    /// End of the arrivals, µs.
    pub end: Us,
    /// A proxy's tick, µs.
    pub tick: Us,
    /// One way between exchanges, µs, by `from * n + to`.
    pub flight: Vec<f64>,
    /// Its spread, as a share.
    pub jitter: f64,
    /// Ends and sizes of groups.
    pub groups: Vec<([usize; 2], u32)>,
    /// Calls a second from one exchange to another at load 1, by `from * n + to`.
    pub rates: Vec<f64>,
    /// Factors on them in each span of [`Day::drift_span`], by span and pair.
    pub drift: Vec<Vec<f64>>,
    /// µs.
    pub drift_span: Us,
    /// Offered over planned.
    pub offered: f64,
    /// Factors on all rates from a moment on, µs.
    pub bursts: Vec<(Us, f64)>,
    /// Processors.
    pub processor: ProcessorParameters,
    /// Reports: period and delay, µs, and noise.
    pub report_period: Us,
    /// µs.
    pub report_delay: Us,
    /// A share.
    pub report_noise: f64,
    /// News: delay of planned changes and of deaths, and spread over the proxies, µs.
    pub planned: Us,
    /// µs.
    pub notice: Us,
    /// µs.
    pub spread: Us,
    /// The centre's looks and their age at first use, µs.
    pub centre: Option<(Us, Us)>,
    /// Classes.
    pub classes: Vec<ClassDay>,
    /// Subscribers.
    pub tenants: Vec<TenantDay>,
    /// Habits.
    pub callers: CallersDay,
    /// Attempts of one request.
    pub attempts: u32,
    /// The pause after a time-out, reset or cancel, µs.
    pub release: Us,
    /// The grace after a drain is told, µs.
    pub drain: Us,
    /// Slack of a final answer, µs.
    pub slack: Us,
    /// Longest cool-down, s.
    pub cool_down: f64,
    /// Worth beyond a share.
    pub over_share: f64,
    /// Troubles on the clock.
    pub troubles: Vec<TroubleDay>,
}

/// Seconds as µs.
pub fn us(seconds: f64) -> Us {
    (seconds * SECOND as f64).round().max(0.0) as Us
}

impl Day {
    /// The day of a seed.
    pub fn draw(scenario: &Scenario, seed: u64) -> Day {
        let rng = &mut stream(seed, Purpose::Day, 0);
        let n = (scenario.fleet.exchanges.draw(rng).round() as usize).max(2);
        let regions = scenario.fleet.regions.clone();
        let region: Vec<usize> = (0..n).map(|x| x % regions.len()).collect();
        let (same, cross) = (scenario.fleet.same_ms.draw(rng), scenario.fleet.cross_ms);
        // Regions lie where they lie: one figure for each pair of them.
        let between: Vec<f64> = (0..regions.len() * regions.len()).map(|_| cross.draw(rng)).collect();
        let mut flight = vec![0.0; n * n];
        for a in 0..n {
            for b in 0..n {
                let (low, high) = (region[a].min(region[b]), region[a].max(region[b]));
                let ms = if low == high { same } else { between[low * regions.len() + high] };
                flight[a * n + b] = ms * 1000.0;
            }
        }
        let classes = draw_classes(scenario, rng);
        let callers = &scenario.callers;
        let callers = CallersDay {
            redials: callers.redials.draw(rng),
            try_share: callers.try_share.draw(rng),
            wait_s: callers.wait_ms.draw(rng) / 1000.0,
            backoff: callers.backoff,
            heed: callers.heed.draw(rng),
            impatient: callers.impatient.draw(rng),
            come_again: callers.come_again.draw(rng),
            marked: callers.marked,
        };
        // Circuits that one call keeps busy, in circuit-seconds.
        let circuit_s: f64 = classes.iter().map(|c| c.share * f64::from(c.width) * c.hold_s).sum();
        let erlangs = scenario.groups.erlangs.draw(rng);
        let calls = erlangs / circuit_s;
        let plan = draw_plan(scenario, &region, calls, rng);
        let groups = draw_groups(scenario, n, &plan, circuit_s, rng);
        let missed = scenario.groups.missed_cv.draw(rng);
        let mut rates: Vec<f64> = plan.iter().map(|r| r * lognormal(rng, 1.0, missed)).collect();
        scale(&mut rates, calls * n as f64);
        let end = us(scenario.seconds.draw(rng));
        let (drift, drift_span) = draw_drift(scenario, &rates, end, rng);
        let bursts = draw_bursts(scenario, end, rng);
        let p = &scenario.processor;
        let rules = &scenario.rules;
        let mut processor = ProcessorParameters {
            set_up_us: 0.0,
            inspect: p.look.draw(rng),
            refuse: p.refuse.draw(rng),
            answer_or_release: p.follow.draw(rng),
            longest_wait_us: p.longest_wait_ms.draw(rng) * 1000.0,
            finish_first: p.finish_first,
            cancel_drops: p.cancel_drops,
            work: p.work,
            cold_from: p.cold_from.draw(rng),
            cold_us: p.cold_s.draw(rng) * SECOND as f64,
            fall_us: us(rules.fall_ms.draw(rng) / 1000.0),
            fall_multiple: rules.fall_multiple.draw(rng),
        };
        // At the planned load an exchange gives and takes as many calls, all direct.
        processor.set_up_us = p.busy.draw(rng) / (calls * processor.direct()) * SECOND as f64;
        let quota = calls * n as f64 * rules.quota.draw(rng);
        let used: Vec<(f64, f64)> =
            scenario.tenants.iter().map(|t| (t.share.draw(rng), t.usage.draw(rng))).collect();
        let all: f64 = used.iter().map(|(share, usage)| share * usage).sum();
        let tenants = scenario.tenants.iter().zip(&used).map(|(t, (share, usage))| TenantDay {
            name: t.name.clone(),
            share: *share,
            part: share * usage / all.max(1e-9),
            quota: share * quota,
        });
        let tenants = tenants.collect();
        let ms = |x: f64| us(x / 1000.0);
        let mut day = Day {
            seed,
            n,
            regions,
            region,
            end,
            tick: ms(scenario.fleet.tick_ms.draw(rng)).max(1),
            flight,
            jitter: scenario.fleet.jitter.draw(rng),
            groups,
            rates,
            drift,
            drift_span,
            offered: scenario.load.offered.draw(rng),
            bursts,
            processor,
            report_period: ms(scenario.reports.period_ms.draw(rng)).max(1),
            report_delay: ms(scenario.reports.delay_ms.draw(rng)),
            report_noise: scenario.reports.noise.draw(rng),
            planned: us(scenario.roster.planned_s.draw(rng)),
            notice: us(scenario.roster.notice_s.draw(rng)),
            spread: ms(scenario.roster.spread_ms.draw(rng)),
            centre: None,
            classes,
            tenants,
            callers,
            attempts: rules.attempts,
            release: ms(rules.release_ms.draw(rng)),
            drain: ms(rules.drain_ms.draw(rng)),
            slack: ms(rules.slack_ms.draw(rng)),
            cool_down: rules.longest_cool_down_s.draw(rng),
            over_share: rules.over_share_worth.draw(rng),
            troubles: Vec::new(),
        };
        day.centre =
            scenario.centre.as_ref().map(|c| (us(c.every_s.draw(rng)).max(1), us(c.late_s.draw(rng))));
        for (ix, trouble) in scenario.troubles.iter().enumerate() {
            let rng = &mut stream(seed, Purpose::Trouble, ix as u64);
            day.put_trouble(trouble, rng);
        }
        day
    }

    fn put_trouble(&mut self, trouble: &Trouble, rng: &mut Pcg64) {
        let n = self.n;
        let pick = |who: Option<&Who>, rng: &mut Pcg64| match who {
            None => (0..n).collect(),
            Some(Who::These(list)) => list.clone(),
            Some(Who::Some(count)) => {
                let mut all: Vec<usize> = (0..n).collect();
                (0..(*count as usize).min(n))
                    .map(|_| all.swap_remove(below(rng, all.len())))
                    .collect::<Vec<_>>()
            }
        };
        let at = us(trouble.at().draw(rng));
        let span = |seconds: f64| Span { at, until: at + us(seconds) };
        match trouble {
            Trouble::Surge { seconds, size, ramp_s, .. } => {
                let span = span(seconds.draw(rng));
                self.troubles.push(TroubleDay::Surge(span, size.draw(rng), us(ramp_s.draw(rng))));
            }
            Trouble::Lopsided { seconds, exchanges, share, .. } => {
                let span = span(seconds.draw(rng));
                let list = pick(Some(exchanges), rng);
                self.troubles.push(TroubleDay::Lopsided(span, list, share.draw(rng)));
            }
            Trouble::Replace { seconds, exchanges, batch, drain_s, gap_s, .. } => {
                let list = pick(Some(exchanges), rng);
                let batches = list.len().div_ceil(*batch as usize).max(1);
                let step = us(seconds.draw(rng)) / batches as Us;
                for (ix, exchange) in list.into_iter().enumerate() {
                    let at = at + step * (ix / *batch as usize) as Us;
                    let until = at + us(drain_s.draw(rng));
                    let start = until + us(gap_s.draw(rng));
                    self.troubles.push(TroubleDay::Replace(Span { at, until }, exchange, start));
                }
            }
            Trouble::LostCircuits { seconds, region, keep, .. } => {
                let span = span(seconds.draw(rng));
                let named = region.as_ref().and_then(|name| self.regions.iter().position(|r| r == name));
                let region = named.unwrap_or_else(|| below(rng, self.regions.len().min(n)));
                self.troubles.push(TroubleDay::LostCircuits(span, region, keep.draw(rng)));
            }
            Trouble::Slow { seconds, exchanges, size, .. } => {
                let span = span(seconds.draw(rng));
                let list = pick(exchanges.as_ref(), rng);
                self.troubles.push(TroubleDay::Slow(span, list, size.draw(rng)));
            }
            Trouble::Crash { exchanges, back_s, .. } => {
                for exchange in pick(Some(exchanges), rng) {
                    let back = back_s.as_ref().map(|s| at + us(s.draw(rng)));
                    self.troubles.push(TroubleDay::Crash(at, exchange, back));
                }
            }
            Trouble::ProxyRestart { exchanges, seconds, .. } => {
                for exchange in pick(Some(exchanges), rng) {
                    let span = span(seconds.draw(rng));
                    self.troubles.push(TroubleDay::ProxyRestart(span, exchange));
                }
            }
            Trouble::RosterStopped { seconds, exchanges, .. } => {
                let span = span(seconds.draw(rng));
                let list = pick(exchanges.as_ref(), rng);
                self.troubles.push(TroubleDay::RosterStopped(span, list));
            }
        }
    }

    /// What the proxy of an exchange is told at its start, in the form of the platform's settings.
    pub fn facts(&self, me: usize) -> Value {
        let class = |c: &ClassDay| {
            json!({"name": c.name, "target": c.aim_s, "give_up": c.give_up_s, "semantics": "free",
                "key_scope": "all", "window": 5.0, "streamed": true, "worth": c.worth,
                "late_value": c.late_worth})
        };
        let tenant =
            |t: &TenantDay| json!({"name": t.name, "portion": t.share, "quota_per_s": t.quota.round()});
        let s = |us: Us| us as f64 / SECOND as f64;
        json!({
            "az": self.regions[self.region[me]],
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "clients": {"marks_retry": self.callers.marked},
            "discovery": "pushed",
            "extra": {"allowed_pools": [], "centre_advises": self.centre.is_some(),
                "class_width": self.classes.iter().map(|c| c.width).collect::<Vec<_>>(),
                "far_state": "piggyback",
                "mean_hold": self.classes.iter().map(|c| c.hold_s).collect::<Vec<_>>(),
                "network_form": "network", "release": s(self.release), "retransmit": 0.0,
                "says_wait": false, "self_no": me},
            "family": "trunks",
            "kinds": ["single-core"],
            "limits": {"cancel": true, "conn_idle": 600.0, "connect_timeout": 0.5,
                "cpu_us_per_request": 0.0, "cpu_us_per_s": 300000, "max_attempts": self.attempts,
                "max_open": 20000, "max_retry_after": self.cool_down, "multiplex": 1_048_576,
                "parallel_tries": false, "peers": false, "probing": false,
                "retry_after": self.cool_down > 0.0},
            "my_number": me,
            "n_instances": self.n,
            "over_share_worth": self.over_share,
            "prices": {"late_fail": 0.03, "probe": 0.0, "waste": 0.02},
            "rules": {"answer_slack": s(self.slack), "ask_every": 10.0, "cold_from": self.processor.cold_from,
                "drain_grace": s(self.drain), "fall": s(self.processor.fall_us),
                "fall_multiple": self.processor.fall_multiple, "warm_within": self.processor.cold_us / SECOND as f64},
            "telemetry": {"fields": ["idle", "circuits", "reduce", "avg_ms"], "how": "piggyback"},
            "tenants": self.tenants.iter().map(tenant).collect::<Vec<_>>(),
            "tick": s(self.tick),
            "tier": 0,
            "tiers": ["exchanges"],
            "weights": "silent",
            "worth_by": "request",
            "zones": self.regions,
        })
    }

    /// The same as the module reads it.
    pub fn settings(&self, me: usize) -> Settings {
        // The facts are written above in the form that is read here.
        mallowring::wire::read_settings(&self.facts(me)).expect("facts of a day are settings")
    }

    /// Calls a second that the fleet was planned for.
    pub fn planned_calls(&self) -> f64 {
        self.rates.iter().sum()
    }
}

fn draw_classes(scenario: &Scenario, rng: &mut Pcg64) -> Vec<ClassDay> {
    let mut classes: Vec<_> = scenario
        .classes
        .iter()
        .map(|c| ClassDay {
            name: c.name.clone(),
            share: c.share.draw(rng),
            width: c.width,
            hold_s: c.hold_s.draw(rng),
            hold_cv: c.hold_cv.draw(rng),
            aim_s: c.aim_s.draw(rng),
            give_up_s: c.give_up_s.draw(rng),
            worth: c.worth.draw(rng),
            late_worth: c.late_worth.draw(rng),
        })
        .collect();
    let all: f64 = classes.iter().map(|c| c.share).sum();
    for class in &mut classes {
        class.share /= all;
    }
    classes
}

fn scale(rates: &mut [f64], sum: f64) {
    let all: f64 = rates.iter().sum();
    for rate in rates {
        *rate *= sum / all.max(1e-12);
    }
}

/// Calls a second by pair as planned: a gravity model with chance, balanced so that every exchange gives and
/// takes `calls`.
fn draw_plan(scenario: &Scenario, region: &[usize], calls: f64, rng: &mut Pcg64) -> Vec<f64> {
    let n = region.len();
    let (cv, local) = (scenario.groups.pair_cv.draw(rng), scenario.groups.local.draw(rng));
    let mut plan = vec![0.0; n * n];
    for a in 0..n {
        for b in a + 1..n {
            let weight = lognormal(rng, 1.0, cv) * if region[a] == region[b] { local } else { 1.0 };
            plan[a * n + b] = weight;
            plan[b * n + a] = weight;
        }
    }
    // Sinkhorn's iteration on a symmetric matrix.
    for _ in 0..50 {
        let rows: Vec<f64> = (0..n).map(|a| plan[a * n..(a + 1) * n].iter().sum()).collect();
        for a in 0..n {
            for b in 0..n {
                plan[a * n + b] *= calls / (rows[a] * rows[b]).sqrt().max(1e-12);
            }
        }
    }
    scale(&mut plan, calls * n as f64);
    plan
}

fn draw_groups(
    scenario: &Scenario,
    n: usize,
    plan: &[f64],
    circuit_s: f64,
    rng: &mut Pcg64,
) -> Vec<([usize; 2], u32)> {
    let spare = scenario.groups.spare.draw(rng);
    let widest = scenario.classes.iter().map(|c| c.width).max().unwrap_or(1);
    let mut groups = Vec::new();
    for a in 0..n {
        for b in a + 1..n {
            let erlangs = (plan[a * n + b] + plan[b * n + a]) * circuit_s;
            let size = (erlangs + spare * erlangs.sqrt()).ceil().max(f64::from(widest)) as u32;
            groups.push(([a, b], scenario.groups.size.unwrap_or(size)));
        }
    }
    groups
}

fn draw_drift(scenario: &Scenario, rates: &[f64], end: Us, rng: &mut Pcg64) -> (Vec<Vec<f64>>, Us) {
    let (cv, span) = (scenario.groups.drift_cv.draw(rng), us(scenario.groups.drift_s.draw(rng)).max(1));
    let spans = (end / span + 1) as usize;
    let all: f64 = rates.iter().sum();
    let drift = (0..spans).map(|_| {
        let mut factors: Vec<f64> = rates.iter().map(|_| lognormal(rng, 1.0, cv)).collect();
        let moved: f64 = factors.iter().zip(rates).map(|(f, r)| f * r).sum();
        factors.iter_mut().for_each(|f| *f *= all / moved.max(1e-12));
        factors
    });
    (drift.collect(), span)
}

fn draw_bursts(scenario: &Scenario, end: Us, rng: &mut Pcg64) -> Vec<(Us, f64)> {
    let (swing, mean) = (scenario.load.swing.draw(rng), scenario.load.swing_s.draw(rng));
    let mut bursts = vec![(0, 1.0)];
    if scenario.load.shape == Shape::Bursty {
        let (mut at, mut up) = (0.0, true);
        while us(at) < end {
            bursts.push((us(at), if up { 1.0 + swing } else { 1.0 - swing }));
            // Half to one and a half times the mean: spans, not noise.
            at += mean * (0.5 + crate::random::unit(rng));
            up = !up;
        }
    }
    bursts
}
