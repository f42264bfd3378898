//! What a call takes over from its run, whatever the back end sends with it.

use std::time::Duration;

use tokio::time::Instant;

use crate::retries::RunContext;

/// Rank of a request whose route, or tenant, gives it the rank `own`: a call is as urgent as its run.
pub(crate) fn inherited_priority(own: u8, run: Option<&RunContext>) -> u8 {
    run.map_or(own, |run| run.priority.min(own))
}

/// Longest time to the answer of a request that has arrived at `arrived` and has `own` by its caller and its route: an answer that comes after the end
/// of the run is of no use.
pub(crate) fn inherited_timeout(own: Duration, arrived: Instant, run: Option<&RunContext>) -> Duration {
    run.map_or(own, |run| run.deadline.saturating_duration_since(arrived).min(own))
}
