//! Event queue, ordered by time and then by insertion.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::Us;

struct Entry<T> {
    at: Us,
    sequence: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        // Reversed: the heap pops its greatest entry, which must be the earliest.
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

/// Events by time; events of the same time are in insertion order.
pub struct EventQueue<T> {
    heap: BinaryHeap<Entry<T>>,
    sequence: u64,
}

impl<T> Default for EventQueue<T> {
    fn default() -> Self {
        EventQueue { heap: BinaryHeap::new(), sequence: 0 }
    }
}

impl<T> EventQueue<T> {
    /// Adds an event at a time.
    pub fn schedule(&mut self, at: Us, event: T) {
        self.sequence += 1;
        self.heap.push(Entry { at, sequence: self.sequence, event });
    }

    /// Removes and returns the earliest event.
    pub fn pop(&mut self) -> Option<(Us, T)> {
        self.heap.pop().map(|e| (e.at, e.event))
    }

    /// Number of events.
    pub fn len(&self) -> usize {
        self.heap.len()
    }
}
