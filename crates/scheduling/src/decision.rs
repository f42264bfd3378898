//! Admission decisions of a queue.

use std::time::Duration;

use thiserror::Error;

/// Identifies a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Reason for refusing a request before it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The back end accepts no new requests.
    #[error("the back end accepts no new requests")]
    Closed,
    /// The expected wait exceeds the limit of the request.
    #[error("the expected wait exceeds the limit")]
    WaitTooLong {
        /// Expected wait.
        expected: Duration,
    },
    /// The back end is temporarily slow. The request would miss its objective here, but might meet it at
    /// another back end.
    #[error("the back end is temporarily slow")]
    BackEndSlow {
        /// Expected time until the response.
        expected: Duration,
    },
    /// The back end limits the request rate, and more requests wait already than may start in time.
    #[error("the request limit of the back end is used up")]
    RequestLimit {
        /// Expected wait.
        expected: Duration,
    },
    /// The queue is full.
    #[error("the queue is full")]
    QueueFull,
    /// The tenant exceeds its fair share of the slots, and the request was displaced by one of another
    /// tenant.
    #[error("the tenant exceeds its share, and another tenant needed the queue slot")]
    OverShare {
        /// Expected remaining wait.
        expected: Duration,
    },
    /// The request waited past its queue deadline.
    #[error("the request waited past its queue deadline")]
    QueueTimeout,
    /// The deadline passed while the request waited.
    #[error("the deadline passed while the request waited")]
    Expired,
}

/// Outcome of offering a request to a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request got a slot. The caller sends it now and reports its completion.
    Start,
    /// The request waits under this ticket.
    Wait(Ticket),
    /// The request is refused and has not run.
    Refuse(Refusal),
}

/// A request that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// The request got a slot.
    Run(Ticket),
    /// The request's deadline passed before it ran.
    Expire(Ticket),
}

/// A waiting request that was evicted, either from a full queue in favor of a tenant that exceeds its share by
/// less, or because of a new request limit. It has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DisplacedRequest {
    /// Ticket of the request.
    pub ticket: Ticket,
    /// Expected remaining wait at the time of eviction.
    pub expected: Duration,
}
