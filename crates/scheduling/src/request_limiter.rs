//! Limits the request rate to a back end that advertises a limit.

use std::time::{Duration, Instant};

use umberpond_model::RequestRate;

use crate::{AdvertisedLimit, LimitReport};

/// Time for which unused requests are saved up, to be started at once later. It bounds the burst.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Tolerance for rounding errors in the number of saved requests.
const TOLERANCE: f64 = 1e-6;

/// Token bucket with the rate that a back end advertises.
///
/// In any period at most `rate` × period + max(1, `rate` × 250 ms) requests start, and one more for each restart of
/// the node in it. An earlier process of the node may just have started requests, so the bucket is empty when the
/// limit becomes known. If only another node remembers the limit, it may have ended, so one request starts to find
/// out.
#[derive(Debug, Default)]
pub struct RequestLimiter {
    advertised: AdvertisedLimit,
    /// Requests that could start at `refilled_at`.
    saved: f64,
    /// Absent without a limit.
    refilled_at: Option<Instant>,
}

impl RequestLimiter {
    /// The rate limit in effect.
    #[must_use]
    pub const fn rate(&self) -> Option<RequestRate> {
        self.advertised.rate()
    }

    /// Whether only another node remembers the limit, which may have ended, and a response is expected soon.
    #[must_use]
    pub fn is_provisional(&self, now: Instant) -> bool {
        self.advertised.is_provisional(now)
    }

    /// Applies the report of a response to a request that was sent at `sent_at`. Returns whether the rate has
    /// changed, or is confirmed for the first time.
    pub fn on_response(&mut self, now: Instant, sent_at: Instant, report: LimitReport) -> bool {
        self.update(now, 0.0, |advertised| advertised.on_response(now, sent_at, report))
    }

    /// Applies the limit that another node remembers from a response of this back-end process. Returns whether
    /// the rate has changed.
    pub fn on_remembered(&mut self, now: Instant, rate: RequestRate) -> bool {
        self.update(now, 1.0, |advertised| advertised.on_remembered(now, rate))
    }

    /// Resets the state because the back end was replaced. Returns whether there was a limit.
    pub fn forget(&mut self) -> bool {
        std::mem::take(self).rate().is_some()
    }

    /// Whether a request may start now.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        self.expected_wait(now, 0).is_zero()
    }

    /// Records the start of a request.
    pub fn on_start(&mut self, now: Instant) {
        self.refill(now);
        self.saved -= 1.0;
    }

    /// When the next request may start at the latest; absent if one may start now.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        let wait = self.expected_wait(now, 0);
        (!wait.is_zero()).then(|| now + wait)
    }

    /// Time until a request with `ahead` requests before it may start.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let Some(rate) = self.rate() else { return Duration::ZERO };
        let needed = f64::from(u32::try_from(ahead).unwrap_or(u32::MAX)) + 1.0;
        let missing = needed - self.saved_at(now, rate);
        if missing <= TOLERANCE { Duration::ZERO } else { Duration::from_secs_f64(missing / rate.as_f64()) }
    }

    /// Mean number of requests that run at once if as many start as the limit allows and each takes
    /// `service_time`; at most `slots`.
    #[must_use]
    pub fn concurrency(&self, slots: u32, service_time: Duration) -> f64 {
        let slots = f64::from(slots.max(1));
        self.rate().map_or(slots, |rate| slots.min(rate.as_f64() * service_time.as_secs_f64()))
    }

    /// Applies a change of the limit. A limit that was not known before begins with `initial` saved requests.
    fn update(
        &mut self,
        now: Instant,
        initial: f64,
        change: impl FnOnce(&mut AdvertisedLimit) -> bool,
    ) -> bool {
        self.refill(now);
        let was_limited = self.rate().is_some();
        if !change(&mut self.advertised) {
            return false;
        }
        let saved = if was_limited { self.saved } else { initial };
        self.saved = self.rate().map_or(0.0, |rate| saved.min(capacity(rate)));
        self.refilled_at = self.rate().map(|_| now);
        true
    }

    fn refill(&mut self, now: Instant) {
        if let Some(rate) = self.rate() {
            self.saved = self.saved_at(now, rate);
            self.refilled_at = Some(now);
        }
    }

    /// Requests that could start at `now`.
    fn saved_at(&self, now: Instant, rate: RequestRate) -> f64 {
        let passed = self.refilled_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (self.saved + passed.as_secs_f64() * rate.as_f64()).min(capacity(rate))
    }
}

/// Maximum number of requests that are saved up.
fn capacity(rate: RequestRate) -> f64 {
    (rate.as_f64() * BURST_TIME.as_secs_f64()).max(1.0)
}
