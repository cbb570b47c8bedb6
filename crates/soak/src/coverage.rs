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
    SetUpOut,
    /// A call stood.
    Standing,
    /// A call was just released.
    InRelease,
}

impl CallState {
    /// All states.
    pub const ALL: [CallState; 4] =
        [CallState::NoCall, CallState::SetUpOut, CallState::Standing, CallState::InRelease];
}

/// Counts over one trial or many.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Coverage {
    met: BTreeMap<FaultKind, BTreeMap<CallState, u64>>,
    overlaps: BTreeMap<FaultKind, u64>,
    #[serde(skip)]
    under_way: Vec<(FaultKind, f64)>,
}

impl Coverage {
    /// A fault begins and lasts until a time.
    pub fn begins(&mut self, kind: FaultKind, until: f64) {
        let at = now();
        self.under_way.retain(|(_, until)| *until > at);
        if !self.under_way.is_empty() {
            *self.overlaps.entry(kind).or_insert(0) += 1;
        }
        self.under_way.push((kind, until));
    }

    /// A fault met a state.
    pub fn met(&mut self, kind: FaultKind, state: CallState) {
        *self.met.entry(kind).or_default().entry(state).or_insert(0) += 1;
    }

    /// Adds another trial's counts.
    pub fn add(&mut self, other: &Coverage) {
        for (kind, states) in &other.met {
            for (state, n) in states {
                *self.met.entry(*kind).or_default().entry(*state).or_insert(0) += n;
            }
        }
        for (kind, n) in &other.overlaps {
            *self.overlaps.entry(*kind).or_insert(0) += n;
        }
    }

    /// How often a fault met a state.
    pub fn count(&self, kind: FaultKind, state: CallState) -> u64 {
        self.met.get(&kind).and_then(|states| states.get(&state)).copied().unwrap_or(0)
    }

    /// How often a fault began while another one was under way.
    pub fn overlaps(&self, kind: FaultKind) -> u64 {
        self.overlaps.get(&kind).copied().unwrap_or(0)
    }
}
