//! Call table: the state of every call from its request to its release, and the enforcement of the protocol rules.

mod record;
mod roster;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use record::{record_attempt, record_attempt_end, record_refusal, EndedAttempt};

use super::tenants::{Counts, Tenants};
use super::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, RejectReason, Request, SetUp,
};
use crate::interface::*;
use crate::logic::Controller;
use crate::recovery::attempt_end::{earliest_retry, AbandonedCalls, AttemptEnd};

/// A final answer is sent at least this many seconds before the caller stops waiting, so that all of it arrives in
/// time.
pub const MARGIN: Secs = 0.02;

/// Approximate memory in bytes of a call without its description, in all places that keep a record of it: the call
/// table, the decision module, the front, the exchange's actor and the timers.
pub const RECORD_BYTES: usize = 2048;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// No attempt is in progress, and the caller has no final answer yet.
    NoAttempt,
    /// One attempt is in progress.
    Attempting { exchange_id: ExchangeId, leg: u32, sent: Time },
    /// The call is established.
    Established { exchange_id: ExchangeId, leg: u32, sent: Time },
}

#[derive(Debug)]
struct Call {
    front: Front,
    tenant: Option<String>,
    class: String,
    number: String,
    dest: ExchangeNumber,
    width: u32,
    description: Arc<[u8]>,
    /// Memory in bytes that the front holds for the call.
    front_bytes: usize,
    deadline: Time,
    /// Number of attempts made, including those that a rule forbade.
    attempts: u32,
    /// Earliest time of the next attempt.
    not_before: Time,
    /// An attempt has ended without confirmation by its exchange: no other one may follow.
    abandoned: bool,
    stage: Stage,
}

impl Call {
    /// Approximate number of bytes that the record of the call occupies.
    fn record_bytes(&self) -> usize {
        RECORD_BYTES + self.description.len() + self.front_bytes
    }
}

/// All calls of one signalling proxy, with the decision module for them.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    tenants: Tenants,
    controller: Controller,
    calls: BTreeMap<CallId, Call>,
    /// Service state, last start and number of each exchange on the roster.
    roster: BTreeMap<ExchangeId, (ServiceState, Option<Time>, ExchangeNumber)>,
    /// Time at which an exchange started to drain or was removed.
    unavailable_since: BTreeMap<ExchangeId, Time>,
    /// Exchange numbers that have ever been on the roster.
    listed_numbers: BTreeSet<ExchangeNumber>,
    /// Exchanges that have the number of the own exchange.
    own_exchanges: BTreeSet<ExchangeId>,
    /// Exchanges whose trunk group state has been received.
    status_received: BTreeSet<ExchangeId>,
    /// Calls that ended while an attempt of theirs may still have been pending.
    abandoned_calls: AbandonedCalls,
    /// Buffer for the actions of the controller, kept for reuse.
    actions: Vec<Action>,
    /// The proxy is shutting down: new requests are refused.
    shutting_down: bool,
    /// Bytes that the records of calls occupy.
    bytes_in_use: usize,
    /// Maximum of `bytes_in_use`.
    max_bytes: usize,
}

impl Table {
    /// Creates a table without calls.
    pub fn new(settings: Settings, tenants: Tenants, seed: u64, now: Time) -> Self {
        Self::with_tuning(settings, Tuning::default(), tenants, seed, now)
    }

    /// Creates a table without calls whose decision module uses the given tuning.
    pub fn with_tuning(settings: Settings, tuning: Tuning, tenants: Tenants, seed: u64, now: Time) -> Self {
        let mut controller = Controller::with_tuning(settings.clone(), tuning, seed);
        // The controller may ask to subscribe to the roster at its start. Rosters and trunk group states arrive
        // unprompted here, so its actions are dropped.
        controller.start(now, &mut Vec::new());
        Table {
            settings,
            tenants,
            controller,
            calls: BTreeMap::new(),
            roster: BTreeMap::new(),
            unavailable_since: BTreeMap::new(),
            listed_numbers: BTreeSet::new(),
            own_exchanges: BTreeSet::new(),
            status_received: BTreeSet::new(),
            abandoned_calls: AbandonedCalls::default(),
            actions: Vec::new(),
            shutting_down: false,
            bytes_in_use: 0,
            max_bytes: usize::MAX,
        }
    }

    /// Sets the maximum number of bytes of the call records. Requests beyond it are refused.
    pub fn set_max_bytes(&mut self, limit: usize) {
        self.max_bytes = limit;
    }

    /// Bytes that the records of calls occupy.
    pub fn bytes_in_use(&self) -> usize {
        self.bytes_in_use
    }

    /// Refuses every new request from now on. Waiting and established calls continue.
    pub fn stop_admitting(&mut self) {
        self.shutting_down = true;
    }

    /// Refuses every call that waits for a final answer, as the proxy is about to be killed.
    pub fn refuse_waiting(&mut self, now: Time, effects: &mut Vec<CallEffect>) {
        let waiting = self.calls.iter().filter(|(_, c)| !matches!(c.stage, Stage::Established { .. }));
        let waiting: Vec<CallId> = waiting.map(|(id, _)| id.clone()).collect();
        let cool_down = self.default_cool_down();
        for id in waiting {
            self.give_final_answer(now, id, CallerCommand::Refuse(cool_down), "shutting down", effects);
        }
    }

    /// The cool-down of a refusal that the decision module did not make.
    fn default_cool_down(&self) -> Option<Secs> {
        self.settings.cool_down_allowed.then_some(self.settings.max_cool_down)
    }

    /// The tenants.
    pub fn tenants(&self) -> &Tenants {
        &self.tenants
    }

    /// The tenants, to change them. A change applies from the next request on.
    pub fn tenants_mut(&mut self) -> &mut Tenants {
        &mut self.tenants
    }

    /// Removes a call and updates the counters of its tenant. An attempt that is still in progress is given up.
    fn remove_call(&mut self, id: &CallId, count: impl FnOnce(&mut Counts)) -> Option<Call> {
        let call = self.calls.remove(id)?;
        if call.abandoned || matches!(call.stage, Stage::Attempting { .. }) {
            self.abandoned_calls.insert(id.clone());
        }
        self.bytes_in_use = self.bytes_in_use.saturating_sub(call.record_bytes());
        self.tenants.count(call.tenant.as_ref(), |counts| {
            counts.present = counts.present.saturating_sub(1);
            count(counts);
        });
        Some(call)
    }

    /// Number of calls that wait for a final answer.
    pub fn waiting_count(&self) -> usize {
        self.calls.values().filter(|c| !matches!(c.stage, Stage::Established { .. })).count()
    }

    /// Number of established calls.
    pub fn established_count(&self) -> usize {
        self.calls.len() - self.waiting_count()
    }

    /// Whether the roster has arrived, and the state of the trunk group to every exchange in service on it.
    pub fn informed(&self) -> bool {
        let mut in_service =
            self.roster.iter().filter(|(_, (c, ..))| *c == ServiceState::InService).map(|(id, _)| id);
        !self.roster.is_empty()
            && in_service.all(|id| self.own_exchanges.contains(id) || self.status_received.contains(id))
    }

    /// The overload levels that the decision module estimates: of the own processor, and of each far exchange in
    /// service.
    pub fn levels(&self) -> (usize, Vec<(ExchangeNumber, usize)>) {
        self.controller.levels()
    }

    /// Handles one event and appends the resulting effects in order.
    pub fn handle(&mut self, now: Time, event: CallEvent, effects: &mut Vec<CallEffect>) {
        match event {
            CallEvent::Request(request) => self.on_request(now, request, effects),
            CallEvent::CallerGaveUp(id) => self.on_caller_gave_up(now, id, effects),
            CallEvent::CallerReleased(id) => self.on_caller_released(now, id, effects),
            CallEvent::Answered { id, exchange: exchange_id, leg, description } => {
                self.on_answered(now, id, exchange_id, leg, description, effects);
            }
            CallEvent::SetUpFailed { id, exchange: exchange_id, leg, end, cause, report } => {
                let ended = EndedAttempt { end, cause, report };
                self.on_set_up_failed(now, id, exchange_id, leg, ended, effects);
            }
            CallEvent::ExchangeReleased { id, exchange: exchange_id, completed: was_completed, report } => {
                self.on_exchange_released(now, id, exchange_id, was_completed, report, effects);
            }
            CallEvent::Status { exchange: exchange_id, report } => {
                // A state may arrive after the roster entry that removes its exchange.
                if self.roster.contains_key(&exchange_id) {
                    self.status_received.insert(exchange_id);
                }
                self.decide(
                    now,
                    Event::Status { exchange: exchange_id, ok: true, elapsed: 0.0, report },
                    effects,
                );
            }
            CallEvent::StatusLost(exchange_id) => self.decide(now, Event::StatusLost(exchange_id), effects),
            CallEvent::ExchangeDown(exchange_id) => self.on_exchange_down(now, exchange_id, effects),
            CallEvent::Roster { full: full_roster, entries: roster_entries } => {
                self.on_roster(now, full_roster, roster_entries, effects)
            }
            CallEvent::TimerExpired(timer) => self.on_timer(now, timer, effects),
        }
    }

    fn on_request(&mut self, now: Time, request: Request, effects: &mut Vec<CallEffect>) {
        let (id, front) = (request.id.clone(), request.front);
        if self.calls.contains_key(&id) {
            return effects
                .push(CallEffect::Log(format!("call {}: a second request with its id is ignored", id.0)));
        }
        let class = self.settings.classes.iter().position(|c| c.name == request.class);
        let reject = if class.is_none() {
            Some(RejectReason::UnknownClass)
        } else if !self.tenants.admits(request.tenant.as_ref()) {
            Some(RejectReason::UnknownTenant)
        } else if !self.listed_numbers.is_empty() && !self.listed_numbers.contains(&request.dest) {
            Some(RejectReason::UnknownDestination)
        } else if !self.is_in_range(&request, class) {
            Some(RejectReason::OutOfRange)
        } else {
            None
        };
        let record_bytes = request.record_bytes();
        let tenant = request.tenant;
        if let Some(reject) = reject {
            tracing::info!(call = id.0, reason = ?reject, "request rejected");
            self.tenants.count(tenant.as_ref(), |counts| counts.rejected += 1);
            return effects.push(CallEffect::Caller(front, id, CallerCommand::Reject(reject)));
        }
        let reason = if self.shutting_down {
            Some("shutting down")
        } else if self.abandoned_calls.contains(&id) {
            Some("attempt unconfirmed")
        } else if self.tenants.is_full(tenant.as_ref()) {
            Some("tenant full")
        } else if self.bytes_in_use + record_bytes > self.max_bytes {
            Some("memory")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.tenants.count(tenant.as_ref(), |counts| counts.refused += 1);
            record_refusal(&id, reason);
            return effects.push(CallEffect::Caller(
                front,
                id,
                CallerCommand::Refuse(self.default_cool_down()),
            ));
        }
        self.tenants.count(tenant.as_ref(), |counts| {
            counts.taken += 1;
            counts.present += 1;
        });
        let ttl = (request.ttl - MARGIN).max(0.0);
        let call = Call {
            front,
            tenant,
            class: request.class,
            number: request.number.clone(),
            dest: request.dest,
            width: request.width,
            description: request.description,
            front_bytes: request.front_bytes,
            deadline: now + ttl,
            attempts: 0,
            not_before: now,
            abandoned: false,
            stage: Stage::NoAttempt,
        };
        effects.push(CallEffect::StartTimer(call.deadline, CallTimer::Deadline(id.clone())));
        self.bytes_in_use += call.record_bytes();
        self.calls.insert(id, call);
        let arrival = Arrival {
            id: request.id,
            ttl,
            transit: request.transit,
            hop: request.hop,
            re_established: request.re_established,
            width: request.width,
            redial: request.redial,
            dest: request.dest,
            class: ClassIndex(class.unwrap_or(0)),
            number: Some(request.number),
        };
        self.decide(now, Event::Arrival(arrival), effects);
    }

    /// Whether the figures of a request are in range: the caller waits no longer than the give-up time of its class
    /// (with 0.1 s of tolerance), the request takes no more circuits than the widest class, and its tandem or
    /// exchange of origin has been on the roster.
    fn is_in_range(&self, request: &Request, class: Option<usize>) -> bool {
        let give_up = class.and_then(|ix| self.settings.classes.get(ix)).map_or(0.0, |c| c.give_up_after);
        let widest = self.settings.classes.iter().map(|c| c.width).fold(1, u32::max);
        let is_listed =
            |n: &ExchangeNumber| self.listed_numbers.is_empty() || self.listed_numbers.contains(n);
        request.ttl > 0.0
            && request.ttl <= give_up + 0.1
            && (1..=widest).contains(&request.width)
            && request.hop.as_ref().is_none_or(is_listed)
    }

    /// The caller has given up: it gets no final answer, and an attempt in progress is cancelled.
    fn on_caller_gave_up(&mut self, now: Time, id: CallId, effects: &mut Vec<CallEffect>) {
        match self.calls.get(&id).map(|c| c.stage.clone()) {
            Some(Stage::Attempting { exchange_id, leg, sent }) => {
                let ended = EndedAttempt::without_message(AttemptEnd::Cancelled);
                record_attempt_end(&id, exchange_id, leg, &ended, now - sent);
                effects.push(CallEffect::Exchange(
                    exchange_id,
                    id.clone(),
                    ExchangeCommand::CancelSetUp { leg },
                ));
            }
            Some(Stage::NoAttempt) => {}
            // The caller cancelled while the answer was on its way: the established call is released at both ends.
            Some(Stage::Established { .. }) => {
                let front = self.calls.get(&id).map(|c| c.front);
                self.on_caller_released(now, id.clone(), effects);
                effects.extend(
                    front.map(|f| CallEffect::Caller(f, id, CallerCommand::Release { completed: false })),
                );
                return;
            }
            None => return,
        }
        self.remove_call(&id, |counts| counts.given_up += 1);
        self.decide(now, Event::Withdrawn(id), effects);
    }

    fn on_caller_released(&mut self, now: Time, id: CallId, effects: &mut Vec<CallEffect>) {
        let Some(Stage::Established { exchange_id, leg, sent }) =
            self.calls.get(&id).map(|c| c.stage.clone())
        else {
            return self.give_up_if_waiting(now, id, effects);
        };
        self.remove_call(&id, |_| {});
        effects.push(CallEffect::Exchange(
            exchange_id,
            id.clone(),
            ExchangeCommand::Release { leg: Some(leg) },
        ));
        let report = LoadReport::default();
        self.report_call_end(now, &id, (exchange_id, leg, sent), Outcome::Cancelled, report, effects);
    }

    /// Treats a caller's release of a call that is not established yet as giving up.
    fn give_up_if_waiting(&mut self, now: Time, id: CallId, effects: &mut Vec<CallEffect>) {
        if self.calls.contains_key(&id) {
            self.on_caller_gave_up(now, id, effects);
        }
    }

    fn on_answered(
        &mut self,
        now: Time,
        id: CallId,
        exchange_id: ExchangeId,
        leg: Option<u32>,
        description: Arc<[u8]>,
        effects: &mut Vec<CallEffect>,
    ) {
        let matches = |o: ExchangeId, l: u32| o == exchange_id && leg.is_none_or(|leg| leg == l);
        if let Some(call) = self.calls.get_mut(&id) {
            match call.stage {
                Stage::Attempting { exchange_id: o, leg, sent } if matches(o, leg) => {
                    call.stage = Stage::Established { exchange_id, leg, sent };
                    // The description is not needed any longer, as no attempt follows.
                    self.bytes_in_use = self.bytes_in_use.saturating_sub(call.description.len());
                    call.description = Arc::from([]);
                    self.tenants.count(call.tenant.as_ref(), |counts| counts.stood += 1);
                    tracing::debug!(call = id.0, office = o.0, attempt = leg, "call established");
                    effects.push(CallEffect::Caller(
                        call.front,
                        id.clone(),
                        CallerCommand::Answer(description),
                    ));
                    return self.decide(
                        now,
                        Event::Established { id, leg, exchange: exchange_id, elapsed: now - sent },
                        effects,
                    );
                }
                // A repeated answer.
                Stage::Established { exchange_id: o, leg, .. } if matches(o, leg) => return,
                _ => {}
            }
        }
        // The exchange answered while the cancel of this attempt was on its way: no caller waits for the answer.
        effects.push(CallEffect::Exchange(exchange_id, id, ExchangeCommand::Release { leg }));
    }

    fn on_set_up_failed(
        &mut self,
        now: Time,
        id: CallId,
        exchange_id: ExchangeId,
        leg: Option<u32>,
        ended: EndedAttempt,
        effects: &mut Vec<CallEffect>,
    ) {
        if let Some(call) = self.calls.get_mut(&id) {
            if let Stage::Attempting { exchange_id: o, leg: l, sent } = call.stage {
                if o == exchange_id && leg.is_none_or(|leg| leg == l) {
                    call.stage = Stage::NoAttempt;
                    call.abandoned |= !ended.end.permits_retry();
                    call.not_before = earliest_retry(now, ended.end.outcome(), self.settings.release_pause);
                    record_attempt_end(&id, exchange_id, l, &ended, now - sent);
                    return self.report_attempt_end(now, &id, (exchange_id, l, sent), ended, effects);
                }
            }
        }
        if ended.report != LoadReport::default() {
            let (exchange, report) = (exchange_id, ended.report);
            self.decide(now, Event::Status { exchange, ok: true, elapsed: 0.0, report }, effects);
        }
    }

    fn on_exchange_released(
        &mut self,
        now: Time,
        id: CallId,
        exchange_id: ExchangeId,
        whole: bool,
        report: LoadReport,
        effects: &mut Vec<CallEffect>,
    ) {
        let established = match self.calls.get(&id) {
            Some(Call { stage: Stage::Established { exchange_id: o, leg, sent }, front, .. })
                if *o == exchange_id =>
            {
                Some((*front, *leg, *sent))
            }
            _ => None,
        };
        // An exchange sends a release on each of its connections, so most arrive twice. Repeats are ignored.
        let Some((front, leg, sent)) = established else { return };
        tracing::debug!(call = id.0, office = exchange_id.0, whole, "call released");
        self.remove_call(&id, |_| {});
        effects.push(CallEffect::Caller(front, id.clone(), CallerCommand::Release { completed: whole }));
        let outcome = if whole { Outcome::Completed } else { Outcome::Reset };
        self.report_call_end(now, &id, (exchange_id, leg, sent), outcome, report, effects);
    }

    fn on_timer(&mut self, now: Time, timer: CallTimer, effects: &mut Vec<CallEffect>) {
        match timer {
            CallTimer::Controller(token) => self.decide(now, Event::Timer(token), effects),
            CallTimer::AttemptTimeout(id, leg) => {
                let Some(Stage::Attempting { exchange_id, leg: l, .. }) =
                    self.calls.get(&id).map(|c| c.stage.clone())
                else {
                    return;
                };
                if leg == l {
                    effects.push(CallEffect::Exchange(
                        exchange_id,
                        id.clone(),
                        ExchangeCommand::CancelSetUp { leg },
                    ));
                    let ended = EndedAttempt::without_message(AttemptEnd::TimedOut);
                    self.on_set_up_failed(now, id, exchange_id, Some(leg), ended, effects);
                }
            }
            CallTimer::Deadline(id) => {
                // An attempt that is still in progress has timed out. The decision module learns from the time-out,
                // and usually gives the final answer itself.
                if let Some(Stage::Attempting { leg, .. }) = self.calls.get(&id).map(|c| c.stage.clone()) {
                    self.on_timer(now, CallTimer::AttemptTimeout(id.clone(), leg), effects);
                }
                let Some(Call { front, stage: Stage::NoAttempt, .. }) = self.calls.get(&id) else { return };
                record_refusal(&id, "deadline");
                effects.push(CallEffect::Caller(
                    *front,
                    id.clone(),
                    CallerCommand::Refuse(self.default_cool_down()),
                ));
                self.remove_call(&id, |counts| counts.refused += 1);
                self.decide(now, Event::Withdrawn(id), effects);
            }
        }
    }

    /// Reports to the decision module how an attempt ended.
    fn report_attempt_end(
        &mut self,
        now: Time,
        id: &CallId,
        (exchange, leg, sent): (ExchangeId, u32, Time),
        ended: EndedAttempt,
        effects: &mut Vec<CallEffect>,
    ) {
        let result = AttemptResult {
            id: id.clone(),
            leg,
            exchange,
            outcome: ended.end.outcome(),
            elapsed: now - sent,
            cause: ended.cause,
            retry_after: None,
            concluded: false,
            unconfirmed: !ended.end.permits_retry(),
            report: ended.report,
        };
        self.decide(now, Event::AttemptEnded(result), effects);
    }

    /// Reports to the decision module how an established call ended.
    fn report_call_end(
        &mut self,
        now: Time,
        id: &CallId,
        (exchange, leg, sent): (ExchangeId, u32, Time),
        outcome: Outcome,
        report: LoadReport,
        effects: &mut Vec<CallEffect>,
    ) {
        let result = AttemptResult {
            id: id.clone(),
            leg,
            exchange,
            outcome,
            elapsed: now - sent,
            cause: Cause::Unspecified,
            retry_after: None,
            concluded: true,
            unconfirmed: false,
            report,
        };
        self.decide(now, Event::AttemptEnded(result), effects);
    }

    /// Passes an event to the decision module and carries out its actions. An attempt that a rule forbids adds one
    /// more event.
    fn decide(&mut self, now: Time, event: Event, effects: &mut Vec<CallEffect>) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.carry_out(now, action, effects));
            }
            self.actions = actions;
        }
    }

    /// Carries out one action of the decision module.
    fn carry_out(&mut self, now: Time, action: Action, effects: &mut Vec<CallEffect>) -> Option<Event> {
        match action {
            Action::Attempt { id, exchange: exchange_id, abandon_at } => {
                return self.attempt(now, id, exchange_id, abandon_at, effects)
            }
            Action::Refuse { id, cool_down, reason } => {
                self.give_final_answer(now, id, CallerCommand::Refuse(cool_down), reason.name(), effects);
            }
            Action::Fail(id) => self.give_final_answer(now, id, CallerCommand::Fail, "may have run", effects),
            Action::Cancel { id, leg } => {
                let Some(Stage::Attempting { exchange_id, leg: l, .. }) =
                    self.calls.get(&id).map(|c| c.stage.clone())
                else {
                    return None;
                };
                if l == leg {
                    effects.push(CallEffect::Exchange(
                        exchange_id,
                        id.clone(),
                        ExchangeCommand::CancelSetUp { leg },
                    ));
                    let ended = EndedAttempt::without_message(AttemptEnd::Cancelled);
                    self.on_set_up_failed(now, id, exchange_id, Some(leg), ended, effects);
                }
            }
            Action::Timer { after, token } => {
                effects.push(CallEffect::StartTimer(now + after, CallTimer::Controller(token)))
            }
            Action::Log(text) => effects.push(CallEffect::Log(text)),
            // The deployment allows neither probes nor messages between proxies, and sends the roster unprompted.
            Action::Probe(_) | Action::PeerMessage { .. } | Action::Subscribe | Action::FetchRoster => {}
        }
        None
    }

    /// Sends one attempt. If a rule forbids it, nothing is sent, and the returned event reports this to the decision
    /// module.
    fn attempt(
        &mut self,
        now: Time,
        id: CallId,
        exchange_id: ExchangeId,
        abandon_at: Time,
        effects: &mut Vec<CallEffect>,
    ) -> Option<Event> {
        let max_attempts = self.settings.max_attempts.max(1);
        let is_closed =
            self.unavailable_since.get(&exchange_id).is_some_and(|at| now - *at >= self.settings.drain_grace);
        let is_own = self.own_exchanges.contains(&exchange_id);
        let call = self.calls.get_mut(&id)?;
        let leg = call.attempts;
        call.attempts += 1;
        let forbidden = if call.stage != Stage::NoAttempt {
            Some("an attempt is out or the call stands")
        } else if call.abandoned {
            Some("an earlier attempt may still be pending")
        } else if leg >= max_attempts {
            Some("no attempt is left")
        } else if now < call.not_before {
            Some("the release is awaited")
        } else if is_closed || !self.roster.contains_key(&exchange_id) {
            Some("the exchange drains or is gone")
        } else if is_own {
            Some("it is the own exchange")
        } else {
            None
        };
        if let Some(reason) = forbidden {
            effects.push(CallEffect::Log(format!("call {}: attempt {leg} held back: {reason}", id.0)));
            return Some(Event::AttemptEnded(AttemptResult {
                id,
                leg,
                exchange: exchange_id,
                outcome: Outcome::NotSent,
                elapsed: 0.0,
                cause: Cause::Unspecified,
                retry_after: None,
                concluded: false,
                unconfirmed: false,
                report: LoadReport::default(),
            }));
        }
        let expires_at =
            if abandon_at.0 > 0.0 && abandon_at < call.deadline { abandon_at } else { call.deadline };
        call.stage = Stage::Attempting { exchange_id, leg, sent: now };
        let direct = self.roster.get(&exchange_id).is_some_and(|(.., number)| *number == call.dest);
        let set_up = SetUp {
            leg,
            direct,
            class: call.class.clone(),
            number: call.number.clone(),
            width: call.width,
            description: call.description.clone(),
            abandon_at: expires_at,
        };
        record_attempt(&id, exchange_id, leg, direct);
        effects.push(CallEffect::StartTimer(expires_at, CallTimer::AttemptTimeout(id.clone(), leg)));
        effects.push(CallEffect::Exchange(exchange_id, id, ExchangeCommand::SetUp(set_up)));
        None
    }

    /// Gives the caller its final answer, unless the call is established, and cancels an attempt in progress.
    fn give_final_answer(
        &mut self,
        now: Time,
        id: CallId,
        final_answer: CallerCommand,
        reason: &'static str,
        effects: &mut Vec<CallEffect>,
    ) {
        let Some(call) = self.calls.get(&id) else { return };
        match call.stage {
            Stage::Established { .. } => return,
            Stage::Attempting { exchange_id, leg, sent } => {
                let ended = EndedAttempt::without_message(AttemptEnd::Cancelled);
                record_attempt_end(&id, exchange_id, leg, &ended, now - sent);
                effects.push(CallEffect::Exchange(
                    exchange_id,
                    id.clone(),
                    ExchangeCommand::CancelSetUp { leg },
                ));
            }
            Stage::NoAttempt => {}
        }
        let failed = final_answer == CallerCommand::Fail;
        record_refusal(&id, reason);
        effects.push(CallEffect::Caller(call.front, id.clone(), final_answer));
        self.remove_call(&id, |counts| *(if failed { &mut counts.failed } else { &mut counts.refused }) += 1);
    }
}
