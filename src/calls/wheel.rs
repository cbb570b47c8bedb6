//! The timer wheel: coarse ticks, one slot a tick, longer waits go round. Knows no clock.

use crate::interface::{Secs, Time};

/// The length of a tick.
pub const TICK: Secs = 0.005;
const SLOTS: usize = 4096;

/// Things that fall due at a time, each once. What is no longer wanted is ignored by whoever gets it.
#[derive(Debug)]
pub struct TimerWheel<T> {
    slots: Vec<Vec<(u64, T)>>,
    origin: Time,
    /// The last tick whose slot was emptied.
    done: u64,
    len: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel that starts to turn now.
    pub fn new(now: Time) -> Self {
        TimerWheel { slots: (0..SLOTS).map(|_| Vec::new()).collect(), origin: now, done: 0, len: 0 }
    }

    fn ticks(&self, at: Time) -> f64 {
        (at - self.origin) / TICK
    }

    /// Takes a thing that falls due at the first tick at or after a time, though never the present one.
    pub fn insert(&mut self, at: Time, thing: T) {
        let tick = (self.ticks(at).ceil().clamp(0.0, 1e15) as u64).max(self.done + 1);
        self.slots[tick as usize % SLOTS].push((tick, thing));
        self.len += 1;
    }

    /// All that is due by now, in the order of its ticks.
    pub fn take_due(&mut self, now: Time) -> Vec<T> {
        let last = self.ticks(now).floor().clamp(0.0, 1e15) as u64;
        let mut out = Vec::new();
        if self.len > 0 && last > self.done {
            // After a long pause one turn of the wheel meets every slot.
            let first = (self.done + 1).max(last.saturating_sub(SLOTS as u64 - 1));
            for tick in first..=last {
                let slot = &mut self.slots[tick as usize % SLOTS];
                out.extend(slot.extract_if(.., |(due, _)| *due <= last));
            }
            out.sort_by_key(|(due, _)| *due);
            self.len -= out.len();
        }
        self.done = self.done.max(last);
        out.into_iter().map(|(_, thing)| thing).collect()
    }

    /// When the next tick ends that may bring something; `None` while the wheel is empty.
    pub fn next_tick(&self) -> Option<Time> {
        if self.len == 0 {
            return None;
        }
        let turn = self.done + 1..=self.done + SLOTS as u64;
        let tick =
            turn.clone().find(|tick| self.slots[*tick as usize % SLOTS].iter().any(|(t, _)| t <= tick));
        Some(self.origin + tick.unwrap_or(*turn.end()) as f64 * TICK)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn things_come_once_in_order_and_never_early() {
        let mut wheel = TimerWheel::new(Time(50.0));
        for (ix, at) in [50.301, 50.0, 99.0, 50.0149, 49.0].into_iter().enumerate() {
            wheel.insert(Time(at), ix);
        }
        assert_eq!(wheel.take_due(Time(50.0)), Vec::<usize>::new(), "never in the present tick");
        assert_eq!(wheel.take_due(Time(50.0101)), [1, 4]);
        assert!(wheel.next_tick().is_some_and(|t| (t.0 - 50.015).abs() < 1e-6));
        assert_eq!(wheel.take_due(Time(50.0201)), [3]);
        assert_eq!(wheel.take_due(Time(98.99)), [0], "a wait longer than a turn goes round");
        assert_eq!(wheel.take_due(Time(99.01)), [2]);
        assert_eq!(wheel.next_tick(), None);
    }
}
