//! Counts in which call states each fault occurred, and how often faults overlapped.

use std::collections::BTreeMap;

use mallowring_standin::record::now;
use serde::Serialize;

use crate::fault::FaultKind;

/// State of the affected calls when a fault starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum CallState {
    /// No call.
    NoCall,
    /// A set-up was pending.
    #[serde(rename = "SetUpOut")]
    SetUpPending,
    /// A call was established.
    #[serde(rename = "Standing")]
    Established,
    /// A call had just been released.
    InRelease,
}

impl CallState {
    /// All states, in the order of the report.
    pub const ALL: [CallState; 4] =
        [CallState::NoCall, CallState::SetUpPending, CallState::Established, CallState::InRelease];
}

/// Fault counts of one trial or of many.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Coverage {
    #[serde(rename = "met")]
    states_by_fault: BTreeMap<FaultKind, BTreeMap<CallState, u64>>,
    overlaps: BTreeMap<FaultKind, u64>,
    #[serde(skip)]
    active: Vec<(FaultKind, f64)>,
}

impl Coverage {
    /// Records that a fault starts now and lasts until the Unix time `until`.
    pub fn record_start(&mut self, kind: FaultKind, until: f64) {
        let at = now();
        self.active.retain(|(_, until)| *until > at);
        if !self.active.is_empty() {
            *self.overlaps.entry(kind).or_insert(0) += 1;
        }
        self.active.push((kind, until));
    }

    /// Records that a fault occurred in a call state.
    pub fn record_state(&mut self, kind: FaultKind, state: CallState) {
        *self.states_by_fault.entry(kind).or_default().entry(state).or_insert(0) += 1;
    }

    /// Adds the counts of another trial.
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

    /// Returns how often a fault occurred in a call state.
    pub fn count(&self, kind: FaultKind, state: CallState) -> u64 {
        self.states_by_fault.get(&kind).and_then(|states| states.get(&state)).copied().unwrap_or(0)
    }

    /// Returns how often a fault started while another fault was active.
    pub fn overlaps(&self, kind: FaultKind) -> u64 {
        self.overlaps.get(&kind).copied().unwrap_or(0)
    }
}
