//! The world: exchanges, groups, processors, callers and troubles in simulated time. It knows the proxies only by
//! what they are told and what they command, in the call table's own words ([`CallEvent`], [`CallEffect`]).

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

use account::{Fate, Waits};
use fleet::{EventsByProxy, ProxyFleet};
use group::Group;
use processor::Processor;
use queue::Queue;
pub use result::{DayResult, Ends, Sample};
use rules::Watch;

use crate::day::{Day, Us, EPOCH, SECOND};
use crate::random::{noise, stream, Purpose};
use crate::traffic::Caller;
use crate::LabError;

/// Position of an attempt.
pub type LegIx = u32;
/// Position of a request to a proxy.
pub type AskIx = u32;

/// The proxies' clock at a moment.
pub fn clock(now: Us) -> Time {
    Time(EPOCH + now as f64 / SECOND as f64)
}

/// The moment of a reading of the proxies' clock.
fn moment(time: Time) -> Us {
    ((time.0 - EPOCH) * SECOND as f64).round().max(0.0) as Us
}

/// What happens.
#[derive(Debug)]
enum Ev {
    /// A caller's first or further try.
    Try { caller: u32, resent: bool },
    /// A cut call comes again.
    Again(u32),
    /// An impatient caller leaves.
    Leave(AskIx),
    /// The caller's time and the slack are over.
    Overdue(AskIx),
    /// Proxies handle what has come in.
    Tick,
    /// A processor has done a job.
    Done { exchange: usize, serial: u64 },
    /// A set-up reaches the far end of its leg.
    SetUpAt(LegIx),
    /// An answer reaches the near end of its leg.
    AnswerAt(LegIx),
    /// The end of a set-up reaches the near end of its leg.
    EndAt(LegIx, Outcome, Cause),
    /// The giving up of a call in transit reaches its tandem.
    CancelAt(AskIx),
    /// Circuits of a leg that was given up fall free.
    Free(LegIx),
    /// A release reaches a far end.
    ReleaseAt(usize),
    /// A call has lasted its time.
    HoldOver(AskIx),
    /// A processor takes its figures.
    Figures(usize),
    /// The centre looks.
    Look,
    /// The day's series are continued.
    Sample,
    /// News reach a proxy.
    News { proxy: usize, news: usize },
    /// A trouble begins or goes on.
    Trouble(trouble::Step),
    /// A proxy's timer.
    Wake { proxy: usize, generation: u32, wake: CallTimer },
}

/// Where a request to a proxy stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskState {
    /// No final answer yet.
    Open,
    /// The call stands.
    Standing,
    /// It got its final answer, or is over after it stood.
    Over,
    /// Whoever asked has left, or the proxy has died: nothing is owed.
    Left,
}

/// A request to a proxy: a caller's try, or a call in transit.
#[derive(Debug)]
struct Ask {
    caller: u32,
    at: usize,
    generation: u32,
    /// The leg that brought a call in transit.
    from: Option<LegIx>,
    state: AskState,
    /// The attempt that is out.
    out: Option<LegIx>,
    /// The latest attempt.
    leg: Option<LegIx>,
    attempts: u32,
    /// No send before this.
    blocked: Us,
    /// How the last attempt was turned away.
    why: Cause,
}

/// Where an attempt stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LegState {
    /// On its way, with no answer.
    Flying,
    /// Given up by its proxy.
    Dead,
    /// Its answer has been told to its proxy.
    Answered,
    /// Over.
    Over,
}

/// An attempt.
#[derive(Debug)]
struct Leg {
    ask: AskIx,
    number: u32,
    from: usize,
    to: usize,
    office: ExchangeId,
    group: usize,
    width: u32,
    holds: bool,
    state: LegState,
    /// An exchange has answered it, and its proxy was told.
    answered: bool,
    until: Us,
    /// The request of a call in transit at the far end.
    child: Option<AskIx>,
}

/// A signalling proxy as the world sees it.
#[derive(Debug, Default)]
struct Seat {
    up: bool,
    generation: u32,
    inbox: Vec<CallEvent>,
    open: BTreeSet<AskIx>,
    /// Its roster has stopped until then; what it should have been told by now.
    deaf_until: Us,
    missed: Vec<usize>,
}

/// Figures of a processor as they will be known.
#[derive(Clone, Copy, Debug)]
struct Figures {
    known: Us,
    wait: Secs,
    hold_back: f64,
}

struct World<'a> {
    day: &'a Day,
    callers: &'a [Caller],
    seats: &'a mut dyn ProxyFleet,
    salt: u64,
    now: Us,
    queue: Queue<Ev>,
    /// Events in the queue that come again for ever.
    periodic: usize,
    proxies: Vec<Seat>,
    processors: Vec<Processor>,
    retired: Vec<Processor>,
    groups: Vec<Group>,
    /// Group between two exchanges, by `a * n + b`.
    group_of: Vec<usize>,
    dirty: BTreeSet<usize>,
    figures: Vec<VecDeque<Figures>>,
    report_rngs: Vec<Pcg64>,
    work_rngs: Vec<Pcg64>,
    looks: VecDeque<(Us, Vec<u32>)>,
    /// When the last message on each way between exchanges arrives: they keep their order.
    arrivals: Vec<Us>,
    asks: Vec<Ask>,
    legs: Vec<Leg>,
    active: BTreeSet<LegIx>,
    exchange_of: BTreeMap<ExchangeId, usize>,
    /// Offices that were taken out of service or died.
    gone: BTreeSet<ExchangeId>,
    news: Vec<(Us, RosterEntry)>,
    next_tick: Option<Us>,
    last_tick: Option<Us>,
    fates: Vec<Fate>,
    /// From when each caller's patience counts.
    since: Vec<Us>,
    watch: Watch,
    waits: Waits,
    ends: Ends,
    samples: Vec<Sample>,
    standing: u64,
    standing_area: f64,
    stood_time: f64,
    last_standing: Us,
    events: u64,
}

/// Runs a day to its end. `salt` changes the seeds of the proxies and nothing else.
pub fn run(
    day: &Day,
    callers: &[Caller],
    seats: &mut dyn ProxyFleet,
    salt: u64,
) -> Result<DayResult, LabError> {
    let mut world = World::new(day, callers, seats, salt);
    world.open_day()?;
    while let Some((at, event)) = world.queue.take() {
        world.now = at;
        world.events += 1;
        world.happen(event)?;
        if world.queue.len() == world.periodic {
            break;
        }
    }
    Ok(world.close_day())
}

impl<'a> World<'a> {
    fn new(day: &'a Day, callers: &'a [Caller], seats: &'a mut dyn ProxyFleet, salt: u64) -> Self {
        let n = day.n;
        let mut group_of = vec![usize::MAX; n * n];
        let groups: Vec<Group> = day.groups.iter().map(|(ends, size)| Group::new(*ends, *size)).collect();
        for (ix, group) in groups.iter().enumerate() {
            let [a, b] = group.ends;
            group_of[a * n + b] = ix;
            group_of[b * n + a] = ix;
        }
        let rngs = |purpose| (0..n).map(|x| stream(day.seed, purpose, x as u64)).collect();
        World {
            day,
            callers,
            seats,
            salt,
            now: 0,
            queue: Queue::default(),
            periodic: 0,
            proxies: (0..n).map(|_| Seat::default()).collect(),
            processors: Vec::new(),
            retired: Vec::new(),
            groups,
            group_of,
            dirty: BTreeSet::new(),
            figures: vec![VecDeque::new(); n],
            report_rngs: rngs(Purpose::Report),
            work_rngs: rngs(Purpose::Work),
            looks: VecDeque::new(),
            arrivals: vec![0; n * n],
            asks: Vec::new(),
            legs: Vec::new(),
            active: BTreeSet::new(),
            exchange_of: BTreeMap::new(),
            gone: BTreeSet::new(),
            news: Vec::new(),
            next_tick: None,
            last_tick: None,
            fates: vec![Fate::default(); callers.len()],
            since: callers.iter().map(|c| c.at).collect(),
            watch: Watch::default(),
            waits: Waits::new(day.classes.len()),
            ends: Ends::default(),
            samples: Vec::new(),
            standing: 0,
            standing_area: 0.0,
            stood_time: 0.0,
            last_standing: 0,
            events: 0,
        }
    }

    fn open_day(&mut self) -> Result<(), LabError> {
        for exchange in 0..self.day.n {
            let office = self.new_office(exchange);
            self.processors.push(Processor::new(office, self.day.processor, None));
            let entry = self.entry(exchange, office, ServiceState::InService, None);
            self.news.push((0, entry));
            self.put_periodic(self.day.report_period, Ev::Figures(exchange));
        }
        for proxy in 0..self.day.n {
            self.start_proxy(proxy)?;
        }
        if self.day.centre.is_some() {
            self.put_periodic(0, Ev::Look);
        }
        self.put_periodic(0, Ev::Sample);
        for (ix, caller) in self.callers.iter().enumerate() {
            self.queue.put(caller.at, Ev::Try { caller: ix as u32, resent: false });
        }
        self.plan_troubles();
        Ok(())
    }

    fn put_periodic(&mut self, at: Us, event: Ev) {
        self.periodic += 1;
        self.queue.put(at, event);
    }

    fn happen(&mut self, event: Ev) -> Result<(), LabError> {
        match event {
            Ev::Try { caller, resent } => self.try_call(caller, resent, false),
            Ev::Again(caller) => {
                self.since[caller as usize] = self.now;
                self.try_call(caller, false, true);
            }
            Ev::Leave(ask) => self.leave(ask),
            Ev::Overdue(ask) => self.overdue(ask),
            Ev::Tick => self.tick()?,
            Ev::Done { exchange, serial } => self.job_done(exchange, serial),
            Ev::SetUpAt(leg) => self.set_up_at(leg),
            Ev::AnswerAt(leg) => {
                if self.legs[leg as usize].state == LegState::Flying {
                    let near = self.legs[leg as usize].from;
                    self.work(near, processor::Task::ReceiveAnswer(leg));
                }
            }
            Ev::EndAt(leg, outcome, why) => self.end_leg(leg, outcome, why),
            Ev::CancelAt(ask) => self.cancel_at(ask),
            Ev::Free(leg) => self.free(leg),
            Ev::ReleaseAt(exchange) => self.work(exchange, processor::Task::Release),
            Ev::HoldOver(ask) => self.hold_over(ask),
            Ev::Figures(exchange) => self.take_figures(exchange),
            Ev::Look => self.look(),
            Ev::Sample => self.sample(),
            Ev::News { proxy, news } => self.tell_news(proxy, news),
            Ev::Trouble(step) => self.trouble(step)?,
            Ev::Wake { proxy, generation, wake } => {
                if self.proxies[proxy].generation == generation {
                    self.deliver(proxy, CallEvent::TimerExpired(wake));
                }
            }
        }
        Ok(())
    }

    // ---- Proxies ---------------------------------------------------------------------------------

    fn start_proxy(&mut self, proxy: usize) -> Result<(), LabError> {
        let generation = self.proxies[proxy].generation;
        let index = (self.salt << 32) ^ (u64::from(generation) << 20) ^ proxy as u64;
        let seed = rand::Rng::next_u64(&mut stream(self.day.seed, Purpose::Seat, index));
        // Seeds on the wire are whole numbers that a double can hold.
        self.seats.start(self.day, proxy, clock(self.now), seed >> 11)?;
        self.proxies[proxy].up = true;
        let mut listed: BTreeMap<ExchangeId, RosterEntry> = BTreeMap::new();
        for (known, office) in &self.news {
            if *known <= self.now {
                listed.insert(office.id, office.clone());
            }
        }
        let offices: Vec<RosterEntry> =
            listed.into_values().filter(|o| o.state != ServiceState::Removed).collect();
        for office in offices.iter().filter(|o| o.state != ServiceState::InService) {
            self.watch.told(proxy, office.id, self.now);
        }
        self.deliver(proxy, CallEvent::Roster { full: true, entries: offices });
        for far in (0..self.day.n).filter(|x| *x != proxy) {
            let input = self.status(proxy, far);
            self.deliver(proxy, input);
        }
        Ok(())
    }

    /// Puts something into a proxy's inbox; it is handled at its next tick.
    fn deliver(&mut self, proxy: usize, input: CallEvent) {
        if self.proxies[proxy].up {
            self.proxies[proxy].inbox.push(input);
            self.want_tick();
        }
    }

    fn want_tick(&mut self) {
        if self.next_tick.is_none() {
            let tick = self.day.tick;
            let mut at = self.now.div_ceil(tick) * tick;
            if self.last_tick == Some(at) {
                at += tick;
            }
            self.next_tick = Some(at);
            self.queue.put(at, Ev::Tick);
        }
    }

    fn tick(&mut self) -> Result<(), LabError> {
        self.next_tick = None;
        self.last_tick = Some(self.now);
        for group in std::mem::take(&mut self.dirty) {
            let [a, b] = self.groups[group].ends;
            for (proxy, far) in [(a, b), (b, a)] {
                let input = self.status(proxy, far);
                if self.proxies[proxy].up {
                    self.proxies[proxy].inbox.push(input);
                }
            }
        }
        let mut told: EventsByProxy = Vec::new();
        for (proxy, seat) in self.proxies.iter_mut().enumerate() {
            if seat.up && !seat.inbox.is_empty() {
                told.push((proxy, std::mem::take(&mut seat.inbox)));
            }
        }
        for (_, inputs) in &told {
            for input in inputs {
                if let CallEvent::SetUpFailed { id, outcome, cause: why, .. } = input {
                    self.attempt_ended(id, *outcome, *why);
                }
            }
        }
        let gone = gone_offices(&told);
        let mut commands = Vec::new();
        self.seats.tick(clock(self.now), told, &mut commands)?;
        for (proxy, office) in gone {
            self.close_connections(proxy, office);
        }
        for (proxy, command) in commands {
            match command {
                CallEffect::Caller(_, id, near) => self.near(proxy, &id, near),
                CallEffect::Exchange(office, id, far) => self.far(proxy, office, &id, far),
                CallEffect::StartTimer(at, wake) => {
                    let generation = self.proxies[proxy].generation;
                    let at = moment(at).max(self.now);
                    self.queue.put(at, Ev::Wake { proxy, generation, wake });
                }
                CallEffect::Log(text) => self.ends.log(text),
            }
        }
        Ok(())
    }

    /// A proxy has heard that an exchange is gone: its connections to it are closed, with the set-ups open there.
    fn close_connections(&mut self, proxy: usize, office: ExchangeId) {
        let open = |leg: &&LegIx| {
            let leg = &self.legs[**leg as usize];
            leg.from == proxy && leg.office == office && leg.state == LegState::Flying
        };
        for leg in self.active.iter().filter(open).copied().collect::<Vec<_>>() {
            self.let_go(leg);
        }
    }

    /// The end of an attempt is told to its proxy.
    fn attempt_ended(&mut self, id: &CallId, outcome: Outcome, why: Cause) {
        let Some(ask) = ask_of(id).and_then(|ix| self.asks.get_mut(ix as usize)) else { return };
        ask.out = None;
        ask.why = why;
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            ask.blocked = self.now + self.day.release;
        }
    }

    fn status(&self, proxy: usize, far: usize) -> CallEvent {
        let group = &self.groups[self.group_of[proxy * self.day.n + far]];
        let report = LoadReport {
            free_circuits: Some(f64::from(group.free())),
            group_size: Some(f64::from(group.working)),
            ..LoadReport::default()
        };
        CallEvent::Status { exchange: self.processors[far].office, report }
    }

    // ---- Flight ----------------------------------------------------------------------------------

    /// When a message sent now arrives. Those of one way keep their order.
    fn arrival(&mut self, from: usize, to: usize) -> Us {
        let way = from * self.day.n + to;
        let spread = 2.0 * noise(self.day.seed, way as u64, self.now) - 1.0;
        let took = self.day.flight[way] * (1.0 + self.day.jitter * spread);
        let at = (self.now + took.max(0.0) as Us).max(self.arrivals[way]);
        self.arrivals[way] = at;
        at
    }
}

/// The exchanges that proxies are told to be gone.
fn gone_offices(told: &EventsByProxy) -> Vec<(usize, ExchangeId)> {
    let mut gone = Vec::new();
    for (proxy, inputs) in told {
        for input in inputs {
            if let CallEvent::Roster { entries: offices, .. } = input {
                let off = offices.iter().filter(|o| o.state == ServiceState::Removed);
                gone.extend(off.map(|o| (*proxy, o.id)));
            }
        }
    }
    gone
}

/// The id of a request.
fn id_of(ask: AskIx) -> CallId {
    CallId(format!("{ask:016x}"))
}

/// The request of an id.
fn ask_of(id: &CallId) -> Option<AskIx> {
    AskIx::from_str_radix(&id.0, 16).ok()
}
