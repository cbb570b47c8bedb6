//! The chronological record of what the stand-ins of one trial observed.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time in seconds.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// One observed event.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A caller wrote the last byte of a set-up.
    Requested {
        /// Time the caller waits for a final answer, in seconds.
        deadline: f64,
    },
    /// A caller stopped waiting: it cancelled the set-up or closed the connection that the set-up is pending on.
    GaveUp,
    /// A caller read a final answer.
    Answered {
        /// Status code of the answer.
        status: u16,
        /// Body of the answer.
        description: String,
    },
    /// A caller read a release with this cause (Q.850).
    ReleaseReceived(u32),
    /// A caller wrote a release.
    HungUp,
    /// The caller of a call accepts connections itself, on which its release may arrive at any time.
    CallerListens,
    /// A caller's connection was established.
    CallerConnected,
    /// A caller closed its connection, or would have if the proxy had not done so before.
    CallerDisconnected,
    /// The proxy closed a caller's connection, or its process ended.
    DisconnectedByProxy,
    /// A complete set-up arrived at an exchange, which may read it later.
    SetUpArrived,
    /// An exchange read a complete set-up.
    SetUpReceived {
        /// Body of the set-up.
        description: String,
    },
    /// An exchange wrote its final answer to a set-up.
    SetUpAnswered {
        /// Status code of the answer.
        status: u16,
        /// Body of the answer.
        description: String,
    },
    /// A system in front of an exchange wrote a failure for a set-up that the exchange goes on with.
    FrontAnswered {
        /// Status code of the answer.
        status: u16,
    },
    /// An exchange read a cancel of a set-up, or the connection of the set-up was closed.
    SetUpCancelled,
    /// An established call ended at its exchange.
    CallEnded,
    /// An exchange wrote a release on a working connection.
    ReleaseSent,
    /// An exchange read a release sent by the proxy.
    ReleasedByProxy,
    /// An exchange stopped reading and writing, or stopped accepting connections.
    Silent,
    /// A silent exchange works again, or its process has ended.
    Working,
    /// The process of an exchange has ended, or its machine has vanished, with all set-ups and calls.
    ProcessGone,
    /// The network to an exchange began to hold back or delay messages.
    LinkDisturbed,
    /// The network to an exchange works again.
    LinkRestored,
    /// An exchange started a new process, which is cold.
    StartedCold,
    /// Discovery has a new state of an exchange, whether or not it has sent it to a proxy.
    RosterPublished {
        /// Name of the exchange.
        exchange: String,
        /// Whether the exchange is in service.
        ready: bool,
    },
    /// Discovery wrote a state of an exchange to the proxy.
    RosterSent {
        /// Name of the exchange.
        exchange: String,
        /// Whether the exchange is in service.
        ready: bool,
    },
    /// Discovery became reachable and responsive (`true`) or stopped being so (`false`).
    DiscoveryReachable(bool),
    /// The proxy's process was started.
    ProxyStarted,
    /// The proxy answered an OPTIONS request successfully.
    ProxyReady,
    /// SIGTERM was sent to the proxy.
    Terminated,
    /// SIGKILL was sent to the proxy.
    Killed,
    /// The proxy's process exited without SIGKILL.
    ProxyEnded {
        /// Whether its exit code was 0.
        clean: bool,
    },
    /// Resource usage of the proxy's process.
    Resources {
        /// Resident memory in kB.
        memory_kb: u64,
        /// Open file descriptors.
        descriptors: usize,
    },
    /// For the seconds from now on, of which this is the number, the trial stalls as planned.
    StallPlanned(f64),
    /// Within the last seconds, of which this is the number, the trial's own process or a proxy waited too long for a
    /// CPU.
    Stalled(f64),
}

/// One entry of the record.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Time of the observation, in seconds of Unix time.
    pub at: f64,
    /// Name of the observer: an exchange, a caller, `discovery` or `trial`.
    pub observer: String,
    /// Index of the proxy that the observation concerns, from 0.
    pub proxy: usize,
    /// Call-ID of the call; empty if the observation concerns no single call.
    pub call_id: String,
    /// The observed event.
    pub observation: Observation,
}

/// The record of one trial; clones share the same entries.
#[derive(Clone, Debug, Default)]
pub struct Record(Rc<RefCell<Vec<Entry>>>);

impl Record {
    /// Appends an observation with the current time.
    pub fn add(&self, observer: &str, proxy: usize, call_id: &str, observation: Observation) {
        let entry = Entry {
            at: now(),
            observer: observer.to_owned(),
            proxy,
            call_id: call_id.to_owned(),
            observation,
        };
        self.0.borrow_mut().push(entry);
    }

    /// Returns all entries in chronological order.
    pub fn entries(&self) -> Vec<Entry> {
        self.0.borrow().clone()
    }

    /// Returns the time of the last matching observation of a call; faster than [`Record::first_seen`] for recent
    /// ones.
    pub fn last_seen(&self, call_id: &str, wanted: impl Fn(&Observation) -> bool) -> Option<f64> {
        self.0.borrow().iter().rev().find(|e| e.call_id == call_id && wanted(&e.observation)).map(|e| e.at)
    }

    /// Returns the time of the first matching observation of a call.
    pub fn first_seen(&self, call_id: &str, wanted: impl Fn(&Observation) -> bool) -> Option<f64> {
        self.0.borrow().iter().find(|e| e.call_id == call_id && wanted(&e.observation)).map(|e| e.at)
    }
}
