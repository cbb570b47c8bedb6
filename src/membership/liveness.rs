//! Failure detector of one exchange: decides how long the exchange may be silent before its calls are released.
//!
//! A machine that vanishes closes no connection, and discovery may be unavailable, so neither reliably reports the
//! failure. The detector relies on proof of life instead: each message on a connection proves that the process at the
//! other end was alive, and renews the lease of the calls that this process holds. Before a lease expires, the
//! detector asks for a new connection: a live process sends its state on it, and repeats releases that were lost.
//! When a lease expires, its calls are released.
//!
//! A new connection proves that a process listens at the address, but not that this process holds the calls: it may
//! have replaced the process that did. The detector assigns two connections to the same process only on evidence:
//!
//! - the older connection has delivered a message after the newer one was opened, or
//! - the state received on the newer connection counts at least as many circuits in use as the calls of this proxy hold
//!   at the exchange. A process that has just started counts none.
//!
//! The timing follows from a rule of the platform's protocol: when a call has ended and its release could not be
//! sent, the call is released to its caller within 8 s of its end.
//!
//! No I/O, and time is a parameter.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{CallId, LoadReport, Secs, Time};

/// Intervals of the detector, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time from the last message of a process until its calls are released.
    pub lease: Secs,
    /// Time from the last message of a process that holds calls until a new connection is asked for.
    pub verify_after: Secs,
    /// Minimum time between two requests for a new connection.
    pub verify_interval: Secs,
    /// Time within which a state that one connection has delivered has to arrive on the others. A connection that
    /// misses it for longer is replaced.
    pub state_lag: Secs,
    /// Time within which a release has to follow the state that no longer counts its call. After that the release
    /// counts as lost.
    pub release_lag: Secs,
    /// Messages within this time after the first one that follows a silence may have been held back by the network.
    pub held_back: Secs,
    /// A newer connection is assigned to the process of an older one if the older one delivers a message at least
    /// this long after the newer one was opened.
    pub overlap: Secs,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            lease: 7.2,
            verify_after: 3.0,
            verify_interval: 1.2,
            state_lag: 1.0,
            release_lag: 0.6,
            held_back: 1.0,
            overlap: 0.25,
        }
    }
}

/// How a connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseKind {
    /// The exchange closed it in order, which proves that its process was alive.
    ByPeer,
    /// It was reset, interrupted or closed by this proxy, which proves nothing.
    Other,
}

/// An action that the detector asks its owner to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open one more connection: a live exchange sends its state on it.
    Verify,
    /// This connection delivers no states while others do. Replace it once no set-up is open on it.
    Replace(u64),
    /// Nothing proves any longer that these calls exist at the exchange. Release them, and close these connections.
    Expire {
        /// The calls to release.
        calls: Vec<CallId>,
        /// The connections to close.
        connections: Vec<u64>,
    },
}

/// Number of a process at the exchange's address. Each connection starts with a number of its own; connections share
/// a number once there is evidence that they lead to the same process.
type Process = u64;

#[derive(Debug)]
struct Connection {
    process: Process,
    opened: Time,
    /// At least one message has arrived on it. The first one is a state.
    has_received: bool,
    /// A state has arrived after the first message, so the exchange is known to send state changes on it.
    receives_states: bool,
    /// When another connection first delivered a state that this one has not.
    missing_since: Option<Time>,
    /// Its replacement was asked for.
    replaced: bool,
}

#[derive(Debug)]
struct Call {
    process: Process,
    width: u32,
    established: Time,
    /// When the connection of its answer was opened.
    connection_opened: Time,
}

/// The failure detector of one exchange.
#[derive(Debug)]
pub struct FailureDetector {
    timing: Timing,
    connections: BTreeMap<u64, Connection>,
    /// The last proof of life of each process that has calls or connections.
    last_alive: BTreeMap<Process, Time>,
    /// When a process was heard again after a silence, if that has not renewed its lease yet.
    heard_again: BTreeMap<Process, Time>,
    calls: BTreeMap<CallId, Call>,
    next_process: Process,
    /// When a new connection was last asked for.
    last_verify: Option<Time>,
    /// Circuits in use according to the last state.
    circuits_in_use: Option<f64>,
    /// Circuits that set-ups without an answer may hold at the exchange.
    pending_circuits: u32,
    /// A state has counted our calls before. Only then does a state that counts fewer circuits show lost releases.
    counts_our_calls: bool,
    lost_releases: Option<LostReleases>,
}

/// A state counts fewer circuits in use than our calls hold at the exchange: releases are late or lost.
#[derive(Clone, Copy, Debug)]
struct LostReleases {
    /// When the state arrived.
    detected: Time,
    /// The last proof of life before the state. The calls may have ended at any time since then.
    alive_before: Time,
}

impl FailureDetector {
    /// Creates a detector without connections and calls.
    pub fn new(timing: Timing) -> Self {
        FailureDetector {
            timing,
            connections: BTreeMap::new(),
            last_alive: BTreeMap::new(),
            heard_again: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_process: 0,
            last_verify: None,
            circuits_in_use: None,
            pending_circuits: 0,
            counts_our_calls: false,
            lost_releases: None,
        }
    }

    /// Number of established calls at the exchange.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// Records that a connection was opened. The process that it leads to is not known yet.
    pub fn connection_opened(&mut self, now: Time, connection: u64) {
        let process = self.next_process;
        self.next_process += 1;
        let opened = Connection {
            process,
            opened: now,
            has_received: false,
            receives_states: false,
            missing_since: None,
            replaced: false,
        };
        self.connections.insert(connection, opened);
        self.last_alive.insert(process, now);
    }

    /// Records that a message has arrived on a connection.
    pub fn message_received(&mut self, now: Time, connection: u64) {
        let Some(receiver) = self.connections.get_mut(&connection) else { return };
        (receiver.has_received, receiver.missing_since) = (true, None);
        let (process, opened) = (receiver.process, receiver.opened);
        if let Some(proven) = self.proof_of_life(now, process, opened) {
            self.renew_lease(process, proven);
        }
        // Connections that were opened while this process was running lead to it.
        let overlap = self.timing.overlap;
        let opened_meanwhile =
            |c: &Connection| c.opened >= opened && now - c.opened >= overlap && c.process != process;
        let same: BTreeSet<Process> =
            self.connections.values().filter(|c| opened_meanwhile(c)).map(|c| c.process).collect();
        for other in same {
            self.merge(other, process);
        }
    }

    /// Sets the circuits that set-ups without an answer may hold at the exchange.
    pub fn set_pending_circuits(&mut self, circuits: u32) {
        self.pending_circuits = circuits;
    }

    /// Records that the state of the trunk group has arrived on a connection.
    pub fn state_received(&mut self, now: Time, connection: u64, report: &LoadReport) {
        // Read before this message renews a lease. Only processes that hold calls count: a connection that has just
        // been opened proves nothing about them.
        let alive_before = self.oldest_proof_of_life();
        let Some(receiver) = self.connections.get_mut(&connection) else { return };
        let process = receiver.process;
        let is_change = receiver.has_received;
        receiver.receives_states |= is_change;
        self.message_received(now, connection);
        if is_change {
            // The exchange sends each change of its state on every open connection.
            let others =
                self.connections.iter_mut().filter(|(no, c)| **no != connection && c.receives_states);
            for (_, other) in others {
                other.missing_since = other.missing_since.or(Some(now));
            }
        }
        self.compare_circuits(now, alive_before, report);
        if self.accounts_for_our_calls(process, report) {
            let others: Vec<Process> = self.last_alive.keys().copied().filter(|p| *p != process).collect();
            for other in others {
                self.merge(other, process);
            }
        }
    }

    /// Compares the circuits in use that a state reports with those of our calls.
    fn compare_circuits(&mut self, now: Time, alive_before: Option<Time>, report: &LoadReport) {
        let (Some(free), Some(size)) = (report.free_circuits, report.group_size) else { return };
        self.circuits_in_use = Some(size - free);
        if !self.counts_too_few() {
            self.counts_our_calls |= !self.calls.is_empty();
            self.lost_releases = None;
        } else if self.counts_our_calls && self.lost_releases.is_none() {
            self.lost_releases =
                Some(LostReleases { detected: now, alive_before: alive_before.unwrap_or(now) });
        }
    }

    /// Whether the last state counts fewer circuits in use than our calls hold.
    fn counts_too_few(&self) -> bool {
        self.circuits_in_use.is_some_and(|in_use| in_use + 1e-9 < f64::from(self.circuits_of_our_calls()))
    }

    fn circuits_of_our_calls(&self) -> u32 {
        self.calls.values().map(|call| call.width).sum()
    }

    /// Whether a state reports at least as many circuits in use as our calls hold, besides those that pending set-ups
    /// may have seized. If it reports no circuits, it is
    /// taken to come from the process of our calls as long as that process has an open connection.
    fn accounts_for_our_calls(&self, process: Process, report: &LoadReport) -> bool {
        let ours = self.circuits_of_our_calls() + self.pending_circuits;
        match (report.free_circuits, report.group_size) {
            (Some(free), Some(size)) => size - free + 1e-9 >= f64::from(ours),
            _ => self.calls.values().all(|call| {
                call.process == process || self.connections.values().any(|c| c.process == call.process)
            }),
        }
    }

    /// Records that a connection was closed.
    pub fn connection_closed(&mut self, now: Time, connection: u64, kind: CloseKind) {
        let Some(closed) = self.connections.remove(&connection) else { return };
        if kind == CloseKind::ByPeer {
            if let Some(proven) = self.proof_of_life(now, closed.process, closed.opened) {
                self.renew_lease(closed.process, proven);
            }
        }
        self.remove_if_unused(closed.process);
    }

    /// Records that a call was established by an answer on this connection.
    pub fn call_established(&mut self, now: Time, connection: u64, call: CallId, width: u32) {
        let Some(receiver) = self.connections.get(&connection) else { return };
        let (process, connection_opened) = (receiver.process, receiver.opened);
        self.renew_lease(process, now);
        self.calls.insert(call, Call { process, width, established: now, connection_opened });
        // The exchange seizes the circuits of a call, and reports them in its state, before it answers the call.
        self.counts_our_calls |= self.circuits_in_use.is_some() && !self.counts_too_few();
    }

    /// Records that the process at the other end of a connection has confirmed that it holds a call, in answer to a question
    /// that was sent at this time. That proves which process holds the call, whichever did before.
    pub fn call_confirmed(&mut self, asked: Time, connection: u64, call: &CallId) {
        let Some(process) = self.connections.get(&connection).map(|c| c.process) else { return };
        let Some(call) = self.calls.get_mut(call) else { return };
        let before = std::mem::replace(&mut call.process, process);
        self.renew_lease(process, asked);
        self.heard_again.remove(&process);
        self.remove_if_unused(before);
    }

    /// Records that a call has ended, from either side.
    pub fn call_ended(&mut self, call: &CallId) {
        if let Some(call) = self.calls.remove(call) {
            self.remove_if_unused(call.process);
            if !self.counts_too_few() {
                self.lost_releases = None;
            }
        }
    }

    /// Records that the process of the exchange started at this time. Returns the calls that have ended: those
    /// established on connections from before, which led to an earlier process.
    pub fn process_restarted(&mut self, at: Time) -> Vec<CallId> {
        let of_earlier_process = |(_, call): &(&CallId, &Call)| call.connection_opened < at;
        let ended: Vec<CallId> =
            self.calls.iter().filter(of_earlier_process).map(|(id, _)| id.clone()).collect();
        self.remove_calls(&ended);
        ended
    }

    /// Records that the process has died. Returns the calls that have ended: all of them.
    pub fn process_died(&mut self) -> Vec<CallId> {
        let ended: Vec<CallId> = self.calls.keys().cloned().collect();
        self.remove_calls(&ended);
        ended
    }

    fn remove_calls(&mut self, ended: &[CallId]) {
        for call in ended.iter().filter_map(|id| self.calls.remove(id)).collect::<Vec<_>>() {
            self.remove_if_unused(call.process);
        }
    }

    /// Until when a message, or the close of a connection, proves that a process was alive. After a silence it may have been sent long before: then a
    /// connection opened during the silence proves its own opening, another one nothing until what the network had
    /// held back has passed. A new connection is asked for at once.
    fn proof_of_life(&mut self, now: Time, process: Process, opened: Time) -> Option<Time> {
        let last = *self.last_alive.get(&process)?;
        let holds_calls = self.calls.values().any(|call| call.process == process);
        if !holds_calls || now - last < self.timing.verify_after {
            self.heard_again.remove(&process);
            return Some(now);
        }
        if opened > last {
            return Some(opened);
        }
        match self.heard_again.get(&process) {
            Some(since) if now - *since >= self.timing.held_back => {
                self.heard_again.remove(&process);
                Some(now)
            }
            Some(_) => None,
            None => {
                self.heard_again.insert(process, now);
                self.last_verify = None;
                None
            }
        }
    }

    fn renew_lease(&mut self, process: Process, until: Time) {
        if let Some(alive) = self.last_alive.get_mut(&process) {
            *alive = Time(alive.0.max(until.0));
        }
    }

    /// Assigns the connections and calls of one process to another, as both have turned out to be the same.
    fn merge(&mut self, from: Process, into: Process) {
        for connection in self.connections.values_mut().filter(|c| c.process == from) {
            connection.process = into;
        }
        for call in self.calls.values_mut().filter(|c| c.process == from) {
            call.process = into;
        }
        self.heard_again.remove(&from);
        if let Some(alive) = self.last_alive.remove(&from) {
            self.renew_lease(into, alive);
        }
    }

    fn remove_if_unused(&mut self, process: Process) {
        let used = self.connections.values().any(|c| c.process == process)
            || self.calls.values().any(|c| c.process == process);
        if !used {
            self.last_alive.remove(&process);
            self.heard_again.remove(&process);
        }
    }

    /// The oldest of the last proofs of life of the processes that hold calls.
    fn oldest_proof_of_life(&self) -> Option<Time> {
        let holders: BTreeSet<Process> = self.calls.values().map(|call| call.process).collect();
        let proofs = holders.iter().filter_map(|process| self.last_alive.get(process));
        proofs.copied().reduce(|a, b| if b < a { b } else { a })
    }

    /// When [`FailureDetector::check`] is due next; `None` while no call is established.
    pub fn next_check(&self, now: Time) -> Option<Time> {
        let oldest = self.oldest_proof_of_life()?;
        let verify = oldest + self.timing.verify_after;
        let next_verify =
            self.last_verify.map_or(verify, |at| Time(verify.0.max((at + self.timing.verify_interval).0)));
        let missing = self.connections.values().filter(|c| !c.replaced).filter_map(|c| c.missing_since);
        let replacements = missing.map(|since| since + self.timing.state_lag);
        let lost_checks = self.lost_releases.map(|lost| {
            let verify_allowed =
                self.last_verify.map_or(f64::NEG_INFINITY, |at| (at + self.timing.verify_interval).0);
            let verify = (lost.detected + self.timing.release_lag).0.max(verify_allowed);
            Time(verify.min((lost.alive_before + self.timing.lease).0))
        });
        let next = replacements
            .chain(lost_checks)
            .chain([next_verify, oldest + self.timing.lease])
            .fold(f64::INFINITY, |a, b| a.min(b.0));
        Some(Time(next.max(now.0)))
    }

    /// Returns the actions that are due. A tolerance of 1 µs on each interval covers the rounding of the time that
    /// [`FailureDetector::next_check`] gives.
    pub fn check(&mut self, now: Time) -> Vec<Effect> {
        let mut effects: Vec<Effect> =
            self.expire_leases(now).into_iter().chain(self.expire_lost_releases(now)).collect();
        let release_lost =
            self.lost_releases.is_some_and(|l| now - l.detected >= self.timing.release_lag - 1e-6);
        let silent =
            self.oldest_proof_of_life().is_some_and(|at| now - at >= self.timing.verify_after - 1e-6);
        let may_verify = self.last_verify.is_none_or(|at| now - at >= self.timing.verify_interval - 1e-6);
        if (silent || release_lost) && may_verify {
            self.last_verify = Some(now);
            effects.push(Effect::Verify);
        }
        effects.extend(self.replace_silent_connections(now));
        effects
    }

    /// Ends the calls of processes whose lease has expired.
    fn expire_leases(&mut self, now: Time) -> Option<Effect> {
        let lease = self.timing.lease - 1e-6;
        let dead = |process: &Process| self.last_alive.get(process).is_none_or(|at| now - *at >= lease);
        let expired = |call: &Call| dead(&call.process);
        let calls: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| expired(call)).map(|(id, _)| id.clone()).collect();
        if calls.is_empty() {
            return None;
        }
        let holders: BTreeSet<Process> =
            calls.iter().filter_map(|id| self.calls.get(id)).map(|call| call.process).collect();
        let of_holders = |(_, c): &(&u64, &Connection)| holders.contains(&c.process);
        let connections = self.connections.iter().filter(of_holders).map(|(no, _)| *no).collect();
        calls.iter().for_each(|id| self.call_ended(id));
        Some(Effect::Expire { calls, connections })
    }

    /// Ends the calls established before a release was lost that the exchange has not repeated. Which of these calls
    /// the release belongs to is unknown, so all of them end.
    fn expire_lost_releases(&mut self, now: Time) -> Option<Effect> {
        let lost = self.lost_releases.filter(|l| now - l.alive_before >= self.timing.lease - 1e-6)?;
        let before = self.calls.iter().filter(|(_, call)| call.established <= lost.detected);
        let calls: Vec<CallId> = before.map(|(id, _)| id.clone()).collect();
        self.lost_releases = None;
        if calls.is_empty() {
            return None;
        }
        calls.iter().for_each(|id| self.call_ended(id));
        Some(Effect::Expire { calls, connections: Vec::new() })
    }

    /// Asks for the replacement of connections that miss a state which another connection has delivered.
    fn replace_silent_connections(&mut self, now: Time) -> Vec<Effect> {
        let lag = self.timing.state_lag - 1e-6;
        let missing_states = self
            .connections
            .iter_mut()
            .filter(|(_, c)| !c.replaced && c.missing_since.is_some_and(|since| now - since >= lag));
        let replace = |(no, connection): (&u64, &mut Connection)| {
            connection.replaced = true;
            Effect::Replace(*no)
        };
        missing_states.map(replace).collect()
    }
}
