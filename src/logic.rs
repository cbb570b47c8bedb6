//! Every routing and admission decision of one call server. Its settings, events and actions are the
//! types of `src/interface.rs`. Pure: no clock but the caller's, no randomness but the seed's.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

// ---- Tuned values, as Tuning describes them, and fixed ones --------------------------------------

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

/// Slowest set-up rate taken at its word, against divisions by nothing.
const MIN_RATE: f64 = 1e-3;
/// How many ends of set-ups in a row tell of the own processor: that many far ends are rarely slow at once.
const OWN_WAIT_SAMPLES: usize = 6;
/// First tries bring the same time to live to within one slot of this length.
const TTL_SLOT: Secs = 0.05;

// ---- Overload level ----------------------------------------------------------------------------

/// How a first set-up is treated under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Priority {
    Urgent,
    Normal,
    /// A caller's repeat mostly stands late: any level refuses it before a first try is.
    Redial,
}

/// The four-level state of one processor: two thresholds a level, stepped refusal.
#[derive(Clone, Debug, Default)]
struct Overload {
    level: usize,
    observed_at: Time,
    refusal_accumulator: f64,
}

impl Overload {
    fn observe(&mut self, wait: Secs, onset: Secs, abate: f64, now: Time) {
        let onset_of = |level: usize| onset * (1 << level) as f64;
        while self.level < 4 && wait >= onset_of(self.level) {
            self.level += 1;
        }
        while self.level > 0 && wait < abate * onset_of(self.level - 1) {
            self.level -= 1;
        }
        self.observed_at = now;
    }

    /// 'Processor full' passes the next onset whatever the estimate says.
    fn raise(&mut self, now: Time) {
        self.level = (self.level + 1).min(4);
        self.observed_at = now;
    }

    fn decay(&mut self, interval: Secs, now: Time) {
        while self.level > 0 && interval > 0.0 && now - self.observed_at > interval {
            self.level -= 1;
            self.observed_at = self.observed_at + interval;
        }
    }

    /// Refusals are spread evenly: each normal call adds its share to a debt that one refusal pays.
    fn refuses(&mut self, priority: Priority, shares: &[f64; 5]) -> bool {
        let share = shares[self.level];
        match (priority, self.level) {
            (_, 4) if share > 0.0 => return true,
            (Priority::Urgent, _) => return false,
            (Priority::Redial, 1..) if share > 0.0 => return true,
            _ => {}
        }
        self.refusal_accumulator += share;
        let refuse = self.refusal_accumulator >= 1.0 - 1e-9;
        if refuse {
            self.refusal_accumulator -= 1.0;
        }
        refuse
    }
}

// ---- Processor estimate ------------------------------------------------------------------------

/// What is known of one office: its list entry, the trunk group to it, its processor.
#[derive(Clone, Debug, Default)]
struct ExchangeState {
    entry: RosterEntry,
    free_circuits: Option<f64>,
    group_size: Option<f64>,
    overload: Overload,
    delay_sample: Option<(Secs, Time)>,
    /// The quickest set-up there: distance and work, which are no wait.
    min_delay: Option<Secs>,
    reported_wait: Option<(Secs, Time)>,
    set_up_rate: Option<f64>,
    max_set_up_rate: f64,
    /// A sample or report has come since the level last looked at them.
    has_new_sample: bool,
    /// Unanswered set-ups, when they were sent, and whether they end there.
    unanswered: Vec<(CallId, Time, bool)>,
    /// The latest sending that ended there and stands: a line goes in its order, so what was sent there
    /// before and has no answer is lost and tells of no wait.
    last_answered_sent_at: Time,
    silent_since: Option<Time>,
    paused_until: Time,
    /// Set-ups that may still go there while it is cold, and when that was so.
    cold_credit: f64,
    cold_credit_at: Time,
}

impl ExchangeState {
    fn new(entry: RosterEntry, now: Time) -> Self {
        let overload = Overload { observed_at: now, ..Overload::default() };
        ExchangeState { entry, overload, paused_until: now, cold_credit_at: now, ..ExchangeState::default() }
    }

    fn in_service(&self) -> bool {
        self.entry.state == ServiceState::InService
    }

    /// Set-ups out that nothing sent later has overtaken.
    fn awaiting_answer(&self) -> impl Iterator<Item = Time> + '_ {
        let not_overtaken =
            |(_, sent_at, direct): &&(CallId, Time, bool)| !direct || *sent_at >= self.last_answered_sent_at;
        self.unanswered.iter().filter(not_overtaken).map(|(_, sent_at, _)| *sent_at)
    }

    /// Takes a set-up off the unanswered ones; returns whether it had been overtaken.
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

    fn oldest_age(&self, active_clock: Time) -> Secs {
        self.awaiting_answer().map(|sent_at| active_clock - sent_at).fold(0.0, f64::max)
    }

    fn apply_report(&mut self, report: &LoadReport, now: Time, onset: Secs) {
        self.free_circuits = report.free_circuits.or(self.free_circuits);
        self.group_size = report.group_size.or(self.group_size);
        self.set_up_rate = report.set_up_rate.or(self.set_up_rate);
        self.max_set_up_rate = self.max_set_up_rate.max(report.set_up_rate.unwrap_or(0.0));
        let queue_wait = match (report.queued_messages, report.set_up_rate) {
            (Some(messages), Some(rate)) => Some(messages / rate.max(MIN_RATE)),
            // No queue is reported: a processor at half of its best rate takes an onset longer, and so on.
            (None, Some(rate)) => Some((self.max_set_up_rate / rate.max(MIN_RATE) - 1.0) * onset),
            _ => None,
        };
        if let Some(wait) = report.queueing_delay.or(queue_wait) {
            // A report that stops moving is old: it keeps the time at which it last changed.
            if self.reported_wait.is_none_or(|(old, _)| old != wait) {
                self.reported_wait = Some((wait, now));
                self.has_new_sample = true;
            }
        }
    }

    /// How much longer than ever before our set-ups take here, or the oldest unanswered one is out: silence
    /// is wait.
    fn measured_wait(&self, now: Time, active_clock: Time, lifetime: Secs) -> Option<Secs> {
        let sample = self.delay_sample.filter(|(_, at)| now - *at <= lifetime).map(|(delay, _)| delay);
        let longest = self.oldest_age(active_clock).max(sample.unwrap_or(0.0));
        (longest > 0.0 || sample.is_some()).then(|| (longest - self.min_delay.unwrap_or(0.0)).max(0.0))
    }

    fn recent_reported_wait(&self, now: Time, lifetime: Secs) -> Option<Secs> {
        self.reported_wait.filter(|(_, at)| now - *at <= lifetime).map(|(wait, _)| wait)
    }
}

// ---- Calls -------------------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No attempt is out; sent again no earlier than the release allows.
    BetweenAttempts,
    Attempting {
        exchange_id: ExchangeId,
        leg: u32,
        sent_at: Time,
    },
    Established,
}

#[derive(Clone, Debug)]
struct Call {
    arrival: Arrival,
    arrived_at: Time,
    deadline: Time,
    attempts: u32,
    stage: Stage,
    not_before: Time,
    tried_exchanges: Vec<ExchangeId>,
    /// The first attempt that may have run: where and when.
    may_have_run: Option<(ExchangeId, Time)>,
}

/// The decisions of one call server.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    tuning: Tuning,
    rng: fastrand::Rng,
    shortest_target: Secs,
    exchanges: BTreeMap<ExchangeId, ExchangeState>,
    /// The office in service under each number; the youngest where a replacement overlaps the old one.
    in_service_by_number: BTreeMap<ExchangeNumber, ExchangeId>,
    own_overload: Overload,
    /// The last few ends of set-ups: how much longer than the quickest they took, and when they came.
    own_wait_samples: VecDeque<(Secs, Time)>,
    own_has_new_sample: bool,
    calls: BTreeMap<CallId, Call>,
    timers: BTreeMap<TimerToken, Option<CallId>>,
    next_token: u64,
    tandem_weights: BTreeMap<(ExchangeNumber, ExchangeNumber), f64>,
    /// Call gapping of numbers whose lines were all busy: until when, and how long.
    gaps: BTreeMap<String, (Time, Secs)>,
    /// When the first try to a number was refused here, for as long as its callers may still be in time.
    first_refusals: BTreeMap<String, Time>,
    /// How often each length of a try was seen, by class and in twentieths of a second.
    ttl_counts: BTreeMap<(ClassIndex, i64), u32>,
    /// Arrivals a second here, a running mean, for the size of a processor.
    offered_rate: f64,
    /// The quickest direct set-up seen.
    min_set_up_delay: Secs,
    last_arrival_at: Time,
    /// The last event, and a clock that stands still while this call server does: ages are read on it.
    last_event_at: Time,
    active_clock: Time,
    /// When the own processor was last asked for a report.
    probed_at: Time,
}

impl Controller {
    /// A controller that knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Self::tuned(settings, Tuning::default(), seed)
    }

    /// The same with other tuned values.
    pub fn tuned(settings: Settings, tuning: Tuning, seed: u64) -> Self {
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

    /// Called once, before any event.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.own_overload.observed_at = now;
        (self.last_arrival_at, self.last_event_at, self.active_clock) = (now, now, now);
        if self.settings.discovery == Discovery::OnRequest {
            actions.push(Action::Subscribe);
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        // After a stall of this call server much comes at once: its age is not the processors' wait.
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

    /// The level of the own processor, and those of far ones in service.
    pub fn levels(&self) -> (usize, Vec<(ExchangeNumber, usize)>) {
        let far_level = |(number, id): (&ExchangeNumber, &ExchangeId)| {
            self.exchanges.get(id).map(|exchange| (*number, exchange.overload.level))
        };
        (self.own_overload.level, self.in_service_by_number.iter().filter_map(far_level).collect())
    }

    // ---- Guards: the list, drains, cold starts, release ----------------------------------------

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
                // A new start: the group is the same, but the old processor's wait says nothing of this one.
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
        // Replaced offices never come back: keep none but those with a set-up still out.
        let in_service_by_number = &self.in_service_by_number;
        self.exchanges.retain(|_, exchange| {
            let replaced = exchange.entry.state == ServiceState::Removed
                && in_service_by_number.contains_key(&exchange.entry.number);
            !replaced || !exchange.unanswered.is_empty()
        });
    }

    fn exchange_in_service(&self, number: ExchangeNumber) -> Option<ExchangeId> {
        self.in_service_by_number.get(&number).copied()
    }

    fn is_cold(&self, exchange: &ExchangeState, now: Time) -> bool {
        exchange.entry.ready_at.is_some_and(|at| now - at < self.settings.warm_up_time)
    }

    /// Set-ups in a span of `fall` that this instance may send to a cold office: its share of what all
    /// together may. A reported rate is only what is left beside other work, so the largest sign counts: its
    /// best report, the traffic here, the quickest set-up, and a set-up in the longest onset 1.
    fn cold_allowance(&self, exchange: &ExchangeState) -> f64 {
        let settings = &self.settings;
        let lowest = 1.0 / (self.tuning.onset_max * self.shortest_target);
        let measured = 2.0 / self.min_set_up_delay.max(MIN_RATE);
        let capacity = exchange.max_set_up_rate.max(2.0 * self.offered_rate).max(measured).max(lowest);
        let fleet_allowance =
            settings.collapse_multiple * settings.cold_share * capacity * settings.collapse_time;
        // A processor's own call server gives it about half of its work, the others share the rest.
        let others = f64::from(settings.proxies.saturating_sub(1).max(1));
        let own_share = self.tuning.own_processor_share;
        let proxy_share = if Some(exchange.entry.number) == settings.own_exchange {
            own_share
        } else {
            (1.0 - own_share) / others
        };
        (fleet_allowance * proxy_share).max(0.0)
    }

    /// What is left of that share. It fills over time and starts at a random part of one set-up, so that of a
    /// large fleet, where each has far less than one, not all send their first at once.
    fn available_cold_credit(&self, exchange: &ExchangeState, now: Time) -> f64 {
        let allowance = self.cold_allowance(exchange);
        let refill = allowance * (now - exchange.cold_credit_at) / self.settings.collapse_time.max(1e-3);
        (exchange.cold_credit + refill).min((allowance / 2.0).max(1.0))
    }

    fn cold_credit_exhausted(&self, exchange: &ExchangeState, now: Time) -> bool {
        self.is_cold(exchange, now) && self.available_cold_credit(exchange, now) < 1.0
    }

    fn own_exchange_id(&self) -> Option<ExchangeId> {
        self.settings.own_exchange.and_then(|number| self.exchange_in_service(number))
    }

    /// Whether the rules on repeats let this call go to this office now.
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

    // ---- Levels seen from here -----------------------------------------------------------------

    /// Set-ups a second of a warm processor, once known: as reported, else by the quickest set-up seen, which
    /// passed two of them, and the traffic here, about half of what a processor looks at. The traffic alone
    /// says too little: a call server with few callers is no sign of slow processors.
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

    fn onset(&self, now: Time) -> Secs {
        let (shortest, longest) =
            (self.tuning.onset_min * self.shortest_target, self.tuning.onset_max * self.shortest_target);
        self.processor_rate(now).map_or(longest, |rate| (self.tuning.depth / rate).clamp(shortest, longest))
    }

    fn sample_lifetime(&self) -> Secs {
        self.tuning.fresh_aims * self.shortest_target
    }

    /// The wait at the own processor, which every set-up of ours passes: the quickest of the last few ends of
    /// set-ups bounds it, whatever far ends they went to, and so does the age of the last unanswered ones.
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

    /// The end of a set-up, as far as it tells of the own processor.
    fn record_own_wait(&mut self, wait: Secs, now: Time) {
        self.own_has_new_sample = true;
        self.own_wait_samples.push_back((wait.max(0.0), now));
        if self.own_wait_samples.len() > OWN_WAIT_SAMPLES {
            self.own_wait_samples.pop_front();
        }
    }

    /// Brings the own level and that of one office up to date.
    fn update_levels(&mut self, exchange_id: ExchangeId, now: Time) {
        let own_wait = self.update_own_level(now);
        self.update_exchange_level(exchange_id, own_wait, now);
    }

    /// The own level; returns the own wait, which is not to be blamed on far ends.
    fn update_own_level(&mut self, now: Time) -> Secs {
        let onset = self.onset(now);
        let own_exchange = self.own_exchange_id().and_then(|id| self.exchanges.get(&id));
        let reported =
            own_exchange.and_then(|exchange| exchange.recent_reported_wait(now, self.sample_lifetime()));
        let own_wait = self.own_wait(now).into_iter().chain(reported).reduce(f64::max);
        // Until a speed is known, as after a restart, a count tells no wait.
        let set_up_time = self.processor_rate(now).map_or(0.0, |rate| 1.0 / rate);
        let answering = self.exchanges.values().filter(|exchange| exchange.silent_since.is_none());
        let unanswered_count: usize = answering.map(|exchange| exchange.awaiting_answer().count()).sum();
        let queue_wait = self.tuning.own_processor_share * unanswered_count as f64 * set_up_time;
        // Ends of set-ups known before say nothing new: while all is refused no others come.
        let has_new_sample = std::mem::take(&mut self.own_has_new_sample) || unanswered_count > 0;
        match own_wait {
            Some(wait) if has_new_sample => {
                self.own_overload.observe(wait.max(queue_wait), onset, self.tuning.abate, now)
            }
            _ if queue_wait >= onset => self.own_overload.observe(queue_wait, onset, self.tuning.abate, now),
            _ => self.own_overload.decay(self.tuning.quiet_aims * self.shortest_target, now),
        }
        own_wait.unwrap_or(0.0)
    }

    fn update_exchange_level(&mut self, exchange_id: ExchangeId, own_wait: Secs, now: Time) {
        let (target, lifetime, onset) = (self.shortest_target, self.sample_lifetime(), self.onset(now));
        let (active_clock, set_up_time) =
            (self.active_clock, self.processor_rate(now).map_or(0.0, |rate| 1.0 / rate));
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        let measured =
            exchange.measured_wait(now, active_clock, lifetime).map(|delay| (delay - own_wait).max(0.0));
        let queue_wait = exchange.awaiting_answer().count() as f64 * set_up_time;
        let unanswered_wait =
            (exchange.oldest_age(active_clock) - exchange.min_delay.unwrap_or(0.0) - own_wait)
                .max(queue_wait);
        let wait =
            exchange.recent_reported_wait(now, lifetime).or(measured).map(|wait| wait.max(unanswered_wait));
        let has_new_sample = std::mem::take(&mut exchange.has_new_sample);
        match wait {
            Some(wait) if has_new_sample || wait >= onset && unanswered_wait >= wait => {
                exchange.overload.observe(wait, onset, self.tuning.abate, now);
            }
            _ => exchange.overload.decay(self.tuning.far_quiet_aims * target, now),
        }
    }

    /// Whether the state of an office bars a set-up now: draining, paused, cold and spent, or silent.
    fn unavailable(&self, exchange: &ExchangeState, now: Time) -> bool {
        // A silent processor gets one trial call at a time: set-ups must not pour into a hung one.
        let silent = exchange.silent_since.is_some() && exchange.awaiting_answer().next().is_some();
        !exchange.in_service()
            || now < exchange.paused_until
            || silent
            || self.cold_credit_exhausted(exchange, now)
    }

    // ---- Admission -----------------------------------------------------------------------------

    /// Callers that do not mark redials still show them: first tries all bring the same time to live,
    /// later ones what is left of the give-up time. The commonest length seen is taken for the first try's.
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

    /// A redial whose first try was refused here less than its aim ago can still earn its full worth.
    fn within_first_target(&self, arrival: &Arrival, now: Time) -> bool {
        let first_refused_at = arrival.number.as_ref().and_then(|number| self.first_refusals.get(number));
        first_refused_at.is_some_and(|at| now - *at < self.class_target(arrival) - self.onset(now))
    }

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

    /// Why a request is refused before anything is sent, if it is: first set-ups at the share of the own and the far
    /// processor's level.
    fn refusal(&mut self, call: &Call, now: Time, actions: &mut Vec<Action>) -> Option<Refusal> {
        let arrival = &call.arrival;
        // A call to a number of the own exchange has no office to go to: a send to oneself is a fault.
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

    fn is_gapped(&self, arrival: &Arrival, now: Time) -> bool {
        let gap = arrival.number.as_ref().and_then(|number| self.gaps.get(number));
        gap.is_some_and(|(until, _)| now < *until)
    }

    // ---- Route choice --------------------------------------------------------------------------

    fn reserved_circuits(&self, exchange: &ExchangeState) -> f64 {
        let size = exchange.group_size.unwrap_or(0.0).max(0.0);
        (self.tuning.reserve * size.sqrt()).ceil().min((self.tuning.most_reserved * size).floor())
    }

    fn has_room(exchange: &ExchangeState, width: u32, reserved: f64) -> bool {
        exchange.free_circuits.is_none_or(|free| free - reserved >= f64::from(width))
    }

    /// Direct while the group has room, else over a tandem.
    fn choose_route(&mut self, call: &Call, now: Time) -> Option<ExchangeId> {
        let arrival = &call.arrival;
        let dest_id = self.exchange_in_service(arrival.dest);
        if let Some(exchange) = dest_id.and_then(|id| self.exchanges.get(&id)) {
            // A marked redial mostly stands late: it must not take the last circuits from first tries.
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

    /// A weighted draw of the tandems whose leg has more than the reserve free. A call over a tandem is
    /// work for a third processor, so only processors at no overload take part.
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

    fn class_target(&self, arrival: &Arrival) -> Secs {
        self.settings.classes.get(arrival.class.0).map_or(self.shortest_target, |class| class.target)
    }

    /// Sends a held call, or gives its final answer where nothing is left to try in time.
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
        // A refusal may jump the line: only what stands tells of it.
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
        match (result.outcome, result.cause) {
            (Outcome::TimedOut, _) => {
                call.not_before = now + self.settings.release_pause;
                if !overtaken {
                    self.record_no_answer(now, dest, result.exchange, result.elapsed);
                }
            }
            (Outcome::Reset | Outcome::Cancelled, _) => call.not_before = now + self.settings.release_pause,
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
        if retry {
            self.attempt_or_conclude(now, &id, actions);
        } else {
            self.conclude(&id, Refusal::Busy, actions);
        }
    }

    /// No answer: the wait is at least the time we waited. Through a tandem either end may be at fault, so
    /// only the weight of the pair is lowered.
    fn record_no_answer(&mut self, now: Time, dest: ExchangeNumber, exchange_id: ExchangeId, elapsed: Secs) {
        self.adjust_tandem_weight(dest, exchange_id, false);
        let own_wait = self.own_wait(now).unwrap_or(0.0);
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        if exchange.entry.number == dest || self.settings.service_kind == ServiceKind::AgentPools {
            let already_silent = exchange.silent_since.is_some();
            (exchange.delay_sample, exchange.has_new_sample) = (Some((elapsed, now)), true);
            // Where the own processor may have held the set-up, its silence says nothing of the far end.
            if own_wait < elapsed / 2.0 {
                exchange.silent_since.get_or_insert(now);
            }
            if !already_silent {
                self.record_own_wait(elapsed, now);
            }
        }
        self.update_levels(exchange_id, now);
    }

    fn record_full_processor(&mut self, now: Time, exchange_id: ExchangeId, retry_after: Option<Secs>) {
        let Some(exchange) = self.exchanges.get_mut(&exchange_id) else { return };
        exchange.overload.raise(now);
        exchange.silent_since = None;
        exchange.paused_until = now + retry_after.unwrap_or(0.0).max(self.tuning.full_pause);
    }

    /// Redials multiply the load of a number whose lines are all busy: gap it, twice as long each time.
    fn gap_number(&mut self, now: Time, number: Option<String>) {
        let Some(number) = number else { return };
        let longest = self.tuning.gap_aims * self.shortest_target;
        self.gaps.retain(|_, (until, _)| now - *until < longest);
        let length =
            self.gaps.get(&number).map_or(self.shortest_target, |(_, length)| (2.0 * length).min(longest));
        self.gaps.insert(number, (now + length, length));
    }

    fn on_timer(&mut self, now: Time, token: TimerToken, actions: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(Some(id)) => self.attempt_or_conclude(now, &id, actions),
            Some(None) => actions.push(Action::Subscribe),
            None => {}
        }
    }

    fn start_timer(&mut self, after: Secs, call: Option<CallId>, actions: &mut Vec<Action>) {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.timers.insert(token, call);
        actions.push(Action::Timer { after: after.max(0.0), token });
    }

    /// The final answer: refused where the rules let it, else failed.
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
            // A call refused early may yet stand in its aim if the caller is back soon; a number whose lines
            // are all busy is better left alone.
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

    fn remove_call(&mut self, id: &CallId) {
        if let Some(Call { stage: Stage::Attempting { exchange_id, .. }, .. }) = self.calls.remove(id) {
            if let Some(exchange) = self.exchanges.get_mut(&exchange_id) {
                exchange.remove_unanswered(id, false);
            }
        }
    }
}
