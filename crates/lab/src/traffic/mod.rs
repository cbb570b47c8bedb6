//! Offered traffic, drawn before the simulation and independent of its course, so that the arms of a comparison get
//! the same callers.

pub mod recorded;

use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64;

use crate::day::{us, Day, TroubleDay, Us, SECOND};
use crate::random::{below, lognormal, noise, stream, unit, Purpose};

/// A caller and the one call that it wants.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Time of the first dialling, µs.
    pub at: Us,
    /// Exchange of the caller.
    pub origin: usize,
    /// Exchange called.
    pub dest: usize,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Circuits that the call needs.
    pub width: u32,
    /// Holding time, µs.
    pub hold: Us,
    /// Number called.
    pub number: u32,
    /// Whether the call is beyond its tenant's share.
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

/// Dialled numbers per exchange.
const NUMBERS_PER_EXCHANGE: usize = 400;
/// Depth of the token bucket that counts a tenant's share, seconds of its quota.
const SHARE_BUCKET_SECONDS: f64 = 2.0;

/// The factor of surges and bursts on all rates at a time.
fn rate_factor(day: &Day, at: Us) -> f64 {
    let burst = day.bursts.iter().rev().find(|(from, _)| *from <= at).map_or(1.0, |(_, f)| *f);
    let surge = |trouble: &TroubleDay| match trouble {
        TroubleDay::Surge(span, size, ramp) if span.contains(at) => {
            let distance_us = (at - span.at).min(span.until - at) as f64;
            let ramp_share = if *ramp == 0 { 1.0 } else { (distance_us / *ramp as f64).min(1.0) };
            1.0 + (size - 1.0) * ramp_share
        }
        _ => 1.0,
    };
    burst * day.troubles.iter().map(surge).product::<f64>()
}

/// The exchanges of a lopsided load at a time, and the share of all calls that they get beside their own.
fn lopsided(day: &Day, at: Us) -> Option<(&[usize], f64)> {
    day.troubles.iter().find_map(|trouble| match trouble {
        TroubleDay::Lopsided(span, exchanges, share) if span.contains(at) => {
            Some((exchanges.as_slice(), *share))
        }
        _ => None,
    })
}

/// All callers of a day in the order of their first dialling: for each pair of exchanges a Poisson process with the
/// pair's time-dependent rate (thinning, Lewis and Shedler 1979).
pub fn generate(day: &Day) -> Vec<Caller> {
    let mut arrivals: Vec<(Us, usize, usize)> = Vec::new();
    let n = day.exchange_count;
    let steps = (day.end / (SECOND / 10) + 1) as usize;
    let peak = (0..steps).map(|s| rate_factor(day, s as Us * (SECOND / 10))).fold(1.0, f64::max) * 1.02;
    for origin in 0..n {
        for dest in (0..n).filter(|d| *d != origin) {
            let pair = origin * n + dest;
            let rng = &mut stream(day.seed, Purpose::Arrivals, pair as u64);
            let highest_drift = day.drift.iter().map(|span| span[pair]).fold(0.0, f64::max);
            let highest_rate = day.rates[pair] * day.offered * highest_drift * peak / SECOND as f64;
            if highest_rate <= 0.0 {
                continue;
            }
            let mut at = 0.0;
            loop {
                at += Distribution::<f64>::sample(&Exp1, rng) / highest_rate;
                if at >= day.end as f64 {
                    break;
                }
                let now = at as Us;
                let span = (now / day.drift_span) as usize;
                let rate = day.rates[pair] * day.offered * day.drift[span][pair] * rate_factor(day, now);
                if unit(rng) * highest_rate * SECOND as f64 >= rate {
                    continue;
                }
                // A lopsided load moves some callers to other exchanges.
                let mut from = origin;
                if let Some((exchanges, share)) = lopsided(day, now) {
                    // Not drawn from the stream, so that the pair's arrivals stay the same.
                    let uniform = |n: u64| noise(day.seed ^ n, pair as u64, now);
                    let other_origin = exchanges[(uniform(1) * exchanges.len() as f64) as usize];
                    if uniform(2) < share && other_origin != dest {
                        from = other_origin;
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

/// Draws an index with the given probabilities, which sum to 1.
fn pick(rng: &mut Pcg64, parts: impl Iterator<Item = f64>) -> usize {
    let mut remaining = unit(rng);
    let mut last = 0;
    for (ix, part) in parts.enumerate() {
        last = ix;
        if remaining < part {
            break;
        }
        remaining -= part;
    }
    last
}

/// Draws one caller's call and behaviour.
pub fn caller(day: &Day, rng: &mut Pcg64, at: Us, origin: usize, dest: usize) -> Caller {
    let class = pick(rng, day.classes.iter().map(|c| c.share));
    let tenant = pick(rng, day.tenants.iter().map(|t| t.call_share));
    let class_parameters = &day.classes[class];
    let hold = if class_parameters.hold_cv == 1.0 {
        class_parameters.hold_s * Distribution::<f64>::sample(&Exp1, rng)
    } else {
        lognormal(rng, class_parameters.hold_s, class_parameters.hold_cv)
    };
    let behaviour = &day.callers;
    Caller {
        at,
        origin,
        dest,
        class,
        tenant,
        width: class_parameters.width,
        hold: us(hold).max(1),
        number: below(rng, NUMBERS_PER_EXCHANGE) as u32,
        over_share: false,
        redials: behaviour.redials.floor() as u32 + u32::from(unit(rng) < behaviour.redials.fract()),
        heeds_cool_down: unit(rng) < behaviour.heed_share,
        abandons_at: (unit(rng) < behaviour.impatient_share).then(|| unit(rng)),
        reestablishes: unit(rng) < behaviour.reestablish_share,
        wait_factor: 0.8 + 0.4 * unit(rng),
    }
}

/// Marks the calls that a tenant offers beyond its share of the fleet's quota.
pub fn mark_over_share(day: &Day, callers: &mut [Caller]) {
    let mut buckets: Vec<(f64, Us)> =
        day.tenants.iter().map(|t| (t.quota * SHARE_BUCKET_SECONDS, 0)).collect();
    for caller in callers {
        let (quota, (level, last)) = (day.tenants[caller.tenant].quota, &mut buckets[caller.tenant]);
        let refilled = *level + quota * (caller.at - *last) as f64 / SECOND as f64;
        *level = refilled.min(quota * SHARE_BUCKET_SECONDS);
        *last = caller.at;
        caller.over_share = *level < 1.0;
        if !caller.over_share {
            *level -= 1.0;
        }
    }
}
