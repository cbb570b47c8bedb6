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
            own_part: 0.5,
            probe_aims: 0.5,
            probe_failed: 2.0,
            fresh_aims: 3.0,
            traffic_span: 10.0,
            gap_aims: 16.0,
            cool_down_aims: 0.3,
            full_pause: 0.2,
            refused_pause: 0.0,
            floor: 0.05,
            raise: 0.2,
            lower: 0.5,
            advised: 3.0,
            reserve: 0.5,
            most_reserved: 0.1,
            most_tries: 3,
        }
    }
}

/// Slowest set-up rate taken at its word, against divisions by nothing.
const MIN_RATE: f64 = 1e-3;
/// How many ends of set-ups in a row tell of the own processor: that many far ends are rarely slow at once.
const ENDS: usize = 6;
/// First tries bring the same time to live to within one slot of this length.
const TTL_SLOT: Secs = 0.05;

// ---- Overload level ----------------------------------------------------------------------------

/// How a first set-up is treated under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rank {
    Urgent,
    Normal,
    /// A caller's repeat mostly stands late: any level refuses it before a first try is.
    Redial,
}

/// The four-level state of one processor: two thresholds a level, stepped refusal.
#[derive(Clone, Debug, Default)]
struct Overload {
    level: usize,
    news_at: Time,
    debt: f64,
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
        self.news_at = now;
    }

    /// 'Processor full' passes the next onset whatever the estimate says.
    fn raise(&mut self, now: Time) {
        self.level = (self.level + 1).min(4);
        self.news_at = now;
    }

    fn decay(&mut self, step: Secs, now: Time) {
        while self.level > 0 && step > 0.0 && now - self.news_at > step {
            self.level -= 1;
            self.news_at = self.news_at + step;
        }
    }

    /// Refusals are spread evenly: each normal call adds its share to a debt that one refusal pays.
    fn refuses(&mut self, rank: Rank, shares: &[f64; 5]) -> bool {
        let share = shares[self.level];
        match (rank, self.level) {
            (_, 4) if share > 0.0 => return true,
            (Rank::Urgent, _) => return false,
            (Rank::Redial, 1..) if share > 0.0 => return true,
            _ => {}
        }
        self.debt += share;
        let refuse = self.debt >= 1.0 - 1e-9;
        if refuse {
            self.debt -= 1.0;
        }
        refuse
    }
}

// ---- Processor estimate ------------------------------------------------------------------------

/// What is known of one office: its list entry, the trunk group to it, its processor.
#[derive(Clone, Debug, Default)]
struct Far {
    office: RosterEntry,
    free: Option<f64>,
    size: Option<f64>,
    overload: Overload,
    delay: Option<(Secs, Time)>,
    /// The quickest set-up there: distance and work, which are no wait.
    base: Option<Secs>,
    reported: Option<(Secs, Time)>,
    rate: Option<f64>,
    best_rate: f64,
    /// A sample or report has come since the level last looked at them.
    news: bool,
    /// Unanswered set-ups, when they were sent, and whether they end there.
    pending: Vec<(CallId, Time, bool)>,
    /// The latest sending that ended there and stands: a line goes in its order, so what was sent there
    /// before and has no answer is lost and tells of no wait.
    heard: Time,
    silent_since: Option<Time>,
    paused_until: Time,
    /// Set-ups that may still go there while it is cold, and when that was so.
    cold_credit: f64,
    cold_at: Time,
}

impl Far {
    fn new(office: RosterEntry, now: Time) -> Self {
        let overload = Overload { news_at: now, ..Overload::default() };
        Far { office, overload, paused_until: now, cold_at: now, ..Far::default() }
    }

    fn is_on(&self) -> bool {
        self.office.state == ServiceState::InService
    }

    /// Set-ups out that nothing sent later has overtaken.
    fn waiting(&self) -> impl Iterator<Item = Time> + '_ {
        let here = |(_, sent, direct): &&(CallId, Time, bool)| !direct || *sent >= self.heard;
        self.pending.iter().filter(here).map(|(_, sent, _)| *sent)
    }

    /// Takes a set-up off the unanswered ones; returns whether it had been overtaken.
    fn settle(&mut self, id: &CallId, stands: bool) -> bool {
        let Some(ix) = self.pending.iter().position(|(c, ..)| c == id) else { return false };
        let (_, sent, direct) = self.pending.remove(ix);
        let overtaken = direct && sent < self.heard;
        if stands && direct && !overtaken {
            self.heard = sent;
        }
        overtaken
    }

    fn oldest(&self, watch: Time) -> Secs {
        self.waiting().map(|sent| watch - sent).fold(0.0, f64::max)
    }

    fn learn(&mut self, report: &LoadReport, now: Time, onset: Secs) {
        self.free = report.free_circuits.or(self.free);
        self.size = report.group_size.or(self.size);
        self.rate = report.set_up_rate.or(self.rate);
        self.best_rate = self.best_rate.max(report.set_up_rate.unwrap_or(0.0));
        let queued = match (report.queued_messages, report.set_up_rate) {
            (Some(queue), Some(rate)) => Some(queue / rate.max(MIN_RATE)),
            // No queue is reported: a processor at half of its best rate takes an onset longer, and so on.
            (None, Some(rate)) => Some((self.best_rate / rate.max(MIN_RATE) - 1.0) * onset),
            _ => None,
        };
        if let Some(wait) = report.queueing_delay.or(queued) {
            // A report that stops moving is old: it keeps the time at which it last changed.
            if self.reported.is_none_or(|(old, _)| old != wait) {
                self.reported = Some((wait, now));
                self.news = true;
            }
        }
    }

    /// How much longer than ever before our set-ups take here, or the oldest unanswered one is out: silence
    /// is wait.
    fn seen_wait(&self, now: Time, watch: Time, fresh: Secs) -> Option<Secs> {
        let sample = self.delay.filter(|(_, at)| now - *at <= fresh).map(|(d, _)| d);
        let longest = self.oldest(watch).max(sample.unwrap_or(0.0));
        (longest > 0.0 || sample.is_some()).then(|| (longest - self.base.unwrap_or(0.0)).max(0.0))
    }

    fn fresh_report(&self, now: Time, fresh: Secs) -> Option<Secs> {
        self.reported.filter(|(_, at)| now - *at <= fresh).map(|(w, _)| w)
    }
}

// ---- Calls -------------------------------------------------------------------------------------

#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    /// No attempt is out; sent again no earlier than the release allows.
    Held,
    Out {
        office: ExchangeId,
        leg: u32,
        sent: Time,
    },
    Standing,
}

#[derive(Clone, Debug)]
struct Call {
    arrival: Arrival,
    arrived: Time,
    deadline: Time,
    attempts: u32,
    stage: Stage,
    not_before: Time,
    tried: Vec<ExchangeId>,
    /// The first attempt that may have run: where and when.
    may_have_run: Option<(ExchangeId, Time)>,
}

/// The decisions of one call server.
#[derive(Debug)]
pub struct Controller {
    settings: Settings,
    tuning: Tuning,
    rng: fastrand::Rng,
    aim: Secs,
    fars: BTreeMap<ExchangeId, Far>,
    /// The office in service under each number; the youngest where a replacement overlaps the old one.
    serving: BTreeMap<ExchangeNumber, ExchangeId>,
    own: Overload,
    /// The last few ends of set-ups: how much longer than the quickest they took, and when they came.
    ends: VecDeque<(Secs, Time)>,
    own_news: bool,
    calls: BTreeMap<CallId, Call>,
    timers: BTreeMap<TimerToken, Option<CallId>>,
    next_token: u64,
    weights: BTreeMap<(ExchangeNumber, ExchangeNumber), f64>,
    /// Call gapping of numbers whose lines were all busy: until when, and how long.
    gaps: BTreeMap<String, (Time, Secs)>,
    /// When the first try to a number was refused here, for as long as its callers may still be in time.
    turned_away: BTreeMap<String, Time>,
    /// How often each length of a try was seen, by class and in twentieths of a second.
    tries: BTreeMap<(ClassIndex, i64), u32>,
    /// Arrivals a second here, a running mean, for the size of a processor.
    offered: f64,
    /// The quickest direct set-up seen.
    quickest: Secs,
    last_arrival: Time,
    /// The last event, and a clock that stands still while this call server does: ages are read on it.
    last_event: Time,
    watch: Time,
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
        let aims = settings.classes.iter().map(|c| c.target).filter(|a| *a > 0.0);
        let aim = aims.fold(f64::INFINITY, f64::min);
        Controller {
            rng: fastrand::Rng::with_seed(seed),
            aim: if aim.is_finite() { aim } else { 1.0 },
            fars: BTreeMap::new(),
            serving: BTreeMap::new(),
            own: Overload::default(),
            ends: VecDeque::new(),
            own_news: false,
            calls: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_token: 0,
            weights: BTreeMap::new(),
            gaps: BTreeMap::new(),
            turned_away: BTreeMap::new(),
            tries: BTreeMap::new(),
            offered: 0.0,
            quickest: f64::INFINITY,
            last_arrival: Time::default(),
            last_event: Time::default(),
            watch: Time::default(),
            probed_at: Time(f64::NEG_INFINITY),
            settings,
            tuning,
        }
    }

    /// Called once, before any event.
    pub fn start(&mut self, now: Time, out: &mut Vec<Action>) {
        self.own.news_at = now;
        (self.last_arrival, self.last_event, self.watch) = (now, now, now);
        if self.settings.discovery == Discovery::OnRequest {
            out.push(Action::Subscribe);
        }
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        // After a stall of this call server much comes at once: its age is not the processors' wait.
        self.watch = self.watch + (now - self.last_event).clamp(0.0, self.tuning.onset_max * self.aim);
        self.last_event = now;
        match event {
            Event::Roster { kind, entries: offices } => self.on_list(now, kind, offices, out),
            Event::Arrival(arrival) => self.on_arrival(now, arrival, out),
            Event::AttemptEnded(answer) => self.on_answer(now, answer, out),
            Event::Established { id, leg, exchange: office, elapsed: took } => {
                self.on_stands(now, &id, leg, office, took)
            }
            Event::Withdrawn(id) => self.forget(&id),
            Event::Timer(token) => self.on_timer(now, token, out),
            Event::Status { exchange: office, ok, report, .. } => self.on_status(now, office, ok, &report),
            Event::StatusLost(office) => {
                if let Some(far) = self.fars.get_mut(&office) {
                    (far.free, far.reported) = (None, None);
                }
            }
            Event::PeerMessage { .. } => {}
        }
    }

    /// The level of the own processor, and those of far ones in service.
    pub fn levels(&self) -> (usize, Vec<(ExchangeNumber, usize)>) {
        let far =
            |(no, id): (&ExchangeNumber, &ExchangeId)| self.fars.get(id).map(|f| (*no, f.overload.level));
        (self.own.level, self.serving.iter().filter_map(far).collect())
    }

    // ---- Guards: the list, drains, cold starts, release ----------------------------------------

    fn on_list(&mut self, now: Time, kind: RosterKind, offices: Vec<RosterEntry>, out: &mut Vec<Action>) {
        if kind == RosterKind::RequestFailed {
            if self.settings.discovery == Discovery::OnRequest {
                self.timer(self.settings.poll_interval / 4.0, None, out);
            }
            return;
        }
        if kind != RosterKind::Incremental {
            for far in self.fars.values_mut() {
                if !offices.iter().any(|o| o.id == far.office.id) {
                    far.office.state = ServiceState::Removed;
                }
            }
        }
        for office in offices {
            let old = self.serving.get(&office.number).and_then(|id| self.fars.get(id));
            let mut fresh = Far::new(office, now);
            if let Some(old) = self.fars.get(&fresh.office.id).or(old) {
                if old.office.id == fresh.office.id && old.office.ready_at == fresh.office.ready_at {
                    self.fars.entry(fresh.office.id).and_modify(|far| far.office = fresh.office);
                    continue;
                }
                // A new start: the group is the same, but the old processor's wait says nothing of this one.
                (fresh.free, fresh.size, fresh.best_rate) = (old.free, old.size, old.best_rate);
                if old.office.id == fresh.office.id {
                    fresh.pending = old.pending.clone();
                }
            }
            let share = self.cold_share(&fresh);
            fresh.cold_credit = if share < 1.0 { self.rng.f64() } else { share };
            self.fars.insert(fresh.office.id, fresh);
        }
        let age = |far: &Far| far.office.ready_at.map_or(f64::NEG_INFINITY, |at| at.0);
        self.serving.clear();
        for far in self.fars.values().filter(|f| f.is_on()) {
            let best = self.serving.entry(far.office.number).or_insert(far.office.id);
            if self.fars.get(best).is_some_and(|old| age(old) <= age(far)) {
                *best = far.office.id;
            }
        }
        // Replaced offices never come back: keep none but those with a set-up still out.
        let serving = &self.serving;
        self.fars.retain(|_, far| {
            let gone = far.office.state == ServiceState::Removed && serving.contains_key(&far.office.number);
            !gone || !far.pending.is_empty()
        });
    }

    fn office_of(&self, number: ExchangeNumber) -> Option<ExchangeId> {
        self.serving.get(&number).copied()
    }

    fn is_cold(&self, far: &Far, now: Time) -> bool {
        far.office.ready_at.is_some_and(|at| now - at < self.settings.warm_up_time)
    }

    /// Set-ups in a span of `fall` that this instance may send to a cold office: its share of what all
    /// together may. A reported rate is only what is left beside other work, so the largest sign counts: its
    /// best report, the traffic here, the quickest set-up, and a set-up in the longest onset 1.
    fn cold_share(&self, far: &Far) -> f64 {
        let s = &self.settings;
        let least = 1.0 / (self.tuning.onset_max * self.aim);
        let seen = 2.0 / self.quickest.max(MIN_RATE);
        let capacity = far.best_rate.max(2.0 * self.offered).max(seen).max(least);
        let all = s.collapse_multiple * s.cold_share * capacity * s.collapse_time;
        // A processor's own call server gives it about half of its work, the others share the rest.
        let others = f64::from(s.proxies.saturating_sub(1).max(1));
        let own = self.tuning.own_part;
        let part = if Some(far.office.number) == s.own_exchange { own } else { (1.0 - own) / others };
        (all * part).max(0.0)
    }

    /// What is left of that share. It fills over time and starts at a random part of one set-up, so that of a
    /// large fleet, where each has far less than one, not all send their first at once.
    fn cold_credit(&self, far: &Far, now: Time) -> f64 {
        let share = self.cold_share(far);
        let filled = share * (now - far.cold_at) / self.settings.collapse_time.max(1e-3);
        (far.cold_credit + filled).min((share / 2.0).max(1.0))
    }

    fn cold_refuses(&self, far: &Far, now: Time) -> bool {
        self.is_cold(far, now) && self.cold_credit(far, now) < 1.0
    }

    fn own_office(&self) -> Option<ExchangeId> {
        self.settings.own_exchange.and_then(|n| self.office_of(n))
    }

    /// Whether the rules on repeats let this call go to this office now.
    fn may_send(&self, call: &Call, far: &Far, now: Time) -> bool {
        let Some((first, sent)) = call.may_have_run else { return true };
        let class = &self.settings.classes[call.arrival.class.0];
        let group = match class.repeat_semantics {
            RepeatSemantics::Idempotent => return true,
            RepeatSemantics::AtMostOnce => return false,
            RepeatSemantics::Deduplicated(scope) => scope,
        };
        let first = self.fars.get(&first).map(|f| &f.office);
        now - sent < class.duplicate_window
            && match group {
                DuplicateScope::All => true,
                DuplicateScope::Zone => first.is_some_and(|o| o.zone == far.office.zone),
                DuplicateScope::Number => first.is_some_and(|o| o.number == far.office.number),
            }
    }

    // ---- Levels seen from here -----------------------------------------------------------------

    /// Set-ups a second of a warm processor, once known: as reported, else by the quickest set-up seen, which
    /// passed two of them, and the traffic here, about half of what a processor looks at. The traffic alone
    /// says too little: a call server with few callers is no sign of slow processors.
    fn speed(&self, now: Time) -> Option<f64> {
        let rates = self.fars.values().filter(|f| f.is_on() && !self.is_cold(f, now)).filter_map(|f| f.rate);
        let (sum, n) = rates.fold((0.0, 0.0), |(sum, n), r| (sum + r, n + 1.0));
        let seen = self.quickest.is_finite();
        match n > 0.0 {
            true => Some((sum / n).max(MIN_RATE)),
            false => seen.then(|| (2.0 * self.offered).max(2.0 / self.quickest.max(MIN_RATE))),
        }
    }

    fn onset(&self, now: Time) -> Secs {
        let (least, most) = (self.tuning.onset_min * self.aim, self.tuning.onset_max * self.aim);
        self.speed(now).map_or(most, |speed| (self.tuning.depth / speed).clamp(least, most))
    }

    fn fresh(&self) -> Secs {
        self.tuning.fresh_aims * self.aim
    }

    /// The wait at the own processor, which every set-up of ours passes: the quickest of the last few ends of
    /// set-ups bounds it, whatever far ends they went to, and so does the age of the last unanswered ones.
    fn own_wait(&self, now: Time) -> Option<Secs> {
        let fresh = self.fresh();
        let ends = self.ends.iter().filter(|(_, at)| now - *at <= fresh).map(|(wait, _)| *wait);
        let (least, n) = ends.fold((f64::INFINITY, 0), |(least, n), wait| (least.min(wait), n + 1));
        let heard = self.fars.values().filter(|f| f.silent_since.is_none());
        let mut out: Vec<_> = heard.flat_map(|f| f.waiting().map(|sent| self.watch - sent)).collect();
        out.sort_by(|a, b| b.total_cmp(a));
        let aged = out.get(ENDS - 1).map(|age| (age - self.quickest.min(*age)).max(0.0));
        (n >= ENDS / 2).then_some(least).into_iter().chain(aged).reduce(f64::max)
    }

    /// The end of a set-up, as far as it tells of the own processor.
    fn learn_own(&mut self, wait: Secs, now: Time) {
        self.own_news = true;
        self.ends.push_back((wait.max(0.0), now));
        if self.ends.len() > ENDS {
            self.ends.pop_front();
        }
    }

    /// Brings the own level and that of one office up to date.
    fn refresh(&mut self, office: ExchangeId, now: Time) {
        let own_wait = self.refresh_own(now);
        self.refresh_far(office, own_wait, now);
    }

    /// The own level; returns the own wait, which is not to be blamed on far ends.
    fn refresh_own(&mut self, now: Time) -> Secs {
        let onset = self.onset(now);
        let own = self.own_office().and_then(|o| self.fars.get(&o));
        let reported = own.and_then(|far| far.fresh_report(now, self.fresh()));
        let own_wait = self.own_wait(now).into_iter().chain(reported).reduce(f64::max);
        // Until a speed is known, as after a restart, a count tells no wait.
        let set_up = self.speed(now).map_or(0.0, |speed| 1.0 / speed);
        let heard = self.fars.values().filter(|f| f.silent_since.is_none());
        let out: usize = heard.map(|f| f.waiting().count()).sum();
        let queue = self.tuning.own_part * out as f64 * set_up;
        // Ends of set-ups known before say nothing new: while all is refused no others come.
        let news = std::mem::take(&mut self.own_news) || out > 0;
        match own_wait {
            Some(wait) if news => self.own.observe(wait.max(queue), onset, self.tuning.abate, now),
            _ if queue >= onset => self.own.observe(queue, onset, self.tuning.abate, now),
            _ => self.own.decay(self.tuning.quiet_aims * self.aim, now),
        }
        own_wait.unwrap_or(0.0)
    }

    fn refresh_far(&mut self, office: ExchangeId, own_wait: Secs, now: Time) {
        let (aim, fresh, onset) = (self.aim, self.fresh(), self.onset(now));
        let (watch, set_up) = (self.watch, self.speed(now).map_or(0.0, |speed| 1.0 / speed));
        let Some(far) = self.fars.get_mut(&office) else { return };
        let ours = far.seen_wait(now, watch, fresh).map(|d| (d - own_wait).max(0.0));
        let queue = far.waiting().count() as f64 * set_up;
        let silence = (far.oldest(watch) - far.base.unwrap_or(0.0) - own_wait).max(queue);
        let wait = far.fresh_report(now, fresh).or(ours).map(|w| w.max(silence));
        let news = std::mem::take(&mut far.news);
        match wait {
            Some(wait) if news || wait >= onset && silence >= wait => {
                far.overload.observe(wait, onset, self.tuning.abate, now);
            }
            _ => far.overload.decay(self.tuning.far_quiet_aims * aim, now),
        }
    }

    /// Whether the state of an office bars a set-up now: draining, paused, cold and spent, or silent.
    fn barred(&self, far: &Far, now: Time) -> bool {
        // A silent processor gets one trial call at a time: set-ups must not pour into a hung one.
        let silent = far.silent_since.is_some() && far.waiting().next().is_some();
        !far.is_on() || now < far.paused_until || silent || self.cold_refuses(far, now)
    }

    // ---- Admission -----------------------------------------------------------------------------

    /// Callers that do not mark redials still show them: first tries all bring the same time to live,
    /// later ones what is left of the give-up time. The commonest length seen is taken for the first try's.
    fn looks_resent(&mut self, arrival: &Arrival) -> bool {
        if arrival.transit || arrival.re_established || arrival.redial {
            return arrival.redial;
        }
        let slot = (arrival.ttl / TTL_SLOT).round().clamp(0.0, 1e9) as i64;
        *self.tries.entry((arrival.class, slot)).or_insert(0) += 1;
        let of_class = self.tries.range((arrival.class, 0)..=(arrival.class, i64::MAX));
        let (count, usual) = of_class.fold((0, slot), |b, (k, n)| if *n > b.0 { (*n, k.1) } else { b });
        count > 1 && (slot - usual).abs() > 1
    }

    /// A redial whose first try was refused here less than its aim ago can still earn its full worth.
    fn still_in_aim(&self, arrival: &Arrival, now: Time) -> bool {
        let first = arrival.number.as_ref().and_then(|n| self.turned_away.get(n));
        first.is_some_and(|at| now - *at < self.class_aim(arrival) - self.onset(now))
    }

    fn on_arrival(&mut self, now: Time, mut arrival: Arrival, out: &mut Vec<Action>) {
        arrival.redial = self.looks_resent(&arrival) && !self.still_in_aim(&arrival, now);
        let gap = (now - self.last_arrival).max(1e-3);
        let blend = 1.0 - (-gap / self.tuning.traffic_span).exp();
        self.offered += blend * (1.0 / gap - self.offered);
        self.last_arrival = now;
        let call = Call {
            arrived: now,
            deadline: now + arrival.ttl.max(0.0),
            attempts: 0,
            stage: Stage::Held,
            not_before: now,
            tried: Vec::new(),
            may_have_run: None,
            arrival,
        };
        let refusal = self.refusal(&call, now, out);
        let id = call.arrival.id.clone();
        self.calls.insert(id.clone(), call);
        match refusal {
            None => self.advance(now, &id, out),
            Some(reason) => self.conclude(&id, reason, out),
        }
    }

    fn rank(&self, arrival: &Arrival) -> Rank {
        let worth = |ix: usize| self.settings.classes.get(ix).map_or(0.0, |c| c.worth);
        let least = self.settings.classes.iter().map(|c| c.worth).fold(f64::INFINITY, f64::min);
        match (arrival.re_established, arrival.redial) {
            (true, _) => Rank::Urgent,
            (_, true) => Rank::Redial,
            _ if worth(arrival.class.0) > least => Rank::Urgent,
            _ => Rank::Normal,
        }
    }

    /// Why a request is refused before anything is sent, if it is: first set-ups at the share of the own and the far
    /// processor's level.
    fn refusal(&mut self, call: &Call, now: Time, out: &mut Vec<Action>) -> Option<Refusal> {
        let arrival = &call.arrival;
        // A call to a number of the own exchange has no office to go to: a send to oneself is a fault.
        let to_self = self.settings.own_exchange == Some(arrival.dest);
        if to_self || arrival.class.0 >= self.settings.classes.len() {
            return Some(Refusal::Unroutable);
        }
        if self.gapped(arrival, now) {
            return Some(Refusal::Gapped);
        }
        let Some(dest) = self.office_of(arrival.dest) else { return Some(Refusal::NotInService) };
        let rank = self.rank(arrival);
        if let Some(own) = self.own_office() {
            if self.settings.probing_allowed && now - self.probed_at >= self.tuning.probe_aims * self.aim {
                self.probed_at = now;
                out.push(Action::Probe(own));
            }
        }
        self.refresh(dest, now);
        if self.own.refuses(rank, &self.tuning.refused) {
            return Some(Refusal::OwnOverload);
        }
        let Some(far) = self.fars.get(&dest) else { return Some(Refusal::NotInService) };
        if self.barred(far, now) && self.settings.service_kind == ServiceKind::Network {
            return Some(Refusal::FarUnavailable);
        }
        let trial = far.silent_since.is_some();
        if trial || arrival.transit || self.settings.service_kind == ServiceKind::AgentPools {
            return None;
        }
        let far = self.fars.get_mut(&dest)?;
        far.overload.refuses(rank, &self.tuning.refused).then_some(Refusal::FarOverload)
    }

    fn on_status(&mut self, now: Time, office: ExchangeId, ok: bool, report: &LoadReport) {
        let onset = self.onset(now);
        self.own_news |= self.own_office() == Some(office);
        let Some(far) = self.fars.get_mut(&office) else { return };
        if ok {
            far.learn(report, now, onset);
        } else {
            far.reported = Some((self.tuning.probe_failed * onset, now));
            far.news = true;
        }
    }

    fn gapped(&self, arrival: &Arrival, now: Time) -> bool {
        let gap = arrival.number.as_ref().and_then(|n| self.gaps.get(n));
        gap.is_some_and(|(until, _)| now < *until)
    }

    // ---- Route choice --------------------------------------------------------------------------

    fn reserve(&self, far: &Far) -> f64 {
        let size = far.size.unwrap_or(0.0).max(0.0);
        (self.tuning.reserve * size.sqrt()).ceil().min((self.tuning.most_reserved * size).floor())
    }

    fn room(far: &Far, width: u32, kept: f64) -> bool {
        far.free.is_none_or(|free| free - kept >= f64::from(width))
    }

    /// Direct while the group has room, else over a tandem.
    fn route(&mut self, call: &Call, now: Time) -> Option<ExchangeId> {
        let arrival = &call.arrival;
        let dest = self.office_of(arrival.dest);
        if let Some(far) = dest.and_then(|d| self.fars.get(&d)) {
            // A marked redial mostly stands late: it must not take the last circuits from first tries.
            let kept = if arrival.transit || arrival.redial { self.reserve(far) } else { 0.0 };
            let fits = Self::room(far, arrival.width, kept) && !self.barred(far, now);
            let again = call.tried.contains(&far.office.id) && call.may_have_run.is_none();
            if fits && !again && self.may_send(call, far, now) {
                return dest;
            }
        }
        if arrival.transit || arrival.redial {
            return None;
        }
        self.draw_tandem(call, now)
    }

    /// A weighted draw of the tandems whose leg has more than the reserve free. A call over a tandem is
    /// work for a third processor, so only processors at no overload take part.
    fn draw_tandem(&mut self, call: &Call, now: Time) -> Option<ExchangeId> {
        let own_wait = self.refresh_own(now);
        if self.own.level > 0 {
            return None;
        }
        let arrival = &call.arrival;
        let pools = &self.settings.classes[arrival.class.0].pools;
        let skills = self.settings.service_kind == ServiceKind::AgentPools;
        let usable = |far: &&Far| {
            let number = far.office.number;
            let allowed = !skills || pools.is_empty() || pools.contains(&number);
            Some(number) != self.settings.own_exchange
                && number != arrival.dest
                && allowed
                && self.serving.get(&number) == Some(&far.office.id)
                && !call.tried.contains(&far.office.id)
                && Self::room(far, arrival.width, self.reserve(far))
                && !self.barred(far, now)
                && !self.is_cold(far, now)
                && far.silent_since.is_none()
                && self.may_send(call, far, now)
        };
        let candidates: Vec<_> =
            self.fars.values().filter(usable).map(|f| (f.office.id, f.office.number)).collect();
        let mut weighted = Vec::new();
        let mut advised = None;
        for (id, number) in candidates {
            self.refresh_far(id, own_wait, now);
            if self.fars.get(&id).is_some_and(|f| f.overload.level > 0) {
                continue;
            }
            let weight = self.weights.get(&(arrival.dest, number)).copied().unwrap_or(1.0);
            weighted.push((id, weight));
            advised = advised.or((arrival.hop == Some(number)).then_some(weighted.len() - 1));
        }
        let others = weighted.len() as f64;
        if let Some((_, weight)) = advised.and_then(|ix: usize| weighted.get_mut(ix)) {
            *weight *= self.tuning.advised * others;
        }
        let total: f64 = weighted.iter().map(|(_, w)| w).sum();
        let mut draw = self.rng.f64() * total;
        let hit = weighted.iter().find(|(_, weight)| {
            draw -= weight;
            draw <= 0.0
        });
        hit.or(weighted.last()).map(|(id, _)| *id)
    }

    fn weigh(&mut self, dest: ExchangeNumber, tandem: ExchangeId, good: bool) {
        let Some(number) = self.fars.get(&tandem).map(|f| f.office.number) else { return };
        if number == dest {
            return;
        }
        let (t, weight) = (&self.tuning, self.weights.entry((dest, number)).or_insert(1.0));
        *weight = if good { *weight + t.raise * (1.0 - *weight) } else { (*weight * t.lower).max(t.floor) };
    }

    // ---- Attempt life cycle --------------------------------------------------------------------

    fn class_aim(&self, arrival: &Arrival) -> Secs {
        self.settings.classes.get(arrival.class.0).map_or(self.aim, |c| c.target)
    }

    /// Sends a held call, or gives its final answer where nothing is left to try in time.
    fn advance(&mut self, now: Time, id: &CallId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id).filter(|c| c.stage == Stage::Held).cloned() else { return };
        let useful_until = call.arrived + self.class_aim(&call.arrival).min(call.deadline - call.arrived);
        if now < call.not_before {
            if call.not_before >= useful_until {
                return self.conclude(id, Refusal::Exhausted, out);
            }
            let after = (call.not_before - now) + self.settings.tick.max(1e-3);
            return self.timer(after, Some(id.clone()), out);
        }
        let most = self.settings.max_attempts.clamp(1, self.tuning.most_tries);
        if call.attempts >= most || now >= useful_until {
            return self.conclude(id, Refusal::Exhausted, out);
        }
        if let Some(own) = self.own_office().and_then(|o| self.fars.get(&o)) {
            if self.cold_refuses(own, now) {
                return self.conclude(id, Refusal::OwnCold, out);
            }
        }
        match self.route(&call, now) {
            Some(office) => self.send(now, id, office, out),
            None => self.conclude(id, Refusal::NoRoute, out),
        }
    }

    fn send(&mut self, now: Time, id: &CallId, office: ExchangeId, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let aim = self.settings.classes.get(call.arrival.class.0).map_or(self.aim, |c| c.target);
        let Some(far) = self.fars.get_mut(&office) else { return };
        let abandon_at = call.arrived + aim.min(call.deadline - call.arrived);
        call.stage = Stage::Out { office, leg: call.attempts, sent: now };
        call.attempts += 1;
        call.tried.push(office);
        let direct =
            far.office.number == call.arrival.dest || self.settings.service_kind == ServiceKind::AgentPools;
        far.pending.push((id.clone(), self.watch, direct));
        for id in [Some(office), self.own_office()].into_iter().flatten() {
            let left = self.fars.get(&id).map_or(0.0, |far| self.cold_credit(far, now) - 1.0);
            if let Some(far) = self.fars.get_mut(&id) {
                (far.cold_credit, far.cold_at) = (left.max(0.0), now);
            }
        }
        out.push(Action::Attempt { id: id.clone(), exchange: office, abandon_at });
    }

    fn on_stands(&mut self, now: Time, id: &CallId, leg: u32, office: ExchangeId, took: Secs) {
        let Some(call) = self.calls.get_mut(id) else { return };
        let Stage::Out { leg: l, office: o, sent } = call.stage else { return };
        if l != leg || o != office {
            return;
        }
        call.stage = Stage::Standing;
        let (dest, number) = (call.arrival.dest, call.arrival.number.clone());
        let (mut waited, mut took) = (took, took);
        if let Some(far) = self.fars.get_mut(&office) {
            let on_watch =
                far.pending.iter().find(|(c, ..)| c == id).map_or(self.watch, |(_, sent, _)| *sent);
            let stood_still = (now - sent) - (self.watch - on_watch);
            took = (took - stood_still.max(0.0)).max(0.0);
            far.settle(id, true);
            waited = took - far.base.unwrap_or(self.quickest.min(took));
            if far.office.number == dest || self.settings.service_kind == ServiceKind::AgentPools {
                (far.delay, far.news) = (Some((took, now)), true);
                self.quickest = self.quickest.min(took.max(0.0));
                far.base = Some(far.base.map_or(took, |b| b.min(took)));
            }
            far.silent_since = None;
        }
        self.learn_own(waited, now);
        self.weigh(dest, office, true);
        if let Some(number) = number {
            self.gaps.remove(&number);
        }
        self.refresh(office, now);
    }

    fn on_answer(&mut self, now: Time, answer: AttemptResult, out: &mut Vec<Action>) {
        let id = answer.id.clone();
        let onset = self.onset(now);
        if let Some(far) = self.fars.get_mut(&answer.exchange) {
            far.learn(&answer.report, now, onset);
        }
        if answer.concluded {
            return self.forget(&id);
        }
        let Some(call) = self.calls.get_mut(&id) else { return };
        let Stage::Out { leg, sent, .. } = call.stage else { return };
        if leg != answer.leg {
            return;
        }
        let (dest, number) = (call.arrival.dest, call.arrival.number.clone());
        call.stage = Stage::Held;
        // A refusal may jump the line: only what stands tells of it.
        let overtaken = self.fars.get_mut(&answer.exchange).is_some_and(|far| far.settle(&id, false));
        let never_ran =
            matches!(answer.outcome, Outcome::Refused | Outcome::ConnectFailed | Outcome::NotSent);
        if !never_ran && call.may_have_run.is_none() {
            call.may_have_run = Some((answer.exchange, sent));
        }
        let mut again = true;
        if let (Outcome::Refused, Some(far)) = (answer.outcome, self.fars.get_mut(&answer.exchange)) {
            far.paused_until = Time(far.paused_until.0.max(now.0 + self.tuning.refused_pause));
        }
        match (answer.outcome, answer.cause) {
            (Outcome::TimedOut, _) => {
                call.not_before = now + self.settings.release_pause;
                if !overtaken {
                    self.learn_silence(now, dest, answer.exchange, answer.elapsed);
                }
            }
            (Outcome::Reset | Outcome::Cancelled, _) => call.not_before = now + self.settings.release_pause,
            (Outcome::Error, Cause::LinesBusy) => {
                self.gap(now, number);
                again = false;
            }
            (Outcome::Refused, Cause::ProcessorFull) => {
                self.learn_full(now, answer.exchange, answer.retry_after);
                again = self.fars.get(&answer.exchange).is_some_and(|f| f.office.number != dest);
            }
            (Outcome::Refused, Cause::FarProcessorFull) => {
                if let Some(far) = self.office_of(dest) {
                    self.learn_full(now, far, None);
                }
                again = false;
            }
            (Outcome::Refused, Cause::Crankback) => self.weigh(dest, answer.exchange, false),
            (Outcome::NotSent, Cause::ProcessorFull) => {
                self.own.raise(now);
                again = false;
            }
            (Outcome::ConnectFailed, _) => self.learn_silence(now, dest, answer.exchange, answer.elapsed),
            _ => {}
        }
        if again {
            self.advance(now, &id, out);
        } else {
            self.conclude(&id, Refusal::Busy, out);
        }
    }

    /// No answer: the wait is at least the time we waited. Through a tandem either end may be at fault, so
    /// only the weight of the pair is lowered.
    fn learn_silence(&mut self, now: Time, dest: ExchangeNumber, office: ExchangeId, took: Secs) {
        self.weigh(dest, office, false);
        let own_wait = self.own_wait(now).unwrap_or(0.0);
        let Some(far) = self.fars.get_mut(&office) else { return };
        if far.office.number == dest || self.settings.service_kind == ServiceKind::AgentPools {
            let known_silent = far.silent_since.is_some();
            (far.delay, far.news) = (Some((took, now)), true);
            // Where the own processor may have held the set-up, its silence says nothing of the far end.
            if own_wait < took / 2.0 {
                far.silent_since.get_or_insert(now);
            }
            if !known_silent {
                self.learn_own(took, now);
            }
        }
        self.refresh(office, now);
    }

    fn learn_full(&mut self, now: Time, office: ExchangeId, named: Option<Secs>) {
        let Some(far) = self.fars.get_mut(&office) else { return };
        far.overload.raise(now);
        far.silent_since = None;
        far.paused_until = now + named.unwrap_or(0.0).max(self.tuning.full_pause);
    }

    /// Redials multiply the load of a number whose lines are all busy: gap it, twice as long each time.
    fn gap(&mut self, now: Time, number: Option<String>) {
        let Some(number) = number else { return };
        let most = self.tuning.gap_aims * self.aim;
        self.gaps.retain(|_, (until, _)| now - *until < most);
        let length = self.gaps.get(&number).map_or(self.aim, |(_, length)| (2.0 * length).min(most));
        self.gaps.insert(number, (now + length, length));
    }

    fn on_timer(&mut self, now: Time, token: TimerToken, out: &mut Vec<Action>) {
        match self.timers.remove(&token) {
            Some(Some(id)) => self.advance(now, &id, out),
            Some(None) => out.push(Action::Subscribe),
            None => {}
        }
    }

    fn timer(&mut self, after: Secs, call: Option<CallId>, out: &mut Vec<Action>) {
        let token = TimerToken(self.next_token);
        self.next_token += 1;
        self.timers.insert(token, call);
        out.push(Action::Timer { after: after.max(0.0), token });
    }

    /// The final answer: refused where the rules let it, else failed.
    fn conclude(&mut self, id: &CallId, reason: Refusal, out: &mut Vec<Action>) {
        let Some(call) = self.calls.get(id) else { return };
        if let (Some(number), false) = (&call.arrival.number, call.arrival.transit) {
            let (now, longest) = (call.arrived, 2.0 * self.class_aim(&call.arrival));
            self.turned_away.retain(|_, at| now - *at < longest);
            self.turned_away.entry(number.clone()).or_insert(now);
        }
        let class = self.settings.classes.get(call.arrival.class.0);
        let refusable = call.may_have_run.is_none()
            || class.is_none_or(|c| {
                matches!(
                    c.repeat_semantics,
                    RepeatSemantics::Idempotent | RepeatSemantics::Deduplicated(DuplicateScope::All)
                )
            });
        out.push(if refusable {
            // A call refused early may yet stand in its aim if the caller is back soon; a number whose lines
            // are all busy is better left alone.
            let gapped = self.gapped(&call.arrival, call.arrived);
            let wait = if gapped { f64::INFINITY } else { self.tuning.cool_down_aims * self.aim };
            let cool_down = self.settings.cool_down_allowed.then_some(wait.min(self.settings.max_cool_down));
            Action::Refuse { id: id.clone(), cool_down, reason }
        } else {
            Action::Fail(id.clone())
        });
        self.forget(id);
    }

    fn forget(&mut self, id: &CallId) {
        if let Some(Call { stage: Stage::Out { office, .. }, .. }) = self.calls.remove(id) {
            if let Some(far) = self.fars.get_mut(&office) {
                far.settle(id, false);
            }
        }
    }
}
