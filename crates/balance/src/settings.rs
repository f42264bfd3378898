//! Settings of a balancer, with the defaults that the design notes give reasons for.

use umberpond_model::{Millis, ONE_SECOND};

/// How an endpoint is chosen inside one tier of localities.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
    /// Two endpoints at random; the one with the smaller estimated load wins.
    PowerOfTwoChoices,
    /// One after another.
    RoundRobin,
    /// Any, with equal chance.
    Random,
}

/// Settings of a [`crate::Balancer`].
#[derive(Debug, Clone, PartialEq)]
pub struct BalancerSettings {
    /// How an endpoint is chosen inside one tier of localities.
    pub strategy: Strategy,
    /// Age at which a load report counts half.
    pub report_half_life: Millis,
    /// How long the reports of an endpoint are ignored after one contradicted what was seen here.
    pub distrust_time: Millis,
    /// Smoothed utilisation (0 to 1) of a tier at which it starts to spill to the next.
    pub spill_start: f64,
    /// Smoothed utilisation at which a tier stops spilling.
    pub spill_stop: f64,
    /// How much lower the utilisation of a farther endpoint must be before it is preferred.
    pub spill_margin: f64,
    /// Failures in a row after which an endpoint is ejected.
    pub ejection_failures: u32,
    /// Length of the first ejection; each further one doubles it.
    pub ejection_base: Millis,
    /// Longest ejection.
    pub ejection_longest: Millis,
    /// Time without an ejection after which the doubling starts again from the base.
    pub ejection_forgiven_after: Millis,
    /// Largest share (0 to 1) of the ready endpoints that may be ejected at once; one of two always may be,
    /// the last one never.
    pub ejection_share: f64,
    /// An endpoint whose mean latency is this many times the median of all is ejected.
    pub latency_outlier_factor: f64,
    /// Time between two looks for latency outliers.
    pub latency_window: Millis,
    /// Answers needed in one window before an endpoint's latency is judged.
    pub latency_samples: u32,
    /// Time over which a cold endpoint's share of the work grows to its full size.
    pub slow_start: Millis,
    /// Share (0 to 1) of the work that a cold endpoint starts with.
    pub slow_start_share: f64,
}

impl Default for BalancerSettings {
    fn default() -> Self {
        Self {
            strategy: Strategy::PowerOfTwoChoices,
            report_half_life: Millis(500),
            distrust_time: Millis(10_000),
            spill_start: 0.8,
            spill_stop: 0.6,
            spill_margin: 0.2,
            ejection_failures: 5,
            ejection_base: ONE_SECOND,
            ejection_longest: Millis(60_000),
            ejection_forgiven_after: Millis(120_000),
            ejection_share: 0.34,
            latency_outlier_factor: 4.0,
            latency_window: ONE_SECOND,
            latency_samples: 5,
            slow_start: Millis(10_000),
            slow_start_share: 0.1,
        }
    }
}
