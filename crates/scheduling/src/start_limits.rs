//! The limits on the rate at which requests to a back end start.

use std::time::{Duration, Instant};

use crate::{ColdStartLimiter, RequestLimiter};

/// Limits on the rate of requests to one back end, besides its slots. A request may start if all of them allow
/// it.
#[derive(Debug, Default)]
pub(crate) struct StartLimits {
    /// Applies while the back end is cold.
    pub(crate) cold_start: ColdStartLimiter,
    /// Applies while the back end advertises a limit.
    pub(crate) request: RequestLimiter,
}

impl StartLimits {
    pub(crate) fn may_start(&self, now: Instant) -> bool {
        self.cold_start.may_start(now) && self.request.may_start(now)
    }

    pub(crate) fn on_start(&mut self, now: Instant) {
        self.cold_start.on_start(now);
        self.request.on_start(now);
    }

    /// When the next request may start at the latest; absent if one may start now.
    pub(crate) fn next_start(&self, now: Instant) -> Option<Instant> {
        self.cold_start.next_start(now).max(self.request.next_start(now))
    }

    /// Expected time until a request with `ahead` requests before it may start, if later requests overtake it
    /// so often that only `remaining_share` of the starts are left to it. A provisional limit is confirmed or ended
    /// after `service_time`.
    pub(crate) fn expected_wait(
        &self,
        now: Instant,
        ahead: usize,
        remaining_share: f64,
        service_time: Duration,
    ) -> Duration {
        let at_limit = self.request.expected_wait(now, ahead);
        let request_wait = if self.request.is_provisional(now) {
            at_limit.min(service_time)
        } else {
            at_limit.div_f64(remaining_share)
        };
        self.cold_start.expected_wait(now, ahead).max(request_wait)
    }
}
