//! Calls as callers want them, drawn ahead and without regard to what becomes of them: both arms of a comparison
//! meet the same callers.

pub mod recorded;

use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

use crate::day::{us, Day, TroubleDay, Us, SECOND};
use crate::random::{below, lognormal, noise, stream, unit, Purpose};

/// A caller who wants one call.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// First try, µs.
    pub at: Us,
    /// Exchange of the caller.
    pub origin: usize,
    /// Exchange called.
    pub dest: usize,
    /// Class, by its position.
    pub class: usize,
    /// Subscriber, by its position.
    pub tenant: usize,
    /// Circuits.
    pub width: u32,
    /// Holding time, µs.
    pub hold: Us,
    /// Number called.
    pub number: u32,
    /// The call is beyond its tenant's share.
    pub over_share: bool,
    /// Highest number of redials.
    pub redials: u32,
    /// Whether it redials after the requested cool-down.
    pub heeds_cool_down: bool,
    /// Share of the first request's time to live after which an impatient caller abandons it.
    pub abandons_at: Option<f64>,
    /// Whether it re-establishes its call after a cut.
    pub reestablishes: bool,
    /// Factor on its waits before redials.
    pub wait_factor: f64,
}

/// Numbers at one exchange.
const NUMBERS: usize = 400;
/// A tenant's share is counted with a bucket of so many seconds of it.
const SHARE_SPAN: f64 = 2.0;

/// The factor of surges and bursts on all rates at a moment.
fn all_rates(day: &Day, at: Us) -> f64 {
    let burst = day.bursts.iter().rev().find(|(from, _)| *from <= at).map_or(1.0, |(_, f)| *f);
    let surge = |trouble: &TroubleDay| match trouble {
        TroubleDay::Surge(span, size, ramp) if span.holds(at) => {
            let edge = (at - span.at).min(span.until - at) as f64;
            let grown = if *ramp == 0 { 1.0 } else { (edge / *ramp as f64).min(1.0) };
            1.0 + (size - 1.0) * grown
        }
        _ => 1.0,
    };
    burst * day.troubles.iter().map(surge).product::<f64>()
}

/// The share of all calls that some exchanges get beside their own at a moment, and which.
fn lopsided(day: &Day, at: Us) -> Option<(&[usize], f64)> {
    day.troubles.iter().find_map(|trouble| match trouble {
        TroubleDay::Lopsided(span, exchanges, share) if span.holds(at) => {
            Some((exchanges.as_slice(), *share))
        }
        _ => None,
    })
}

/// All callers of a day in the order of their first tries: a Poisson process for each pair of exchanges, at the
/// pair's rate as it changes (thinning, Lewis and Shedler 1979).
pub fn generate(day: &Day) -> Vec<Caller> {
    let mut arrivals: Vec<(Us, usize, usize)> = Vec::new();
    let n = day.n;
    let steps = (day.end / (SECOND / 10) + 1) as usize;
    let peak = (0..steps).map(|s| all_rates(day, s as Us * (SECOND / 10))).fold(1.0, f64::max) * 1.02;
    for origin in 0..n {
        for dest in (0..n).filter(|d| *d != origin) {
            let pair = origin * n + dest;
            let rng = &mut stream(day.seed, Purpose::Arrivals, pair as u64);
            let widest = day.drift.iter().map(|span| span[pair]).fold(0.0, f64::max);
            let most = day.rates[pair] * day.offered * widest * peak / SECOND as f64;
            if most <= 0.0 {
                continue;
            }
            let mut at = 0.0;
            loop {
                at += Distribution::<f64>::sample(&Exp1, rng) / most;
                if at >= day.end as f64 {
                    break;
                }
                let now = at as Us;
                let span = (now / day.drift_span) as usize;
                let rate = day.rates[pair] * day.offered * day.drift[span][pair] * all_rates(day, now);
                if unit(rng) * most * SECOND as f64 >= rate {
                    continue;
                }
                // Some callers suddenly come in elsewhere.
                let mut from = origin;
                if let Some((exchanges, share)) = lopsided(day, now) {
                    // Not from the stream: the arrivals of the pair stay the same.
                    let chance = |n: u64| noise(day.seed ^ n, pair as u64, now);
                    let elsewhere = exchanges[(chance(1) * exchanges.len() as f64) as usize];
                    if chance(2) < share && elsewhere != dest {
                        from = elsewhere;
                    }
                }
                arrivals.push((now, from, dest));
            }
        }
    }
    arrivals.sort_unstable();
    let callers = arrivals.into_iter().enumerate().map(|(ix, (at, origin, dest))| {
        let rng = &mut stream(day.seed, Purpose::Caller, ix as u64);
        caller(day, rng, at, origin, dest)
    });
    let mut callers: Vec<Caller> = callers.collect();
    mark_over_share(day, &mut callers);
    callers
}

fn pick(rng: &mut Pcg64, parts: impl Iterator<Item = f64>) -> usize {
    let mut left = unit(rng);
    let mut last = 0;
    for (ix, part) in parts.enumerate() {
        last = ix;
        if left < part {
            break;
        }
        left -= part;
    }
    last
}

/// Draws what one caller is like.
pub fn caller(day: &Day, rng: &mut Pcg64, at: Us, origin: usize, dest: usize) -> Caller {
    let class = pick(rng, day.classes.iter().map(|c| c.share));
    let tenant = pick(rng, day.tenants.iter().map(|t| t.part));
    let kind = &day.classes[class];
    let hold = if kind.hold_cv == 1.0 {
        kind.hold_s * Distribution::<f64>::sample(&Exp1, rng)
    } else {
        lognormal(rng, kind.hold_s, kind.hold_cv)
    };
    let habits = &day.callers;
    Caller {
        at,
        origin,
        dest,
        class,
        tenant,
        width: kind.width,
        hold: us(hold).max(1),
        number: below(rng, NUMBERS) as u32,
        over_share: false,
        redials: habits.redials.floor() as u32 + u32::from(unit(rng) < habits.redials.fract()),
        heeds_cool_down: unit(rng) < habits.heed,
        abandons_at: (unit(rng) < habits.impatient).then(|| unit(rng)),
        reestablishes: unit(rng) < habits.come_again,
        wait_factor: 0.8 + 0.4 * unit(rng),
    }
}

/// Marks what a tenant offers beyond its share of the fleet.
pub fn mark_over_share(day: &Day, callers: &mut [Caller]) {
    let mut buckets: Vec<(f64, Us)> = day.tenants.iter().map(|t| (t.quota * SHARE_SPAN, 0)).collect();
    for caller in callers {
        let (quota, (level, last)) = (day.tenants[caller.tenant].quota, &mut buckets[caller.tenant]);
        let filled = *level + quota * (caller.at - *last) as f64 / SECOND as f64;
        *level = filled.min(quota * SHARE_SPAN);
        *last = caller.at;
        caller.over_share = *level < 1.0;
        if !caller.over_share {
            *level -= 1.0;
        }
    }
}
