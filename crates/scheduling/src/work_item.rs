//! One request as the queue before a back end sees it.

use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::CallLevel;

/// Most requests that may wait, as a multiple of the slots.
const WAITING_PER_SLOT: usize = 20;
/// Most calls that may wait, as a multiple of the slots: a queue that is full of new requests still takes calls.
const WAITING_CALLS_PER_SLOT: usize = 2 * WAITING_PER_SLOT;
/// Share of its expected time that a request must have left to be started: some take less than expected.
const HOPELESS_SHARE: f64 = 0.7;

/// One request as the queue sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkItem {
    /// Rank among the requests for this back end: 0 is served first.
    pub priority: u8,
    /// End of the time within which an answer is of full use.
    pub objective_at: Instant,
    /// End of the time within which an answer is of any use.
    pub deadline: Instant,
    /// When it is given up if it still waits.
    pub queue_deadline: Instant,
    /// Longest wait with which it is taken in, as far as can be expected.
    pub max_queue_wait: Duration,
    /// Time that the back end is expected to take for it at its usual speed.
    pub service: Duration,
    /// Whether its caller has sent it before and was refused: its objective can be met only in part by now.
    pub is_caller_retry: bool,
    /// Tenant on whose behalf it is sent; absent if it is of none.
    pub tenant: Option<TenantId>,
    /// Level of the run at another back end that waits for it, if it is a call. The lower it is, the longer a wait the call is taken in with.
    pub call: Option<CallLevel>,
}

impl WorkItem {
    /// Whether it has so little time left that it would be given up while it runs.
    pub(crate) fn is_hopeless(&self, now: Instant) -> bool {
        now + self.service.mul_f64(HOPELESS_SHARE) >= self.deadline
    }

    /// Whether a run waits for it, which fails without its answer and not by its being late.
    pub(crate) const fn is_call(&self) -> bool {
        self.call.is_some()
    }

    /// Time left until the end of its objective.
    pub(crate) fn left(&self, now: Instant) -> Duration {
        self.objective_at.saturating_duration_since(now)
    }

    /// Whether it can no longer be expected to meet its objective.
    pub(crate) fn is_late(&self, now: Instant) -> bool {
        now + self.service > self.objective_at
    }

    /// Whether it is of less use than one that comes in time. A call is not, however late: its run waits.
    pub(crate) fn has_missed(&self, now: Instant) -> bool {
        !self.is_call() && (self.is_caller_retry || self.is_late(now))
    }

    /// Time by which it is reckoned to overtake others.
    pub(crate) fn urgency(&self, now: Instant) -> Duration {
        if self.is_call() { Duration::ZERO } else { self.left(now) }
    }

    /// Longest expected wait with which it is taken in.
    pub(crate) fn longest_wait(&self) -> Duration {
        self.call.map_or(self.max_queue_wait, |level| self.max_queue_wait.mul_f64(level.patience_share()))
    }

    /// Most requests that may wait when it comes, as a multiple of the slots.
    pub(crate) const fn waiting_per_slot(&self) -> usize {
        if self.is_call() { WAITING_CALLS_PER_SLOT } else { WAITING_PER_SLOT }
    }
}
