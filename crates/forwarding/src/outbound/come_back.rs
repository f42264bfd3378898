//! When a caller whose request did not run does best to send it again.

use std::time::Duration;

use rand::{Rng, RngExt};

#[cfg(test)]
mod tests;

/// Share of the time that a caller still waits after which it comes back to a service without room: of the few tries that
/// it has, none is made while the service is known to be full, and callers heed no longer time than this.
const SHARE: f64 = 1.0 / 3.0;
/// Least part of that time told, so that callers refused together don't come back together.
const LEAST: f64 = 0.7;

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
