//! Samples the few endpoints from which the endpoint of a request is selected.

use rand::{Rng, RngExt};

/// Share of the slots that must be free for a larger sample: without free slots, larger samples only make
/// nodes choose alike on outdated load reports.
const MIN_FREE_SHARE: f64 = 0.2;
/// Ratio of the service times of the slowest and the fastest endpoint from which on the endpoints count as
/// uneven. Below it, one request more or less in a queue has as much effect.
const UNEVEN_RATIO: f64 = 2.0;

/// Size and weights of the sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SamplingSettings {
    /// Number of endpoints sampled per distance.
    pub count: usize,
    /// The same if the endpoints are uneven and have free slots.
    pub uneven_count: usize,
    /// Exponent of the weight of speed while all slots are free: an endpoint that is twice as fast has two to
    /// this power times the weight. With 0 all weights are equal.
    pub speed_exponent: f64,
}

impl SamplingSettings {
    /// For back ends whose speeds differ widely.
    pub const BY_SPEED: Self = Self { count: 2, uneven_count: 6, speed_exponent: 2.0 };

    /// Whether the sample depends on speed and load of the endpoints.
    pub(crate) fn is_by_speed(&self) -> bool {
        self.uneven_count != self.count || self.speed_exponent > 0.0
    }
}

impl Default for SamplingSettings {
    /// Samples two endpoints per distance with equal weights.
    fn default() -> Self {
        Self { count: 2, uneven_count: 2, speed_exponent: 0.0 }
    }
}

/// An endpoint and the figures that the sample depends on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<E> {
    pub(crate) endpoint: E,
    /// Seconds that a request takes there at the current speed.
    pub(crate) seconds: f64,
    /// Share of its slots that are free.
    pub(crate) free_share: f64,
}

/// Samples endpoints of a service by speed.
///
/// A slow endpoint is worth sampling only while the fast ones are busy: with all slots taken, all endpoints
/// count the same. Therefore the weight of speed decreases with the share of free slots over all candidates,
/// which is known more accurately than that of a single one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sampler {
    exponent: f64,
    count: usize,
}

impl Sampler {
    /// Derives sample size and weights from `candidates`.
    pub(crate) fn for_candidates<E>(candidates: &[Candidate<E>], settings: &SamplingSettings) -> Self {
        let count = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX)).max(1.0);
        let free_share = candidates.iter().map(|candidate| candidate.free_share).sum::<f64>() / count;
        let is_large = free_share >= MIN_FREE_SHARE && are_uneven(candidates);
        let count = if is_large { settings.uneven_count } else { settings.count };
        Self { exponent: settings.speed_exponent * free_share, count }
    }

    /// Samples from `near`, whose endpoints are all at the same distance (weighted sampling without
    /// replacement by Efraimidis and Spirakis).
    pub(crate) fn sample<E>(self, near: Vec<Candidate<E>>, random: &mut impl Rng) -> Vec<E> {
        let keyed = near.into_iter().map(|candidate| {
            let uniform: f64 = 1.0 - random.random::<f64>();
            (-uniform.ln() * candidate.seconds.powf(self.exponent), candidate.endpoint)
        });
        let mut keyed: Vec<(f64, E)> = keyed.collect();
        keyed.sort_by(|left, right| left.0.total_cmp(&right.0));
        keyed.into_iter().take(self.count).map(|(_key, endpoint)| endpoint).collect()
    }
}

fn are_uneven<E>(candidates: &[Candidate<E>]) -> bool {
    let seconds = candidates.iter().map(|candidate| candidate.seconds);
    let (fastest, slowest) = seconds.fold((f64::MAX, 0.0_f64), |(fastest, slowest), seconds| {
        (fastest.min(seconds), slowest.max(seconds))
    });
    slowest >= fastest * UNEVEN_RATIO
}
