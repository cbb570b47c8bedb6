//! Rules on proxies and exchanges.

use mallowring_standin::record::{Entry, Observation};

use super::view::TrialContext;
use super::*;

/// Time in seconds within which a started proxy has to answer an OPTIONS request.
const READY_LIMIT_S: f64 = 10.0;
/// A breach needs more than this share of the set-ups to come from proxies that had been informed of the start.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

/// Returns all breaches that concern no single call.
pub fn check(entries: &[Entry], context: &TrialContext, parameters: &DeploymentParameters) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (ix, entry) in entries.iter().enumerate() {
        let later = &entries[ix + 1..];
        let breach = match &entry.observation {
            Observation::ProxyEnded { clean } => unexpected_exit(entry, *clean, context),
            Observation::ProxyStarted => ready_in_time(entry, later),
            Observation::Resources { memory_kb, descriptors } => {
                resources(entry, *memory_kb, *descriptors, parameters)
            }
            Observation::StartedCold => cold_start(entry, later, parameters),
            _ => None,
        };
        breaches.extend(breach);
    }
    breaches
}

fn breach(rule: Rule, entry: &Entry, at: f64, details: String) -> Option<Breach> {
    Some(Breach { rule, at, proxy: entry.proxy, call: String::new(), details })
}

fn unexpected_exit(entry: &Entry, clean: bool, context: &TrialContext) -> Option<Breach> {
    let requested = context.was_stop_requested(entry.proxy, entry.at);
    if clean && requested {
        return None;
    }
    let details = if requested { "exited with an error after SIGTERM" } else { "exited without SIGTERM" };
    breach(CRASH, entry, entry.at, details.to_owned())
}

fn ready_in_time(entry: &Entry, later: &[Entry]) -> Option<Breach> {
    let mut of_proxy = later.iter().filter(|e| e.proxy == entry.proxy);
    let until = entry.at + READY_LIMIT_S;
    let end = of_proxy.find(|e| {
        matches!(
            e.observation,
            Observation::ProxyReady | Observation::Killed | Observation::ProxyEnded { .. }
        )
    });
    let last = later.last().map_or(entry.at, |e| e.at);
    if end.map_or(last, |e| e.at) <= until {
        return None;
    }
    breach(READY, entry, until, format!("not ready within {READY_LIMIT_S} s"))
}

fn resources(
    entry: &Entry,
    memory_kb: u64,
    descriptors: usize,
    parameters: &DeploymentParameters,
) -> Option<Breach> {
    if memory_kb > parameters.memory_kb {
        return breach(MEMORY, entry, entry.at, format!("{memory_kb} kB of {}", parameters.memory_kb));
    }
    if descriptors > parameters.descriptors {
        return breach(DESCRIPTORS, entry, entry.at, format!("{descriptors} of {}", parameters.descriptors));
    }
    None
}

/// Returns how many set-ups a cold exchange bears in a window of `overload_window_s` that ends `age` seconds after
/// its start, with an allowance for random arrivals (STANDING, 'The whole fleet').
fn max_set_ups(age: f64, parameters: &DeploymentParameters) -> f64 {
    let warm = (age / parameters.warm_up_s).clamp(0.0, 1.0);
    let share = parameters.cold_capacity_share + (1.0 - parameters.cold_capacity_share) * warm;
    let n = parameters.overload_multiple * parameters.exchange_rate * share * parameters.overload_window_s;
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

fn cold_start(entry: &Entry, later: &[Entry], parameters: &DeploymentParameters) -> Option<Breach> {
    let sent = later.iter().filter(|e| {
        e.observer == entry.observer && matches!(e.observation, Observation::SetUpReceived { .. })
    });
    let sent: Vec<&Entry> = sent.take_while(|e| e.at - entry.at <= parameters.warm_up_s).collect();
    let informed_at = |proxy: usize| {
        let roster_events = later.iter().filter(|e| e.proxy == proxy);
        let roster_events = roster_events.filter(
            |e| matches!(&e.observation, Observation::RosterSent { exchange, ready: true } if *exchange == entry.observer),
        );
        roster_events.map(|e| e.at).reduce(f64::min)
    };
    for (ix, last) in sent.iter().enumerate() {
        let window = sent[..=ix].iter().rev().take_while(|e| last.at - e.at <= parameters.overload_window_s);
        let window: Vec<_> = window.collect();
        let by_informed =
            window.iter().filter(|e| informed_at(e.proxy).is_some_and(|at| at <= e.at)).count() as f64;
        let n = window.len() as f64;
        if n > max_set_ups(last.at - entry.at, parameters) && by_informed > INFORMED_SHARE * n {
            let details = format!("{} was pushed over by {n} set-ups", entry.observer);
            return breach(COLD_START, entry, last.at, details);
        }
    }
    None
}
