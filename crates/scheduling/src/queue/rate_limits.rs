//! Rate limits of an admission queue.

use std::time::{Duration, Instant};

use super::WorkQueue;
use crate::{ColdStartLimiter, DisplacedRequest, Refusal, RequestLimiter};

impl WorkQueue {
    /// The rate limiter that applies while the back end is cold. Call [`WorkQueue::start_next`] after a
    /// change.
    pub const fn cold_start_limiter(&mut self) -> &mut ColdStartLimiter {
        &mut self.start_limits.cold_start
    }

    /// The rate limiter that applies while the back end advertises a limit. Call
    /// [`WorkQueue::take_unservable`] and [`WorkQueue::start_next`] after a change.
    pub const fn request_limiter(&mut self) -> &mut RequestLimiter {
        &mut self.start_limits.request
    }

    /// Removes the waiting requests that the request limit does not let start in time. Does nothing while the limit
    /// is provisional.
    pub fn take_unservable(&mut self, now: Instant) -> Vec<DisplacedRequest> {
        if self.start_limits.request.is_provisional(now) {
            return Vec::new();
        }
        let mut unservable = Vec::new();
        let mut ahead = 0;
        for (queue_key, item) in &self.waiting {
            let expected = self.start_limits.request.expected_wait(now, ahead);
            if now + expected > item.queue_deadline.min(item.deadline) {
                unservable.push((*queue_key, expected));
            } else {
                ahead += 1;
            }
        }
        let displaced = unservable.into_iter().map(|(queue_key, expected)| {
            self.remove(queue_key);
            DisplacedRequest { ticket: queue_key.ticket, expected }
        });
        displaced.collect()
    }

    /// When the rate limiters let a waiting request start, if only they delay it.
    #[must_use]
    pub fn rate_limited_until(&self, now: Instant) -> Option<Instant> {
        let may_run = !self.waiting.is_empty() && self.running < self.slots;
        if may_run { self.start_limits.next_start(now) } else { None }
    }

    /// Mean number of requests that can run at once.
    pub(super) fn concurrency(&self) -> f64 {
        self.start_limits.request.concurrency(self.slots, self.mean_service_time())
    }

    /// The refusal of a request that would wait too long.
    pub(super) fn long_wait_refusal(&self, now: Instant, expected: Duration) -> Refusal {
        if self.start_limits.request.may_start(now) {
            Refusal::WaitTooLong { expected }
        } else {
            Refusal::RequestLimit { expected }
        }
    }
}
