//! The record as the rules look at it: one call's entries, and what happened around it. What the pages excuse is here.

use std::collections::BTreeMap;

use mallowring_standin::record::{Entry, Observation};

/// A set-up that crosses the close of its connection by so little is sent again (PROTOCOL, 'Callers to signalling
/// proxies').
pub const CROSSING: f64 = 0.05;
/// A set-up that comes so much later than SIGTERM has to be answered before SIGKILL (PROTOCOL, 'Figures').
pub const AFTER_TERM: f64 = 0.7;
/// Whatever discovery has to tell counts as told after so long (PROTOCOL, 'Figures').
const TOLD_AT_LATEST: f64 = 7.0;
/// After a failed call to discovery: from the moment at which it had the change and could be reached (the newest letter).
const TOLD_AFTER_FAILURE: f64 = 6.0;
/// The trial was held up by more than this: what was under way is not judged.
pub const HELD_UP: f64 = 0.05;

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Its begin.
    pub from: f64,
    /// Its end.
    pub to: f64,
}

impl Span {
    fn meets(&self, from: f64, to: f64) -> bool {
        self.from <= to && self.to >= from
    }
}

/// One attempt as its exchange saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The exchange.
    pub exchange: String,
    /// When it was there whole.
    pub at: f64,
    /// When its end was written or it was given up.
    pub end: Option<f64>,
    /// It ended by a cancel or as reset, so that the pause counts from its end.
    pub pause: bool,
}

/// One call.
#[derive(Debug)]
pub struct CallHistory<'a> {
    /// Its id.
    pub id: &'a str,
    /// Its proxy.
    pub proxy: usize,
    /// Its entries, oldest first.
    pub entries: Vec<&'a Entry>,
    /// When it was last asked for: one that crossed a close is sent again.
    pub requested: f64,
    /// How long its caller waits.
    pub deadline: f64,
    /// Its attempts, in their order.
    pub attempts: Vec<Attempt>,
}

impl<'a> CallHistory<'a> {
    /// The view of one call; `None` where no caller asked for it.
    pub fn of(id: &'a str, entries: Vec<&'a Entry>) -> Option<CallHistory<'a>> {
        let request = |entry: &&&'a Entry| matches!(entry.observation, Observation::Requested { .. });
        let last = entries.iter().rfind(request)?;
        let Observation::Requested { deadline } = last.observation else { return None };
        let (proxy, requested) = (last.proxy, last.at);
        let attempts = attempts(&entries);
        Some(CallHistory { id, proxy, entries, requested, deadline, attempts })
    }

    /// When something was first seen.
    pub fn first(&self, wanted: impl Fn(&Observation) -> bool) -> Option<f64> {
        self.entries.iter().find(|entry| wanted(&entry.observation)).map(|entry| entry.at)
    }

    /// The first final answer: when, with what.
    pub fn answer(&self) -> Option<(f64, u16, &str)> {
        self.entries.iter().find_map(|entry| match &entry.observation {
            Observation::Answered { status, description } => Some((entry.at, *status, description.as_str())),
            _ => None,
        })
    }
}

fn attempts(entries: &[&Entry]) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    for entry in entries {
        let end = match &entry.observation {
            Observation::SetUp { .. } => {
                let (exchange, at) = (entry.observer.clone(), entry.at);
                attempts.push(Attempt { exchange, at, end: None, pause: false });
                continue;
            }
            Observation::SetUpEnded { status, .. } => *status == 504,
            Observation::SetUpCancelled => true,
            _ => continue,
        };
        let open = attempts.iter_mut().rev().find(|a| a.exchange == entry.observer && a.end.is_none());
        if let Some(attempt) = open {
            (attempt.end, attempt.pause) = (Some(entry.at), end);
        }
    }
    attempts
}

/// What happened around the calls.
#[derive(Debug, Default)]
pub struct TrialContext {
    silent: BTreeMap<String, Vec<Span>>,
    callers: BTreeMap<usize, Vec<Span>>,
    held_up: Vec<Span>,
    terminated: BTreeMap<usize, Vec<f64>>,
    killed: BTreeMap<usize, Vec<f64>>,
    ended: BTreeMap<usize, Vec<f64>>,
    started: BTreeMap<usize, Vec<f64>>,
    published: BTreeMap<String, f64>,
    told: BTreeMap<(usize, String), f64>,
    /// When each proxy's discovery began to be reachable, and ceased to be.
    reachable: BTreeMap<usize, Vec<(f64, bool)>>,
}

impl TrialContext {
    /// Reads the record.
    pub fn of(entries: &[Entry]) -> TrialContext {
        let mut context = TrialContext::default();
        let mut connected: BTreeMap<(usize, &str), f64> = BTreeMap::new();
        let mut silent: BTreeMap<&str, f64> = BTreeMap::new();
        let end = entries.last().map_or(0.0, |entry| entry.at);
        for entry in entries {
            let Entry { at, observer, proxy, .. } = entry;
            match &entry.observation {
                Observation::CallerConnected => drop(connected.insert((*proxy, observer), *at)),
                Observation::CallerDisconnected => {
                    if let Some(from) = connected.remove(&(*proxy, observer.as_str())) {
                        context.callers.entry(*proxy).or_default().push(Span { from, to: *at });
                    }
                }
                Observation::Silent => drop(silent.entry(observer).or_insert(*at)),
                Observation::Working => {
                    if let Some(from) = silent.remove(observer.as_str()) {
                        context.silent.entry(observer.clone()).or_default().push(Span { from, to: *at });
                    }
                }
                Observation::HeldUp(seconds) => context.held_up.push(Span { from: at - seconds, to: *at }),
                Observation::Terminated => context.terminated.entry(*proxy).or_default().push(*at),
                Observation::Killed => context.killed.entry(*proxy).or_default().push(*at),
                Observation::ProxyEnded { .. } => context.ended.entry(*proxy).or_default().push(*at),
                Observation::ProxyStarted => context.started.entry(*proxy).or_default().push(*at),
                Observation::Published { exchange, ready: false } => {
                    context.published.entry(exchange.clone()).or_insert(*at);
                }
                Observation::Told { exchange, ready: false } => {
                    context.told.entry((*proxy, exchange.clone())).or_insert(*at);
                }
                Observation::Reachable(reachable) => {
                    context.reachable.entry(*proxy).or_default().push((*at, *reachable));
                }
                _ => {}
            }
        }
        for ((proxy, _), from) in connected {
            context.callers.entry(proxy).or_default().push(Span { from, to: end });
        }
        for (observer, from) in silent {
            context.silent.entry(observer.to_owned()).or_default().push(Span { from, to: end });
        }
        context
    }

    /// Whether the trial itself was held up while something of the call could have been seen late.
    pub fn was_held_up(&self, call: &CallHistory) -> bool {
        let times = call.entries.iter().map(|entry| entry.at);
        let last = times.fold(call.requested + call.deadline, f64::max);
        self.held_up.iter().any(|span| span.meets(call.requested, last + 1.0))
    }

    /// Whether an exchange was silent at some time of a span.
    pub fn was_silent(&self, exchange: &str, from: f64, to: f64) -> bool {
        self.silent.get(exchange).is_some_and(|spans| spans.iter().any(|span| span.meets(from, to)))
    }

    /// Whether a caller was connected to the proxy all through a span of time, on whatever connection.
    pub fn caller_was_connected(&self, proxy: usize, from: f64, to: f64) -> bool {
        let spans = self.callers.get(&proxy);
        spans.is_some_and(|spans| spans.iter().any(|span| span.from <= from && span.to >= to))
    }

    /// The first time at or after one at which the proxy's process was killed or ended.
    pub fn end_of_proxy(&self, proxy: usize, after: f64) -> Option<f64> {
        let ends = [&self.killed, &self.ended].into_iter().filter_map(|of| of.get(&proxy)).flatten();
        ends.copied().filter(|at| *at >= after).reduce(f64::min)
    }

    /// Whether a request that the end of its proxy leaves unanswered is excused: it was killed without a word, or by the
    /// page's earliest SIGKILL after a request that came within 0.7 s of SIGTERM.
    pub fn kill_excuses(&self, proxy: usize, requested: f64, end: f64) -> bool {
        let killed = self.killed.get(&proxy).is_some_and(|times| times.contains(&end));
        let terminated = self.terminated.get(&proxy).into_iter().flatten();
        let latest = terminated.copied().filter(|at| *at <= end && *at > end - 30.0).reduce(f64::max);
        killed && latest.is_none_or(|at| requested <= at + AFTER_TERM)
    }

    /// The start of the proxy's process that ran at a time.
    pub fn start_before(&self, proxy: usize, at: f64) -> Option<f64> {
        let starts = self.started.get(&proxy).into_iter().flatten();
        starts.copied().filter(|start| *start <= at).reduce(f64::max)
    }

    /// Whether an end of the proxy's process was asked for.
    pub fn was_terminated(&self, proxy: usize, end: f64) -> bool {
        let since = self.start_before(proxy, end).unwrap_or(0.0);
        let told = [&self.terminated, &self.killed].into_iter().filter_map(|of| of.get(&proxy)).flatten();
        told.copied().any(|at| at >= since && at <= end)
    }

    /// From when on a proxy counts as told that an exchange drains or is gone.
    pub fn counts_as_told(&self, proxy: usize, exchange: &str) -> Option<f64> {
        let published = *self.published.get(exchange)?;
        let told = self.told.get(&(proxy, exchange.to_owned())).copied();
        let mut latest = published + TOLD_AT_LATEST;
        // While it can be reached all the time the line itself is the telling.
        let changes = self.reachable.get(&proxy).map_or(&[][..], Vec::as_slice);
        let back = changes.iter().filter(|(at, reachable)| *reachable && *at >= published).map(|(at, _)| *at);
        if let Some(back) = back.reduce(f64::min) {
            latest = latest.min(back + TOLD_AFTER_FAILURE);
        }
        Some(told.map_or(latest, |told| told.min(latest)))
    }
}
