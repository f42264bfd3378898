//! Computes when the caller of a request that did not run should retry (the `Retry-After` header).

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::outcome::NotRunReason;

#[cfg(test)]
mod tests;

/// Delay if nothing better is known.
const DEFAULT_DELAY: Duration = Duration::from_millis(200);
/// Delay for a request that has crashed back ends and has no trial runs left: an earlier retry is pointless
/// before the fault is fixed.
const QUARANTINE_DELAY: Duration = Duration::from_secs(60);

/// Share of the caller's remaining time after which it retries at a service without room. The caller has few
/// tries, so none should be made while the service is known to be full. Callers ignore delays longer than
/// this.
const REMAINING_TIME_SHARE: f64 = 1.0 / 3.0;
/// Lower bound of the random factor on that share, so that callers which are refused together don't retry
/// together.
const MIN_JITTER: f64 = 0.7;

/// Maximum delay after a fault that isn't overload: each retry has the same chance of success, so waiting
/// longer gains nothing.
const MAX_DELAY_AFTER_FAULT: Duration = Duration::from_millis(100);
/// Minimum delay worth sending: the timers of callers are hardly more precise.
const MIN_DELAY: Duration = Duration::from_millis(5);
/// Share of the time before the latest useful start of a retry that is used for the delay. The rest is left
/// for the network, a short queue and a retry by the node.
const SLACK_SHARE: f64 = 0.5;
/// Lower bound of the random factor on the delay after a fault. It spreads callers widely, since a back end
/// with free slots has room for them at any time.
const MIN_JITTER_AFTER_FAULT: f64 = 0.2;

/// What is known about a request that did not run when its caller is asked to retry.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedRequest {
    /// Why the request did not run.
    pub(super) reason: NotRunReason,
    /// Delay proposed by the back end's node, if it sent one.
    pub(super) retry_after: Option<Duration>,
    /// Remaining time in which a response meets the objective, counted from the caller's first try as far as
    /// that is known.
    pub(super) objective_left: Duration,
    /// Remaining time that the caller waits.
    pub(super) caller_left: Duration,
    /// Expected service time at a back end.
    pub(super) service: Duration,
    /// Expected time until a slot of the back end becomes free, if known.
    pub(super) time_to_free_slot: Option<Duration>,
}

impl RefusedRequest {
    /// Delay after which the caller should retry.
    pub(super) fn retry_delay(&self, random: &mut impl Rng) -> Duration {
        let soonest = self.retry_after.unwrap_or(DEFAULT_DELAY);
        match self.reason {
            NotRunReason::Quarantined => self.retry_after.unwrap_or(QUARANTINE_DELAY),
            NotRunReason::Overloaded | NotRunReason::CallsOverloaded => self.delay_for_queue(random),
            NotRunReason::RequestLimit => self.delay_for_limit(random),
            NotRunReason::BackEndFull => {
                self.delay_for_slot(random).unwrap_or_else(|| self.delay_for_queue(random))
            }
            NotRunReason::BackEndRejected | NotRunReason::RetryBudget => {
                self.delay_after_fault(random).unwrap_or(soonest)
            }
            _ => soonest,
        }
    }

    /// Delay after which the queues should be shorter. They are full of requests that arrived before this
    /// one.
    fn delay_for_queue(&self, random: &mut impl Rng) -> Duration {
        let soonest = self.retry_after.unwrap_or(DEFAULT_DELAY);
        soonest.max(delay_within(self.caller_left, random))
    }

    /// Like [`Self::delay_for_queue`], but no longer than callers accept: another back end may have room before the
    /// limit of this one lets a request start.
    fn delay_for_limit(&self, random: &mut impl Rng) -> Duration {
        self.delay_for_queue(random).min(self.caller_left.mul_f64(REMAINING_TIME_SHARE))
    }

    /// Delay after which a slot should be free and a retry can still meet the objective, if there is one.
    fn delay_for_slot(&self, random: &mut impl Rng) -> Option<Duration> {
        let soonest = self.time_to_free_slot?.max(MIN_DELAY);
        let max_delay = self.max_delay()?;
        (soonest <= max_delay).then(|| soonest + (max_delay - soonest).mul_f64(random.random()))
    }

    /// Delay after which a retry can still meet the objective, if there is one.
    fn delay_after_fault(&self, random: &mut impl Rng) -> Option<Duration> {
        let max_fault_delay = self.max_delay()?.min(MAX_DELAY_AFTER_FAULT);
        let delay = max_fault_delay.mul_f64(random.random_range(MIN_JITTER_AFTER_FAULT..=1.0));
        (delay >= MIN_DELAY).then_some(delay)
    }

    /// Maximum delay after which a retry can be expected to meet the objective.
    fn max_delay(&self) -> Option<Duration> {
        let latest_start = self.objective_left.min(self.caller_left).checked_sub(self.service)?;
        Some(latest_start.mul_f64(SLACK_SHARE))
    }
}

/// Delay for a caller that waits for `left` longer.
pub(super) fn delay_within(left: Duration, random: &mut impl Rng) -> Duration {
    left.mul_f64(REMAINING_TIME_SHARE * random.random_range(MIN_JITTER..=1.0))
}

/// Delay for a caller whose tenant is at its quota: not before a token can be expected, and spread over twice
/// that time.
pub(super) fn delay_until_token(left: Duration, next_token_in: Duration, random: &mut impl Rng) -> Duration {
    let spread = next_token_in.mul_f64(random.random_range(1.0..=2.0));
    delay_within(left, random).max(spread)
}
