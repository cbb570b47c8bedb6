//! The record as the rules look at it: one call's entries, and what happened around it. What the pages excuse is here.

use std::collections::BTreeMap;

use mallowring_standin::record::{Entry, Observation};

/// A set-up that crosses the close of its connection by so little is sent again (PROTOCOL, 'Callers to signalling
/// proxies').
pub const CLOSE_CROSSING_S: f64 = 0.05;
/// A set-up that comes so much later than SIGTERM has to be answered before SIGKILL (PROTOCOL, 'Figures').
pub const ANSWER_DUE_AFTER_TERM_S: f64 = 0.7;
/// Whatever discovery has to tell counts as told after so long (PROTOCOL, 'Figures').
const ROSTER_DELIVERY_LIMIT_S: f64 = 7.0;
/// After a failed call to discovery: from the moment at which it had the change and could be reached (the newest letter).
const ROSTER_DELIVERY_AFTER_OUTAGE_S: f64 = 6.0;
/// The trial was held up by more than this: what was under way is not judged.
pub const STALL_THRESHOLD_S: f64 = 0.05;

/// A span of time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Its begin.
    pub from: f64,
    /// Its end.
    pub to: f64,
}

impl Span {
    fn overlaps(&self, from: f64, to: f64) -> bool {
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
    pub requires_pause: bool,
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
    pub fn from_entries(id: &'a str, entries: Vec<&'a Entry>) -> Option<CallHistory<'a>> {
        let is_request = |entry: &&&'a Entry| matches!(entry.observation, Observation::Requested { .. });
        let last = entries.iter().rfind(is_request)?;
        let Observation::Requested { deadline } = last.observation else { return None };
        let (proxy, requested) = (last.proxy, last.at);
        let attempts = attempts(&entries);
        Some(CallHistory { id, proxy, entries, requested, deadline, attempts })
    }

    /// When something was first seen.
    pub fn first(&self, matches_event: impl Fn(&Observation) -> bool) -> Option<f64> {
        self.entries.iter().find(|entry| matches_event(&entry.observation)).map(|entry| entry.at)
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
                attempts.push(Attempt { exchange, at, end: None, requires_pause: false });
                continue;
            }
            Observation::SetUpEnded { status, .. } => *status == 504,
            Observation::SetUpCancelled => true,
            _ => continue,
        };
        let open = attempts.iter_mut().rev().find(|a| a.exchange == entry.observer && a.end.is_none());
        if let Some(attempt) = open {
            (attempt.end, attempt.requires_pause) = (Some(entry.at), end);
        }
    }
    attempts
}

/// What happened around the calls.
#[derive(Debug, Default)]
pub struct TrialContext {
    silent_spans: BTreeMap<String, Vec<Span>>,
    caller_spans: BTreeMap<usize, Vec<Span>>,
    stalls: Vec<Span>,
    terminated: BTreeMap<usize, Vec<f64>>,
    killed: BTreeMap<usize, Vec<f64>>,
    exited: BTreeMap<usize, Vec<f64>>,
    started: BTreeMap<usize, Vec<f64>>,
    published_unavailable: BTreeMap<String, f64>,
    sent_unavailable: BTreeMap<(usize, String), f64>,
    /// When each proxy's discovery began to be reachable, and ceased to be.
    reachability_changes: BTreeMap<usize, Vec<(f64, bool)>>,
}

impl TrialContext {
    /// Reads the record.
    pub fn from_entries(entries: &[Entry]) -> TrialContext {
        let mut context = TrialContext::default();
        let mut connected_since: BTreeMap<(usize, &str), f64> = BTreeMap::new();
        let mut silent_since: BTreeMap<&str, f64> = BTreeMap::new();
        let end = entries.last().map_or(0.0, |entry| entry.at);
        for entry in entries {
            let Entry { at, observer, proxy, .. } = entry;
            match &entry.observation {
                Observation::CallerConnected => drop(connected_since.insert((*proxy, observer), *at)),
                Observation::CallerDisconnected => {
                    if let Some(from) = connected_since.remove(&(*proxy, observer.as_str())) {
                        context.caller_spans.entry(*proxy).or_default().push(Span { from, to: *at });
                    }
                }
                Observation::Silent => drop(silent_since.entry(observer).or_insert(*at)),
                Observation::Working => {
                    if let Some(from) = silent_since.remove(observer.as_str()) {
                        context
                            .silent_spans
                            .entry(observer.clone())
                            .or_default()
                            .push(Span { from, to: *at });
                    }
                }
                Observation::HeldUp(seconds) => context.stalls.push(Span { from: at - seconds, to: *at }),
                Observation::Terminated => context.terminated.entry(*proxy).or_default().push(*at),
                Observation::Killed => context.killed.entry(*proxy).or_default().push(*at),
                Observation::ProxyEnded { .. } => context.exited.entry(*proxy).or_default().push(*at),
                Observation::ProxyStarted => context.started.entry(*proxy).or_default().push(*at),
                Observation::Published { exchange, ready: false } => {
                    context.published_unavailable.entry(exchange.clone()).or_insert(*at);
                }
                Observation::Told { exchange, ready: false } => {
                    context.sent_unavailable.entry((*proxy, exchange.clone())).or_insert(*at);
                }
                Observation::Reachable(reachable) => {
                    context.reachability_changes.entry(*proxy).or_default().push((*at, *reachable));
                }
                _ => {}
            }
        }
        for ((proxy, _), from) in connected_since {
            context.caller_spans.entry(proxy).or_default().push(Span { from, to: end });
        }
        for (observer, from) in silent_since {
            context.silent_spans.entry(observer.to_owned()).or_default().push(Span { from, to: end });
        }
        context
    }

    /// Whether the trial itself was held up while something of the call could have been seen late.
    pub fn overlaps_stall(&self, call: &CallHistory) -> bool {
        let times = call.entries.iter().map(|entry| entry.at);
        let last = times.fold(call.requested + call.deadline, f64::max);
        self.stalls.iter().any(|span| span.overlaps(call.requested, last + 1.0))
    }

    /// Whether an exchange was silent at some time of a span.
    pub fn was_silent(&self, exchange: &str, from: f64, to: f64) -> bool {
        self.silent_spans.get(exchange).is_some_and(|spans| spans.iter().any(|span| span.overlaps(from, to)))
    }

    /// Whether a caller was connected to the proxy all through a span of time, on whatever connection.
    pub fn caller_was_connected(&self, proxy: usize, from: f64, to: f64) -> bool {
        let spans = self.caller_spans.get(&proxy);
        spans.is_some_and(|spans| spans.iter().any(|span| span.from <= from && span.to >= to))
    }

    /// The first time at or after one at which the proxy's process was killed or ended.
    pub fn proxy_end_after(&self, proxy: usize, after: f64) -> Option<f64> {
        let ends = [&self.killed, &self.exited].into_iter().filter_map(|of| of.get(&proxy)).flatten();
        ends.copied().filter(|at| *at >= after).reduce(f64::min)
    }

    /// Whether a request that the end of its proxy leaves unanswered is excused: it was killed without a word, or by the
    /// page's earliest SIGKILL after a request that came within 0.7 s of SIGTERM.
    pub fn kill_excuses_missing_answer(&self, proxy: usize, requested: f64, end: f64) -> bool {
        let killed = self.killed.get(&proxy).is_some_and(|times| times.contains(&end));
        let terminated = self.terminated.get(&proxy).into_iter().flatten();
        let latest = terminated.copied().filter(|at| *at <= end && *at > end - 30.0).reduce(f64::max);
        killed && latest.is_none_or(|at| requested <= at + ANSWER_DUE_AFTER_TERM_S)
    }

    /// The start of the proxy's process that ran at a time.
    pub fn proxy_start_before(&self, proxy: usize, at: f64) -> Option<f64> {
        let starts = self.started.get(&proxy).into_iter().flatten();
        starts.copied().filter(|start| *start <= at).reduce(f64::max)
    }

    /// Whether an end of the proxy's process was asked for.
    pub fn was_stop_requested(&self, proxy: usize, end: f64) -> bool {
        let since = self.proxy_start_before(proxy, end).unwrap_or(0.0);
        let stop_requests =
            [&self.terminated, &self.killed].into_iter().filter_map(|of| of.get(&proxy)).flatten();
        stop_requests.copied().any(|at| at >= since && at <= end)
    }

    /// From when on a proxy counts as told that an exchange drains or is gone.
    pub fn considered_informed_at(&self, proxy: usize, exchange: &str) -> Option<f64> {
        let published_unavailable = *self.published_unavailable.get(exchange)?;
        let sent_unavailable = self.sent_unavailable.get(&(proxy, exchange.to_owned())).copied();
        let mut latest = published_unavailable + ROSTER_DELIVERY_LIMIT_S;
        // While it can be reached all the time the line itself is the telling.
        let changes = self.reachability_changes.get(&proxy).map_or(&[][..], Vec::as_slice);
        let reachable_again = changes
            .iter()
            .filter(|(at, reachable)| *reachable && *at >= published_unavailable)
            .map(|(at, _)| *at);
        if let Some(reachable_again) = reachable_again.reduce(f64::min) {
            latest = latest.min(reachable_again + ROSTER_DELIVERY_AFTER_OUTAGE_S);
        }
        Some(sent_unavailable.map_or(latest, |sent_unavailable| sent_unavailable.min(latest)))
    }
}
