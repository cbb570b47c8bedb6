//! A model of the systems around a call table: the actors of exchanges with their connections, and the exchanges. Every
//! message between them is delayed until a step delivers it, so the parties act on outdated knowledge of each other.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use mallowring::calls::tenants::Tenants;
use mallowring::calls::{
    CallEffect, CallEvent, CallTimer, CallerCommand, ExchangeCommand, Front, Request, SetUp, Table,
};
use mallowring::interface::*;
use mallowring::recovery::attempt_end::AttemptEnd;
use mallowring::recovery::set_ups::{Answered, Cancelled, ConnectionId, EndedSetUp, SetUps};

use super::common::{roster_entry, settings};

/// Number of exchanges besides the own one.
pub const EXCHANGES: usize = 3;
/// Most attempts of a call.
pub const MAX_ATTEMPTS: u32 = 6;
/// Statuses that exchanges answer with: those of the protocol and one that it does not define.
const STATUSES: [u16; 7] = [200, 503, 480, 500, 486, 504, 404];
/// Time that a caller waits, in seconds.
const CALLER_WAIT: Secs = 3.0;

/// A message from the call table to an actor, or an event of one of its connections.
#[derive(Clone, Debug)]
enum ToActor {
    Command(CallId, ExchangeCommand),
    Connected(ConnectionId),
    ConnectRefused,
    ConnectionEnded(ConnectionId),
    Answer(ConnectionId, CallId, u16),
    StartedAt(Time),
}

/// What an actor writes to a connection.
#[derive(Clone, Debug)]
enum ToExchange {
    SetUp(CallId, u32),
    Cancel(CallId),
    End,
}

/// The actor of one exchange, as `src/net/peer/` handles set-ups, with the real [`SetUps`].
#[derive(Debug)]
struct Actor {
    set_ups: SetUps,
    connections: BTreeMap<ConnectionId, Time>,
    last_connection_lost: bool,
    started_at: Option<Time>,
}

/// One connection as the exchange sees it.
#[derive(Debug)]
struct Link {
    process: u64,
    in_transit: VecDeque<ToExchange>,
    /// Set-ups that have arrived and are not over: their number, and whether a front has answered for the exchange.
    pending: BTreeMap<CallId, (u32, bool)>,
    /// The latest answer, which may be repeated.
    last_answer: Option<(CallId, u16)>,
}

/// One exchange and the way between it and its actor.
#[derive(Debug)]
struct Exchange {
    actor: Actor,
    mailbox: VecDeque<ToActor>,
    /// Events from the actor to the call table, in order.
    events: VecDeque<CallEvent>,
    links: BTreeMap<ConnectionId, Link>,
    /// The number of the running process, or none.
    process: Option<u64>,
    listed: ServiceState,
}

/// The whole model.
pub struct World {
    table: Table,
    now: f64,
    exchanges: Vec<Exchange>,
    timers: Vec<(Time, CallTimer)>,
    next_call: u32,
    next_connection: ConnectionId,
    next_process: u64,
    /// Attempts that are out at an exchange, by call: exchange and number of the attempt.
    out: BTreeMap<CallId, BTreeSet<(usize, u32)>>,
    arrived: BTreeMap<CallId, u32>,
    final_answers: BTreeMap<CallId, u32>,
    given_up: BTreeSet<CallId>,
    /// Attempts that arrived while none of their call was out, after an earlier one: the model reaches retries.
    pub retries: u32,
    pub trace: Vec<String>,
}

impl World {
    pub fn new() -> World {
        let now = Time(1000.0);
        let table_settings = Settings { max_attempts: MAX_ATTEMPTS, ..settings() };
        let exchange = |process| Exchange {
            actor: Actor {
                set_ups: SetUps::new(now),
                connections: BTreeMap::new(),
                last_connection_lost: false,
                started_at: None,
            },
            mailbox: VecDeque::new(),
            events: VecDeque::new(),
            links: BTreeMap::new(),
            process: Some(process),
            listed: ServiceState::InService,
        };
        let mut world = World {
            table: Table::new(table_settings, Tenants::default(), 7, now),
            now: now.0,
            exchanges: (0..EXCHANGES as u64).map(exchange).collect(),
            timers: Vec::new(),
            next_call: 0,
            next_connection: 0,
            next_process: EXCHANGES as u64,
            out: BTreeMap::new(),
            arrived: BTreeMap::new(),
            final_answers: BTreeMap::new(),
            given_up: BTreeSet::new(),
            retries: 0,
            trace: Vec::new(),
        };
        let entries = (0..=EXCHANGES as i64).map(roster_entry).collect();
        world.tell(CallEvent::Roster { full: true, entries });
        let report =
            LoadReport { free_circuits: Some(90.0), group_size: Some(90.0), ..LoadReport::default() };
        for at in 0..EXCHANGES {
            world.tell(CallEvent::Status { exchange: exchange_id(at), report });
            world.connect(at);
        }
        world
    }

    /// Plays one step, which three numbers choose. Returns a broken rule.
    pub fn step(&mut self, (kind, which, value): (u8, u8, u8)) -> Result<(), String> {
        let at = which as usize % EXCHANGES;
        let (which, value) = (which as usize / EXCHANGES, value as usize);
        self.trace.push(format!(
            "{:.3} kind={} exchange={at} which={which} value={value}",
            self.now,
            kind % 48
        ));
        match kind % 48 {
            0..=3 => self.request(at),
            4..=12 => self.repeat(value, |world| world.deliver_to_actor(at)),
            13..=21 => self.repeat(value, |world| world.deliver_to_table(at)),
            22..=27 => self.deliver_to_exchange(at, which)?,
            28..=35 => self.answer(at, which, STATUSES[value % STATUSES.len()], false),
            36 => self.answer(at, which, [504, 404][value % 2], true),
            37 => self.repeat_answer(at, which),
            38..=39 => self.connect(at),
            40 => self.reset_connection(at, which),
            41 => self.change_process(at, true),
            42 => self.change_process(at, false),
            43 => self.tell_roster(at, value),
            44 => self.exchanges[at].mailbox.push_back(ToActor::ConnectRefused),
            45 => self.give_up(which),
            _ => self.advance([0.001, 0.05, 0.31, 1.0][value % 4]),
        }
        self.check_final_answers()
    }

    /// Lets every message arrive and every timer expire; each call has its final answer then.
    pub fn settle(&mut self) -> Result<(), String> {
        for _ in 0..40 {
            for at in 0..EXCHANGES {
                while !self.exchanges[at].mailbox.is_empty() || !self.exchanges[at].events.is_empty() {
                    self.deliver_to_actor(at);
                    self.deliver_to_table(at);
                }
                for which in 0..self.exchanges[at].links.len() {
                    self.deliver_to_exchange(at, which)?;
                }
            }
            self.advance(0.31);
        }
        self.check_final_answers()?;
        let unanswered = (0..self.next_call)
            .map(call_id)
            .find(|id| !self.given_up.contains(id) && self.final_answers.get(id).copied().unwrap_or(0) == 0);
        unanswered.map_or(Ok(()), |id| Err(format!("no final answer for {id:?}")))
    }

    /// Delivers up to four messages.
    fn repeat(&mut self, value: usize, deliver: impl Fn(&mut World)) {
        (0..=value % 4).for_each(|_| deliver(self));
    }

    fn check_final_answers(&self) -> Result<(), String> {
        let twice = self.final_answers.iter().find(|(_, answers)| **answers > 1);
        twice.map_or(Ok(()), |(id, _)| Err(format!("two final answers for {id:?}")))
    }

    /// Passes an event to the call table and its effects on.
    fn tell(&mut self, event: CallEvent) {
        let mut effects = Vec::new();
        self.table.handle(Time(self.now), event, &mut effects);
        for effect in effects {
            match effect {
                CallEffect::Caller(_, id, command) => {
                    if !matches!(command, CallerCommand::Release { .. }) {
                        *self.final_answers.entry(id).or_default() += 1;
                    }
                }
                CallEffect::Exchange(exchange, id, command) => {
                    let at = (exchange.0 - exchange_id(0).0) as usize;
                    self.exchanges[at].mailbox.push_back(ToActor::Command(id, command));
                }
                CallEffect::StartTimer(at, timer) => self.timers.push((at, timer)),
                CallEffect::Log(_) => {}
            }
        }
    }

    fn request(&mut self, at: usize) {
        let id = call_id(self.next_call);
        self.next_call += 1;
        self.tell(CallEvent::Request(Request {
            id,
            front: Front::Platform,
            class: settings().classes[1].name.clone(),
            tenant: None,
            ttl: CALLER_WAIT,
            transit: false,
            hop: None,
            re_established: false,
            redial: false,
            width: 1,
            dest: roster_entry(at as i64 + 1).number,
            number: "n-1".into(),
            description: Arc::from(&b"offer"[..]),
            front_bytes: 0,
        }));
    }

    fn give_up(&mut self, which: usize) {
        let id = call_id(which as u32 % self.next_call.max(1));
        if self.final_answers.contains_key(&id) {
            return;
        }
        self.given_up.insert(id.clone());
        self.tell(CallEvent::CallerGaveUp(id));
    }

    fn advance(&mut self, seconds: f64) {
        self.now += seconds;
        self.timers.sort_by(|a, b| b.0 .0.total_cmp(&a.0 .0));
        while self.timers.last().is_some_and(|(at, _)| at.0 <= self.now) {
            let Some((_, timer)) = self.timers.pop() else { return };
            self.tell(CallEvent::TimerExpired(timer));
            self.timers.sort_by(|a, b| b.0 .0.total_cmp(&a.0 .0));
        }
    }

    fn tell_roster(&mut self, at: usize, value: usize) {
        let ready_at = [None, Some(Time(self.now)), Some(Time(self.now - 0.2)), Some(Time(self.now - 20.0))];
        let ready_at = ready_at[value % 4];
        let state = match value / 4 % 8 {
            0 => ServiceState::Removed,
            1 => ServiceState::Draining,
            _ => ServiceState::InService,
        };
        let removed = state == ServiceState::Removed;
        // The entry of a removed exchange comes back under a new id; the model lists it as draining instead.
        let state = if removed { ServiceState::Draining } else { state };
        self.exchanges[at].listed = state;
        let entry = RosterEntry { state, ready_at, ..roster_entry(at as i64 + 1) };
        self.tell(CallEvent::Roster { full: false, entries: vec![entry] });
        if let Some(started) = ready_at {
            self.exchanges[at].mailbox.push_back(ToActor::StartedAt(started));
        }
    }

    /// Opens a connection, if a process listens; otherwise the connect is refused.
    fn connect(&mut self, at: usize) {
        let connection = self.next_connection;
        self.next_connection += 1;
        let exchange = &mut self.exchanges[at];
        let Some(process) = exchange.process else {
            return exchange.mailbox.push_back(ToActor::ConnectRefused);
        };
        let link = Link { process, in_transit: VecDeque::new(), pending: BTreeMap::new(), last_answer: None };
        exchange.links.insert(connection, link);
        exchange.mailbox.push_back(ToActor::Connected(connection));
    }

    /// The actor notices the end of a connection now, the exchange when it reads what was sent before.
    fn reset_connection(&mut self, at: usize, which: usize) {
        let Some(connection) = self.nth_link(at, which) else { return };
        self.exchanges[at].mailbox.push_back(ToActor::ConnectionEnded(connection));
        self.write(at, connection, ToExchange::End);
    }

    /// Ends the process, with its connections and set-ups, or starts another one.
    fn change_process(&mut self, at: usize, end: bool) {
        if end {
            self.exchanges[at].process = None;
            for (connection, link) in std::mem::take(&mut self.exchanges[at].links) {
                self.exchanges[at].mailbox.push_back(ToActor::ConnectionEnded(connection));
                for (id, (leg, _)) in link.pending {
                    self.end_attempt(at, &id, leg);
                }
            }
        } else if self.exchanges[at].process.is_none() {
            self.exchanges[at].process = Some(self.next_process);
            self.next_process += 1;
        }
    }

    fn nth_link(&self, at: usize, which: usize) -> Option<ConnectionId> {
        let links = &self.exchanges[at].links;
        links.keys().nth(which.checked_rem(links.len())?).copied()
    }

    fn end_attempt(&mut self, at: usize, id: &CallId, leg: u32) {
        if let Some(out) = self.out.get_mut(id) {
            out.remove(&(at, leg));
        }
    }

    /// Delivers what an actor wrote first to one of its connections.
    fn deliver_to_exchange(&mut self, at: usize, which: usize) -> Result<(), String> {
        let Some(connection) = self.nth_link(at, which) else { return Ok(()) };
        let Some(link) = self.exchanges[at].links.get_mut(&connection) else { return Ok(()) };
        match link.in_transit.pop_front() {
            Some(ToExchange::SetUp(id, leg)) => {
                link.pending.insert(id.clone(), (leg, false));
                return self.attempt_arrived(at, id, leg);
            }
            Some(ToExchange::Cancel(id)) => {
                if let Some((leg, _)) = link.pending.remove(&id) {
                    self.end_attempt(at, &id, leg);
                }
            }
            Some(ToExchange::End) => {
                let link = self.exchanges[at].links.remove(&connection);
                for (id, (leg, _)) in link.into_iter().flat_map(|link| link.pending) {
                    self.end_attempt(at, &id, leg);
                }
            }
            None => {}
        }
        Ok(())
    }

    fn attempt_arrived(&mut self, at: usize, id: CallId, leg: u32) -> Result<(), String> {
        let out = self.out.entry(id.clone()).or_default();
        if !out.is_empty() {
            return Err(format!("{id:?}: attempt {leg} arrived at {at} while {out:?} is out"));
        }
        out.insert((at, leg));
        let arrived = self.arrived.entry(id.clone()).or_default();
        self.retries += u32::from(*arrived > 0);
        *arrived += 1;
        if *arrived > MAX_ATTEMPTS {
            return Err(format!("{id:?}: {arrived} attempts"));
        }
        Ok(())
    }

    /// The exchange, or a front that answers for it while it works on, answers a pending set-up.
    fn answer(&mut self, at: usize, which: usize, status: u16, by_front: bool) {
        let Some(connection) = self.nth_link(at, which) else { return };
        let exchange = &mut self.exchanges[at];
        let Some(link) = exchange.links.get_mut(&connection) else { return };
        if Some(link.process) != exchange.process {
            return;
        }
        let Some((id, (leg, failed_in_front))) =
            link.pending.first_key_value().map(|(id, set_up)| (id.clone(), *set_up))
        else {
            return;
        };
        if by_front {
            link.pending.insert(id.clone(), (leg, true));
        } else {
            link.pending.remove(&id);
        }
        if !failed_in_front {
            link.last_answer = Some((id.clone(), status));
            exchange.mailbox.push_back(ToActor::Answer(connection, id.clone(), status));
        }
        if !by_front {
            self.end_attempt(at, &id, leg);
        }
    }

    fn repeat_answer(&mut self, at: usize, which: usize) {
        let Some(connection) = self.nth_link(at, which) else { return };
        let exchange = &mut self.exchanges[at];
        if let Some((id, status)) = exchange.links.get(&connection).and_then(|link| link.last_answer.clone())
        {
            exchange.mailbox.push_back(ToActor::Answer(connection, id, status));
        }
    }

    fn write(&mut self, at: usize, connection: ConnectionId, message: ToExchange) {
        if let Some(link) = self.exchanges[at].links.get_mut(&connection) {
            link.in_transit.push_back(message);
        }
    }

    fn deliver_to_table(&mut self, at: usize) {
        if let Some(event) = self.exchanges[at].events.pop_front() {
            self.tell(event);
        }
    }

    fn deliver_to_actor(&mut self, at: usize) {
        let Some(message) = self.exchanges[at].mailbox.pop_front() else { return };
        let now = Time(self.now);
        match message {
            ToActor::Command(id, ExchangeCommand::SetUp(set_up)) => self.start_set_up(at, id, set_up),
            ToActor::Command(id, ExchangeCommand::CancelSetUp { leg }) => {
                if let Cancelled::Pending(connection, _) = self.exchanges[at].actor.set_ups.cancel(&id, leg) {
                    self.write(at, connection, ToExchange::Cancel(id));
                }
            }
            ToActor::Command(_, ExchangeCommand::Release { .. }) => {}
            ToActor::Connected(connection) => {
                let actor = &mut self.exchanges[at].actor;
                actor.last_connection_lost = false;
                actor.connections.insert(connection, now);
                for (id, set_up) in actor.set_ups.take_waiting() {
                    self.start_set_up(at, id, set_up);
                }
            }
            ToActor::ConnectRefused => self.connect_refused(at),
            ToActor::ConnectionEnded(connection) => {
                let actor = &mut self.exchanges[at].actor;
                if actor.connections.remove(&connection).is_some() {
                    actor.last_connection_lost |= actor.connections.is_empty();
                    self.end_connection(at, connection);
                }
            }
            ToActor::Answer(connection, id, status) => self.take_answer(at, connection, id, status),
            ToActor::StartedAt(started) => self.restarted(at, started),
        }
    }

    fn report(&mut self, at: usize, ended: EndedSetUp) {
        let EndedSetUp { id, leg, end } = ended;
        let (exchange, cause, report) = (exchange_id(at), Cause::Unspecified, LoadReport::default());
        let failed = CallEvent::SetUpFailed { id, exchange, leg: Some(leg), end, cause, report };
        self.exchanges[at].events.push_back(failed);
    }

    fn end_connection(&mut self, at: usize, connection: ConnectionId) {
        for ended in self.exchanges[at].actor.set_ups.connection_ended(connection) {
            self.report(at, ended);
        }
    }

    fn start_set_up(&mut self, at: usize, id: CallId, set_up: SetUp) {
        let listed = self.exchanges[at].listed;
        let actor = &mut self.exchanges[at].actor;
        let leg = set_up.leg;
        if actor.connections.is_empty() {
            let ended = match listed {
                ServiceState::InService => actor.set_ups.wait(id, set_up),
                _ => Some(EndedSetUp { id, leg, end: AttemptEnd::NeverSent }),
            };
            ended.into_iter().for_each(|ended| self.report(at, ended));
            return;
        }
        let free = |connection: &&ConnectionId| !actor.set_ups.was_answered_on(**connection, &id);
        match actor.connections.keys().find(free).copied() {
            Some(connection) => {
                actor.set_ups.sent(Time(self.now), connection, id.clone(), &set_up);
                self.write(at, connection, ToExchange::SetUp(id, leg));
            }
            None => self.report(at, EndedSetUp { id, leg, end: AttemptEnd::HeldBack }),
        }
    }

    fn connect_refused(&mut self, at: usize) {
        let actor = &mut self.exchanges[at].actor;
        if !actor.connections.is_empty() {
            return;
        }
        let died = std::mem::take(&mut actor.last_connection_lost);
        for ended in actor.set_ups.end_waiting() {
            self.report(at, ended);
        }
        if died {
            self.exchanges[at].events.push_back(CallEvent::ExchangeDown(exchange_id(at)));
        }
    }

    fn take_answer(&mut self, at: usize, connection: ConnectionId, id: CallId, status: u16) {
        let actor = &mut self.exchanges[at].actor;
        if !actor.connections.contains_key(&connection) {
            return;
        }
        let end = (status >= 300).then(|| AttemptEnd::from_status(status));
        let exchange = exchange_id(at);
        let event = match (actor.set_ups.answered(connection, &id, end), end) {
            (Answered::Pending(pending), Some(end)) => {
                return self.report(at, EndedSetUp { id, leg: pending.leg, end });
            }
            (Answered::Pending(pending), None) => {
                CallEvent::Answered { id, exchange, leg: Some(pending.leg), description: Arc::from([]) }
            }
            (Answered::AfterItsEnd, None) => {
                CallEvent::Answered { id, exchange, leg: None, description: Arc::from([]) }
            }
            _ => return,
        };
        self.exchanges[at].events.push_back(event);
    }

    fn restarted(&mut self, at: usize, told: Time) {
        let actor = &mut self.exchanges[at].actor;
        if actor.started_at.is_some_and(|known| known >= told) {
            return;
        }
        actor.started_at = Some(told);
        let older = actor.connections.iter().filter(|(_, opened)| **opened < told);
        let stale: Vec<ConnectionId> = older.map(|(connection, _)| *connection).collect();
        for connection in stale {
            self.exchanges[at].actor.connections.remove(&connection);
            self.end_connection(at, connection);
            self.write(at, connection, ToExchange::End);
        }
    }
}

fn exchange_id(at: usize) -> ExchangeId {
    roster_entry(at as i64 + 1).id
}

fn call_id(number: u32) -> CallId {
    CallId(format!("{number:016x}"))
}
