//! What a caller's node learns from one exchange with an endpoint.

use std::time::Duration;

use umberpond_model::{EndpointStatus, Incarnation};

/// Load that an inbound gate reports with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests the endpoint held when it answered, the answered one included.
    pub outstanding: u32,
    /// Requests the endpoint runs at once.
    pub slots: u32,
}

/// What an answer's headers tell about the endpoint itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointReport {
    /// Start count of the node that answered.
    pub incarnation: Incarnation,
    /// Sequence of the node's record when it answered; absent when the answer didn't tell it.
    pub sequence: Option<u64>,
    /// State of the back end.
    pub status: EndpointStatus,
    /// Load of the back end, if told.
    pub load: Option<LoadReport>,
}

/// How one exchange ended, as far as the endpoint is to be judged by it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    /// The endpoint answered.
    Answered,
    /// The endpoint refused before execution. Counts as load, not as a failure.
    Rejected,
    /// No connection, a cut exchange, a timeout, or an error of the endpoint's own.
    Failed,
    /// The caller went away; says nothing about the endpoint.
    Cancelled,
}

/// Result of one exchange, given to [`crate::Picked::finish`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// How the exchange ended.
    pub result: RequestResult,
    /// Time from the request's first byte to the answer's first byte.
    pub latency: Duration,
    /// The answer's word about the endpoint, if there was an answer.
    pub report: Option<EndpointReport>,
}
