//! How often each fault met each state of calls, and how often two faults overlapped.

use std::collections::BTreeMap;

use mallowring_standin::record::now;
use serde::Serialize;

use crate::fault::FaultKind;

/// What calls a fault met.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum CallState {
    /// None.
    NoCall,
    /// A set-up was out.
    #[serde(rename = "SetUpOut")]
    SetUpPending,
    /// A call stood.
    #[serde(rename = "Standing")]
    Established,
    /// A call was just released.
    InRelease,
}

impl CallState {
    /// All states.
    pub const ALL: [CallState; 4] =
        [CallState::NoCall, CallState::SetUpPending, CallState::Established, CallState::InRelease];
}

/// Counts over one trial or many.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Coverage {
    #[serde(rename = "met")]
    states_by_fault: BTreeMap<FaultKind, BTreeMap<CallState, u64>>,
    overlaps: BTreeMap<FaultKind, u64>,
    #[serde(skip)]
    active: Vec<(FaultKind, f64)>,
}

impl Coverage {
    /// A fault begins and lasts until a time.
    pub fn record_start(&mut self, kind: FaultKind, until: f64) {
        let at = now();
        self.active.retain(|(_, until)| *until > at);
        if !self.active.is_empty() {
            *self.overlaps.entry(kind).or_insert(0) += 1;
        }
        self.active.push((kind, until));
    }

    /// A fault met a state.
    pub fn record_state(&mut self, kind: FaultKind, state: CallState) {
        *self.states_by_fault.entry(kind).or_default().entry(state).or_insert(0) += 1;
    }

    /// Adds another trial's counts.
    pub fn add(&mut self, other: &Coverage) {
        for (kind, states) in &other.states_by_fault {
            for (state, n) in states {
                *self.states_by_fault.entry(*kind).or_default().entry(*state).or_insert(0) += n;
            }
        }
        for (kind, n) in &other.overlaps {
            *self.overlaps.entry(*kind).or_insert(0) += n;
        }
    }

    /// How often a fault met a state.
    pub fn count(&self, kind: FaultKind, state: CallState) -> u64 {
        self.states_by_fault.get(&kind).and_then(|states| states.get(&state)).copied().unwrap_or(0)
    }

    /// How often a fault began while another one was under way.
    pub fn overlaps(&self, kind: FaultKind) -> u64 {
        self.overlaps.get(&kind).copied().unwrap_or(0)
    }
}
