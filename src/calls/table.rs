//! The call table: every call from its request to its release, and the guards of the rules.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::tenants::{Counts, Tenants};
use super::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, RejectReason, Request, SetUp,
};
use crate::interface::*;
use crate::logic::Controller;
use crate::telemetry;

/// A final answer leaves this long before the caller stops waiting, so that it is whole in time.
pub const MARGIN: Secs = 0.02;

/// What the record of a call takes beside its description, in all places that hold one: the table, the module, the
/// front, the exchange's actor and the timers.
const RECORD_BYTES: usize = 2048;

#[derive(Clone, Debug, PartialEq)]
enum Stage {
    /// No attempt is out and no answer is given.
    Held,
    /// One attempt is out.
    Out { office: ExchangeId, leg: u32, sent: Time },
    /// The call stands.
    Standing { office: ExchangeId, leg: u32, sent: Time },
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
    deadline: Time,
    attempts: u32,
    not_before: Time,
    stage: Stage,
}

impl Call {
    /// The bytes that its record holds, about.
    fn weight(&self) -> usize {
        RECORD_BYTES + self.description.len()
    }
}

/// Logs and counts why a request was turned away.
fn note_refusal(id: &CallId, reason: &'static str) {
    tracing::debug!(call = id.0, reason, "request refused");
    telemetry::request_refused(reason);
}

/// All calls of one signalling proxy, and the module that decides on them.
#[derive(Debug)]
pub struct Table {
    settings: Settings,
    tenants: Tenants,
    controller: Controller,
    calls: BTreeMap<CallId, Call>,
    offices: BTreeMap<ExchangeId, (ServiceState, Option<Time>, ExchangeNumber)>,
    /// Since when an exchange drains or is gone.
    closed_at: BTreeMap<ExchangeId, Time>,
    numbers: BTreeSet<ExchangeNumber>,
    own_offices: BTreeSet<ExchangeId>,
    heard: BTreeSet<ExchangeId>,
    actions: Vec<Action>,
    /// The proxy is about to end: new requests are refused.
    closing: bool,
    /// Bytes that the records of calls hold, and may hold.
    held_bytes: usize,
    most_bytes: usize,
}

impl Table {
    /// A table without calls.
    pub fn new(settings: Settings, tenants: Tenants, seed: u64, now: Time) -> Self {
        Self::tuned(settings, Tuning::default(), tenants, seed, now)
    }

    /// The same with other tuned values for the module.
    pub fn tuned(settings: Settings, tuning: Tuning, tenants: Tenants, seed: u64, now: Time) -> Self {
        let mut controller = Controller::with_tuning(settings.clone(), tuning, seed);
        // Lists and states come unasked on real wires: what the module asks for at its start is under way.
        controller.start(now, &mut Vec::new());
        Table {
            settings,
            tenants,
            controller,
            calls: BTreeMap::new(),
            offices: BTreeMap::new(),
            closed_at: BTreeMap::new(),
            numbers: BTreeSet::new(),
            own_offices: BTreeSet::new(),
            heard: BTreeSet::new(),
            actions: Vec::new(),
            closing: false,
            held_bytes: 0,
            most_bytes: usize::MAX,
        }
    }

    /// Sets how many bytes the records of calls may hold: beyond it new requests are refused.
    pub fn limit_bytes(&mut self, most: usize) {
        self.most_bytes = most;
    }

    /// Bytes that the records of calls hold.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// From now on every new request is refused; calls that are open or stand go on.
    pub fn stop_admitting(&mut self) {
        self.closing = true;
    }

    /// Gives every call that waits for a final answer its refusal, as the proxy is about to be killed.
    pub fn refuse_open(&mut self, out: &mut Vec<CallEffect>) {
        let open = self.calls.iter().filter(|(_, c)| !matches!(c.stage, Stage::Standing { .. }));
        let open: Vec<CallId> = open.map(|(id, _)| id.clone()).collect();
        let wait = self.longest_wait();
        for id in open {
            self.conclude(id, CallerCommand::Refuse(wait), "shutting down", out);
        }
    }

    /// What a refused caller is told where the module has no say.
    fn longest_wait(&self) -> Option<Secs> {
        self.settings.cool_down_allowed.then_some(self.settings.max_cool_down)
    }

    /// The tenants.
    pub fn tenants(&self) -> &Tenants {
        &self.tenants
    }

    /// The tenants, to change them: it counts from the next request on.
    pub fn tenants_mut(&mut self) -> &mut Tenants {
        &mut self.tenants
    }

    /// Forgets a call and counts what became of it.
    fn forget(&mut self, id: &CallId, count: impl FnOnce(&mut Counts)) -> Option<Call> {
        let call = self.calls.remove(id)?;
        self.held_bytes = self.held_bytes.saturating_sub(call.weight());
        self.tenants.count(call.tenant.as_ref(), |counts| {
            counts.present = counts.present.saturating_sub(1);
            count(counts);
        });
        Some(call)
    }

    /// Calls that wait for a final answer.
    pub fn open(&self) -> usize {
        self.calls.values().filter(|c| !matches!(c.stage, Stage::Standing { .. })).count()
    }

    /// Calls that stand.
    pub fn standing(&self) -> usize {
        self.calls.len() - self.open()
    }

    /// The list is in, and the state of the trunk group to every exchange on it.
    pub fn informed(&self) -> bool {
        let mut on =
            self.offices.iter().filter(|(_, (c, ..))| *c == ServiceState::InService).map(|(id, _)| id);
        !self.offices.is_empty() && on.all(|id| self.own_offices.contains(id) || self.heard.contains(id))
    }

    /// The levels of overload that the module sees: at the own processor, and at far ones in service.
    pub fn levels(&self) -> (usize, Vec<(ExchangeNumber, usize)>) {
        self.controller.levels()
    }

    /// Takes one input and appends what is to be done, in order.
    pub fn handle(&mut self, now: Time, input: CallEvent, out: &mut Vec<CallEffect>) {
        match input {
            CallEvent::Request(request) => self.on_request(now, request, out),
            CallEvent::CallerGaveUp(id) => self.on_gave_up(now, id, out),
            CallEvent::CallerReleased(id) => self.on_hangup(now, id, out),
            CallEvent::Answered { id, exchange: office, leg, description } => {
                self.on_answered(now, id, office, leg, description, out);
            }
            CallEvent::SetUpFailed { id, exchange: office, leg, outcome, cause: why, report } => {
                self.on_ended(now, id, office, leg, (outcome, why, report), out);
            }
            CallEvent::ExchangeReleased { id, exchange: office, completed: whole, report } => {
                self.on_released(now, id, office, whole, report, out);
            }
            CallEvent::Status { exchange: office, report } => {
                // A state may cross the news that its exchange is gone.
                if self.offices.contains_key(&office) {
                    self.heard.insert(office);
                }
                self.decide(now, Event::Status { exchange: office, ok: true, elapsed: 0.0, report }, out);
            }
            CallEvent::StatusLost(office) => self.decide(now, Event::StatusLost(office), out),
            CallEvent::ExchangeDown(office) => self.on_died(now, office, now, out),
            CallEvent::Roster { full: whole, entries: offices } => self.on_list(now, whole, offices, out),
            CallEvent::TimerExpired(wake) => self.on_wake(now, wake, out),
        }
    }

    fn on_request(&mut self, now: Time, request: Request, out: &mut Vec<CallEffect>) {
        let (id, front) = (request.id.clone(), request.front);
        if self.calls.contains_key(&id) {
            return out
                .push(CallEffect::Log(format!("call {}: a second request with its id is ignored", id.0)));
        }
        let class = self.settings.classes.iter().position(|c| c.name == request.class);
        let reject = if class.is_none() {
            Some(RejectReason::UnknownClass)
        } else if !self.tenants.admits(request.tenant.as_ref()) {
            Some(RejectReason::UnknownTenant)
        } else if !self.numbers.is_empty() && !self.numbers.contains(&request.dest) {
            Some(RejectReason::UnknownDestination)
        } else if !self.makes_sense(&request, class) {
            Some(RejectReason::OutOfRange)
        } else {
            None
        };
        let tenant = request.tenant;
        if let Some(reject) = reject {
            self.tenants.count(tenant.as_ref(), |counts| counts.rejected += 1);
            return out.push(CallEffect::Caller(front, id, CallerCommand::Reject(reject)));
        }
        let reason = if self.closing {
            Some("shutting down")
        } else if self.tenants.is_full(tenant.as_ref()) {
            Some("tenant full")
        } else if self.held_bytes + RECORD_BYTES + request.description.len() > self.most_bytes {
            Some("memory")
        } else {
            None
        };
        if let Some(reason) = reason {
            self.tenants.count(tenant.as_ref(), |counts| counts.refused += 1);
            note_refusal(&id, reason);
            return out.push(CallEffect::Caller(front, id, CallerCommand::Refuse(self.longest_wait())));
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
            deadline: now + ttl,
            attempts: 0,
            not_before: now,
            stage: Stage::Held,
        };
        out.push(CallEffect::StartTimer(call.deadline, CallTimer::Deadline(id.clone())));
        self.held_bytes += call.weight();
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
        self.decide(now, Event::Arrival(arrival), out);
    }

    /// No caller waits longer than its class is given up, none asks for more circuits than the widest class, and
    /// only an exchange can be a tandem or where a call comes from.
    fn makes_sense(&self, request: &Request, class: Option<usize>) -> bool {
        let give_up = class.and_then(|ix| self.settings.classes.get(ix)).map_or(0.0, |c| c.give_up_after);
        let widest = self.settings.classes.iter().map(|c| c.width).fold(1, u32::max);
        let known = |n: &ExchangeNumber| self.numbers.is_empty() || self.numbers.contains(n);
        request.ttl > 0.0
            && request.ttl <= give_up + 0.1
            && (1..=widest).contains(&request.width)
            && request.hop.as_ref().is_none_or(known)
    }

    /// The caller waits no longer: nothing is owed to it, and what is out for it is called off.
    fn on_gave_up(&mut self, now: Time, id: CallId, out: &mut Vec<CallEffect>) {
        match self.calls.get(&id).map(|c| c.stage.clone()) {
            Some(Stage::Out { office, leg, .. }) => {
                out.push(CallEffect::Exchange(office, id.clone(), ExchangeCommand::CancelSetUp { leg }));
            }
            Some(Stage::Held) => {}
            // An answer crossed the caller's giving up: the call stands and nobody wants it.
            Some(Stage::Standing { .. }) => {
                let front = self.calls.get(&id).map(|c| c.front);
                self.on_hangup(now, id.clone(), out);
                out.extend(
                    front.map(|f| CallEffect::Caller(f, id, CallerCommand::Release { completed: false })),
                );
                return;
            }
            None => return,
        }
        self.forget(&id, |counts| counts.given_up += 1);
        self.decide(now, Event::Withdrawn(id), out);
    }

    fn on_hangup(&mut self, now: Time, id: CallId, out: &mut Vec<CallEffect>) {
        let Some(Stage::Standing { office, leg, sent }) = self.calls.get(&id).map(|c| c.stage.clone()) else {
            return self.on_gave_up_if_open(now, id, out);
        };
        self.forget(&id, |_| {});
        out.push(CallEffect::Exchange(office, id.clone(), ExchangeCommand::Release { leg: Some(leg) }));
        let end = (Outcome::Cancelled, Cause::Unspecified, LoadReport::default());
        self.tell_end(now, &id, (office, leg, sent), end, true, out);
    }

    /// A release of a call that does not stand yet can only mean that its caller wants no more of it.
    fn on_gave_up_if_open(&mut self, now: Time, id: CallId, out: &mut Vec<CallEffect>) {
        if self.calls.contains_key(&id) {
            self.on_gave_up(now, id, out);
        }
    }

    fn on_answered(
        &mut self,
        now: Time,
        id: CallId,
        office: ExchangeId,
        leg: Option<u32>,
        description: Arc<[u8]>,
        out: &mut Vec<CallEffect>,
    ) {
        let matches = |o: ExchangeId, l: u32| o == office && leg.is_none_or(|leg| leg == l);
        if let Some(call) = self.calls.get_mut(&id) {
            match call.stage {
                Stage::Out { office: o, leg, sent } if matches(o, leg) => {
                    call.stage = Stage::Standing { office, leg, sent };
                    // It is not sent again.
                    self.held_bytes = self.held_bytes.saturating_sub(call.description.len());
                    call.description = Arc::from([]);
                    self.tenants.count(call.tenant.as_ref(), |counts| counts.stood += 1);
                    tracing::debug!(call = id.0, office = o.0, attempt = leg, "call stands");
                    out.push(CallEffect::Caller(call.front, id.clone(), CallerCommand::Answer(description)));
                    return self.decide(
                        now,
                        Event::Established { id, leg, exchange: office, elapsed: now - sent },
                        out,
                    );
                }
                // Said twice.
                Stage::Standing { office: o, leg, .. } if matches(o, leg) => return,
                _ => {}
            }
        }
        // It crossed our giving up: nobody is there to take it.
        out.push(CallEffect::Exchange(office, id, ExchangeCommand::Release { leg }));
    }

    fn on_ended(
        &mut self,
        now: Time,
        id: CallId,
        office: ExchangeId,
        leg: Option<u32>,
        (outcome, why, report): (Outcome, Cause, LoadReport),
        out: &mut Vec<CallEffect>,
    ) {
        if let Some(call) = self.calls.get_mut(&id) {
            if let Stage::Out { office: o, leg: l, sent } = call.stage {
                if o == office && leg.is_none_or(|leg| leg == l) {
                    call.stage = Stage::Held;
                    tracing::debug!(
                        call = id.0,
                        office = office.0,
                        attempt = l,
                        ?outcome,
                        ?why,
                        "attempt ended"
                    );
                    if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
                        call.not_before = now + self.settings.release_pause;
                    }
                    return self.tell_end(now, &id, (office, l, sent), (outcome, why, report), false, out);
                }
            }
        }
        if report != LoadReport::default() {
            self.decide(now, Event::Status { exchange: office, ok: true, elapsed: 0.0, report }, out);
        }
    }

    fn on_released(
        &mut self,
        now: Time,
        id: CallId,
        office: ExchangeId,
        whole: bool,
        report: LoadReport,
        out: &mut Vec<CallEffect>,
    ) {
        let standing = match self.calls.get(&id) {
            Some(Call { stage: Stage::Standing { office: o, leg, sent }, front, .. }) if *o == office => {
                Some((*front, *leg, *sent))
            }
            _ => None,
        };
        // An exchange says it on every connection, so that most come twice.
        let Some((front, leg, sent)) = standing else { return };
        tracing::debug!(call = id.0, office = office.0, whole, "call released");
        self.forget(&id, |_| {});
        out.push(CallEffect::Caller(front, id.clone(), CallerCommand::Release { completed: whole }));
        let outcome = if whole { Outcome::Completed } else { Outcome::Reset };
        self.tell_end(now, &id, (office, leg, sent), (outcome, Cause::Unspecified, report), true, out);
    }

    /// The process of an exchange has died: what was sent to it before a time is cut.
    fn on_died(&mut self, now: Time, office: ExchangeId, before: Time, out: &mut Vec<CallEffect>) {
        let there = |s: &Stage| match s {
            Stage::Out { office: o, sent, .. } | Stage::Standing { office: o, sent, .. } => {
                *o == office && *sent <= before
            }
            Stage::Held => false,
        };
        let hit: Vec<_> =
            self.calls.iter().filter(|(_, c)| there(&c.stage)).map(|(id, _)| id.clone()).collect();
        for id in hit {
            self.on_released(now, id.clone(), office, false, LoadReport::default(), out);
            self.on_ended(
                now,
                id,
                office,
                None,
                (Outcome::Reset, Cause::Unspecified, LoadReport::default()),
                out,
            );
        }
    }

    fn on_list(&mut self, now: Time, whole: bool, offices: Vec<RosterEntry>, out: &mut Vec<CallEffect>) {
        let mut dead = Vec::new();
        if whole {
            for (id, held) in &mut self.offices {
                if held.0 != ServiceState::Removed && !offices.iter().any(|o| o.id == *id) {
                    held.0 = ServiceState::Removed;
                    self.closed_at.entry(*id).or_insert(now);
                    dead.push((*id, now));
                }
            }
        }
        for office in &offices {
            self.numbers.insert(office.number);
            if self.settings.own_exchange == Some(office.number) {
                self.own_offices.insert(office.id);
            }
            let old = self.offices.insert(office.id, (office.state, office.ready_at, office.number));
            let restarted = old.is_some_and(|(_, at, _)| at != office.ready_at);
            if office.state == ServiceState::Removed && old.is_some_and(|(c, ..)| c != ServiceState::Removed)
            {
                dead.push((office.id, now));
            } else if restarted {
                dead.push((office.id, office.ready_at.unwrap_or(now)));
            }
            if office.state == ServiceState::InService {
                self.closed_at.remove(&office.id);
            } else {
                self.closed_at.entry(office.id).or_insert(now);
            }
        }
        let kind = if whole { RosterKind::Full } else { RosterKind::Incremental };
        self.decide(now, Event::Roster { kind, entries: offices }, out);
        for (office, before) in dead {
            self.on_died(now, office, before, out);
        }
        // Ids never come back: what is gone is as good as never listed.
        let offices = &mut self.offices;
        offices.retain(|_, (condition, ..)| *condition != ServiceState::Removed);
        self.closed_at.retain(|id, _| offices.contains_key(id));
        self.own_offices.retain(|id| offices.contains_key(id));
        self.heard.retain(|id| offices.contains_key(id));
    }

    /// Exchanges that are remembered.
    pub fn exchanges(&self) -> usize {
        [self.offices.len(), self.closed_at.len(), self.own_offices.len(), self.heard.len()]
            .into_iter()
            .max()
            .unwrap_or(0)
    }

    fn on_wake(&mut self, now: Time, wake: CallTimer, out: &mut Vec<CallEffect>) {
        match wake {
            CallTimer::Controller(token) => self.decide(now, Event::Timer(token), out),
            CallTimer::AttemptTimeout(id, leg) => {
                let Some(Stage::Out { office, leg: l, .. }) = self.calls.get(&id).map(|c| c.stage.clone())
                else {
                    return;
                };
                if leg == l {
                    out.push(CallEffect::Exchange(office, id.clone(), ExchangeCommand::CancelSetUp { leg }));
                    let end = (Outcome::TimedOut, Cause::Unspecified, LoadReport::default());
                    self.on_ended(now, id, office, Some(leg), end, out);
                }
            }
            CallTimer::Deadline(id) => {
                // An attempt that is out until the last moment has timed out: the module learns from that,
                // and mostly gives the final answer itself.
                if let Some(Stage::Out { leg, .. }) = self.calls.get(&id).map(|c| c.stage.clone()) {
                    self.on_wake(now, CallTimer::AttemptTimeout(id.clone(), leg), out);
                }
                let Some(Call { front, stage: Stage::Held, .. }) = self.calls.get(&id) else { return };
                note_refusal(&id, "deadline");
                out.push(CallEffect::Caller(*front, id.clone(), CallerCommand::Refuse(self.longest_wait())));
                self.forget(&id, |counts| counts.refused += 1);
                self.decide(now, Event::Withdrawn(id), out);
            }
        }
    }

    fn tell_end(
        &mut self,
        now: Time,
        id: &CallId,
        (office, leg, sent): (ExchangeId, u32, Time),
        (outcome, why, report): (Outcome, Cause, LoadReport),
        closed: bool,
        out: &mut Vec<CallEffect>,
    ) {
        let took = now - sent;
        let answer = AttemptResult {
            id: id.clone(),
            leg,
            exchange: office,
            outcome,
            elapsed: took,
            cause: why,
            retry_after: None,
            concluded: closed,
            report,
        };
        self.decide(now, Event::AttemptEnded(answer), out);
    }

    /// Hands an event to the module and carries its actions out; a refused send is one more event.
    fn decide(&mut self, now: Time, event: Event, out: &mut Vec<CallEffect>) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let mut actions = std::mem::take(&mut self.actions);
            self.controller.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                events.extend(self.act(now, action, out));
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, now: Time, action: Action, out: &mut Vec<CallEffect>) -> Option<Event> {
        match action {
            Action::Attempt { id, exchange: office, abandon_at } => {
                return self.attempt(now, id, office, abandon_at, out)
            }
            Action::Refuse { id, cool_down, reason } => {
                self.conclude(id, CallerCommand::Refuse(cool_down), reason.name(), out);
            }
            Action::Fail(id) => self.conclude(id, CallerCommand::Fail, "may have run", out),
            Action::Cancel { id, leg } => {
                let Some(Stage::Out { office, leg: l, .. }) = self.calls.get(&id).map(|c| c.stage.clone())
                else {
                    return None;
                };
                if l == leg {
                    out.push(CallEffect::Exchange(office, id.clone(), ExchangeCommand::CancelSetUp { leg }));
                    let end = (Outcome::Cancelled, Cause::Unspecified, LoadReport::default());
                    self.on_ended(now, id, office, Some(leg), end, out);
                }
            }
            Action::Timer { after, token } => {
                out.push(CallEffect::StartTimer(now + after, CallTimer::Controller(token)))
            }
            Action::Log(text) => out.push(CallEffect::Log(text)),
            // The deployment allows neither probes nor messages, and pushes its list.
            Action::Probe(_) | Action::PeerMessage { .. } | Action::Subscribe | Action::FetchRoster => {}
        }
        None
    }

    /// Sends one attempt unless a rule forbids it: then it never leaves and the module hears so.
    fn attempt(
        &mut self,
        now: Time,
        id: CallId,
        office: ExchangeId,
        abandon_at: Time,
        out: &mut Vec<CallEffect>,
    ) -> Option<Event> {
        let most = self.settings.max_attempts.max(1);
        let shut = self.closed_at.get(&office).is_some_and(|at| now - *at >= self.settings.drain_grace);
        let own = self.own_offices.contains(&office);
        let call = self.calls.get_mut(&id)?;
        let leg = call.attempts;
        call.attempts += 1;
        let forbidden = if call.stage != Stage::Held {
            Some("an attempt is out or the call stands")
        } else if leg >= most {
            Some("no attempt is left")
        } else if now < call.not_before {
            Some("the release is awaited")
        } else if shut || !self.offices.contains_key(&office) {
            Some("the exchange drains or is gone")
        } else if own {
            Some("it is the own exchange")
        } else {
            None
        };
        if let Some(why) = forbidden {
            out.push(CallEffect::Log(format!("call {}: attempt {leg} held back: {why}", id.0)));
            return Some(Event::AttemptEnded(AttemptResult {
                id,
                leg,
                exchange: office,
                outcome: Outcome::NotSent,
                elapsed: 0.0,
                cause: Cause::Unspecified,
                retry_after: None,
                concluded: false,
                report: LoadReport::default(),
            }));
        }
        let until = if abandon_at.0 > 0.0 && abandon_at < call.deadline { abandon_at } else { call.deadline };
        call.stage = Stage::Out { office, leg, sent: now };
        let direct = self.offices.get(&office).is_some_and(|(.., number)| *number == call.dest);
        let set_up = SetUp {
            leg,
            direct,
            class: call.class.clone(),
            number: call.number.clone(),
            width: call.width,
            description: call.description.clone(),
            abandon_at: until,
        };
        tracing::debug!(call = id.0, office = office.0, attempt = leg, direct, "attempt sent");
        out.push(CallEffect::StartTimer(until, CallTimer::AttemptTimeout(id.clone(), leg)));
        out.push(CallEffect::Exchange(office, id, ExchangeCommand::SetUp(set_up)));
        None
    }

    fn conclude(&mut self, id: CallId, near: CallerCommand, reason: &'static str, out: &mut Vec<CallEffect>) {
        let Some(call) = self.calls.get(&id) else { return };
        match call.stage {
            Stage::Standing { .. } => return,
            Stage::Out { office, leg, .. } => {
                out.push(CallEffect::Exchange(office, id.clone(), ExchangeCommand::CancelSetUp { leg }));
            }
            Stage::Held => {}
        }
        let failed = near == CallerCommand::Fail;
        note_refusal(&id, reason);
        out.push(CallEffect::Caller(call.front, id.clone(), near));
        self.forget(&id, |counts| *(if failed { &mut counts.failed } else { &mut counts.refused }) += 1);
    }
}
