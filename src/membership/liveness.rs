//! Failure detector of one exchange: how long its silence is borne before its calls are released.
//!
//! A machine that vanishes breaks no connection, and discovery may be down, so neither can be waited for. What counts
//! is proof of life: every message on a connection proves that the process at its other end was alive, and renews the
//! lease of the calls which that process holds. Before the lease runs out a new connection is asked for; a process
//! that is alive tells its state on it, and sends releases again that were lost. A lease that runs out ends the calls.
//!
//! A new connection proves that somebody listens at the address, not that it is the process which holds the calls: it
//! may have been replaced. Two connections are taken to lead to one process only on evidence:
//!
//! - the older one has brought something after the newer one came up, or
//! - the state that the newer one tells has as many circuits in use as the older process holds of ours. A process
//!   that started anew holds none.
//!
//! No I/O, and time is a parameter. The figures come from the platform's protocol page, 'The rules on sockets': a call
//! that is over and whose release could not be sent is released to its caller within 8 s of its end.

use std::collections::{BTreeMap, BTreeSet};

use crate::interface::{CallId, LoadReport, Secs, Time};

/// When the detector acts, in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// From the last proof of life until the calls of a process are released.
    pub lease: Secs,
    /// From the last proof of life until a new connection is asked for.
    pub verify_after: Secs,
    /// From one request for a connection to the next.
    pub verify_interval: Secs,
    /// A connection is broken that misses a state for so long after another one has brought it.
    pub state_lag: Secs,
    /// Releases may follow the state that counts their calls no more by so long; then they are held for lost.
    pub release_lag: Secs,
    /// A connection that came up so long before another one brought something came up beside it.
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
            overlap: 0.25,
        }
    }
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseKind {
    /// The other side closed it in order, and so was alive.
    ByPeer,
    /// It was reset, cut, or closed by us.
    Other,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Open one more connection, to hear whether the exchange is alive.
    Verify,
    /// This connection brings nothing while others do: replace it once no set-up is open on it.
    Replace(u64),
    /// Nothing proves any longer that these calls stand: release them, and close these connections.
    Expire {
        /// The calls to release.
        calls: Vec<CallId>,
        /// The connections to close.
        connections: Vec<u64>,
    },
}

/// A process at the exchange's address, as far as connections can be told to lead to the same one.
type Process = u64;

#[derive(Debug)]
struct Connection {
    process: Process,
    opened: Time,
    /// It has brought its first message, which is a state.
    informed: bool,
    /// It has brought a state beyond its first message, so that it is known to get them.
    gets_states: bool,
    /// When another connection first brought a state that this one has not.
    missing_since: Option<Time>,
    /// It was named for replacement.
    replaced: bool,
}

#[derive(Debug)]
struct Call {
    process: Process,
    width: u32,
    stands_since: Time,
}

/// The failure detector of one exchange.
#[derive(Debug)]
pub struct FailureDetector {
    timing: Timing,
    connections: BTreeMap<u64, Connection>,
    /// The last proof of life of each process that holds calls or connections.
    proofs: BTreeMap<Process, Time>,
    calls: BTreeMap<CallId, Call>,
    next_process: Process,
    /// When a connection was last asked for.
    asked: Option<Time>,
    /// Circuits in use, as the last state told.
    used: Option<f64>,
    /// States have counted our calls before, so that one which counts fewer says something.
    counts_ours: bool,
    missing: Option<Missing>,
}

/// A state counts fewer circuits in use than we hold there: releases were lost.
#[derive(Clone, Copy, Debug)]
struct Missing {
    /// When it came.
    seen: Time,
    /// The last proof of life before it: the calls were still there.
    proof: Time,
}

impl FailureDetector {
    /// A detector that knows of no connection and no call.
    pub fn new(timing: Timing) -> Self {
        FailureDetector {
            timing,
            connections: BTreeMap::new(),
            proofs: BTreeMap::new(),
            calls: BTreeMap::new(),
            next_process: 0,
            asked: None,
            used: None,
            counts_ours: false,
            missing: None,
        }
    }

    /// Calls that stand on the exchange.
    pub fn call_count(&self) -> usize {
        self.calls.len()
    }

    /// A connection has come up. It is not known yet which process it leads to.
    pub fn connection_opened(&mut self, now: Time, connection: u64) {
        let process = self.next_process;
        self.next_process += 1;
        let opened = Connection {
            process,
            opened: now,
            informed: false,
            gets_states: false,
            missing_since: None,
            replaced: false,
        };
        self.connections.insert(connection, opened);
        self.proofs.insert(process, now);
    }

    /// A connection has brought a message.
    pub fn message_received(&mut self, now: Time, connection: u64) {
        let Some(at) = self.connections.get_mut(&connection) else { return };
        (at.informed, at.missing_since) = (true, None);
        let (process, opened) = (at.process, at.opened);
        self.prove(process, now);
        // Whatever came up while this process was there leads to it.
        let overlap = self.timing.overlap;
        let beside = |c: &Connection| c.opened >= opened && now - c.opened >= overlap && c.process != process;
        let same: BTreeSet<Process> =
            self.connections.values().filter(|c| beside(c)).map(|c| c.process).collect();
        for other in same {
            self.merge(other, process);
        }
    }

    /// A connection has brought the state of the trunk group.
    pub fn state_received(&mut self, now: Time, connection: u64, report: &LoadReport) {
        // That of the processes which hold calls: a connection that has just come up proves nothing of them.
        let proof = self.oldest_proof();
        let Some(at) = self.connections.get_mut(&connection) else { return };
        let process = at.process;
        let change = at.informed;
        at.gets_states |= change;
        self.message_received(now, connection);
        if change {
            // Every open connection is told of it.
            let others = self.connections.iter_mut().filter(|(no, c)| **no != connection && c.gets_states);
            for (_, other) in others {
                other.missing_since = other.missing_since.or(Some(now));
            }
        }
        self.count(now, proof, report);
        if self.holds_our_calls(process, report) {
            let others: Vec<Process> = self.proofs.keys().copied().filter(|p| *p != process).collect();
            for other in others {
                self.merge(other, process);
            }
        }
    }

    /// Compares the circuits in use with those of our calls.
    fn count(&mut self, now: Time, proof: Option<Time>, report: &LoadReport) {
        let (Some(free), Some(size)) = (report.free_circuits, report.group_size) else { return };
        self.used = Some(size - free);
        if !self.counts_fewer() {
            self.counts_ours |= !self.calls.is_empty();
            self.missing = None;
        } else if self.counts_ours && self.missing.is_none() {
            self.missing = Some(Missing { seen: now, proof: proof.unwrap_or(now) });
        }
    }

    /// The last state counts fewer circuits in use than our calls hold.
    fn counts_fewer(&self) -> bool {
        self.used.is_some_and(|used| used + 1e-9 < f64::from(self.circuits_held()))
    }

    fn circuits_held(&self) -> u32 {
        self.calls.values().map(|call| call.width).sum()
    }

    /// Whether a state shows as many circuits in use as we hold there. Where it tells no circuits, a process whose
    /// connections are still open is believed to be the one that tells it.
    fn holds_our_calls(&self, process: Process, report: &LoadReport) -> bool {
        let ours = self.circuits_held();
        match (report.free_circuits, report.group_size) {
            (Some(free), Some(size)) => size - free + 1e-9 >= f64::from(ours),
            _ => self.calls.values().all(|call| {
                call.process == process || self.connections.values().any(|c| c.process == call.process)
            }),
        }
    }

    /// A connection has ended.
    pub fn connection_closed(&mut self, now: Time, connection: u64, ending: CloseKind) {
        let Some(closed) = self.connections.remove(&connection) else { return };
        if ending == CloseKind::ByPeer {
            self.prove(closed.process, now);
        }
        self.forget_if_empty(closed.process);
    }

    /// A call stands; its answer came on this connection.
    pub fn call_established(&mut self, now: Time, connection: u64, call: CallId, width: u32) {
        let Some(at) = self.connections.get(&connection) else { return };
        let process = at.process;
        self.calls.insert(call, Call { process, width, stands_since: now });
        // Its circuits were taken, and told of, before it was answered.
        self.counts_ours |= self.used.is_some() && !self.counts_fewer();
    }

    /// A call is over, whoever ended it.
    pub fn call_ended(&mut self, call: &CallId) {
        if let Some(call) = self.calls.remove(call) {
            self.forget_if_empty(call.process);
            if !self.counts_fewer() {
                self.missing = None;
            }
        }
    }

    /// The calls that stood before a time are over: the process has been started anew.
    pub fn process_restarted(&mut self, at: Time) {
        self.calls.retain(|_, call| call.stands_since > at);
        let empty: Vec<Process> = self.proofs.keys().copied().collect();
        empty.into_iter().for_each(|process| self.forget_if_empty(process));
    }

    /// All calls are over.
    pub fn process_died(&mut self) {
        let calls = std::mem::take(&mut self.calls);
        for call in calls.into_values() {
            self.forget_if_empty(call.process);
        }
    }

    fn prove(&mut self, process: Process, now: Time) {
        if let Some(proof) = self.proofs.get_mut(&process) {
            *proof = Time(proof.0.max(now.0));
        }
    }

    /// One process turns out to be another one.
    fn merge(&mut self, from: Process, into: Process) {
        for connection in self.connections.values_mut().filter(|c| c.process == from) {
            connection.process = into;
        }
        for call in self.calls.values_mut().filter(|c| c.process == from) {
            call.process = into;
        }
        if let Some(proof) = self.proofs.remove(&from) {
            self.prove(into, proof);
        }
    }

    fn forget_if_empty(&mut self, process: Process) {
        let used = self.connections.values().any(|c| c.process == process)
            || self.calls.values().any(|c| c.process == process);
        if !used {
            self.proofs.remove(&process);
        }
    }

    /// The oldest proof of life among the processes that hold calls.
    fn oldest_proof(&self) -> Option<Time> {
        let holders: BTreeSet<Process> = self.calls.values().map(|call| call.process).collect();
        let proofs = holders.iter().filter_map(|process| self.proofs.get(process));
        proofs.copied().reduce(|a, b| if b < a { b } else { a })
    }

    /// When [`FailureDetector::check`] may have something to do; `None` while no call stands.
    pub fn next_check(&self, now: Time) -> Option<Time> {
        let oldest = self.oldest_proof()?;
        let verify = oldest + self.timing.verify_after;
        let again = self.asked.map_or(verify, |at| Time(verify.0.max((at + self.timing.verify_interval).0)));
        let missing = self.connections.values().filter(|c| !c.replaced).filter_map(|c| c.missing_since);
        let broken = missing.map(|since| since + self.timing.state_lag);
        let lost = self.missing.map(|missing| {
            let asked = self.asked.map_or(f64::NEG_INFINITY, |at| (at + self.timing.verify_interval).0);
            let verify = (missing.seen + self.timing.release_lag).0.max(asked);
            Time(verify.min((missing.proof + self.timing.lease).0))
        });
        let next = broken
            .chain(lost)
            .chain([again, oldest + self.timing.lease])
            .fold(f64::INFINITY, |a, b| a.min(b.0));
        Some(Time(next.max(now.0)))
    }

    /// What silence calls for by now.
    pub fn check(&mut self, now: Time) -> Vec<Effect> {
        let mut effects: Vec<Effect> = self.expired(now).into_iter().chain(self.lost(now)).collect();
        let missing = self.missing.is_some_and(|m| now - m.seen >= self.timing.release_lag - 1e-6);
        let quiet = self.oldest_proof().is_some_and(|at| now - at >= self.timing.verify_after - 1e-6);
        let due = self.asked.is_none_or(|at| now - at >= self.timing.verify_interval - 1e-6);
        if (quiet || missing) && due {
            self.asked = Some(now);
            effects.push(Effect::Verify);
        }
        effects.extend(self.broken(now));
        effects
    }

    fn expired(&mut self, now: Time) -> Option<Effect> {
        let lease = self.timing.lease - 1e-6;
        let dead = |process: &Process| self.proofs.get(process).is_none_or(|at| now - *at >= lease);
        let expired = |call: &Call| dead(&call.process);
        let calls: Vec<CallId> =
            self.calls.iter().filter(|(_, call)| expired(call)).map(|(id, _)| id.clone()).collect();
        if calls.is_empty() {
            return None;
        }
        let holders: BTreeSet<Process> =
            calls.iter().filter_map(|id| self.calls.get(id)).map(|call| call.process).collect();
        let held = |(_, c): &(&u64, &Connection)| holders.contains(&c.process);
        let connections = self.connections.iter().filter(held).map(|(no, _)| *no).collect();
        calls.iter().for_each(|id| self.call_ended(id));
        Some(Effect::Expire { calls, connections })
    }

    /// Calls whose releases were lost and did not come again: which of them they are is not known.
    fn lost(&mut self, now: Time) -> Option<Effect> {
        let missing = self.missing.filter(|m| now - m.proof >= self.timing.lease - 1e-6)?;
        let before = self.calls.iter().filter(|(_, call)| call.stands_since <= missing.seen);
        let calls: Vec<CallId> = before.map(|(id, _)| id.clone()).collect();
        self.missing = None;
        if calls.is_empty() {
            return None;
        }
        calls.iter().for_each(|id| self.call_ended(id));
        Some(Effect::Expire { calls, connections: Vec::new() })
    }

    /// Connections that miss a state which another one has brought.
    fn broken(&mut self, now: Time) -> Vec<Effect> {
        let lag = self.timing.state_lag - 1e-6;
        let broken = self
            .connections
            .iter_mut()
            .filter(|(_, c)| !c.replaced && c.missing_since.is_some_and(|since| now - since >= lag));
        let replace = |(no, connection): (&u64, &mut Connection)| {
            connection.replaced = true;
            Effect::Replace(*no)
        };
        broken.map(replace).collect()
    }
}
