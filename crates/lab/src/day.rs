//! One day of a scenario: draws every range, sizes the groups and schedules the troubles.

use mallowring::interface::Settings;
use rand_pcg::Pcg64;
use serde_json::{json, Value};

use crate::random::{below, lognormal, stream, Purpose};
use crate::scenario::{Backoff, ExchangeSelection, Scenario, Shape, Trouble, WorkTime};

/// Simulated time, µs from the start of the day.
pub type Us = u64;
/// One second.
pub const SECOND: Us = 1_000_000;
/// Reading of the proxies' clocks at the start of the day, seconds.
pub const EPOCH: f64 = 1000.0;

/// Parameters of the processors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessorParameters {
    /// Processing time of a set-up at full capacity, µs; 0 if no task takes time.
    pub set_up_us: f64,
    /// Work of inspecting an incoming call, set-ups.
    pub inspect: f64,
    /// Work of a refusal, set-ups.
    pub refuse: f64,
    /// Work of an answer or a release, set-ups.
    pub answer_or_release: f64,
    /// Wait above which set-ups are refused, µs.
    pub longest_wait_us: f64,
    /// Whether answers and releases go before new set-ups.
    pub finish_first: bool,
    /// Whether the receiving exchange drops a set-up that was cancelled.
    pub cancel_drops: bool,
    /// Distribution of the processing time.
    pub work: WorkTime,
    /// Share of the full capacity at a cold start.
    pub cold_from: f64,
    /// Time from a cold start to full capacity, µs.
    pub cold_us: f64,
    /// Window over which the rule on cold processors counts set-ups, µs.
    pub cold_failure_window_us: Us,
    /// Multiple of the present capacity at which a cold processor fails.
    pub cold_failure_multiple: f64,
}

impl ProcessorParameters {
    /// Work of a call that is routed direct, set-ups: an inspection, a set-up, an answer and a release at either end.
    pub fn direct(&self) -> f64 {
        self.inspect + 2.0 + 4.0 * self.answer_or_release
    }

    /// Work of a call that is routed over a tandem, set-ups.
    pub fn tandem(&self) -> f64 {
        2.0 * self.inspect + 3.0 + 6.0 * self.answer_or_release
    }
}

/// A class of calls with the day's values.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassDay {
    /// Its name.
    pub name: String,
    /// Its share of the calls; the shares of all classes sum to 1.
    pub share: f64,
    /// Circuits that a call needs on each group.
    pub width: u32,
    /// Mean holding time, s.
    pub hold_s: f64,
    /// Coefficient of variation of the holding time.
    pub hold_cv: f64,
    /// Set-up delay up to which a call has its full worth, s.
    pub aim_s: f64,
    /// Time after which callers give up, s.
    pub give_up_s: f64,
    /// Worth of a call.
    pub worth: f64,
    /// Share of the worth of a call that is established later.
    pub late_worth: f64,
}

/// A tenant with the day's values.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantDay {
    /// Its name.
    pub name: String,
    /// Its share of the fleet's quota.
    pub share: f64,
    /// Its share of the calls offered; the shares of all tenants sum to 1.
    pub call_share: f64,
    /// Calls per second within its share, over the fleet.
    pub quota: f64,
}

/// The callers' behaviour with the day's values.
#[derive(Clone, Debug, PartialEq)]
pub struct CallersDay {
    /// Mean of the highest number of redials.
    pub redials: f64,
    /// Share of the give-up time after which a request is given up.
    pub try_share: f64,
    /// Wait before a redial, s.
    pub wait_s: f64,
    /// How the wait grows.
    pub backoff: Backoff,
    /// Share of the callers that heed cool-downs.
    pub heed_share: f64,
    /// Share of the callers that abandon early.
    pub impatient_share: f64,
    /// Share of the callers that re-establish a cut call.
    pub reestablish_share: f64,
    /// Whether requests mark redials.
    pub redials_marked: bool,
}

/// The time span of a trouble, µs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Its start.
    pub at: Us,
    /// Its end, exclusive.
    pub until: Us,
}

impl Span {
    /// Whether a time is within the span.
    pub fn contains(&self, now: Us) -> bool {
        (self.at..self.until).contains(&now)
    }
}

/// A trouble with the day's values and exchanges; [`Trouble`] describes the effects.
#[derive(Clone, Debug, PartialEq)]
pub enum TroubleDay {
    /// Span, factor on the load, and length of the rise and of the fall, µs.
    Surge(Span, f64, Us),
    /// Span, exchanges, and their additional share of all calls.
    Lopsided(Span, Vec<usize>, f64),
    /// Span for which an exchange's processor drains, the exchange, and the start of the replacement.
    Replace(Span, usize, Us),
    /// Span, region, and the share of circuits that its groups to other regions keep.
    LostCircuits(Span, usize, f64),
    /// Span, exchanges, and the factor on their processing times.
    Slow(Span, Vec<usize>, f64),
    /// Time of the crash, the exchange, and the start of a new processor, if any.
    Crash(Us, usize, Option<Us>),
    /// Span for which the proxy is stopped, and its exchange.
    ProxyRestart(Span, usize),
    /// Span, and the proxies that receive no roster updates.
    RosterStopped(Span, Vec<usize>),
}

/// All parameters of one day.
#[derive(Clone, Debug)]
pub struct Day {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of exchanges.
    pub exchange_count: usize,
    /// Names of the regions.
    pub regions: Vec<String>,
    /// Index of each exchange's region.
    pub region: Vec<usize>,
    /// End of the arrival period, µs.
    pub end: Us,
    /// Interval at which proxies handle their events, µs.
    pub tick: Us,
    /// Mean one-way transmission time between exchanges, µs, by `from * n + to`.
    pub transmission_us: Vec<f64>,
    /// Largest deviation from the mean transmission time, as a share of it.
    pub jitter: f64,
    /// Ends and sizes of the trunk groups.
    pub groups: Vec<([usize; 2], u32)>,
    /// Calls per second from one exchange to another at planned load, by `from * n + to`.
    pub rates: Vec<f64>,
    /// Factors on the rates, by span of length [`Day::drift_span`] and pair of exchanges.
    pub drift: Vec<Vec<f64>>,
    /// Length of a drift span, µs.
    pub drift_span: Us,
    /// Offered load over planned load.
    pub offered: f64,
    /// Factors on all rates, each with the time from which it applies, µs.
    pub bursts: Vec<(Us, f64)>,
    /// Parameters of the processors.
    pub processor: ProcessorParameters,
    /// Interval between a processor's load measurements, µs.
    pub report_period: Us,
    /// Time until reports use a measurement, µs.
    pub report_delay: Us,
    /// Standard deviation of the measurement noise, as a share.
    pub report_noise: f64,
    /// Delay until the roster publishes a planned change, µs.
    pub planned_delay: Us,
    /// Delay until the roster publishes a crash, µs.
    pub crash_delay: Us,
    /// Longest further delay until a proxy receives a roster update, µs.
    pub roster_spread: Us,
    /// The centre's survey interval and the delay until its advice uses a survey, µs.
    pub centre: Option<(Us, Us)>,
    /// Classes of calls.
    pub classes: Vec<ClassDay>,
    /// Tenants.
    pub tenants: Vec<TenantDay>,
    /// The callers' behaviour.
    pub callers: CallersDay,
    /// Highest number of attempts of one request.
    pub max_attempts: u32,
    /// Pause of a request's attempts after a time-out, reset or cancellation, µs.
    pub release_pause: Us,
    /// Time after a drain's roster update for which new set-ups are allowed, µs.
    pub drain_grace: Us,
    /// Time after a request's deadline for which a final answer is allowed, µs.
    pub answer_slack: Us,
    /// Longest cool-down that callers can be asked for, s; 0 for none.
    pub longest_cool_down_s: f64,
    /// Factor on the worth of calls beyond a tenant's share.
    pub over_share_worth: f64,
    /// Troubles of the day.
    pub troubles: Vec<TroubleDay>,
}

/// Converts seconds to µs.
pub fn us(seconds: f64) -> Us {
    (seconds * SECOND as f64).round().max(0.0) as Us
}

impl Day {
    /// Draws the day of a seed.
    pub fn draw(scenario: &Scenario, seed: u64) -> Day {
        let rng = &mut stream(seed, Purpose::Day, 0);
        let exchange_count = (scenario.fleet.exchanges.draw(rng).round() as usize).max(2);
        let regions = scenario.fleet.regions.clone();
        let region: Vec<usize> = (0..exchange_count).map(|x| x % regions.len()).collect();
        let (same, cross) = (scenario.fleet.same_ms.draw(rng), scenario.fleet.cross_ms);
        // One transmission time per pair of regions, which all their exchanges share.
        let between_regions: Vec<f64> = (0..regions.len() * regions.len()).map(|_| cross.draw(rng)).collect();
        let mut transmission_us = vec![0.0; exchange_count * exchange_count];
        for a in 0..exchange_count {
            for b in 0..exchange_count {
                let (low, high) = (region[a].min(region[b]), region[a].max(region[b]));
                let ms = if low == high { same } else { between_regions[low * regions.len() + high] };
                transmission_us[a * exchange_count + b] = ms * 1000.0;
            }
        }
        let classes = draw_classes(scenario, rng);
        let callers = &scenario.callers;
        let callers = CallersDay {
            redials: callers.redials.draw(rng),
            try_share: callers.try_share.draw(rng),
            wait_s: callers.wait_ms.draw(rng) / 1000.0,
            backoff: callers.backoff,
            heed_share: callers.heed_share.draw(rng),
            impatient_share: callers.impatient_share.draw(rng),
            reestablish_share: callers.reestablish_share.draw(rng),
            redials_marked: callers.redials_marked,
        };
        // Mean circuit-seconds per call.
        let circuit_s: f64 = classes.iter().map(|c| c.share * f64::from(c.width) * c.hold_s).sum();
        let erlangs = scenario.groups.erlangs.draw(rng);
        let calls = erlangs / circuit_s;
        let plan = draw_plan(scenario, &region, calls, rng);
        let groups = draw_groups(scenario, exchange_count, &plan, circuit_s, rng);
        let plan_error_cv = scenario.groups.plan_error_cv.draw(rng);
        let mut rates: Vec<f64> = plan.iter().map(|r| r * lognormal(rng, 1.0, plan_error_cv)).collect();
        scale(&mut rates, calls * exchange_count as f64);
        let end = us(scenario.seconds.draw(rng));
        let (drift, drift_span) = draw_drift(scenario, &rates, end, rng);
        let bursts = draw_bursts(scenario, end, rng);
        let ranges = &scenario.processor;
        let rules = &scenario.rules;
        let mut processor = ProcessorParameters {
            set_up_us: 0.0,
            inspect: ranges.inspect.draw(rng),
            refuse: ranges.refuse.draw(rng),
            answer_or_release: ranges.answer_or_release.draw(rng),
            longest_wait_us: ranges.longest_wait_ms.draw(rng) * 1000.0,
            finish_first: ranges.finish_first,
            cancel_drops: ranges.cancel_drops,
            work: ranges.work,
            cold_from: ranges.cold_from.draw(rng),
            cold_us: ranges.cold_s.draw(rng) * SECOND as f64,
            cold_failure_window_us: us(rules.cold_failure_window_ms.draw(rng) / 1000.0),
            cold_failure_multiple: rules.cold_failure_multiple.draw(rng),
        };
        // At planned load each exchange sends and receives `calls` calls per second, all routed direct.
        processor.set_up_us = ranges.busy.draw(rng) / (calls * processor.direct()) * SECOND as f64;
        let quota = calls * exchange_count as f64 * rules.quota.draw(rng);
        let shares_and_usages: Vec<(f64, f64)> =
            scenario.tenants.iter().map(|t| (t.share.draw(rng), t.usage.draw(rng))).collect();
        let all: f64 = shares_and_usages.iter().map(|(share, usage)| share * usage).sum();
        let tenants = scenario.tenants.iter().zip(&shares_and_usages).map(|(t, (share, usage))| TenantDay {
            name: t.name.clone(),
            share: *share,
            call_share: share * usage / all.max(1e-9),
            quota: share * quota,
        });
        let tenants = tenants.collect();
        let ms = |x: f64| us(x / 1000.0);
        let mut day = Day {
            seed,
            exchange_count,
            regions,
            region,
            end,
            tick: ms(scenario.fleet.tick_ms.draw(rng)).max(1),
            transmission_us,
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
            planned_delay: us(scenario.roster.planned_delay_s.draw(rng)),
            crash_delay: us(scenario.roster.crash_delay_s.draw(rng)),
            roster_spread: ms(scenario.roster.spread_ms.draw(rng)),
            centre: None,
            classes,
            tenants,
            callers,
            max_attempts: rules.max_attempts,
            release_pause: ms(rules.release_pause_ms.draw(rng)),
            drain_grace: ms(rules.drain_grace_ms.draw(rng)),
            answer_slack: ms(rules.answer_slack_ms.draw(rng)),
            longest_cool_down_s: rules.longest_cool_down_s.draw(rng),
            over_share_worth: rules.over_share_worth.draw(rng),
            troubles: Vec::new(),
        };
        day.centre = scenario
            .centre
            .as_ref()
            .map(|c| (us(c.interval_s.draw(rng)).max(1), us(c.advice_delay_s.draw(rng))));
        for (ix, trouble) in scenario.troubles.iter().enumerate() {
            let rng = &mut stream(seed, Purpose::Trouble, ix as u64);
            day.draw_trouble(trouble, rng);
        }
        day
    }

    /// Draws a trouble's values and exchanges.
    fn draw_trouble(&mut self, trouble: &Trouble, rng: &mut Pcg64) {
        let n = self.exchange_count;
        let select = |selection: Option<&ExchangeSelection>, rng: &mut Pcg64| match selection {
            None => (0..n).collect(),
            Some(ExchangeSelection::Listed(list)) => list.clone(),
            Some(ExchangeSelection::Count(count)) => {
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
                let list = select(Some(exchanges), rng);
                self.troubles.push(TroubleDay::Lopsided(span, list, share.draw(rng)));
            }
            Trouble::Replace { seconds, exchanges, batch, drain_s, gap_s, .. } => {
                let list = select(Some(exchanges), rng);
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
                let list = select(exchanges.as_ref(), rng);
                self.troubles.push(TroubleDay::Slow(span, list, size.draw(rng)));
            }
            Trouble::Crash { exchanges, back_s, .. } => {
                for exchange in select(Some(exchanges), rng) {
                    let back = back_s.as_ref().map(|s| at + us(s.draw(rng)));
                    self.troubles.push(TroubleDay::Crash(at, exchange, back));
                }
            }
            Trouble::ProxyRestart { exchanges, seconds, .. } => {
                for exchange in select(Some(exchanges), rng) {
                    let span = span(seconds.draw(rng));
                    self.troubles.push(TroubleDay::ProxyRestart(span, exchange));
                }
            }
            Trouble::RosterStopped { seconds, exchanges, .. } => {
                let span = span(seconds.draw(rng));
                let list = select(exchanges.as_ref(), rng);
                self.troubles.push(TroubleDay::RosterStopped(span, list));
            }
        }
    }

    /// The settings that the proxy of an exchange receives at its start, in the platform's format.
    pub fn facts(&self, exchange: usize) -> Value {
        let class = |c: &ClassDay| {
            json!({"name": c.name, "target": c.aim_s, "give_up": c.give_up_s, "semantics": "free",
                "key_scope": "all", "window": 5.0, "streamed": true, "worth": c.worth,
                "late_value": c.late_worth})
        };
        let tenant =
            |t: &TenantDay| json!({"name": t.name, "portion": t.share, "quota_per_s": t.quota.round()});
        let s = |us: Us| us as f64 / SECOND as f64;
        json!({
            "az": self.regions[self.region[exchange]],
            "classes": self.classes.iter().map(class).collect::<Vec<_>>(),
            "clients": {"marks_retry": self.callers.redials_marked},
            "discovery": "pushed",
            "extra": {"allowed_pools": [], "centre_advises": self.centre.is_some(),
                "class_width": self.classes.iter().map(|c| c.width).collect::<Vec<_>>(),
                "far_state": "piggyback",
                "mean_hold": self.classes.iter().map(|c| c.hold_s).collect::<Vec<_>>(),
                "network_form": "network", "release": s(self.release_pause), "retransmit": 0.0,
                "says_wait": false, "self_no": exchange},
            "family": "trunks",
            "kinds": ["single-core"],
            "limits": {"cancel": true, "conn_idle": 600.0, "connect_timeout": 0.5,
                "cpu_us_per_request": 0.0, "cpu_us_per_s": 300000, "max_attempts": self.max_attempts,
                "max_open": 20000, "max_retry_after": self.longest_cool_down_s, "multiplex": 1_048_576,
                "parallel_tries": false, "peers": false, "probing": false,
                "retry_after": self.longest_cool_down_s > 0.0},
            "my_number": exchange,
            "n_instances": self.exchange_count,
            "over_share_worth": self.over_share_worth,
            "prices": {"late_fail": 0.03, "probe": 0.0, "waste": 0.02},
            "rules": {"answer_slack": s(self.answer_slack), "ask_every": 10.0, "cold_from": self.processor.cold_from,
                "drain_grace": s(self.drain_grace), "fall": s(self.processor.cold_failure_window_us),
                "fall_multiple": self.processor.cold_failure_multiple, "warm_within": self.processor.cold_us / SECOND as f64},
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

    /// The same settings as the decision module reads them.
    pub fn settings(&self, exchange: usize) -> Settings {
        // `facts` writes the format that is read here.
        mallowring::wire::read_settings(&self.facts(exchange)).expect("facts of a day are settings")
    }

    /// Calls per second that the fleet was planned for.
    pub fn planned_calls(&self) -> f64 {
        self.rates.iter().sum()
    }
}

/// Draws the classes and normalises their shares.
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

/// Scales rates to a sum.
fn scale(rates: &mut [f64], sum: f64) {
    let all: f64 = rates.iter().sum();
    for rate in rates {
        *rate *= sum / all.max(1e-12);
    }
}

/// Planned calls per second by pair: a randomised gravity model, balanced so that every exchange sends and receives
/// `calls`.
fn draw_plan(scenario: &Scenario, region: &[usize], calls: f64, rng: &mut Pcg64) -> Vec<f64> {
    let n = region.len();
    let (cv, local) = (scenario.groups.pair_cv.draw(rng), scenario.groups.regional_factor.draw(rng));
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

/// Sizes a trunk group for each pair of exchanges.
fn draw_groups(
    scenario: &Scenario,
    n: usize,
    plan: &[f64],
    circuit_s: f64,
    rng: &mut Pcg64,
) -> Vec<([usize; 2], u32)> {
    let spare = scenario.groups.spare.draw(rng);
    let greatest_width = scenario.classes.iter().map(|c| c.width).max().unwrap_or(1);
    let mut groups = Vec::new();
    for a in 0..n {
        for b in a + 1..n {
            let erlangs = (plan[a * n + b] + plan[b * n + a]) * circuit_s;
            let size = (erlangs + spare * erlangs.sqrt()).ceil().max(f64::from(greatest_width)) as u32;
            groups.push(([a, b], scenario.groups.size.unwrap_or(size)));
        }
    }
    groups
}

/// Draws the drift of the rates, by span and pair; each span keeps the sum of the rates.
fn draw_drift(scenario: &Scenario, rates: &[f64], end: Us, rng: &mut Pcg64) -> (Vec<Vec<f64>>, Us) {
    let (cv, span) = (scenario.groups.drift_cv.draw(rng), us(scenario.groups.drift_s.draw(rng)).max(1));
    let spans = (end / span + 1) as usize;
    let all: f64 = rates.iter().sum();
    let drift = (0..spans).map(|_| {
        let mut factors: Vec<f64> = rates.iter().map(|_| lognormal(rng, 1.0, cv)).collect();
        let drifted: f64 = factors.iter().zip(rates).map(|(f, r)| f * r).sum();
        factors.iter_mut().for_each(|f| *f *= all / drifted.max(1e-12));
        factors
    });
    (drift.collect(), span)
}

/// Draws the alternating factors of a bursty load, each with its start.
fn draw_bursts(scenario: &Scenario, end: Us, rng: &mut Pcg64) -> Vec<(Us, f64)> {
    let (swing, mean) = (scenario.load.swing.draw(rng), scenario.load.swing_s.draw(rng));
    let mut bursts = vec![(0, 1.0)];
    if scenario.load.shape == Shape::Bursty {
        let (mut at, mut high) = (0.0, true);
        while us(at) < end {
            bursts.push((us(at), if high { 1.0 + swing } else { 1.0 - swing }));
            // Half to one and a half times the mean length.
            at += mean * (0.5 + crate::random::unit(rng));
            high = !high;
        }
    }
    bursts
}
