//! Discrete-event simulation of a fleet: exchanges, trunk groups, processors, callers and troubles in simulated
//! time. It exchanges only the call table's events and effects ([`CallEvent`], [`CallEffect`]) with the signalling
//! proxies.

pub mod account;
mod callers;
mod exchange;
pub mod fleet;
mod flow;
pub mod group;
pub mod processor;
mod queue;
mod result;
pub mod rules;
mod trouble;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use mallowring::calls::{CallEffect, CallEvent, CallTimer};
use mallowring::interface::*;
use rand_pcg::Pcg64;

use account::{CallResult, SetUpDelays};
use fleet::{EventsByProxy, ProxyFleet};
use group::Group;
use processor::Processor;
use queue::EventQueue;
pub use result::{DayResult, Ends, Sample};
use rules::RuleMonitor;

use crate::day::{Day, Us, EPOCH, SECOND};
use crate::random::{noise, stream, Purpose};
use crate::traffic::Caller;
use crate::LabError;

/// Index of an attempt in `Simulation::legs`.
pub type LegIx = u32;
/// Index of a request in `Simulation::requests`.
pub type RequestIx = u32;

/// The proxies' clock reading at a simulated time.
pub fn clock(now: Us) -> Time {
    Time(EPOCH + now as f64 / SECOND as f64)
}

/// The simulated time of a proxy clock reading.
fn simulated_time(time: Time) -> Us {
    ((time.0 - EPOCH) * SECOND as f64).round().max(0.0) as Us
}

/// A simulation event.
#[derive(Debug)]
enum Event {
    /// A caller dials for the first time or again.
    Dial { caller: u32, redial: bool },
    /// A caller re-establishes a call that was cut.
    Reestablish(u32),
    /// An impatient caller abandons its request.
    CallerAbandons(RequestIx),
    /// The latest time for a final answer has passed: the request's time to live and the slack.
    AnswerOverdue(RequestIx),
    /// The proxies handle the events in their inboxes.
    ProxyTick,
    /// A processor has finished a job.
    JobDone { exchange: usize, job_number: u64 },
    /// A set-up reaches the receiving exchange of its leg.
    SetUpArrives(LegIx),
    /// An answer reaches the sending exchange of its leg.
    AnswerArrives(LegIx),
    /// The failure of a set-up reaches the sending exchange of its leg.
    FailureArrives(LegIx, Outcome, Cause),
    /// The cancellation of a transit call reaches its tandem.
    CancelArrives(RequestIx),
    /// The circuits of a cancelled or released leg become free.
    ReleaseCircuits(LegIx),
    /// A release reaches the receiving exchange.
    ReleaseArrives(usize),
    /// The holding time of a call ends.
    HoldingTimeEnds(RequestIx),
    /// A processor measures its load.
    MeasureLoad(usize),
    /// The centre records the free circuits of all groups.
    CentreSurvey,
    /// The state of the fleet is sampled.
    Sample,
    /// A roster update reaches a proxy.
    RosterUpdate { proxy: usize, update: usize },
    /// A step of a trouble.
    Trouble(trouble::Step),
    /// A timer of a proxy expires.
    TimerExpires { proxy: usize, generation: u32, timer: CallTimer },
}

/// State of a request to a proxy. The variants' names appear in the leak texts of [`DayResult`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// No final answer yet.
    Open,
    /// The call is established.
    Standing,
    /// The request was refused or failed, or its established call has ended.
    Over,
    /// The requester has abandoned it or the proxy has stopped: no final answer is due.
    Left,
}

/// A request to a proxy: from a caller, or for a transit call.
#[derive(Debug)]
struct ProxyRequest {
    caller: u32,
    proxy: usize,
    /// The proxy's generation when the request was made.
    generation: u32,
    /// The leg over which a transit call arrived.
    incoming_leg: Option<LegIx>,
    state: RequestState,
    /// The attempt whose result is pending.
    pending_leg: Option<LegIx>,
    latest_leg: Option<LegIx>,
    attempts: u32,
    /// A further attempt before this time breaks a rule.
    blocked_until: Us,
    /// Why the last attempt failed.
    failure_cause: Cause,
}

/// State of an attempt. The variants' names appear in the leak texts of [`DayResult`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LegState {
    /// Sent, not answered.
    Flying,
    /// Cancelled or released by its proxy.
    Dead,
    /// Its answer was delivered to its proxy.
    Answered,
    /// Failed, or released after its answer.
    Over,
}

/// An attempt: one set-up between two exchanges.
#[derive(Debug)]
struct Leg {
    request: RequestIx,
    number: u32,
    from: usize,
    to: usize,
    /// The instance that it was sent to.
    exchange_id: ExchangeId,
    group: usize,
    /// Circuits that it needs.
    width: u32,
    holds_circuits: bool,
    state: LegState,
    /// Whether an answer was delivered to its proxy at any time.
    answered: bool,
    deadline: Us,
    /// The request that it caused at a tandem.
    transit_request: Option<RequestIx>,
}

/// A signalling proxy's state in the simulation.
#[derive(Debug, Default)]
struct ProxyState {
    running: bool,
    /// Number of restarts.
    generation: u32,
    inbox: Vec<CallEvent>,
    open_requests: BTreeSet<RequestIx>,
    /// No roster updates are delivered before this time; they are kept in `missed_updates`.
    roster_stopped_until: Us,
    missed_updates: Vec<usize>,
}

/// A load measurement of a processor.
#[derive(Clone, Copy, Debug)]
struct LoadMeasurement {
    /// When it becomes available to reports.
    available_at: Us,
    wait: Secs,
    requested_reduction: f64,
}

/// A day's state while it is simulated.
struct Simulation<'a> {
    day: &'a Day,
    callers: &'a [Caller],
    fleet: &'a mut dyn ProxyFleet,
    salt: u64,
    now: Us,
    queue: EventQueue<Event>,
    /// Events in the queue that schedule themselves again without end.
    periodic: usize,
    proxies: Vec<ProxyState>,
    processors: Vec<Processor>,
    /// Processors that were replaced, kept for their statistics.
    retired: Vec<Processor>,
    groups: Vec<Group>,
    /// Group between two exchanges, by `a * n + b` with `n` exchanges.
    group_of: Vec<usize>,
    /// Groups whose status is sent to both ends at the next tick.
    changed_groups: BTreeSet<usize>,
    /// Load measurements by exchange, the oldest first.
    measurements: Vec<VecDeque<LoadMeasurement>>,
    report_rngs: Vec<Pcg64>,
    work_rngs: Vec<Pcg64>,
    /// The centre's records of free circuits by group, with the time at which each becomes available.
    surveys: VecDeque<(Us, Vec<u32>)>,
    /// Arrival time of the latest message from one exchange to another: messages keep their order.
    last_arrivals: Vec<Us>,
    requests: Vec<ProxyRequest>,
    legs: Vec<Leg>,
    legs_with_circuits: BTreeSet<LegIx>,
    exchange_by_id: BTreeMap<ExchangeId, usize>,
    /// Instances that were taken out of service or crashed.
    removed: BTreeSet<ExchangeId>,
    /// Roster entries, with the time at which the roster service publishes each.
    roster_updates: Vec<(Us, RosterEntry)>,
    next_tick: Option<Us>,
    last_tick: Option<Us>,
    /// By caller.
    call_results: Vec<CallResult>,
    /// When each caller first dialled, or re-established its call after a cut; its give-up time counts from then.
    wanted_since: Vec<Us>,
    rule_monitor: RuleMonitor,
    set_up_delays: SetUpDelays,
    ends: Ends,
    samples: Vec<Sample>,
    established_calls: u64,
    /// Integral of the number of established calls over time, µs.
    established_us: f64,
    /// Sum of the times for which calls were established, µs.
    total_holding_us: f64,
    /// Time of the last change of `established_calls`, or of the last sum.
    last_change: Us,
    events_handled: u64,
}

/// Simulates a day to its end. `salt` changes the seeds of the proxies and nothing else.
pub fn run(
    day: &Day,
    callers: &[Caller],
    fleet: &mut dyn ProxyFleet,
    salt: u64,
) -> Result<DayResult, LabError> {
    let mut simulation = Simulation::new(day, callers, fleet, salt);
    simulation.start_day()?;
    while let Some((at, event)) = simulation.queue.pop() {
        simulation.now = at;
        simulation.events_handled += 1;
        simulation.handle(event)?;
        if simulation.queue.len() == simulation.periodic {
            break;
        }
    }
    Ok(simulation.finish_day())
}

impl<'a> Simulation<'a> {
    fn new(day: &'a Day, callers: &'a [Caller], fleet: &'a mut dyn ProxyFleet, salt: u64) -> Self {
        let n = day.exchange_count;
        let mut group_of = vec![usize::MAX; n * n];
        let groups: Vec<Group> = day.groups.iter().map(|(ends, size)| Group::new(*ends, *size)).collect();
        for (ix, group) in groups.iter().enumerate() {
            let [a, b] = group.ends;
            group_of[a * n + b] = ix;
            group_of[b * n + a] = ix;
        }
        let rngs = |purpose| (0..n).map(|x| stream(day.seed, purpose, x as u64)).collect();
        Simulation {
            day,
            callers,
            fleet,
            salt,
            now: 0,
            queue: EventQueue::default(),
            periodic: 0,
            proxies: (0..n).map(|_| ProxyState::default()).collect(),
            processors: Vec::new(),
            retired: Vec::new(),
            groups,
            group_of,
            changed_groups: BTreeSet::new(),
            measurements: vec![VecDeque::new(); n],
            report_rngs: rngs(Purpose::Report),
            work_rngs: rngs(Purpose::ProcessorWork),
            surveys: VecDeque::new(),
            last_arrivals: vec![0; n * n],
            requests: Vec::new(),
            legs: Vec::new(),
            legs_with_circuits: BTreeSet::new(),
            exchange_by_id: BTreeMap::new(),
            removed: BTreeSet::new(),
            roster_updates: Vec::new(),
            next_tick: None,
            last_tick: None,
            call_results: vec![CallResult::default(); callers.len()],
            wanted_since: callers.iter().map(|c| c.at).collect(),
            rule_monitor: RuleMonitor::default(),
            set_up_delays: SetUpDelays::new(day.classes.len()),
            ends: Ends::default(),
            samples: Vec::new(),
            established_calls: 0,
            established_us: 0.0,
            total_holding_us: 0.0,
            last_change: 0,
            events_handled: 0,
        }
    }

    /// Schedules the callers, periodic events and troubles, and starts the processors and proxies.
    fn start_day(&mut self) -> Result<(), LabError> {
        for exchange in 0..self.day.exchange_count {
            let exchange_id = self.new_exchange_id(exchange);
            self.processors.push(Processor::new(exchange_id, self.day.processor, None));
            let entry = self.roster_entry(exchange, exchange_id, ServiceState::InService, None);
            self.roster_updates.push((0, entry));
            self.schedule_periodic(self.day.report_period, Event::MeasureLoad(exchange));
        }
        for proxy in 0..self.day.exchange_count {
            self.start_proxy(proxy)?;
        }
        if self.day.centre.is_some() {
            self.schedule_periodic(0, Event::CentreSurvey);
        }
        self.schedule_periodic(0, Event::Sample);
        for (ix, caller) in self.callers.iter().enumerate() {
            self.queue.schedule(caller.at, Event::Dial { caller: ix as u32, redial: false });
        }
        self.plan_troubles();
        Ok(())
    }

    fn schedule_periodic(&mut self, at: Us, event: Event) {
        self.periodic += 1;
        self.queue.schedule(at, event);
    }

    fn handle(&mut self, event: Event) -> Result<(), LabError> {
        match event {
            Event::Dial { caller, redial } => self.dial(caller, redial, false),
            Event::Reestablish(caller) => {
                self.wanted_since[caller as usize] = self.now;
                self.dial(caller, false, true);
            }
            Event::CallerAbandons(request) => self.caller_abandons(request),
            Event::AnswerOverdue(request) => self.answer_overdue(request),
            Event::ProxyTick => self.tick()?,
            Event::JobDone { exchange, job_number } => self.job_done(exchange, job_number),
            Event::SetUpArrives(leg) => self.set_up_arrives(leg),
            Event::AnswerArrives(leg) => {
                if self.legs[leg as usize].state == LegState::Flying {
                    let sender = self.legs[leg as usize].from;
                    self.work(sender, processor::Task::ReceiveAnswer(leg));
                }
            }
            Event::FailureArrives(leg, outcome, failure_cause) => {
                self.set_up_failed(leg, outcome, failure_cause)
            }
            Event::CancelArrives(request) => self.cancel_arrives(request),
            Event::ReleaseCircuits(leg) => self.free_circuits(leg),
            Event::ReleaseArrives(exchange) => self.work(exchange, processor::Task::Release),
            Event::HoldingTimeEnds(request) => self.holding_time_ends(request),
            Event::MeasureLoad(exchange) => self.measure_load(exchange),
            Event::CentreSurvey => self.survey(),
            Event::Sample => self.sample(),
            Event::RosterUpdate { proxy, update } => self.deliver_roster_update(proxy, update),
            Event::Trouble(step) => self.apply_trouble(step)?,
            Event::TimerExpires { proxy, generation, timer } => {
                if self.proxies[proxy].generation == generation {
                    self.deliver(proxy, CallEvent::TimerExpired(timer));
                }
            }
        }
        Ok(())
    }

    // ---- Proxies ---------------------------------------------------------------------------------

    /// Starts a proxy with the published roster and the status of its groups.
    fn start_proxy(&mut self, proxy: usize) -> Result<(), LabError> {
        let generation = self.proxies[proxy].generation;
        let index = (self.salt << 32) ^ (u64::from(generation) << 20) ^ proxy as u64;
        let seed = rand::Rng::next_u64(&mut stream(self.day.seed, Purpose::ProxySeed, index));
        // The simulator's protocol carries seeds as JSON numbers: 53 bits survive as a double.
        self.fleet.start(self.day, proxy, clock(self.now), seed >> 11)?;
        self.proxies[proxy].running = true;
        let mut latest: BTreeMap<ExchangeId, RosterEntry> = BTreeMap::new();
        for (published, entry) in &self.roster_updates {
            if *published <= self.now {
                latest.insert(entry.id, entry.clone());
            }
        }
        let roster_entries: Vec<RosterEntry> =
            latest.into_values().filter(|e| e.state != ServiceState::Removed).collect();
        for entry in roster_entries.iter().filter(|e| e.state != ServiceState::InService) {
            self.rule_monitor.note_unavailable(proxy, entry.id, self.now);
        }
        self.deliver(proxy, CallEvent::Roster { full: true, entries: roster_entries });
        for far in (0..self.day.exchange_count).filter(|x| *x != proxy) {
            let event = self.status(proxy, far);
            self.deliver(proxy, event);
        }
        Ok(())
    }

    /// Puts an event into a proxy's inbox; the proxy handles it at the next tick.
    fn deliver(&mut self, proxy: usize, event: CallEvent) {
        if self.proxies[proxy].running {
            self.proxies[proxy].inbox.push(event);
            self.schedule_tick();
        }
    }

    /// Schedules the proxies' next tick, unless one is scheduled.
    fn schedule_tick(&mut self) {
        if self.next_tick.is_none() {
            let tick = self.day.tick;
            let mut at = self.now.div_ceil(tick) * tick;
            if self.last_tick == Some(at) {
                at += tick;
            }
            self.next_tick = Some(at);
            self.queue.schedule(at, Event::ProxyTick);
        }
    }

    /// The proxies handle their inboxes, and their effects are applied.
    fn tick(&mut self) -> Result<(), LabError> {
        self.next_tick = None;
        self.last_tick = Some(self.now);
        for group in std::mem::take(&mut self.changed_groups) {
            let [a, b] = self.groups[group].ends;
            for (proxy, far) in [(a, b), (b, a)] {
                let event = self.status(proxy, far);
                if self.proxies[proxy].running {
                    self.proxies[proxy].inbox.push(event);
                }
            }
        }
        let mut events: EventsByProxy = Vec::new();
        for (proxy, state) in self.proxies.iter_mut().enumerate() {
            if state.running && !state.inbox.is_empty() {
                events.push((proxy, std::mem::take(&mut state.inbox)));
            }
        }
        for (_, inbox) in &events {
            for event in inbox {
                if let CallEvent::SetUpFailed { id, end, cause: failure_cause, .. } = event {
                    self.attempt_ended(id, end.outcome(), *failure_cause);
                }
            }
        }
        let removed = removed_exchanges(&events);
        let mut effects = Vec::new();
        self.fleet.tick(clock(self.now), events, &mut effects)?;
        for (proxy, exchange_id) in removed {
            self.close_connections(proxy, exchange_id);
        }
        for (proxy, effect) in effects {
            match effect {
                CallEffect::Caller(_, id, command) => self.apply_caller_command(proxy, &id, command),
                CallEffect::Exchange(exchange_id, id, command) => {
                    self.apply_exchange_command(proxy, exchange_id, &id, command)
                }
                CallEffect::StartTimer(at, timer) => {
                    let generation = self.proxies[proxy].generation;
                    let at = simulated_time(at).max(self.now);
                    self.queue.schedule(at, Event::TimerExpires { proxy, generation, timer });
                }
                CallEffect::Log(text) => self.ends.log(text),
            }
        }
        Ok(())
    }

    /// Closes a proxy's connections to an exchange that its roster removed, which ends the set-ups pending there.
    fn close_connections(&mut self, proxy: usize, exchange_id: ExchangeId) {
        let is_pending = |leg: &&LegIx| {
            let leg = &self.legs[**leg as usize];
            leg.from == proxy && leg.exchange_id == exchange_id && leg.state == LegState::Flying
        };
        for leg in self.legs_with_circuits.iter().filter(is_pending).copied().collect::<Vec<_>>() {
            self.release_leg(leg);
        }
    }

    /// Records the end of an attempt as its failure is delivered to the proxy.
    fn attempt_ended(&mut self, id: &CallId, outcome: Outcome, failure_cause: Cause) {
        let Some(request) = request_of(id).and_then(|ix| self.requests.get_mut(ix as usize)) else { return };
        request.pending_leg = None;
        request.failure_cause = failure_cause;
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            request.blocked_until = self.now + self.day.release_pause;
        }
    }

    /// The status event of the group between a proxy's exchange and a far one.
    fn status(&self, proxy: usize, far: usize) -> CallEvent {
        let group = &self.groups[self.group_of[proxy * self.day.exchange_count + far]];
        let report = LoadReport {
            free_circuits: Some(f64::from(group.free())),
            group_size: Some(f64::from(group.working)),
            ..LoadReport::default()
        };
        CallEvent::Status { exchange: self.processors[far].exchange_id, report }
    }

    // ---- Transmission ----------------------------------------------------------------------------

    /// Arrival time of a message sent now. Messages in one direction between two exchanges keep their order.
    fn arrival(&mut self, from: usize, to: usize) -> Us {
        let direction = from * self.day.exchange_count + to;
        let spread = 2.0 * noise(self.day.seed, direction as u64, self.now) - 1.0;
        let transmission_us = self.day.transmission_us[direction] * (1.0 + self.day.jitter * spread);
        let at = (self.now + transmission_us.max(0.0) as Us).max(self.last_arrivals[direction]);
        self.last_arrivals[direction] = at;
        at
    }
}

/// The exchanges that the roster updates remove, with the proxy that receives each.
fn removed_exchanges(events: &EventsByProxy) -> Vec<(usize, ExchangeId)> {
    let mut removed = Vec::new();
    for (proxy, inbox) in events {
        for event in inbox {
            if let CallEvent::Roster { entries: roster_entries, .. } = event {
                let removals = roster_entries.iter().filter(|e| e.state == ServiceState::Removed);
                removed.extend(removals.map(|e| (*proxy, e.id)));
            }
        }
    }
    removed
}

/// The call id of a request.
fn call_id(request: RequestIx) -> CallId {
    CallId(format!("{request:016x}"))
}

/// The request of a call id.
fn request_of(id: &CallId) -> Option<RequestIx> {
    RequestIx::from_str_radix(&id.0, 16).ok()
}
