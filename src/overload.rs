//! The overload level of a processor, and which calls are refused at it. No I/O.

use crate::interface::{Secs, Time};

/// The admission priority of a call under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Priority {
    /// Refused at level 4 only.
    Urgent,
    /// Refused at the share of the level.
    Normal,
    /// Refused at every level above 0, before any first set-up: most redials are established after their target
    /// time and earn less.
    Redial,
}

/// The overload level of one processor, 0 to 4. Each level has an onset and an abatement threshold and refuses a fixed
/// share of the calls.
#[derive(Clone, Debug, Default)]
pub(crate) struct Overload {
    /// The level.
    pub(crate) level: usize,
    /// The time of the last observation, or of the last step of [`Overload::decay`].
    observed_at: Time,
    /// The sum of the refusal shares of the normal calls since the last refusal.
    refusal_accumulator: f64,
}

impl Overload {
    /// Level 0, as of the given time.
    pub(crate) fn new(now: Time) -> Self {
        Overload { observed_at: now, ..Overload::default() }
    }

    /// Sets the level from the wait at the processor. `onset` is the onset of level 1; it doubles with each level.
    pub(crate) fn observe(&mut self, wait: Secs, onset: Secs, abate: f64, now: Time) {
        let onset_of = |level: usize| onset * (1 << level) as f64;
        while self.level < 4 && wait >= onset_of(self.level) {
            self.level += 1;
        }
        while self.level > 0 && wait < abate * onset_of(self.level - 1) {
            self.level -= 1;
        }
        self.observed_at = now;
    }

    /// Steps up by one level, for a "processor full" response: it shows overload whatever wait has been estimated.
    pub(crate) fn raise(&mut self, now: Time) {
        self.level = (self.level + 1).min(4);
        self.observed_at = now;
    }

    /// Steps down by one level for each `interval` without an observation.
    pub(crate) fn decay(&mut self, interval: Secs, now: Time) {
        while self.level > 0 && interval > 0.0 && now - self.observed_at > interval {
            self.level -= 1;
            self.observed_at = self.observed_at + interval;
        }
    }

    /// Decides whether to refuse a call. Refusals of normal calls are spread evenly: each call adds the share of the
    /// level to an accumulator, and the call that brings it to 1 is refused and takes 1 off.
    pub(crate) fn refuses(&mut self, priority: Priority, shares: &[f64; 5]) -> bool {
        let share = shares[self.level];
        match (priority, self.level) {
            (_, 4) if share > 0.0 => return true,
            (Priority::Urgent, _) => return false,
            (Priority::Redial, 1..) if share > 0.0 => return true,
            _ => {}
        }
        self.refusal_accumulator += share;
        let refuse = self.refusal_accumulator >= 1.0 - 1e-9;
        if refuse {
            self.refusal_accumulator -= 1.0;
        }
        refuse
    }
}
