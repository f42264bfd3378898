//! Properties that a call inherits from its run, whatever fields the back end sends with it.

use std::time::Duration;

use tokio::time::Instant;

use crate::retries::RunContext;

/// Priority rank of a request whose route or tenant has the rank `own`: a call is at least as urgent as its
/// run.
pub(crate) fn inherited_priority(own: u8, run: Option<&RunContext>) -> u8 {
    run.map_or(own, |run| run.priority.min(own))
}

/// Timeout of a request that arrived at `arrived`, where `own` is the timeout set by its caller and route: a
/// response after the deadline of the run is useless.
pub(crate) fn inherited_timeout(own: Duration, arrived: Instant, run: Option<&RunContext>) -> Duration {
    run.map_or(own, |run| run.deadline.saturating_duration_since(arrived).min(own))
}
