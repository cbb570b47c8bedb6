//! Timer wheel with coarse ticks and one slot per tick. Entries that are due more than one turn ahead stay in
//! their slot for several turns. Time is a parameter.

use crate::interface::{Secs, Time};

/// Length of a tick in seconds.
pub const TICK: Secs = 0.005;
/// Number of slots, one per tick of a turn.
const SLOTS: usize = 4096;

/// Entries that fall due at a time, each once. Entries cannot be cancelled: the receiver ignores those that it no
/// longer needs.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    origin: Time,
    /// The last tick whose due entries were taken.
    last_tick: u64,
    len: usize,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel whose first tick begins now.
    pub fn new(now: Time) -> Self {
        TimerWheel { slots: (0..SLOTS).map(|_| Vec::new()).collect(), origin: now, last_tick: 0, len: 0 }
    }

    /// Number of ticks from the origin to a time, with fractions.
    fn ticks_at(&self, at: Time) -> f64 {
        (at - self.origin) / TICK
    }

    /// Inserts an entry that falls due with the first tick at or after `at`, but not before the next tick.
    pub fn insert(&mut self, at: Time, entry: T) {
        let tick = (self.ticks_at(at).ceil().clamp(0.0, 1e15) as u64).max(self.last_tick + 1);
        self.slots[tick as usize % SLOTS].push((tick, entry));
        self.len += 1;
    }

    /// Removes and returns the entries that are due, in the order of their ticks.
    pub fn take_due(&mut self, now: Time) -> Vec<T> {
        let last = self.ticks_at(now).floor().clamp(0.0, 1e15) as u64;
        let mut due_entries = Vec::new();
        if self.len > 0 && last > self.last_tick {
            // After a long pause a single turn of the wheel is enough: it visits every slot.
            let first = (self.last_tick + 1).max(last.saturating_sub(SLOTS as u64 - 1));
            for tick in first..=last {
                let slot = &mut self.slots[tick as usize % SLOTS];
                due_entries.extend(slot.extract_if(.., |(due, _)| *due <= last));
            }
            due_entries.sort_by_key(|(due, _)| *due);
            self.len -= due_entries.len();
        }
        self.last_tick = self.last_tick.max(last);
        due_entries.into_iter().map(|(_, entry)| entry).collect()
    }

    /// When [`TimerWheel::take_due`] may return entries next; `None` while the wheel is empty.
    pub fn next_tick(&self) -> Option<Time> {
        if self.len == 0 {
            return None;
        }
        let next_turn = self.last_tick + 1..=self.last_tick + SLOTS as u64;
        let tick =
            next_turn.clone().find(|tick| self.slots[*tick as usize % SLOTS].iter().any(|(t, _)| t <= tick));
        Some(self.origin + tick.unwrap_or(*next_turn.end()) as f64 * TICK)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn entries_fall_due_once_in_order_and_never_early() {
        let mut wheel = TimerWheel::new(Time(50.0));
        for (ix, at) in [50.301, 50.0, 99.0, 50.0149, 49.0].into_iter().enumerate() {
            wheel.insert(Time(at), ix);
        }
        assert_eq!(wheel.take_due(Time(50.0)), Vec::<usize>::new(), "never in the present tick");
        assert_eq!(wheel.take_due(Time(50.0101)), [1, 4]);
        assert!(wheel.next_tick().is_some_and(|t| (t.0 - 50.015).abs() < 1e-6));
        assert_eq!(wheel.take_due(Time(50.0201)), [3]);
        assert_eq!(wheel.take_due(Time(98.99)), [0], "an entry may be due more than one turn ahead");
        assert_eq!(wheel.take_due(Time(99.01)), [2]);
        assert_eq!(wheel.next_tick(), None);
    }
}
