//! Requests as seen by the admission queue.

use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::CallLevel;

/// Maximum number of waiting requests per slot.
const WAITING_PER_SLOT: usize = 20;
/// Maximum number of waiting calls per slot. A queue that is full of new requests still accepts calls.
const WAITING_CALLS_PER_SLOT: usize = 2 * WAITING_PER_SLOT;
/// Fraction of its expected service time that a request must have left to be started, since some take less
/// time than expected.
const MIN_TIME_LEFT_SHARE: f64 = 0.7;

/// One request as seen by the admission queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkItem {
    /// Priority among the requests for this back end; 0 is served first.
    pub priority: u8,
    /// Time until which a response is of full use.
    pub objective_at: Instant,
    /// Time after which a response is of no use.
    pub deadline: Instant,
    /// Time at which the request is dropped if it still waits.
    pub queue_deadline: Instant,
    /// Longest expected wait with which the request is admitted.
    pub max_queue_wait: Duration,
    /// Expected service time at the back end's usual speed.
    pub service: Duration,
    /// Whether the caller retries after a refusal. Its objective, as the caller sees it, can then be met only in
    /// part.
    pub is_caller_retry: bool,
    /// Tenant on whose behalf the request is sent; absent if it has none.
    pub tenant: Option<TenantId>,
    /// Shedding level of the run that waits for this call; absent if the request isn't a call. Calls of a
    /// lower level are admitted with a longer expected wait.
    pub call: Option<CallLevel>,
}

impl WorkItem {
    /// Whether the time left is so short that the request would be abandoned while it runs.
    pub(crate) fn cannot_finish(&self, now: Instant) -> bool {
        now + self.service.mul_f64(MIN_TIME_LEFT_SHARE) >= self.deadline
    }

    /// Whether a run waits for the request. The run fails without a response, but not because it is late.
    pub(crate) const fn is_call(&self) -> bool {
        self.call.is_some()
    }

    /// Time left until the objective.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.objective_at.saturating_duration_since(now)
    }

    /// Whether the request is no longer expected to meet its objective.
    pub(crate) fn is_late(&self, now: Instant) -> bool {
        now + self.service > self.objective_at
    }

    /// Whether the request is of less use than one that can meet its objective. Never true for a call, since
    /// its run waits for it however late it is.
    pub(crate) fn has_reduced_value(&self, now: Instant) -> bool {
        !self.is_call() && (self.is_caller_retry || self.is_late(now))
    }

    /// Time left as used to estimate which requests overtake others.
    pub(crate) fn urgency(&self, now: Instant) -> Duration {
        if self.is_call() { Duration::ZERO } else { self.left(now) }
    }

    /// Longest expected wait with which the request is admitted.
    pub(crate) fn max_expected_wait(&self) -> Duration {
        self.call.map_or(self.max_queue_wait, |level| self.max_queue_wait.mul_f64(level.max_wait_share()))
    }

    /// Maximum number of waiting requests per slot at which this request is still admitted.
    pub(crate) const fn waiting_per_slot(&self) -> usize {
        if self.is_call() { WAITING_CALLS_PER_SLOT } else { WAITING_PER_SLOT }
    }
}
