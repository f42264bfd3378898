//! Adaptive number of slots: additive increase, multiplicative decrease when the back end sheds.
//!
//! Service times don't shrink it: a mix of short calls and long streams looks the same as a back end that slows.

use std::time::Duration;

use umberpond_model::{Millis, Timestamp};

/// Factor of a decrease.
const DECREASE: f64 = 0.7;
/// Shortest time between two decreases, so that one burst of refusals counts once.
const DECREASE_INTERVAL: Millis = Millis(100);
/// Weight of the newest service time in the recent mean.
const RECENT_GAIN: f64 = 1.0 / 8.0;

/// Number of requests that the back end is given at once.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    most: u32,
    adaptive: bool,
    limit: f64,
    recent_seconds: f64,
    decreased_at: Option<Timestamp>,
}

impl ConcurrencyLimit {
    pub(crate) fn new(slots: u32, adaptive: bool) -> Self {
        let most = slots.max(1);
        Self { most, adaptive, limit: f64::from(most), recent_seconds: 0.0, decreased_at: None }
    }

    /// Takes up another configured number; the share of it that is given out stays.
    pub(crate) fn set_most(&mut self, slots: u32) {
        let most = slots.max(1);
        self.limit *= f64::from(most) / f64::from(self.most);
        self.most = most;
    }

    /// Slots given out now, at least one.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub(crate) fn slots(&self) -> u32 {
        (self.limit as u32).clamp(1, self.most)
    }

    /// Recent mean service time in seconds; zero while unknown.
    pub(crate) const fn mean_service_seconds(&self) -> f64 {
        self.recent_seconds
    }

    /// A request was served in `service_time`.
    pub(crate) fn on_served(&mut self, service_time: Duration) {
        let seconds = service_time.as_secs_f64();
        if self.recent_seconds == 0.0 {
            self.recent_seconds = seconds;
        }
        self.recent_seconds += (seconds - self.recent_seconds) * RECENT_GAIN;
        self.limit = (self.limit + 1.0 / self.limit).min(f64::from(self.most));
    }

    /// The back end refused a request although it had a slot.
    pub(crate) fn on_shed(&mut self, now: Timestamp) {
        self.decrease(now);
    }

    fn decrease(&mut self, now: Timestamp) {
        let is_too_soon = self.decreased_at.is_some_and(|at| now.since(at) < DECREASE_INTERVAL);
        if !self.adaptive || is_too_soon {
            return;
        }
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}
