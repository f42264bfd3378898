//! The order in which waiting requests get slots.

use std::time::Instant;

use crate::{Ticket, WorkItem};

/// Place in the queue: by priority; then calls of runs, whose slots are lost without them; then new requests that can still meet their objective,
/// first tries before later ones; then those that can't, so that they don't make others late. Of each of these the most urgent goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) priority: u8,
    /// Whether no run waits for it.
    pub(crate) is_new: bool,
    pub(crate) is_late: bool,
    pub(crate) is_caller_retry: bool,
    pub(crate) objective_at: Instant,
    pub(crate) ticket: Ticket,
}

/// What goes before the shares of tenants: requests of different classes are ordered by class alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PlaceClass {
    priority: u8,
    is_new: bool,
    is_late: bool,
    is_caller_retry: bool,
}

impl Place {
    /// Its class.
    pub(crate) const fn class(&self) -> PlaceClass {
        PlaceClass {
            priority: self.priority,
            is_new: self.is_new,
            is_late: self.is_late,
            is_caller_retry: self.is_caller_retry,
        }
    }

    /// The place of an item that can still meet its objective.
    pub(crate) const fn of(item: &WorkItem, ticket: Ticket) -> Self {
        Self {
            priority: item.priority,
            is_new: !item.is_call(),
            is_late: false,
            is_caller_retry: !item.is_call() && item.is_caller_retry,
            objective_at: item.objective_at,
            ticket,
        }
    }
}
