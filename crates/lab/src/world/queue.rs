//! The queue of events, in order of time and then of entry.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use super::Us;

struct Entry<T> {
    at: Us,
    order: u64,
    event: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
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
        // The heap gives its greatest: the earliest.
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// Events by time; those of one moment in the order in which they were put in.
pub struct Queue<T> {
    heap: BinaryHeap<Entry<T>>,
    order: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), order: 0 }
    }
}

impl<T> Queue<T> {
    /// Puts an event in.
    pub fn put(&mut self, at: Us, event: T) {
        self.order += 1;
        self.heap.push(Entry { at, order: self.order, event });
    }

    /// Takes the next one out.
    pub fn take(&mut self) -> Option<(Us, T)> {
        self.heap.pop().map(|e| (e.at, e.event))
    }

    /// Events that are in.
    pub fn len(&self) -> usize {
        self.heap.len()
    }
}
