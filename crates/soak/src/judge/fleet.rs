//! The rules on proxies and exchanges.

use mallowring_standin::record::{Entry, Observation};

use super::view::TrialContext;
use super::*;

/// A proxy that starts passes a test within so long.
const READY_WITHIN: f64 = 10.0;
/// Of the set-ups that push an exchange over, more than this share came from proxies that had been told of its start.
const TOLD_SHARE: f64 = 2.0 / 3.0;

/// All breaches that are of no single call.
pub fn check(entries: &[Entry], context: &TrialContext, parameters: &DeploymentParameters) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (ix, entry) in entries.iter().enumerate() {
        let later = &entries[ix + 1..];
        let found = match &entry.observation {
            Observation::ProxyEnded { clean } => crash(entry, *clean, context),
            Observation::ProxyStarted => ready(entry, later),
            Observation::Resources { memory_kb, descriptors } => {
                resources(entry, *memory_kb, *descriptors, parameters)
            }
            Observation::StartedCold => cold(entry, later, parameters),
            _ => None,
        };
        breaches.extend(found);
    }
    breaches
}

fn breach(rule: Rule, entry: &Entry, at: f64, what: String) -> Option<Breach> {
    Some(Breach { rule, at, proxy: entry.proxy, call: String::new(), what })
}

fn crash(entry: &Entry, clean: bool, context: &TrialContext) -> Option<Breach> {
    let asked = context.was_terminated(entry.proxy, entry.at);
    if clean && asked {
        return None;
    }
    let what = if asked { "ended after SIGTERM without success" } else { "ended by itself" };
    breach(CRASH, entry, entry.at, what.to_owned())
}

fn ready(entry: &Entry, later: &[Entry]) -> Option<Breach> {
    let mut of_it = later.iter().filter(|e| e.proxy == entry.proxy);
    let until = entry.at + READY_WITHIN;
    let end = of_it.find(|e| {
        matches!(
            e.observation,
            Observation::ProxyReady | Observation::Killed | Observation::ProxyEnded { .. }
        )
    });
    let last = later.last().map_or(entry.at, |e| e.at);
    if end.map_or(last, |e| e.at) <= until {
        return None;
    }
    breach(READY, entry, until, format!("not ready within {READY_WITHIN} s"))
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

/// How many set-ups a cold exchange bears within the span that the settings name, which ends so many seconds after its
/// start (STANDING, 'The whole fleet').
fn bears(age: f64, parameters: &DeploymentParameters) -> f64 {
    let warm = (age / parameters.warm_within).clamp(0.0, 1.0);
    let share = parameters.cold_from + (1.0 - parameters.cold_from) * warm;
    let n = parameters.fall_multiple * parameters.exchange_rate * share * parameters.fall;
    if n < 30.0 {
        n + 3.0 * n.sqrt() + 3.0
    } else {
        n + 2.0 * n.sqrt() + 2.0
    }
}

fn cold(entry: &Entry, later: &[Entry], parameters: &DeploymentParameters) -> Option<Breach> {
    let sent = later
        .iter()
        .filter(|e| e.observer == entry.observer && matches!(e.observation, Observation::SetUp { .. }));
    let sent: Vec<&Entry> = sent.take_while(|e| e.at - entry.at <= parameters.warm_within).collect();
    let told_at = |proxy: usize| {
        let told = later.iter().filter(|e| e.proxy == proxy);
        let told = told.filter(
            |e| matches!(&e.observation, Observation::Told { exchange, ready: true } if *exchange == entry.observer),
        );
        told.map(|e| e.at).reduce(f64::min)
    };
    for (ix, last) in sent.iter().enumerate() {
        let window = sent[..=ix].iter().rev().take_while(|e| last.at - e.at <= parameters.fall);
        let window: Vec<_> = window.collect();
        let by_told = window.iter().filter(|e| told_at(e.proxy).is_some_and(|at| at <= e.at)).count() as f64;
        let n = window.len() as f64;
        if n > bears(last.at - entry.at, parameters) && by_told > TOLD_SHARE * n {
            let what = format!("{} was pushed over by {n} set-ups", entry.observer);
            return breach(COLD, entry, last.at, what);
        }
    }
    None
}
