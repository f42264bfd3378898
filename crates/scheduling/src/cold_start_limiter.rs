//! How fast a back end is handed requests while it is cold, or may be.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use umberpond_model::RequestRate;

/// Time over which the pace is kept.
const SPAN: Duration = Duration::from_secs(1);

/// Keeps the pace of a back end that may turn cold at any moment.
///
/// A back end that is cold gets at most as many requests in any second as its service's rate names. It may have turned cold since it was
/// last known to be warm, so no more than that many are handed to it after such a word either, until it has given the next one. Whatever it
/// does between two words, it gets no more while it is cold.
///
/// What an earlier process of the node may have handed over in the last second counts: a pace begins with its second used up.
#[derive(Debug, Default)]
pub struct ColdStartLimiter {
    /// Requests that may start within [`SPAN`]; absent if the service names no rate.
    limit: Option<usize>,
    /// When the latest requests have started, as many as the limit.
    starts: VecDeque<Instant>,
    cold_until: Option<Instant>,
    /// Requests that have started since the moment at which the back end is last known to have been warm.
    unconfirmed: usize,
    /// Requests that have started since the open question whether it is warm.
    since_question: Option<usize>,
}

impl ColdStartLimiter {
    /// Sets the rate of the service.
    pub fn set_rate(&mut self, now: Instant, rate: Option<RequestRate>) {
        let limit = rate.map(|rate| usize::try_from(rate.whole()).unwrap_or(usize::MAX));
        if limit == self.limit {
            return;
        }
        let unknown_starts = limit.unwrap_or(0).saturating_sub(self.starts.len());
        self.starts.extend(std::iter::repeat_n(now, unknown_starts));
        self.limit = limit;
        self.drop_old_starts();
        self.doubt();
    }

    /// Takes in that the back end may be cold, though nobody has said so.
    pub fn doubt(&mut self) {
        self.unconfirmed = self.limit.unwrap_or(0);
        self.since_question = None;
    }

    /// Takes in that another back end stands in the place of this one.
    pub fn forget(&mut self) {
        self.cold_until = None;
        self.doubt();
    }

    /// Takes in that the back end is cold for so long.
    pub fn on_cold(&mut self, now: Instant, cold_for: Duration) {
        self.cold_until = Some(now + cold_for);
        self.doubt();
    }

    /// Takes in that the back end is asked now whether it is warm.
    pub const fn on_warmth_probe_sent(&mut self) {
        self.since_question = Some(0);
    }

    /// Takes in that the back end has answered the open question: it is warm.
    pub const fn on_warm(&mut self) {
        if let Some(started) = self.since_question.take() {
            self.unconfirmed = started;
            self.cold_until = None;
        }
    }

    /// Takes in that the open question came to nothing.
    pub const fn on_warmth_probe_failed(&mut self) {
        self.since_question = None;
    }

    /// Whether the back end should be asked now whether it is warm.
    #[must_use]
    pub fn needs_warmth_probe(&self, now: Instant) -> bool {
        let Some(limit) = self.limit else { return false };
        // Asked at half, the answer is there before the rest is used up.
        self.since_question.is_none() && !self.is_cold(now) && self.unconfirmed * 2 >= limit
    }

    /// Whether a request may start now.
    #[must_use]
    pub fn may_start(&self, now: Instant) -> bool {
        let Some(limit) = self.limit else { return true };
        let may_be_warm = !self.is_cold(now) && self.unconfirmed < limit;
        may_be_warm || self.next_in_pace().is_none_or(|at| at <= now)
    }

    /// Takes in that a request starts.
    pub fn on_start(&mut self, now: Instant) {
        if self.limit.is_none() {
            return;
        }
        self.starts.push_back(now);
        self.drop_old_starts();
        self.unconfirmed += 1;
        if let Some(started) = &mut self.since_question {
            *started += 1;
        }
    }

    /// When the next request may start at the latest, if none may now.
    #[must_use]
    pub fn next_start(&self, now: Instant) -> Option<Instant> {
        if self.may_start(now) { None } else { self.next_in_pace() }
    }

    /// Expected time until a request may start that has `ahead` others before it. As long as an answer is awaited, it is expected to be good.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let Some(limit) = self.limit.filter(|_| self.is_slowed(now)) else { return Duration::ZERO };
        let first = self.next_in_pace().map_or(Duration::ZERO, |at| at.saturating_duration_since(now));
        let spans = u32::try_from(ahead / limit.max(1)).unwrap_or(u32::MAX);
        first + SPAN.saturating_mul(spans)
    }

    /// How many of `slots` the pace lets work, if a request takes `service_time`.
    #[must_use]
    pub fn usable_slots(&self, now: Instant, slots: u32, service_time: Duration) -> u32 {
        let Some(limit) = self.limit.filter(|_| self.is_slowed(now)) else { return slots };
        let at_once = u32::try_from(limit).unwrap_or(u32::MAX);
        let busy = service_time.as_secs_f64() * f64::from(at_once);
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let busy = busy.ceil() as u32;
        busy.clamp(1, slots.max(1))
    }

    /// Whether the back end gets requests at the pace of a cold one.
    fn is_slowed(&self, now: Instant) -> bool {
        let is_unsure = self.limit.is_some_and(|limit| self.unconfirmed >= limit);
        self.is_cold(now) || (is_unsure && self.since_question.is_none())
    }

    fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// When the pace lets the next request start; absent if it may at any time.
    fn next_in_pace(&self) -> Option<Instant> {
        let limit = self.limit?;
        let oldest = self.starts.front().filter(|_| self.starts.len() >= limit)?;
        Some(*oldest + SPAN)
    }

    fn drop_old_starts(&mut self) {
        let kept = self.limit.unwrap_or(0);
        while self.starts.len() > kept {
            self.starts.pop_front();
        }
    }
}
