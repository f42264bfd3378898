//! The event queue of the scale run: earliest first, ties in the order of scheduling.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use umberpond_model::Timestamp;

/// Events in the order of their time.
#[derive(Debug)]
pub struct EventQueue<E> {
    heap: BinaryHeap<Reverse<Scheduled<E>>>,
    scheduled: u64,
}

#[derive(Debug)]
struct Scheduled<E> {
    at: Timestamp,
    number: u64,
    event: E,
}

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), scheduled: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event.
    pub fn schedule(&mut self, at: Timestamp, event: E) {
        self.scheduled += 1;
        self.heap.push(Reverse(Scheduled { at, number: self.scheduled, event }));
    }

    /// Takes the earliest event, if it lies before `end`.
    pub fn next_before(&mut self, end: Timestamp) -> Option<(Timestamp, E)> {
        if self.heap.peek().is_none_or(|Reverse(first)| first.at >= end) {
            return None;
        }
        self.heap.pop().map(|Reverse(first)| (first.at, first.event))
    }
}
