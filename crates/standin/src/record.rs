//! What the stand-ins of one trial saw, in the order in which they saw it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Seconds of Unix time.
pub fn now() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64()
}

/// One thing that was seen.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// A caller wrote the last byte of a set-up.
    Requested {
        /// How long it waits, in seconds.
        deadline: f64,
    },
    /// A caller no longer waits: it took the set-up back, or closed the connection that it is open on.
    GaveUp,
    /// A caller read a final answer.
    Answered {
        /// Its status.
        status: u16,
        /// Its description.
        description: String,
    },
    /// A caller read a release with this cause (Q.850).
    ReleaseHeard(u32),
    /// A caller wrote a release.
    HungUp,
    /// A caller's connection has come up.
    CallerConnected,
    /// A caller's connection is over.
    CallerDisconnected,
    /// An exchange read a whole set-up.
    SetUp {
        /// Its description.
        description: String,
    },
    /// An exchange wrote its answer to a set-up.
    SetUpEnded {
        /// Its status.
        status: u16,
        /// Its description.
        description: String,
    },
    /// An exchange read that a set-up is given up, or its connection is over.
    SetUpCancelled,
    /// A call that stood at an exchange is over there.
    Over,
    /// An exchange wrote a release on a connection that works.
    ReleaseSent,
    /// An exchange read a release of the proxy's.
    ReleasedByProxy,
    /// An exchange does not read or write any longer, or connections to it do not work.
    Silent,
    /// It does again.
    Working,
    /// An exchange's process started cold.
    StartedCold,
    /// Discovery has a new state of an exchange, whoever has heard it.
    Published {
        /// The exchange.
        exchange: String,
        /// It is in service.
        ready: bool,
    },
    /// Discovery wrote a state of an exchange to the proxy.
    Told {
        /// The exchange.
        exchange: String,
        /// It is in service.
        ready: bool,
    },
    /// Discovery can be reached and answers, or can't.
    Reachable(bool),
    /// The proxy's process was started.
    ProxyStarted,
    /// The proxy passed a test.
    ProxyReady,
    /// SIGTERM was sent.
    Terminated,
    /// SIGKILL was sent.
    Killed,
    /// The proxy's process ended by itself; `clean`: with success.
    ProxyEnded {
        /// Its exit code was 0.
        clean: bool,
    },
    /// What the proxy's process held.
    Resources {
        /// Resident memory in kB.
        memory_kb: u64,
        /// Descriptors.
        descriptors: usize,
    },
    /// The trial's own process was held up for so many seconds.
    HeldUp(f64),
}

/// One line of the record.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// When, in seconds of Unix time.
    pub at: f64,
    /// Who saw it: an exchange, a caller, discovery, the trial.
    pub observer: String,
    /// Which proxy it is about, from 0.
    pub proxy: usize,
    /// Of which call; empty where it is of none.
    pub call_id: String,
    /// What was seen.
    pub observation: Observation,
}

/// The record of one trial; its copies are the same record.
#[derive(Clone, Debug, Default)]
pub struct Record(Rc<RefCell<Vec<Entry>>>);

impl Record {
    /// Adds what somebody sees now.
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

    /// All that was seen, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.0.borrow().clone()
    }

    /// When something was last seen of a call; quicker than [`Record::first`] for what is new.
    pub fn last_seen(&self, call_id: &str, wanted: impl Fn(&Observation) -> bool) -> Option<f64> {
        self.0.borrow().iter().rev().find(|e| e.call_id == call_id && wanted(&e.observation)).map(|e| e.at)
    }

    /// When something was first seen of a call.
    pub fn first_seen(&self, call_id: &str, wanted: impl Fn(&Observation) -> bool) -> Option<f64> {
        self.0.borrow().iter().find(|e| e.call_id == call_id && wanted(&e.observation)).map(|e| e.at)
    }
}
