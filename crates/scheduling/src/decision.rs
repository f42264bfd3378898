//! What a queue decides of the requests that it is offered.

use std::time::Duration;

use thiserror::Error;

/// Names one waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Why a request is refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The back end takes no new work.
    #[error("the back end takes no new work")]
    Closed,
    /// The wait would be longer than the sender allows.
    #[error("the wait would be too long")]
    WaitTooLong {
        /// The wait expected.
        expected: Duration,
    },
    /// The back end is slow at this moment: the answer would be late, but need not be elsewhere.
    #[error("the back end is slow at this moment")]
    BackEndSlow {
        /// Time until the answer that was expected.
        expected: Duration,
    },
    /// Too many requests wait already.
    #[error("too many requests wait already")]
    QueueFull,
    /// Its tenant is above its share of the slots, and a request of another tenant needed its place.
    #[error("its tenant is above its share, and another one needed its place")]
    OverShare {
        /// The wait that was still expected.
        expected: Duration,
    },
    /// It has waited for as long as its sender lets it.
    #[error("it has waited for as long as it may")]
    QueueTimeout,
    /// The deadline passed while the request waited.
    #[error("the deadline passed in the queue")]
    Expired,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It has a slot; the caller sends it now and reports its end.
    Start,
    /// It waits under this ticket.
    Wait(Ticket),
    /// It is refused; it has not run.
    Refuse(Refusal),
}

/// A waiting request that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// It has a slot now.
    Run(Ticket),
    /// Its deadline has passed; it has not run.
    Expire(Ticket),
}

/// A waiting request that has made room for one of a tenant less far above its share; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DisplacedRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// The wait that was still expected.
    pub expected: Duration,
}
