//! Queue order of waiting requests.

use std::time::Instant;

use crate::{Ticket, WorkItem};

/// Sort key of a waiting request: by priority; then calls, because the slots of the runs that wait for them
/// are wasted if they fail; then new requests that can still meet their objective, first attempts before
/// retries; last, new requests that can't, so that they don't delay others past their objectives. Within each
/// of these groups the request with the earliest objective is first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    pub(crate) priority: u8,
    /// Whether the request is not a call.
    pub(crate) is_new: bool,
    pub(crate) is_late: bool,
    pub(crate) is_caller_retry: bool,
    pub(crate) objective_at: Instant,
    pub(crate) ticket: Ticket,
}

/// The part of a sort key that takes precedence over the tenants' shares. Requests of different classes are
/// ordered by class alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueClass {
    priority: u8,
    is_new: bool,
    is_late: bool,
    is_caller_retry: bool,
}

impl QueueKey {
    /// The class of the key.
    pub(crate) const fn class(&self) -> QueueClass {
        QueueClass {
            priority: self.priority,
            is_new: self.is_new,
            is_late: self.is_late,
            is_caller_retry: self.is_caller_retry,
        }
    }

    /// Sort key of a request that can still meet its objective.
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
