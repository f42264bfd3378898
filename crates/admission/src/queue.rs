//! The queue before the slots: bounded, ordered by class, first in first out inside a class.

use std::collections::VecDeque;
use std::sync::Arc;

use umberpond_config::RequestClass;

use crate::ticket::Waiter;

/// Number of request classes.
const CLASSES: usize = 4;

/// Requests that wait for a slot, one list a class; the index is the class, so a higher one is more important.
#[derive(Debug, Default)]
pub(crate) struct ClassQueue {
    by_class: [VecDeque<Arc<Waiter>>; CLASSES],
}

impl ClassQueue {
    pub(crate) fn len(&self) -> usize {
        self.by_class.iter().map(VecDeque::len).sum()
    }

    /// Requests that are served before a new one of `class`.
    pub(crate) fn ahead_of(&self, class: RequestClass) -> usize {
        self.by_class[class as usize..].iter().map(VecDeque::len).sum()
    }

    pub(crate) fn push(&mut self, waiter: Arc<Waiter>) {
        self.by_class[waiter.class as usize].push_back(waiter);
    }

    /// Takes the request to be served next.
    pub(crate) fn pop(&mut self) -> Option<Arc<Waiter>> {
        self.by_class.iter_mut().rev().find_map(VecDeque::pop_front)
    }

    /// Takes out the newest request of the lowest class below `class`.
    pub(crate) fn displace_below(&mut self, class: RequestClass) -> Option<Arc<Waiter>> {
        self.by_class[..class as usize].iter_mut().find_map(VecDeque::pop_back)
    }

    /// Takes `waiter` out, if it still waits.
    pub(crate) fn remove(&mut self, waiter: &Arc<Waiter>) {
        self.by_class[waiter.class as usize].retain(|other| !Arc::ptr_eq(other, waiter));
    }

    /// All waiting requests, the most important first.
    pub(crate) fn into_waiters(self) -> impl Iterator<Item = Arc<Waiter>> {
        self.by_class.into_iter().rev().flatten()
    }
}
