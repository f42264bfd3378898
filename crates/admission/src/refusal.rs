//! Refusals of the gate, and which of them prove that the request did not run.

use thiserror::Error;
use umberpond_model::Millis;

/// Why the gate refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Error)]
pub enum RefusalReason {
    /// The back end is not ready yet.
    #[error("the back end is not ready yet")]
    NotReady,
    /// The back end is draining.
    #[error("the back end is draining")]
    Draining,
    /// All slots and the queue are taken by requests that are at least as important.
    #[error("all slots and the queue are taken")]
    Overloaded,
    /// A more important request took the place in the queue.
    #[error("a more important request took the place in the queue")]
    Displaced,
    /// The wait in the queue would outlast the deadline.
    #[error("the deadline would pass before the request is served")]
    DeadlineTooShort,
    /// The stated deadline is longer than the gate can guard against duplicates.
    #[error("the deadline is longer than allowed")]
    DeadlineTooLong,
    /// The request, or another with the same key, was admitted here before or is waiting here.
    #[error("the request was admitted here already")]
    Duplicate,
    /// The gate can't tell that the request is new: it was first sent before the time since which the gate remembers
    /// everything, or the duplicate window is full of recent requests, so that this one can't be remembered.
    #[error("the request is outside what the duplicate window holds")]
    TooOld,
}

/// A refusal, told at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{reason}; retry after {} ms", retry_after.0)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When another try makes sense.
    pub retry_after: Millis,
}

impl Refusal {
    /// Whether it is known that the request did not run, so that it may be called "rejected before execution".
    /// A duplicate's first arrival may have run, and so may a forgotten one's; and a refusal that isn't remembered can't
    /// keep a late copy from running.
    #[must_use]
    pub const fn proves_not_executed(&self) -> bool {
        !matches!(self.reason, RefusalReason::Duplicate | RefusalReason::TooOld)
    }
}
