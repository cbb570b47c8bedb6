//! The routing and admission decisions of one signalling proxy.
//!
//! [`Controller`] takes the events and returns the actions of `src/interface.rs`. It performs no input or output: the
//! time comes with each event, and all random draws derive from one seed, so that equal events give equal actions.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;
use crate::overload::{Overload, Priority};
use crate::recovery::attempt_end::earliest_retry;

// ---- Default tuning and constants ----------------------------------------------------------------

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            depth: 6.0,
            onset_min: 0.1,
            onset_max: 0.3,
            abate: 0.6,
            refused: [0.0, 0.2, 0.8, 1.0, 1.0],
            quiet_aims: 1.0,
            far_quiet_aims: 4.0,
            own_processor_share: 0.5,
            probe_aims: 0.5,
            probe_failed: 2.0,
            fresh_aims: 3.0,
            traffic_span: 10.0,
            gap_aims: 16.0,
            cool_down_aims: 0.3,
            full_pause: 0.2,
            refused_pause: 0.0,
            min_tandem_weight: 0.05,
            tandem_weight_gain: 0.2,
            tandem_weight_loss_factor: 0.5,
            advised_tandem_factor: 3.0,
            reserve: 0.5,
            most_reserved: 0.1,
            most_tries: 3,
        }
    }
}

/// Lowest set-up rate that is used as a divisor, in set-ups a second; it guards against a division by zero.
const MIN_RATE: f64 = 1e-3;
/// Number of the latest set-up results from which the wait at the own processor is estimated. So many far exchanges
/// are rarely slow at the same time, so a delay that all these results share arises at the own processor.
const OWN_WAIT_SAMPLES: usize = 6;
/// Width of the slots by which times to live are counted; those of first set-ups in a class differ by one slot at
/// most.
const TTL_SLOT: Secs = 0.05;

// ---- State of an exchange ----------------------------------------------------------------------

/// The state of one exchange as this proxy sees it: its roster entry, the trunk group to it and its processor.
#[derive(Clone, Debug, Default)]
struct ExchangeState {
    entry: RosterEntry,
    /// Free circuits of the trunk group, as last reported.
    free_circuits: Option<f64>,
    /// Circuits of the trunk group, as last reported.
    group_size: Option<f64>,
    overload: Overload,
    /// The duration of the latest direct set-up, or the time after which it was abandoned, and when it ended.
    delay_sample: Option<(Secs, Time)>,
    /// The shortest duration of a direct set-up: transmission and processing without any wait.
    min_delay: Option<Secs>,
    /// The wait at the processor according to its reports, and when that value last changed.
    reported_wait: Option<(Secs, Time)>,
    /// Set-ups a second that the processor can take, as last reported.
    set_up_rate: Option<f64>,
    /// The highest reported set-up rate.
    max_set_up_rate: f64,
    /// A delay sample or load report has arrived since the overload level was last updated.
    has_new_sample: bool,
    /// The unanswered set-ups: the call, the send time on the active clock, and whether the set-up is direct: this
    /// exchange is its destination, or a pool of agents.
    unanswered: Vec<(CallId, Time, bool)>,
    /// The send time of the latest direct set-up that was established. The exchange answers direct set-ups in their
    /// order, so an earlier one without an answer is lost and says nothing about the wait.
    last_answered_sent_at: Time,
    /// The overload level rests on the number of unanswered set-ups alone, and falls with it.
    is_level_estimated: bool,
    /// Since when set-ups to the exchange have had no answer.
    silent_since: Option<Time>,
    /// Until when no set-up is sent.
    paused_until: Time,
    /// Set-ups that may still be sent while the exchange is cold, as of `cold_credit_at`.
    cold_credit: f64,
    cold_credit_at: Time,
}

impl ExchangeState {
    fn new(entry: RosterEntry, now: Time) -> Self {
        let overload = Overload::new(now);
        ExchangeState { entry, overload, paused_until: now, cold_credit_at: now, ..ExchangeState::default() }
    }

    fn in_service(&self) -> bool {
        self.entry.state == ServiceState::InService
    }

    /// The send times of the unanswered set-ups, without those that an answer to a later one has overtaken.
    fn awaiting_answer(&self) -> impl Iterator<Item = Time> + '_ {
        let not_overtaken =
            |(_, sent_at, direct): &&(CallId, Time, bool)| !direct || *sent_at >= self.last_answered_sent_at;
        self.unanswered.iter().filter(not_overtaken).map(|(_, sent_at, _)| *sent_at)
    }

    /// Removes a set-up from the unanswered ones; returns whether an answer to a later one had overtaken it.
    fn remove_unanswered(&mut self, id: &CallId, established: bool) -> bool {
        let Some(index) = self.unanswered.iter().position(|(call_id, ..)| call_id == id) else {
            return false;
        };
        let (_, sent_at, direct) = self.unanswered.remove(index);
        let overtaken = direct && sent_at < self.last_answered_sent_at;
        if established && direct && !overtaken {
            self.last_answered_sent_at = sent_at;
        }
        overtaken
    }

    /// The age of the oldest unanswered set-up, 0 without any.
    fn oldest_age(&self, active_clock: Time) -> Secs {
        self.awaiting_answer().map(|sent_at| active_clock - sent_at).fold(0.0, f64::max)
    }

    /// Takes over a load report. `onset` is the onset of level 1.
    fn apply_report(&mut self, report: &LoadReport, now: Time, onset: Secs) {
        self.free_circuits = report.free_circuits.or(self.free_circuits);
        self.group_size = report.group_size.or(self.group_size);
        self.set_up_rate = report.set_up_rate.or(self.set_up_rate);
        self.max_set_up_rate = self.max_set_up_rate.max(report.set_up_rate.unwrap_or(0.0));
        let queue_wait = match (report.queued_messages, report.set_up_rate) {
            (Some(messages), Some(rate)) => Some(messages / rate.max(MIN_RATE)),
            // Without a reported queue the rate stands for a wait: one onset at half of the highest rate, two at a
            // third, and so on.
            (None, Some(rate)) => Some((self.max_set_up_rate / rate.max(MIN_RATE) - 1.0) * onset),
            _ => None,
        };
        if let Some(wait) = report.queueing_delay.or(queue_wait) {
            // A value that never changes is out of date, so an equal value does not renew the time.
            if self.reported_wait.is_none_or(|(old, _)| old != wait) {
                self.reported_wait = Some((wait, now));
                self.has_new_sample = true;
            }
        }
    }

    /// The wait at the processor as this proxy measures it: by how much the latest set-up took longer than the
    /// shortest one, or the oldest unanswered one has been pending longer; a missing answer counts as wait. `None`
    /// without a recent sample or an unanswered set-up.
    fn measured_wait(&self, now: Time, active_clock: Time, lifetime: Secs) -> Option<Secs> {
        let sample = self.delay_sample.filter(|(_, at)| now - *at <= lifetime).map(|(delay, _)| delay);
        let longest = self.oldest_age(active_clock).max(sample.unwrap_or(0.0));
        (longest > 0.0 || sample.is_some()).then(|| (longest - self.min_delay.unwrap_or(0.0)).max(0.0))
    }

    /// The reported wait, unless it is older than `lifetime`.
    fn recent_reported_wait(&self, now: Time, lifetime: Secs) -> Option<Secs> {
        self.reported_wait.filter(|(_, at)| now - *at <= lifetime).map(|(wait, _)| wait)
    }
}

// ---- Calls -------------------------------------------------------------------------------------

/// The progress of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No attempt is pending; the next one starts at [`Call::not_before`] at the earliest.
    BetweenAttempts,
    /// An attempt is pending.
    Attempting { exchange_id: ExchangeId, leg: u32, sent_at: Time },
    /// The call is established.
    Established,
}

/// A call that this proxy is setting up or has set up.
#[derive(Clone, Debug)]
struct Call {
    arrival: Arrival,
    arrived_at: Time,
    /// When the caller stops waiting.
    deadline: Time,
    /// The number of attempts so far.
    attempts: u32,
    stage: Stage,
    /// The earliest time of the next attempt, which leaves the exchange time to release the previous one.
    not_before: Time,
    tried_exchanges: Vec<ExchangeId>,
    /// The first attempt that may have run: its exchange and its send time.
    may_have_run: Option<(ExchangeId, Time)>,
}

/// The decision module of one signalling proxy.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    tuning: Tuning,
    rng: fastrand::Rng,
    /// The shortest set-up target of the classes; the unit of many tuning values.
    shortest_target: Secs,
    exchanges: BTreeMap<ExchangeId, ExchangeState>,
    /// The exchange in service under each number; the one that started last while a replacement and its predecessor
    /// overlap.
    in_service_by_number: BTreeMap<ExchangeNumber, ExchangeId>,
    /// The overload level of the own processor.
    own_overload: Overload,
    /// The latest set-up results: by how much each took longer than the shortest, and when it arrived.
    own_wait_samples: VecDeque<(Secs, Time)>,
    /// A result or report on the own processor has arrived since its overload level was last updated.
    own_has_new_sample: bool,
    /// The own level rests on the number of unanswered set-ups alone, and falls with it.
    is_own_level_estimated: bool,
    calls: BTreeMap<CallId, Call>,
    /// The running timers: for the next attempt of a call, or (`None`) for the next subscription to the roster.
    timers: BTreeMap<TimerToken, Option<CallId>>,
    next_token: u64,
    /// The weight of each tandem (second number) for each destination (first number), up to 1.
    tandem_weights: BTreeMap<(ExchangeNumber, ExchangeNumber), f64>,
    /// Call gapping of numbers whose lines were all busy: the end of the gap, and its length.
    gaps: BTreeMap<String, (Time, Secs)>,
    /// The arrival time of the first call to each number that was refused or failed here; kept for two targets, while
    /// its callers may still redial in time.
    first_refusals: BTreeMap<String, Time>,
    /// How often each time to live has occurred, by class and slot of [`TTL_SLOT`].
    ttl_counts: BTreeMap<(ClassIndex, i64), u32>,
    /// The running mean of the arrivals a second at this proxy, from which the capacity of a processor is estimated.
    offered_rate: f64,
    /// The shortest duration of a direct set-up to any exchange.
    min_set_up_delay: Secs,
    last_arrival_at: Time,
    last_event_at: Time,
    /// A clock that stops while this proxy is stalled. The ages of unanswered set-ups are measured on it.
    active_clock: Time,
    /// When the own processor was last probed.
    probed_at: Time,
}

impl Controller {
    /// Creates a controller with the default tuning.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self::with_tuning(settings, Tuning::default(), seed)
    }

    /// Creates a controller with the given tuning.
    pub fn with_tuning(settings: Settings, tuning: Tuning, seed: u64) -> Self {
        let targets = settings.classes.iter().map(|class| class.target).filter(|target| *target > 0.0);
        let shortest_target = targets.fold(f64::INFINITY, f64::min);
        Controller {
            rng: fastrand::Rng::with_seed(seed),
            shortest_target: if shortest_target.is_finite() { shortest_target } else { 1.0 },
            exchanges: BTreeMap::new(),
            in_service_by_number: BTreeMap::new(),
            own_overload: Overload::default(),
            own_wait_samples: VecDeque::new(),
            own_has_new_sample: false,
            is_own_level_estimated: false,
            calls: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_token: 0,
            tandem_weights: BTreeMap::new(),
            gaps: BTreeMap::new(),
            first_refusals: BTreeMap::new(),
            ttl_counts: BTreeMap::new(),
            offered_rate: 0.0,
            min_set_up_delay: f64::INFINITY,
            last_arrival_at: Time::default(),
            last_event_at: Time::default(),
            active_clock: Time::default(),
            probed_at: Time(f64::NEG_INFINITY),
            settings,
            tuning,
        }
    }

    /// Starts the controller; call this once, before the first event.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.own_overload = Overload::new(now);
        (self.last_arrival_at, self.last_event_at, self.active_clock) = (now, now, now);
        if self.settings.discovery == Discovery::OnRequest {
            actions.push(Action::Subscribe);
        }
    }

    /// Handles one event and appends the resulting actions in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        // After a stall of this proxy many events arrive at once. Their age is no wait at a processor, so the active
        // clock advances by the upper bound of onset 1 at most.
        self.active_clock = self.active_clock
            + (now - self.last_event_at).clamp(0.0, self.tuning.onset_max * self.shortest_target);
        self.last_event_at = now;
        match event {
            Event::Roster { kind, entries } => self.on_roster(now, kind, entries, actions),
            Event::Arrival(arrival) => self.on_arrival(now, arrival, actions),
            Event::AttemptEnded(result) => self.on_attempt_ended(now, result, actions),
            Event::Established { id, leg, exchange: exchange_id, elapsed } => {
                self.on_established(now, &id, leg, exchange_id, elapsed)
            }
            Event::Withdrawn(id) => self.remove_call(&id),
            Event::Timer(token) => self.on_timer(now, token, actions),
            Event::Status { exchange: exchange_id, ok, report, .. } => {
                self.on_status(now, exchange_id, ok, &report)
            }
            Event::StatusLost(exchange_id) => {
                if let Some(exchange) = self.exchanges.get_mut(&exchange_id) {
                    (exchange.free_circuits, exchange.reported_wait) = (None, None);
                }
            }
            Event::PeerMessage { .. } => {}
        }
    }

    /// The overload level of the own processor, and those of all exchanges in service by number.
    pub fn levels(&self) -> (usize, Vec<(ExchangeNumber, usize)>) {
        let far_level = |(number, id): (&ExchangeNumber, &ExchangeId)| {
            self.exchanges.get(id).map(|exchange| (*number, exchange.overload.level))
        };
        (self.own_overload.level, self.in_service_by_number.iter().filter_map(far_level).collect())
    }

    // ---- Roster, cold starts, repeats -----------------------------------------------------------

    /// Takes over a roster message; retries after a quarter of the poll interval if the request for it failed.
    fn on_roster(
        &mut self,
        now: Time,
        kind: RosterKind,
        entries: Vec<RosterEntry>,
        actions: &mut Vec<Action>,
    ) {
        if kind == RosterKind::RequestFailed {
            if self.settings.discovery == Discovery::OnRequest {
                self.start_timer(self.settings.poll_interval / 4.0, None, actions);
            }
            return;
        }
        if kind != RosterKind::Incremental {
            for exchange in self.exchanges.values_mut() {
                if !entries.iter().any(|entry| entry.id == exchange.entry.id) {
                    exchange.entry.state = ServiceState::Removed;
                }
            }
        }
        for entry in entries {
            let old = self.in_service_by_number.get(&entry.number).and_then(|id| self.exchanges.get(id));
            let mut new = ExchangeState::new(entry, now);
            if let Some(old) = self.exchanges.get(&new.entry.id).or(old) {
                if old.entry.id == new.entry.id && old.entry.ready_at == new.entry.ready_at {
                    self.exchanges.entry(new.entry.id).and_modify(|exchange| exchange.entry = new.entry);
                    continue;
                }
                // A restarted or replaced exchange keeps its trunk group; the wait at the old processor says nothing
                // about the new one.
                (new.free_circuits, new.group_size, new.max_set_up_rate) =
                    (old.free_circuits, old.group_size, old.max_set_up_rate);
                if old.entry.id == new.entry.id {
                    new.unanswered = old.unanswered.clone();
                }
            }
            let allowance = self.cold_allowance(&new);
            new.cold_credit = if allowance < 1.0 { self.rng.f64() } else { allowance };
            self.exchanges.insert(new.entry.id, new);
        }
        let started_at =
            |exchange: &ExchangeState| exchange.entry.ready_at.map_or(f64::NEG_INFINITY, |at| at.0);
        self.in_service_by_number.clear();
        for exchange in self.exchanges.values().filter(|exchange| exchange.in_service()) {
            let latest = self.in_service_by_number.entry(exchange.entry.number).or_insert(exchange.entry.id);
            if self.exchanges.get(latest).is_some_and(|old| started_at(old) <= started_at(exchange)) {
                *latest = exchange.entry.id;
            }
        }
        // A replaced exchange never returns, so its state is kept only while a set-up to it is unanswered.
        let in_service_by_number = &self.in_service_by_number;
        self.exchanges.retain(|_, exchange| {
            let replaced = exchange.entry.state == ServiceState::Removed
                && in_service_by_number.contains_key(&exchange.entry.number);
            !replaced || !exchange.unanswered.is_empty()
        });
    }

    /// The exchange in service under a number.
    fn exchange_in_service(&self, number: ExchangeNumber) -> Option<ExchangeId> {
        self.in_service_by_number.get(&number).copied()
    }

    /// Whether an exchange has started so recently that it may still be cold.
    fn is_cold(&self, exchange: &ExchangeState, now: Time) -> bool {
        exchange.entry.ready_at.is_some_and(|at| now - at < self.settings.warm_up_time)
    }

    /// The number of set-ups that this proxy may send to a cold exchange within `collapse_time`: its share of what
    /// the whole fleet may send. A reported rate is only the capacity left beside other work, so the capacity is the
    /// largest of four estimates: the highest reported rate, twice the call rate at this proxy, the rate that the
    /// shortest set-up implies, and one set-up in the upper bound of onset 1.
    fn cold_allowance(&self, exchange: &ExchangeState) -> f64 {
        let settings = &self.settings;
        let lowest = 1.0 / (self.tuning.onset_max * self.shortest_target);
        let measured = 2.0 / self.min_set_up_delay.max(MIN_RATE);
        let capacity = exchange.max_set_up_rate.max(2.0 * self.offered_rate).max(measured).max(lowest);
        let fleet_allowance =
            settings.collapse_multiple * settings.cold_share * capacity * settings.collapse_time;
        // About half of the work of a processor comes from its own proxy; the other proxies share the rest.
        let others = f64::from(settings.proxies.saturating_sub(1).max(1));
        let own_share = self.tuning.own_processor_share;
        let proxy_share = if Some(exchange.entry.number) == settings.own_exchange {
            own_share
        } else {
            (1.0 - own_share) / others
        };
        (fleet_allowance * proxy_share).max(0.0)
    }

    /// The set-ups that this proxy may now send to a cold exchange: a token bucket that refills at the rate of
    /// [`Controller::cold_allowance`]. In a large fleet the allowance of each proxy is far below one set-up; such a
    /// bucket starts with a random part of one, so that the proxies do not all send their first set-up at once.
    fn available_cold_credit(&self, exchange: &ExchangeState, now: Time) -> f64 {
        let allowance = self.cold_allowance(exchange);
        let refill = allowance * (now - exchange.cold_credit_at) / self.settings.collapse_time.max(1e-3);
        (exchange.cold_credit + refill).min((allowance / 2.0).max(1.0))
    }

    /// Whether an exchange is cold and the credit does not cover another set-up.
    fn cold_credit_exhausted(&self, exchange: &ExchangeState, now: Time) -> bool {
        self.is_cold(exchange, now) && self.available_cold_credit(exchange, now) < 1.0
    }

    /// The exchange that this proxy serves, while it is in service.
    fn own_exchange_id(&self) -> Option<ExchangeId> {
        self.settings.own_exchange.and_then(|number| self.exchange_in_service(number))
    }

    /// Whether the repeat semantics of its class allow a call to be sent to an exchange now.
    fn repeat_allowed(&self, call: &Call, exchange: &ExchangeState, now: Time) -> bool {
        let Some((first_id, sent_at)) = call.may_have_run else { return true };
        let class = &self.settings.classes[call.arrival.class.0];
        let scope = match class.repeat_semantics {
            RepeatSemantics::Idempotent => return true,
            RepeatSemantics::AtMostOnce => return false,
            RepeatSemantics::Deduplicated(scope) => scope,
        };
        let first = self.exchanges.get(&first_id).map(|exchange| &exchange.entry);
        now - sent_at < class.duplicate_window
            && match scope {
                DuplicateScope::All => true,
                DuplicateScope::Zone => first.is_some_and(|entry| entry.zone == exchange.entry.zone),
                DuplicateScope::Number => first.is_some_and(|entry| entry.number == exchange.entry.number),
            }
    }

    // ---- Overload levels ------------------------------------------------------------------------

    /// The capacity of a warm processor in set-ups a second, once it can be estimated: the mean of the reported rates,
    /// or else the larger of two estimates. The shortest set-up passed two processors, which gives a rate of two in
    /// its duration; and the call rate at this proxy is about half of the work of a processor. The call rate alone
    /// does not suffice: a proxy with few callers does not mean slow processors.
    fn processor_rate(&self, now: Time) -> Option<f64> {
        let rates = self
            .exchanges
            .values()
            .filter(|exchange| exchange.in_service() && !self.is_cold(exchange, now))
            .filter_map(|exchange| exchange.set_up_rate);
        let (sum, count) = rates.fold((0.0, 0.0), |(sum, count), rate| (sum + rate, count + 1.0));
        let measured = self.min_set_up_delay.is_finite();
        match count > 0.0 {
            true => Some((sum / count).max(MIN_RATE)),
            false => {
                measured.then(|| (2.0 * self.offered_rate).max(2.0 / self.min_set_up_delay.max(MIN_RATE)))
            }
        }
    }

    /// The onset of level 1: the time in which a processor works off `depth` set-ups, within the bounds of the tuning;
    /// the upper bound until the capacity is known.
    fn onset(&self, now: Time) -> Secs {
        let (shortest, longest) =
            (self.tuning.onset_min * self.shortest_target, self.tuning.onset_max * self.shortest_target);
        self.processor_rate(now).map_or(longest, |rate| (self.tuning.depth / rate).clamp(shortest, longest))
    }

    /// The time for which a delay sample or load report counts.
    fn sample_lifetime(&self) -> Secs {
        self.tuning.fresh_aims * self.shortest_target
    }

    /// The wait at the own processor. Every set-up from this proxy passes it, so two values bound the wait, whatever
    /// the destinations: the smallest excess delay among the latest set-up results, and the excess age of the
    /// [`OWN_WAIT_SAMPLES`]th oldest unanswered set-up. Set-ups to silent exchanges are left out.
    fn own_wait(&self, now: Time) -> Option<Secs> {
        let lifetime = self.sample_lifetime();
        let samples =
            self.own_wait_samples.iter().filter(|(_, at)| now - *at <= lifetime).map(|(wait, _)| *wait);
        let (shortest, count) =
            samples.fold((f64::INFINITY, 0), |(shortest, count), wait| (shortest.min(wait), count + 1));
        let answering = self.exchanges.values().filter(|exchange| exchange.silent_since.is_none());
        let mut ages: Vec<_> = answering
            .flat_map(|exchange| exchange.awaiting_answer().map(|sent_at| self.active_clock - sent_at))
            .collect();
        ages.sort_by(|a, b| b.total_cmp(a));
        let unanswered_wait =
            ages.get(OWN_WAIT_SAMPLES - 1).map(|age| (age - self.min_set_up_delay.min(*age)).max(0.0));
        (count >= OWN_WAIT_SAMPLES / 2)
            .then_some(shortest)
            .into_iter()
            .chain(unanswered_wait)
            .reduce(f64::max)
    }

    /// Records the excess delay of a set-up result as a sample of the wait at the own processor.
    fn record_own_wait(&mut self, wait: Secs, now: Time) {
        self.own_has_new_sample = true;
        self.own_wait_samples.push_back((wait.max(0.0), now));
        if self.own_wait_samples.len() > OWN_WAIT_SAMPLES {
            self.own_wait_samples.pop_front();
        }
    }

    /// Updates the overload levels of the own processor and of one exchange.
    fn update_levels(&mut self, exchange_id: ExchangeId, now: Time) {
        let own_wait = self.update_own_level(now);
        self.update_exchange_level(exchange_id, own_wait, now);
    }

    /// Updates the overload level of the own processor. Returns the wait there, so that it can be subtracted from the
    /// delays of other exchanges.
    fn update_own_level(&mut self, now: Time) -> Secs {
        let onset = self.onset(now);
        let own_exchange = self.own_exchange_id().and_then(|id| self.exchanges.get(&id));
        let reported =
            own_exchange.and_then(|exchange| exchange.recent_reported_wait(now, self.sample_lifetime()));
        let own_wait = self.own_wait(now).into_iter().chain(reported).reduce(f64::max);
        // Until the capacity is known, for example after a restart, a number of set-ups gives no wait.
        let set_up_time = self.processor_rate(now).map_or(0.0, |rate| 1.0 / rate);
        let answering = self.exchanges.values().filter(|exchange| exchange.silent_since.is_none());
        let unanswered_count: usize = answering.map(|exchange| exchange.awaiting_answer().count()).sum();
        let queue_wait = self.tuning.own_processor_share * unanswered_count as f64 * set_up_time;
        // Samples that were used before are no new observation. While every call is refused no new ones arrive, and the
        // level has to decay.
        let has_new_sample = std::mem::take(&mut self.own_has_new_sample) || unanswered_count > 0;
        match own_wait {
            Some(wait) if has_new_sample => {
                let level_before = self.own_overload.level;
                self.own_overload.observe(wait.max(queue_wait), onset, self.tuning.abate, now);
                let is_shown = wait >= self.tuning.abate * onset;
                let is_raised = self.own_overload.level > level_before;
                self.is_own_level_estimated = !is_shown && (is_raised || self.is_own_level_estimated);
            }
            _ if queue_wait >= onset => {
                self.own_overload.observe(queue_wait, onset, self.tuning.abate, now);
                self.is_own_level_estimated = true;
            }
            _ if self.is_own_level_estimated => {
                self.own_overload.observe(queue_wait, onset, self.tuning.abate, now);
                self.is_own_level_estimated = self.own_overload.level > 0;
            }
            _ => self.own_overload.decay(self.tuning.quiet_aims * self.shortest_target, now),
        }
        own_wait.unwrap_or(0.0)
    }

    /// Updates the overload level of an exchange. A recent load report takes precedence over the measured wait; the
    /// unanswered set-ups bound both from below.
    fn update_exchange_level(&mut self, exchange_id: ExchangeId, own_wait: Secs, now: Time) {
        let (target, lifetime, onset) = (self.shortest_target, self.sample_lifetime(), self.onset(now));
        let (active_clock, set_up_time) =
            (self.active_clock, self.processor_rate(now).map_or(0.0, |rate| 1.0 / rate));
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        let measured =
            exchange.measured_wait(now, active_clock, lifetime).map(|delay| (delay - own_wait).max(0.0));
        let queue_wait = exchange.awaiting_answer().count() as f64 * set_up_time;
        let age_wait = exchange.oldest_age(active_clock) - exchange.min_delay.unwrap_or(0.0) - own_wait;
        let unanswered_wait = age_wait.max(queue_wait);
        let shown_wait = exchange.recent_reported_wait(now, lifetime).or(measured);
        let wait = shown_wait.map(|wait| wait.max(unanswered_wait));
        let has_new_sample = std::mem::take(&mut exchange.has_new_sample);
        // Without a new sample, only unanswered set-ups can show an overload.
        match wait {
            Some(wait) if has_new_sample || wait >= onset && unanswered_wait >= wait => {
                let level_before = exchange.overload.level;
                exchange.overload.observe(wait, onset, self.tuning.abate, now);
                let is_shown = shown_wait.is_some_and(|wait| wait.max(age_wait) >= self.tuning.abate * onset);
                let is_raised = exchange.overload.level > level_before;
                exchange.is_level_estimated = !is_shown && (is_raised || exchange.is_level_estimated);
            }
            // Their callers have withdrawn the set-ups before these had waited: they show no wait.
            _ if exchange.is_level_estimated => {
                exchange.overload.observe(unanswered_wait.max(0.0), onset, self.tuning.abate, now);
                exchange.is_level_estimated = exchange.overload.level > 0;
            }
            _ => exchange.overload.decay(self.tuning.far_quiet_aims * target, now),
        }
    }

    /// Whether an exchange takes no set-up now: it is not in service (for example draining), paused, cold without
    /// credit, or silent.
    fn unavailable(&self, exchange: &ExchangeState, now: Time) -> bool {
        // A silent exchange receives one trial call at a time, so that set-ups do not pile up at a hung processor.
        let silent = exchange.silent_since.is_some() && exchange.awaiting_answer().next().is_some();
        !exchange.in_service()
            || now < exchange.paused_until
            || silent
            || self.cold_credit_exhausted(exchange, now)
    }

    // ---- Admission -----------------------------------------------------------------------------

    /// Whether a call is a redial, marked or not. The first set-ups of a class all carry the same time to live, and a
    /// redial carries what is left of the time after which its caller gives up. The most frequent time to live of the
    /// class is therefore taken as that of first set-ups.
    fn is_likely_redial(&mut self, arrival: &Arrival) -> bool {
        if arrival.transit || arrival.re_established || arrival.redial {
            return arrival.redial;
        }
        let slot = (arrival.ttl / TTL_SLOT).round().clamp(0.0, 1e9) as i64;
        *self.ttl_counts.entry((arrival.class, slot)).or_insert(0) += 1;
        let class_counts = self.ttl_counts.range((arrival.class, 0)..=(arrival.class, i64::MAX));
        let (count, usual_slot) =
            class_counts.fold((0, slot), |most, (key, n)| if *n > most.0 { (*n, key.1) } else { most });
        count > 1 && (slot - usual_slot).abs() > 1
    }

    /// Whether the first set-up to the dialled number was refused here so recently that a redial can still be
    /// established within the target and earn its full worth.
    fn within_first_target(&self, arrival: &Arrival, now: Time) -> bool {
        let first_refused_at = arrival.number.as_ref().and_then(|number| self.first_refusals.get(number));
        first_refused_at.is_some_and(|at| now - *at < self.class_target(arrival) - self.onset(now))
    }

    /// Admits a call and starts its first attempt, or refuses it.
    fn on_arrival(&mut self, now: Time, mut arrival: Arrival, actions: &mut Vec<Action>) {
        arrival.redial = self.is_likely_redial(&arrival) && !self.within_first_target(&arrival, now);
        let interval = (now - self.last_arrival_at).max(1e-3);
        let smoothing = 1.0 - (-interval / self.tuning.traffic_span).exp();
        self.offered_rate += smoothing * (1.0 / interval - self.offered_rate);
        self.last_arrival_at = now;
        let call = Call {
            arrived_at: now,
            deadline: now + arrival.ttl.max(0.0),
            attempts: 0,
            stage: Stage::BetweenAttempts,
            not_before: now,
            tried_exchanges: Vec::new(),
            may_have_run: None,
            arrival,
        };
        let refusal = self.refusal(&call, now, actions);
        let id = call.arrival.id.clone();
        self.calls.insert(id.clone(), call);
        match refusal {
            None => self.attempt_or_conclude(now, &id, actions),
            Some(reason) => self.conclude(&id, reason, actions),
        }
    }

    /// The priority of a call. A call that is re-established after a cut is urgent. So is a call of a class that is
    /// worth more than the lowest one, unless it is a redial.
    fn priority(&self, arrival: &Arrival) -> Priority {
        let worth = |index: usize| self.settings.classes.get(index).map_or(0.0, |class| class.worth);
        let lowest = self.settings.classes.iter().map(|class| class.worth).fold(f64::INFINITY, f64::min);
        match (arrival.re_established, arrival.redial) {
            (true, _) => Priority::Urgent,
            (_, true) => Priority::Redial,
            _ if worth(arrival.class.0) > lowest => Priority::Urgent,
            _ => Priority::Normal,
        }
    }

    /// The reason to refuse a new call before anything is sent, if there is one. Under overload the levels of the own
    /// processor and of the destination each refuse their share.
    fn refusal(&mut self, call: &Call, now: Time, actions: &mut Vec<Action>) -> Option<Refusal> {
        let arrival = &call.arrival;
        // A call to a number of the own exchange has no other exchange as its destination, and a proxy must not send to
        // its own exchange.
        let to_self = self.settings.own_exchange == Some(arrival.dest);
        if to_self || arrival.class.0 >= self.settings.classes.len() {
            return Some(Refusal::Unroutable);
        }
        if self.is_gapped(arrival, now) {
            return Some(Refusal::Gapped);
        }
        let Some(dest_id) = self.exchange_in_service(arrival.dest) else {
            return Some(Refusal::NotInService);
        };
        let priority = self.priority(arrival);
        if let Some(own_id) = self.own_exchange_id() {
            if self.settings.probing_allowed
                && now - self.probed_at >= self.tuning.probe_aims * self.shortest_target
            {
                self.probed_at = now;
                actions.push(Action::Probe(own_id));
            }
        }
        self.update_levels(dest_id, now);
        if self.own_overload.refuses(priority, &self.tuning.refused) {
            return Some(Refusal::OwnOverload);
        }
        let Some(exchange) = self.exchanges.get(&dest_id) else { return Some(Refusal::NotInService) };
        if self.unavailable(exchange, now) && self.settings.service_kind == ServiceKind::Network {
            return Some(Refusal::FarUnavailable);
        }
        let is_trial_call = exchange.silent_since.is_some();
        if is_trial_call || arrival.transit || self.settings.service_kind == ServiceKind::AgentPools {
            return None;
        }
        let exchange = self.exchanges.get_mut(&dest_id)?;
        exchange.overload.refuses(priority, &self.tuning.refused).then_some(Refusal::FarOverload)
    }

    /// Takes over a load report or the failure of a probe.
    fn on_status(&mut self, now: Time, exchange_id: ExchangeId, ok: bool, report: &LoadReport) {
        let onset = self.onset(now);
        self.own_has_new_sample |= self.own_exchange_id() == Some(exchange_id);
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        if ok {
            exchange.apply_report(report, now, onset);
        } else {
            exchange.reported_wait = Some((self.tuning.probe_failed * onset, now));
            exchange.has_new_sample = true;
        }
    }

    /// Whether the dialled number of a call is gapped.
    fn is_gapped(&self, arrival: &Arrival, now: Time) -> bool {
        let gap = arrival.number.as_ref().and_then(|number| self.gaps.get(number));
        gap.is_some_and(|(until, _)| now < *until)
    }

    // ---- Route choice --------------------------------------------------------------------------

    /// Trunk reservation: the circuits to an exchange that transit calls, redials and tandem calls leave free.
    fn reserved_circuits(&self, exchange: &ExchangeState) -> f64 {
        let size = exchange.group_size.unwrap_or(0.0).max(0.0);
        (self.tuning.reserve * size.sqrt()).ceil().min((self.tuning.most_reserved * size).floor())
    }

    /// Whether a trunk group has `width` free circuits beyond the reserved ones, or its state is unknown.
    fn has_room(exchange: &ExchangeState, width: u32, reserved: f64) -> bool {
        exchange.free_circuits.is_none_or(|free| free - reserved >= f64::from(width))
    }

    /// Chooses the exchange for the next attempt: the destination while its trunk group has room, otherwise a tandem.
    /// Transit calls and redials take no tandem.
    fn choose_route(&mut self, call: &Call, now: Time) -> Option<ExchangeId> {
        let arrival = &call.arrival;
        let dest_id = self.exchange_in_service(arrival.dest);
        if let Some(exchange) = dest_id.and_then(|id| self.exchanges.get(&id)) {
            // Most redials are established after their target time: they must not take the last circuits from first
            // set-ups.
            let reserved =
                if arrival.transit || arrival.redial { self.reserved_circuits(exchange) } else { 0.0 };
            let fits = Self::has_room(exchange, arrival.width, reserved) && !self.unavailable(exchange, now);
            let failed_before_running =
                call.tried_exchanges.contains(&exchange.entry.id) && call.may_have_run.is_none();
            if fits && !failed_before_running && self.repeat_allowed(call, exchange, now) {
                return dest_id;
            }
        }
        if arrival.transit || arrival.redial {
            return None;
        }
        self.choose_tandem(call, now)
    }

    /// Draws a tandem at random by weight, among those whose trunk group has room beyond the reservation. A call over a
    /// tandem is work for a third processor, so the own processor and the tandem must both be at level 0.
    fn choose_tandem(&mut self, call: &Call, now: Time) -> Option<ExchangeId> {
        let own_wait = self.update_own_level(now);
        if self.own_overload.level > 0 {
            return None;
        }
        let arrival = &call.arrival;
        let pools = &self.settings.classes[arrival.class.0].pools;
        let agent_pools = self.settings.service_kind == ServiceKind::AgentPools;
        let usable = |exchange: &&ExchangeState| {
            let number = exchange.entry.number;
            let allowed = !agent_pools || pools.is_empty() || pools.contains(&number);
            Some(number) != self.settings.own_exchange
                && number != arrival.dest
                && allowed
                && self.in_service_by_number.get(&number) == Some(&exchange.entry.id)
                && !call.tried_exchanges.contains(&exchange.entry.id)
                && Self::has_room(exchange, arrival.width, self.reserved_circuits(exchange))
                && !self.unavailable(exchange, now)
                && !self.is_cold(exchange, now)
                && exchange.silent_since.is_none()
                && self.repeat_allowed(call, exchange, now)
        };
        let candidates: Vec<_> = self
            .exchanges
            .values()
            .filter(usable)
            .map(|exchange| (exchange.entry.id, exchange.entry.number))
            .collect();
        let mut candidate_weights = Vec::new();
        let mut advised_index = None;
        for (id, number) in candidates {
            self.update_exchange_level(id, own_wait, now);
            if self.exchanges.get(&id).is_some_and(|exchange| exchange.overload.level > 0) {
                continue;
            }
            let weight = self.tandem_weights.get(&(arrival.dest, number)).copied().unwrap_or(1.0);
            candidate_weights.push((id, weight));
            advised_index =
                advised_index.or((arrival.hop == Some(number)).then_some(candidate_weights.len() - 1));
        }
        let candidate_count = candidate_weights.len() as f64;
        if let Some((_, weight)) = advised_index.and_then(|index: usize| candidate_weights.get_mut(index)) {
            *weight *= self.tuning.advised_tandem_factor * candidate_count;
        }
        let total: f64 = candidate_weights.iter().map(|(_, weight)| weight).sum();
        let mut draw = self.rng.f64() * total;
        let drawn = candidate_weights.iter().find(|(_, weight)| {
            draw -= weight;
            draw <= 0.0
        });
        drawn.or(candidate_weights.last()).map(|(id, _)| *id)
    }

    /// Raises the weight of a tandem for a destination after a success, and lowers it after a failure. Direct attempts
    /// have no weight.
    fn adjust_tandem_weight(&mut self, dest: ExchangeNumber, tandem: ExchangeId, success: bool) {
        let Some(number) = self.exchanges.get(&tandem).map(|exchange| exchange.entry.number) else { return };
        if number == dest {
            return;
        }
        let (tuning, weight) = (&self.tuning, self.tandem_weights.entry((dest, number)).or_insert(1.0));
        *weight = if success {
            *weight + tuning.tandem_weight_gain * (1.0 - *weight)
        } else {
            (*weight * tuning.tandem_weight_loss_factor).max(tuning.min_tandem_weight)
        };
    }

    // ---- Attempt life cycle --------------------------------------------------------------------

    /// The set-up target of the class of a call.
    fn class_target(&self, arrival: &Arrival) -> Secs {
        self.settings.classes.get(arrival.class.0).map_or(self.shortest_target, |class| class.target)
    }

    /// Starts the next attempt of a call that has none pending. Starts a timer if the release pause is not over, and
    /// gives the final answer if no attempt is left or none could succeed in time.
    fn attempt_or_conclude(&mut self, now: Time, id: &CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id).filter(|call| call.stage == Stage::BetweenAttempts).cloned()
        else {
            return;
        };
        let useful_until =
            call.arrived_at + self.class_target(&call.arrival).min(call.deadline - call.arrived_at);
        if now < call.not_before {
            if call.not_before >= useful_until {
                return self.conclude(id, Refusal::Exhausted, actions);
            }
            let after = (call.not_before - now) + self.settings.tick.max(1e-3);
            return self.start_timer(after, Some(id.clone()), actions);
        }
        let max_attempts = self.settings.max_attempts.clamp(1, self.tuning.most_tries);
        if call.attempts >= max_attempts || now >= useful_until {
            return self.conclude(id, Refusal::Exhausted, actions);
        }
        if let Some(own_exchange) = self.own_exchange_id().and_then(|id| self.exchanges.get(&id)) {
            if self.cold_credit_exhausted(own_exchange, now) {
                return self.conclude(id, Refusal::OwnCold, actions);
            }
        }
        match self.choose_route(&call, now) {
            Some(exchange_id) => self.send_set_up(now, id, exchange_id, actions),
            None => self.conclude(id, Refusal::NoRoute, actions),
        }
    }

    /// Starts an attempt: records it, takes the cold credit of the own exchange and of the receiver, and sends the
    /// set-up.
    fn send_set_up(&mut self, now: Time, id: &CallId, exchange_id: ExchangeId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let target = self
            .settings
            .classes
            .get(call.arrival.class.0)
            .map_or(self.shortest_target, |class| class.target);
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        let abandon_at = call.arrived_at + target.min(call.deadline - call.arrived_at);
        call.stage = Stage::Attempting { exchange_id, leg: call.attempts, sent_at: now };
        call.attempts += 1;
        call.tried_exchanges.push(exchange_id);
        let direct = exchange.entry.number == call.arrival.dest
            || self.settings.service_kind == ServiceKind::AgentPools;
        exchange.unanswered.push((id.clone(), self.active_clock, direct));
        for cold_id in [Some(exchange_id), self.own_exchange_id()].into_iter().flatten() {
            let credit = self
                .exchanges
                .get(&cold_id)
                .map_or(0.0, |exchange| self.available_cold_credit(exchange, now) - 1.0);
            if let Some(exchange) = self.exchanges.get_mut(&cold_id) {
                (exchange.cold_credit, exchange.cold_credit_at) = (credit.max(0.0), now);
            }
        }
        actions.push(Action::Attempt { id: id.clone(), exchange: exchange_id, abandon_at });
    }

    /// Handles the establishment of a call: measures the set-up time without stalls of this proxy and clears signs of
    /// failure.
    fn on_established(&mut self, now: Time, id: &CallId, leg: u32, exchange_id: ExchangeId, elapsed: Secs) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let Stage::Attempting { leg: pending_leg, exchange_id: pending_id, sent_at } = call.stage else {
            return;
        };
        if pending_leg != leg || pending_id != exchange_id {
            return;
        }
        call.stage = Stage::Established;
        let (dest, number) = (call.arrival.dest, call.arrival.number.clone());
        let (mut wait, mut elapsed) = (elapsed, elapsed);
        if let Some(exchange) = self.exchanges.get_mut(&exchange_id) {
            let sent_on_active_clock = exchange
                .unanswered
                .iter()
                .find(|(call_id, ..)| call_id == id)
                .map_or(self.active_clock, |(_, sent_at, _)| *sent_at);
            let stalled = (now - sent_at) - (self.active_clock - sent_on_active_clock);
            elapsed = (elapsed - stalled.max(0.0)).max(0.0);
            exchange.remove_unanswered(id, true);
            wait = elapsed - exchange.min_delay.unwrap_or(self.min_set_up_delay.min(elapsed));
            if exchange.entry.number == dest || self.settings.service_kind == ServiceKind::AgentPools {
                (exchange.delay_sample, exchange.has_new_sample) = (Some((elapsed, now)), true);
                self.min_set_up_delay = self.min_set_up_delay.min(elapsed.max(0.0));
                exchange.min_delay =
                    Some(exchange.min_delay.map_or(elapsed, |shortest| shortest.min(elapsed)));
            }
            exchange.silent_since = None;
        }
        self.record_own_wait(wait, now);
        self.adjust_tandem_weight(dest, exchange_id, true);
        if let Some(number) = number {
            self.gaps.remove(&number);
        }
        self.update_levels(exchange_id, now);
    }

    /// Handles the end of an attempt and makes the next one, or gives the final answer.
    fn on_attempt_ended(&mut self, now: Time, result: AttemptResult, actions: &mut Vec<Action>) {
        let id = result.id.clone();
        let onset = self.onset(now);
        if let Some(exchange) = self.exchanges.get_mut(&result.exchange) {
            exchange.apply_report(&result.report, now, onset);
        }
        if result.concluded {
            return self.remove_call(&id);
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Stage::Attempting { leg, sent_at, .. } = call.stage else { return };
        if leg != result.leg {
            return;
        }
        let (dest, number) = (call.arrival.dest, call.arrival.number.clone());
        call.stage = Stage::BetweenAttempts;
        // A refusal can be sent ahead of the queue, so only established calls show the order of answers.
        let overtaken = self
            .exchanges
            .get_mut(&result.exchange)
            .is_some_and(|exchange| exchange.remove_unanswered(&id, false));
        let never_ran =
            matches!(result.outcome, Outcome::Refused | Outcome::ConnectFailed | Outcome::NotSent);
        if !never_ran && call.may_have_run.is_none() {
            call.may_have_run = Some((result.exchange, sent_at));
        }
        let mut retry = true;
        if let (Outcome::Refused, Some(exchange)) = (result.outcome, self.exchanges.get_mut(&result.exchange))
        {
            exchange.paused_until = Time(exchange.paused_until.0.max(now.0 + self.tuning.refused_pause));
        }
        call.not_before = earliest_retry(now, result.outcome, self.settings.release_pause);
        match (result.outcome, result.cause) {
            (Outcome::TimedOut, _) if !overtaken => {
                self.record_no_answer(now, dest, result.exchange, result.elapsed);
            }
            (Outcome::Error, Cause::LinesBusy) => {
                self.gap_number(now, number);
                retry = false;
            }
            (Outcome::Refused, Cause::ProcessorFull) => {
                self.record_full_processor(now, result.exchange, result.retry_after);
                retry = self
                    .exchanges
                    .get(&result.exchange)
                    .is_some_and(|exchange| exchange.entry.number != dest);
            }
            (Outcome::Refused, Cause::FarProcessorFull) => {
                if let Some(dest_id) = self.exchange_in_service(dest) {
                    self.record_full_processor(now, dest_id, None);
                }
                retry = false;
            }
            (Outcome::Refused, Cause::Crankback) => self.adjust_tandem_weight(dest, result.exchange, false),
            (Outcome::NotSent, Cause::ProcessorFull) => {
                self.own_overload.raise(now);
                retry = false;
            }
            (Outcome::ConnectFailed, _) => self.record_no_answer(now, dest, result.exchange, result.elapsed),
            _ => {}
        }
        if result.unconfirmed {
            self.conclude(&id, Refusal::Unconfirmed, actions);
        } else if retry {
            self.attempt_or_conclude(now, &id, actions);
        } else {
            self.conclude(&id, Refusal::Busy, actions);
        }
    }

    /// Records that a set-up had no answer: the wait at the exchange is at least the time elapsed. Over a tandem, the
    /// tandem or the destination may be at fault, so only the weight of the pair is lowered.
    fn record_no_answer(&mut self, now: Time, dest: ExchangeNumber, exchange_id: ExchangeId, elapsed: Secs) {
        self.adjust_tandem_weight(dest, exchange_id, false);
        let own_wait = self.own_wait(now).unwrap_or(0.0);
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        if exchange.entry.number == dest || self.settings.service_kind == ServiceKind::AgentPools {
            let already_silent = exchange.silent_since.is_some();
            (exchange.delay_sample, exchange.has_new_sample) = (Some((elapsed, now)), true);
            // If the set-up may have waited at the own processor, the missing answer says nothing about the far end.
            if own_wait < elapsed / 2.0 {
                exchange.silent_since.get_or_insert(now);
            }
            if !already_silent {
                self.record_own_wait(elapsed, now);
            }
        }
        self.update_levels(exchange_id, now);
    }

    /// Records a "processor full" response: raises the overload level and pauses sends to the exchange.
    fn record_full_processor(&mut self, now: Time, exchange_id: ExchangeId, retry_after: Option<Secs>) {
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        exchange.overload.raise(now);
        exchange.silent_since = None;
        exchange.paused_until = now + retry_after.unwrap_or(0.0).max(self.tuning.full_pause);
    }

    /// Gaps a number whose lines are all busy, as redials would multiply its load; each further gap is twice as long,
    /// up to `gap_aims`.
    fn gap_number(&mut self, now: Time, number: Option<String>) {
        let Some(number) = number else { return };
        let longest = self.tuning.gap_aims * self.shortest_target;
        self.gaps.retain(|_, (until, _)| now - *until < longest);
        let length =
            self.gaps.get(&number).map_or(self.shortest_target, |(_, length)| (2.0 * length).min(longest));
        self.gaps.insert(number, (now + length, length));
    }

    /// Handles an expired timer: the next attempt of a call, or the next subscription to the roster.
    fn on_timer(&mut self, now: Time, token: TimerToken, actions: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(Some(id)) => self.attempt_or_conclude(now, &id, actions),
            Some(None) => actions.push(Action::Subscribe),
            None => {}
        }
    }

    /// Starts a timer for a call, or without one for the roster.
    fn start_timer(&mut self, after: Secs, call: Option<CallId>, actions: &mut Vec<Action>) {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.timers.insert(token, call);
        actions.push(Action::Timer { after: after.max(0.0), token });
    }

    /// Gives the final answer and removes the call: refused if the repeat semantics of its class allow the caller to
    /// redial, otherwise failed.
    fn conclude(&mut self, id: &CallId, reason: Refusal, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id) else { return };
        if let (Some(number), false) = (&call.arrival.number, call.arrival.transit) {
            let (now, longest) = (call.arrived_at, 2.0 * self.class_target(&call.arrival));
            self.first_refusals.retain(|_, at| now - *at < longest);
            self.first_refusals.entry(number.clone()).or_insert(now);
        }
        let class = self.settings.classes.get(call.arrival.class.0);
        let refusable = call.may_have_run.is_none()
            || class.is_none_or(|class| {
                matches!(
                    class.repeat_semantics,
                    RepeatSemantics::Idempotent | RepeatSemantics::Deduplicated(DuplicateScope::All)
                )
            });
        actions.push(if refusable {
            // A call that was refused early can still meet its target if the caller redials soon. Redials to a number
            // whose lines are all busy only add load, so their cool-down is the longest one allowed.
            let gapped = self.is_gapped(&call.arrival, call.arrived_at);
            let suggested_wait =
                if gapped { f64::INFINITY } else { self.tuning.cool_down_aims * self.shortest_target };
            let cool_down =
                self.settings.cool_down_allowed.then_some(suggested_wait.min(self.settings.max_cool_down));
            Action::Refuse { id: id.clone(), cool_down, reason }
        } else {
            Action::Fail(id.clone())
        });
        self.remove_call(id);
    }

    /// Removes a call and its pending set-up.
    fn remove_call(&mut self, id: &CallId) {
        if let Some(Call { stage: Stage::Attempting { exchange_id, .. }, .. }) = self.calls.remove(id) {
            if let Some(exchange) = self.exchanges.get_mut(&exchange_id) {
                exchange.remove_unanswered(id, false);
            }
        }
    }
}
