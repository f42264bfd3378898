//! When a caller whose request did not run does best to send it again.

use std::time::Duration;

use rand::{Rng, RngExt};

use crate::outcome::NotRunReason;

#[cfg(test)]
mod tests;

/// When a caller comes back if nothing better is known.
const USUAL: Duration = Duration::from_millis(200);
/// When a caller comes back whose request has ended back ends: nothing is better for it before it is mended.
const AFTER_MENDING: Duration = Duration::from_secs(60);

/// Share of the time that a caller still waits after which it comes back to a service without room: of the few tries that
/// it has, none is made while the service is known to be full, and callers heed no longer time than this.
const SHARE: f64 = 1.0 / 3.0;
/// Least part of that time told, so that callers refused together don't come back together.
const LEAST: f64 = 0.7;

/// Longest time told after a fault that was no load: each new try has the same chance, so nothing is gained by a later one.
const LONGEST_AFTER_FAULT: Duration = Duration::from_millis(100);
/// Shortest time worth telling: callers' timers are hardly finer.
const SHORTEST_TOLD: Duration = Duration::from_millis(5);
/// Share of the time in which a new try may begin that is used; the rest is left for its way, a short queue and a repeat.
const USED_SHARE: f64 = 0.5;
/// Least part told of the time after a fault. It spreads callers widely: a back end with free slots has room for whoever comes.
const LEAST_AFTER_FAULT: f64 = 0.2;

/// What is known of a request that did not run, when its caller is told to come back.
#[derive(Debug, Clone, Copy)]
pub(super) struct RefusedRequest {
    /// Why it did not run.
    pub(super) reason: NotRunReason,
    /// Time after which it may be sent again with better hope, if the node beside a back end has told one.
    pub(super) retry_after: Option<Duration>,
    /// Time left within which an answer is of full use, counted from the caller's first try as far as that is known.
    pub(super) objective_left: Duration,
    /// Time that the caller still waits.
    pub(super) caller_left: Duration,
    /// Time that a back end is expected to take.
    pub(super) service: Duration,
    /// Time after which one of the slots of the back end should be free again, if known.
    pub(super) slot_wait: Option<Duration>,
}

impl RefusedRequest {
    /// Time after which the caller does best to come back.
    pub(super) fn come_back(&self, random: &mut impl Rng) -> Duration {
        let soonest = self.retry_after.unwrap_or(USUAL);
        match self.reason {
            NotRunReason::Quarantined => AFTER_MENDING,
            NotRunReason::Overloaded | NotRunReason::CallsOverloaded => self.come_back_to_queue(random),
            NotRunReason::BackEndFull => {
                self.come_back_to_slot(random).unwrap_or_else(|| self.come_back_to_queue(random))
            }
            NotRunReason::BackEndRejected | NotRunReason::RetryBudget => {
                self.come_back_after_fault(random).unwrap_or(soonest)
            }
            _ => soonest,
        }
    }

    /// A time after which the queues should be shorter. They are full of requests that came before.
    fn come_back_to_queue(&self, random: &mut impl Rng) -> Duration {
        let soonest = self.retry_after.unwrap_or(USUAL);
        soonest.max(come_back_within(self.caller_left, random))
    }

    /// A time after which a slot should be free, and a new try can still meet the objective; absent if there is none.
    fn come_back_to_slot(&self, random: &mut impl Rng) -> Option<Duration> {
        let soonest = self.slot_wait?.max(SHORTEST_TOLD);
        let latest = self.latest()?;
        (soonest <= latest).then(|| soonest + (latest - soonest).mul_f64(random.random()))
    }

    /// A time after which a new try can still meet the objective; absent if there is none.
    fn come_back_after_fault(&self, random: &mut impl Rng) -> Option<Duration> {
        let longest = self.latest()?.min(LONGEST_AFTER_FAULT);
        let told = longest.mul_f64(random.random_range(LEAST_AFTER_FAULT..=1.0));
        (told >= SHORTEST_TOLD).then_some(told)
    }

    /// The latest time after which a new try may be expected to meet the objective.
    fn latest(&self) -> Option<Duration> {
        let latest_begin = self.objective_left.min(self.caller_left).checked_sub(self.service)?;
        Some(latest_begin.mul_f64(USED_SHARE))
    }
}

/// The time told to a caller that waits for `left` longer.
pub(super) fn come_back_within(left: Duration, random: &mut impl Rng) -> Duration {
    left.mul_f64(SHARE * random.random_range(LEAST..=1.0))
}

/// The time told to a caller whose tenant is at its limit: not before a token can be expected, and spread over twice that time.
pub(super) fn come_back_with_token(
    left: Duration,
    next_token_in: Duration,
    random: &mut impl Rng,
) -> Duration {
    let spread = next_token_in.mul_f64(random.random_range(1.0..=2.0));
    come_back_within(left, random).max(spread)
}
