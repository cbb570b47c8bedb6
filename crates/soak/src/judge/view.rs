//! Views of the record for the rules: the history of one call, and the conditions around it. All exemptions from the
//! rules that the platform grants are evaluated here.

use std::collections::BTreeMap;

use mallowring_standin::record::{Entry, Observation};

/// A caller sends a set-up again if its connection is closed within this time in seconds after the send (PROTOCOL,
/// 'Callers to signalling proxies').
pub const CLOSE_CROSSING_S: f64 = 0.05;
/// Time in seconds after SIGTERM up to which a set-up may remain unanswered at SIGKILL; a later one has to be
/// answered before SIGKILL (PROTOCOL, 'Figures').
pub const ANSWER_DUE_AFTER_TERM_S: f64 = 0.7;
/// Time in seconds after which a proxy is considered informed of a roster change, even if it has not received it
/// (PROTOCOL, 'Figures').
const ROSTER_DELIVERY_LIMIT_S: f64 = 7.0;
/// The same limit after an outage of discovery, in seconds: counted from the moment at which discovery has the change
/// and is reachable again. The platform granted it in a notice that is newer than the page.
const ROSTER_DELIVERY_AFTER_OUTAGE_S: f64 = 6.0;
/// Stalls of the trial longer than this, in seconds, exclude the calls in progress from the judgement.
pub const STALL_THRESHOLD_S: f64 = 0.05;

/// A span of time, in seconds of Unix time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Span {
    /// Start of the span.
    pub from: f64,
    /// End of the span.
    pub to: f64,
}

impl Span {
    fn overlaps(&self, from: f64, to: f64) -> bool {
        self.from <= to && self.to >= from
    }
}

/// One attempt as observed by its exchange.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Name of the exchange.
    pub exchange: String,
    /// Time at which the complete set-up had reached the exchange, which may have read it later.
    pub at: f64,
    /// Time at which the exchange had written its answer, or had read the cancel or the end of the connection, or at
    /// which its process ended.
    pub end: Option<f64>,
    /// Whether the attempt ended by a cancel or a reset (504), so that a pause has to follow its end.
    pub requires_pause: bool,
}

/// The history of one call.
#[derive(Debug)]
pub struct CallHistory<'a> {
    /// The Call-ID.
    pub id: &'a str,
    /// Index of the proxy.
    pub proxy: usize,
    /// The entries of the call in chronological order.
    pub entries: Vec<&'a Entry>,
    /// Time of the last request: a set-up that crossed a close is sent again.
    pub requested_at: f64,
    /// Time the caller waits for a final answer, in seconds.
    pub deadline: f64,
    /// The attempts in chronological order.
    pub attempts: Vec<Attempt>,
}

impl<'a> CallHistory<'a> {
    /// Builds the history of one call; `None` if no caller requested it.
    pub fn from_entries(
        id: &'a str,
        entries: Vec<&'a Entry>,
        context: &TrialContext,
    ) -> Option<CallHistory<'a>> {
        let is_request = |entry: &&&'a Entry| matches!(entry.observation, Observation::Requested { .. });
        let last = entries.iter().rfind(is_request)?;
        let Observation::Requested { deadline } = last.observation else { return None };
        let (proxy, requested_at) = (last.proxy, last.at);
        let attempts = attempts(&entries, context);
        Some(CallHistory { id, proxy, entries, requested_at, deadline, attempts })
    }

    /// Returns the time of the first matching observation.
    pub fn first(&self, matches_event: impl Fn(&Observation) -> bool) -> Option<f64> {
        self.entries.iter().find(|entry| matches_event(&entry.observation)).map(|entry| entry.at)
    }

    /// Returns time, status and body of the first final answer.
    pub fn answer(&self) -> Option<(f64, u16, &str)> {
        self.entries.iter().find_map(|entry| match &entry.observation {
            Observation::Answered { status, description } => Some((entry.at, *status, description.as_str())),
            _ => None,
        })
    }
}

fn attempts(entries: &[&Entry], context: &TrialContext) -> Vec<Attempt> {
    let mut attempts: Vec<Attempt> = Vec::new();
    // Set-ups that have arrived and are not read yet, by exchange.
    let mut unread: BTreeMap<&str, usize> = BTreeMap::new();
    for entry in entries {
        let exchange = entry.observer.as_str();
        let requires_pause = match &entry.observation {
            Observation::SetUpArrived => {
                *unread.entry(exchange).or_default() += 1;
                attempts.push(Attempt::started(exchange, entry.at, context));
                continue;
            }
            Observation::SetUpReceived { .. } => {
                match unread.get_mut(exchange).filter(|n| **n > 0) {
                    Some(n) => *n -= 1,
                    None => attempts.push(Attempt::started(exchange, entry.at, context)),
                }
                continue;
            }
            Observation::SetUpAnswered { status, .. } => *status == 504,
            Observation::SetUpCancelled => true,
            _ => continue,
        };
        let is_open = |a: &&mut Attempt| a.exchange == exchange && a.end.is_none_or(|end| end > entry.at);
        if let Some(attempt) = attempts.iter_mut().find(is_open) {
            (attempt.end, attempt.requires_pause) = (Some(entry.at), requires_pause);
        }
    }
    attempts
}

impl Attempt {
    /// An attempt that lasts until the process of its exchange ends, unless something ends it before.
    fn started(exchange: &str, at: f64, context: &TrialContext) -> Attempt {
        let end = context.process_end_after(exchange, at);
        Attempt { exchange: exchange.to_owned(), at, end, requires_pause: end.is_some() }
    }
}

/// Conditions around the calls of a trial.
#[derive(Debug, Default)]
pub struct TrialContext {
    /// Spans in which the network to an exchange was disturbed.
    disturbed_spans: BTreeMap<String, Vec<Span>>,
    /// Times at which the process of an exchange ended.
    process_ends: BTreeMap<String, Vec<f64>>,
    /// Spans in which a caller could be reached: from its connection until it closed that itself, or the process of the
    /// proxy ended. A proxy that closes the connection still owes the releases of the calls.
    caller_spans: BTreeMap<usize, Vec<Span>>,
    stalls: Vec<Span>,
    /// Stalls of the trial that are faults of its plan.
    planned_stalls: Vec<Span>,
    terminated: BTreeMap<usize, Vec<f64>>,
    killed: BTreeMap<usize, Vec<f64>>,
    exited: BTreeMap<usize, Vec<f64>>,
    started: BTreeMap<usize, Vec<f64>>,
    /// Times at which discovery had a state of an exchange: whether it was in service.
    published_states: BTreeMap<String, Vec<(f64, bool)>>,
    /// Times at which discovery sent a proxy a state of an exchange.
    sent_states: BTreeMap<(usize, String), Vec<(f64, bool)>>,
    /// Times at which the discovery of each proxy became reachable (`true`) or unreachable (`false`).
    reachability_changes: BTreeMap<usize, Vec<(f64, bool)>>,
}

impl TrialContext {
    /// Builds the context from the record of a trial.
    pub fn from_entries(entries: &[Entry]) -> TrialContext {
        let mut context = TrialContext::default();
        let mut connected_since: BTreeMap<(usize, &str), f64> = BTreeMap::new();
        // Start and number of the disturbances that overlap.
        let mut disturbed_since: BTreeMap<&str, (f64, u32)> = BTreeMap::new();
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
                Observation::ProcessGone => {
                    context.process_ends.entry(observer.clone()).or_default().push(*at)
                }
                Observation::LinkDisturbed => disturbed_since.entry(observer).or_insert((*at, 0)).1 += 1,
                Observation::LinkRestored => {
                    let Some((from, overlapping)) = disturbed_since.get_mut(observer.as_str()) else {
                        continue;
                    };
                    *overlapping -= 1;
                    let (from, overlapping) = (*from, *overlapping);
                    if overlapping == 0 {
                        disturbed_since.remove(observer.as_str());
                        context
                            .disturbed_spans
                            .entry(observer.clone())
                            .or_default()
                            .push(Span { from, to: *at });
                    }
                }
                Observation::Stalled(seconds) => context.stalls.push(Span { from: at - seconds, to: *at }),
                Observation::StallPlanned(seconds) => {
                    context.planned_stalls.push(Span { from: *at, to: at + seconds });
                }
                Observation::Terminated => context.terminated.entry(*proxy).or_default().push(*at),
                Observation::Killed | Observation::ProxyEnded { .. } => {
                    let killed = entry.observation == Observation::Killed;
                    let ends = if killed { &mut context.killed } else { &mut context.exited };
                    ends.entry(*proxy).or_default().push(*at);
                    connected_since.retain(|(of, _), from| {
                        if of == proxy {
                            let span = Span { from: *from, to: *at };
                            context.caller_spans.entry(*proxy).or_default().push(span);
                        }
                        of != proxy
                    });
                }
                Observation::ProxyStarted => context.started.entry(*proxy).or_default().push(*at),
                Observation::RosterPublished { exchange, ready } => {
                    context.published_states.entry(exchange.clone()).or_default().push((*at, *ready));
                }
                Observation::RosterSent { exchange, ready } => {
                    let states = context.sent_states.entry((*proxy, exchange.clone())).or_default();
                    states.push((*at, *ready));
                }
                Observation::DiscoveryReachable(reachable) => {
                    context.reachability_changes.entry(*proxy).or_default().push((*at, *reachable));
                }
                _ => {}
            }
        }
        for ((proxy, _), from) in connected_since {
            context.caller_spans.entry(proxy).or_default().push(Span { from, to: end });
        }
        for (observer, (from, _)) in disturbed_since {
            context.disturbed_spans.entry(observer.to_owned()).or_default().push(Span { from, to: end });
        }
        context
    }

    /// Returns whether the trial stalled while observations of the call could have been delayed.
    pub fn overlaps_stall(&self, call: &CallHistory) -> bool {
        overlaps_any(&self.stalls, call)
    }

    /// Returns whether the trial stalled as planned while observations of the call could have been delayed.
    pub fn overlaps_planned_stall(&self, call: &CallHistory) -> bool {
        overlaps_any(&self.planned_stalls, call)
    }

    /// Returns whether the network held back or delayed what was sent to an exchange or by it, at any time in a span.
    pub fn was_network_disturbed(&self, exchange: &str, from: f64, to: f64) -> bool {
        self.disturbed_spans
            .get(exchange)
            .is_some_and(|spans| spans.iter().any(|span| span.overlaps(from, to)))
    }

    /// Returns when the network has delivered what an exchange sent at a given time, at the latest.
    pub fn delivered_by(&self, exchange: &str, sent: f64) -> f64 {
        let spans = self.disturbed_spans.get(exchange).into_iter().flatten();
        spans.filter(|span| span.overlaps(sent, sent)).map(|span| span.to).fold(sent, f64::max)
    }

    /// Returns the time at which the process of an exchange ended next.
    fn process_end_after(&self, exchange: &str, at: f64) -> Option<f64> {
        let ends = self.process_ends.get(exchange).into_iter().flatten().copied();
        ends.filter(|end| *end >= at).reduce(f64::min)
    }

    /// Returns whether one caller could be reached throughout a span.
    pub fn caller_was_connected(&self, proxy: usize, from: f64, to: f64) -> bool {
        let spans = self.caller_spans.get(&proxy);
        spans.is_some_and(|spans| spans.iter().any(|span| span.from <= from && span.to >= to))
    }

    /// Returns the first time at or after `after` at which the proxy's process was killed or exited.
    pub fn proxy_end_after(&self, proxy: usize, after: f64) -> Option<f64> {
        let ends = [self.proxy_kill_after(proxy, after), self.proxy_exit_after(proxy, after)];
        ends.into_iter().flatten().reduce(f64::min)
    }

    /// Returns the first time at or after `after` at which the proxy's process was killed.
    pub fn proxy_kill_after(&self, proxy: usize, after: f64) -> Option<f64> {
        first_after(&self.killed, proxy, after)
    }

    /// Returns the first time at or after `after` at which the proxy's process exited by itself.
    pub fn proxy_exit_after(&self, proxy: usize, after: f64) -> Option<f64> {
        first_after(&self.exited, proxy, after)
    }

    /// Returns when SIGTERM was first sent to the proxy's process that ran at a given time, if it was before.
    pub fn terminated_before(&self, proxy: usize, at: f64) -> Option<f64> {
        let started = self.proxy_start_before(proxy, at).unwrap_or(f64::NEG_INFINITY);
        let terminated = self.terminated.get(&proxy).into_iter().flatten().copied();
        terminated.filter(|sent| *sent >= started && *sent <= at).reduce(f64::min)
    }

    /// Returns whether a request that was unanswered at the end of its proxy is exempt: the proxy was killed without
    /// SIGTERM, or it was killed at the earliest allowed moment after SIGTERM and the request came no later than 0.7
    /// s after SIGTERM.
    pub fn kill_excuses_missing_answer(&self, proxy: usize, requested_at: f64, end: f64) -> bool {
        let killed = self.killed.get(&proxy).is_some_and(|times| times.contains(&end));
        let started = self.proxy_start_before(proxy, end).unwrap_or(f64::NEG_INFINITY);
        let terminated = self.terminated.get(&proxy).into_iter().flatten();
        let latest = terminated.copied().filter(|at| *at <= end && *at >= started).reduce(f64::max);
        killed && latest.is_none_or(|at| requested_at <= at + ANSWER_DUE_AFTER_TERM_S)
    }

    /// Returns whether the proxy's process had been killed when a request was written to one of its connections.
    pub fn was_killed_before(&self, proxy: usize, requested_at: f64) -> bool {
        let started = self.proxy_start_before(proxy, requested_at).unwrap_or(f64::NEG_INFINITY);
        let killed = self.killed.get(&proxy).into_iter().flatten();
        killed.into_iter().any(|at| *at >= started && *at <= requested_at)
    }

    /// Returns the start time of the proxy's process that ran at a given time.
    pub fn proxy_start_before(&self, proxy: usize, at: f64) -> Option<f64> {
        let starts = self.started.get(&proxy).into_iter().flatten();
        starts.copied().filter(|start| *start <= at).reduce(f64::max)
    }

    /// Returns whether SIGTERM or SIGKILL had been sent to the proxy's process before its end.
    pub fn was_stop_requested(&self, proxy: usize, end: f64) -> bool {
        let since = self.proxy_start_before(proxy, end).unwrap_or(0.0);
        let stop_requests =
            [&self.terminated, &self.killed].into_iter().filter_map(|of| of.get(&proxy)).flatten();
        stop_requests.copied().any(|at| at >= since && at <= end)
    }

    /// Returns the time from which a proxy is considered informed that an exchange is draining or gone, as it was at a
    /// given time. An exchange that was listed as ready again is not.
    pub fn considered_informed_at(&self, proxy: usize, exchange: &str, at: f64) -> Option<f64> {
        let published_unavailable = unavailable_since(self.published_states.get(exchange)?, at)?;
        let sent = self.sent_states.get(&(proxy, exchange.to_owned()));
        let sent_unavailable = sent
            .and_then(|states| states.iter().find(|(sent, ready)| !ready && *sent >= published_unavailable))
            .map(|(sent, _)| *sent);
        let mut latest = published_unavailable + ROSTER_DELIVERY_LIMIT_S;
        // While discovery stays reachable, the roster line that it sends is what informs the proxy.
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

fn first_after(times: &BTreeMap<usize, Vec<f64>>, proxy: usize, after: f64) -> Option<f64> {
    times.get(&proxy).into_iter().flatten().copied().filter(|at| *at >= after).reduce(f64::min)
}

fn overlaps_any(spans: &[Span], call: &CallHistory) -> bool {
    let times = call.entries.iter().map(|entry| entry.at);
    let last = times.fold(call.requested_at + call.deadline, f64::max);
    spans.iter().any(|span| span.overlaps(call.requested_at, last + 1.0))
}

/// Returns since when an exchange was draining or gone at a given time, by its states in chronological order.
fn unavailable_since(states: &[(f64, bool)], at: f64) -> Option<f64> {
    let mut since = None;
    for (changed_at, ready) in states.iter().filter(|(changed_at, _)| *changed_at <= at) {
        since = if *ready { None } else { since.or(Some(*changed_at)) };
    }
    since
}
