//! Limits the request rate to a back end that is cold or may be.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use umberpond_model::RequestRate;

/// Length of the sliding window.
const WINDOW: Duration = Duration::from_secs(1);

/// Sliding-window rate limiter for a back end that may turn cold at any time.
///
/// A cold back end gets at most as many requests in any second as the rate of its service. Since it may turn
/// cold right after a probe found it warm, at most that many requests start until the next probe succeeds. A
/// back end that turns cold between two probes therefore never exceeds the rate.
///
/// An earlier process of the node may have started requests within the last second, so a new limiter starts
/// with a full window.
#[derive(Debug, Default)]
pub struct ColdStartLimiter {
    /// Requests that may start within [`WINDOW`]; absent if the service has no cold rate.
    limit: Option<usize>,
    /// Start times of the latest requests, at most `limit` of them.
    starts: VecDeque<Instant>,
    cold_until: Option<Instant>,
    /// Requests started since the last time at which the back end was known to be warm.
    unconfirmed: usize,
    /// Requests started since the outstanding probe was sent; absent without an outstanding probe.
    since_probe: Option<usize>,
}

impl ColdStartLimiter {
    /// Sets the cold rate of the service.
    pub fn set_rate(&mut self, now: Instant, rate: Option<RequestRate>) {
        let limit = rate.map(|rate| usize::try_from(rate.whole()).unwrap_or(usize::MAX));
        if limit == self.limit {
            return;
        }
        let unknown_starts = limit.unwrap_or(0).saturating_sub(self.starts.len());
        self.starts.extend(std::iter::repeat_n(now, unknown_starts));
        self.limit = limit;
        self.drop_old_starts();
        self.mark_unconfirmed();
    }

    /// Discards the knowledge that the back end is warm, without a report that it is cold.
    pub fn mark_unconfirmed(&mut self) {
        self.unconfirmed = self.limit.unwrap_or(0);
        self.since_probe = None;
    }

    /// Resets the state because the back end was replaced.
    pub fn forget(&mut self) {
        self.cold_until = None;
        self.mark_unconfirmed();
    }

    /// Records a report that the back end stays cold for `cold_for`.
    pub fn on_cold(&mut self, now: Instant, cold_for: Duration) {
        self.cold_until = Some(now + cold_for);
        self.mark_unconfirmed();
    }

    /// Records that a probe of the back end's state was sent.
    pub const fn on_warmth_probe_sent(&mut self) {
        self.since_probe = Some(0);
    }

    /// Records that the outstanding probe found the back end warm.
    pub const fn on_warmth_probe_succeeded(&mut self) {
        if let Some(started) = self.since_probe.take() {
            self.unconfirmed = started;
            self.cold_until = None;
        }
    }

    /// Records that the outstanding probe failed.
    pub const fn on_warmth_probe_failed(&mut self) {
        self.since_probe = None;
    }

    /// Whether a probe should be sent now.
    #[must_use]
    pub fn needs_warmth_probe(&self, now: Instant) -> bool {
        let Some(limit) = self.limit else { return false };
        // Probing at half of the limit lets the result arrive before the limit is reached.
        self.since_probe.is_none() && !self.is_cold(now) && self.unconfirmed * 2 >= limit
    }

    /// Whether a request may start now.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        let Some(limit) = self.limit else { return true };
        let may_be_warm = !self.is_cold(now) && self.unconfirmed < limit;
        may_be_warm || self.next_in_window().is_none_or(|at| at <= now)
    }

    /// Records the start of a request.
    pub fn on_start(&mut self, now: Instant) {
        if self.limit.is_none() {
            return;
        }
        self.starts.push_back(now);
        self.drop_old_starts();
        self.unconfirmed += 1;
        if let Some(started) = &mut self.since_probe {
            *started += 1;
        }
    }

    /// When the next request may start at the latest; absent if one may start now.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        if self.may_start(now) { None } else { self.next_in_window() }
    }

    /// Expected time until a request with `ahead` requests before it may start. While a probe is outstanding,
    /// it is expected to find the back end warm.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let Some(limit) = self.limit.filter(|_| self.is_limited(now)) else { return Duration::ZERO };
        let first = self.next_in_window().map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        let spans = u32::try_from(ahead / limit.max(1)).unwrap_or(u32::MAX);
        first + WINDOW.saturating_mul(spans)
    }

    /// Number of `slots` that can be busy at the limited rate if a request takes `service_time`.
    #[must_use]
    pub fn usable_slots(&self, now: Instant, slots: u32, service_time: Duration) -> u32 {
        let Some(limit) = self.limit.filter(|_| self.is_limited(now)) else { return slots };
        let at_once = u32::try_from(limit).unwrap_or(u32::MAX);
        let busy = service_time.as_secs_f64() * f64::from(at_once);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let busy = busy.ceil() as u32;
        busy.clamp(1, slots.max(1))
    }

    /// Whether the rate limit applies at present.
    fn is_limited(&self, now: Instant) -> bool {
        let is_unconfirmed = self.limit.is_some_and(|limit| self.unconfirmed >= limit);
        self.is_cold(now) || (is_unconfirmed && self.since_probe.is_none())
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// When the window admits the next request; absent if it has room now.
    fn next_in_window(&self) -> Option<Instant> {
        let limit = self.limit?;
        let oldest = self.starts.front().filter(|_| self.starts.len() >= limit)?;
        Some(*oldest + WINDOW)
    }

    fn drop_old_starts(&mut self) {
        let kept = self.limit.unwrap_or(0);
        while self.starts.len() > kept {
            self.starts.pop_front();
        }
    }
}
