//! Draws the few endpoints among which a request's is chosen.

use rand::{Rng, RngExt};

/// Share of the slots that must be free for more endpoints to be drawn: without free slots, more only choose alike by old news.
const ROOM_SHARE: f64 = 0.2;
/// How many times as long as at the fastest endpoint work takes at the slowest one, from which on they are uneven. Below it, one request
/// more or less in a queue matters as much.
const UNEVEN_RATIO: f64 = 2.0;

/// How many endpoints are drawn, and which ones more often.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SamplingSettings {
    /// Endpoints of each distance that are drawn.
    pub count: usize,
    /// The same where they are uneven and have room.
    pub uneven_count: usize,
    /// How much more often the faster ones are drawn where all slots are free: an endpoint that is twice as fast has two to this power
    /// times the weight. With 0 all have the same.
    pub speed_power: f64,
}

impl SamplingSettings {
    /// For back ends whose speeds differ much.
    pub const BY_SPEED: Self = Self { count: 2, uneven_count: 6, speed_power: 2.0 };

    /// Whether speed and load of the endpoints matter to the draw.
    pub(crate) fn is_by_speed(&self) -> bool {
        self.uneven_count != self.count || self.speed_power > 0.0
    }
}

impl Default for SamplingSettings {
    /// All endpoints have the same weight.
    fn default() -> Self {
        Self { count: 2, uneven_count: 2, speed_power: 0.0 }
    }
}

/// What the draw goes by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<E> {
    pub(crate) endpoint: E,
    /// Seconds that a request takes there at its present speed.
    pub(crate) seconds: f64,
    /// Share of its slots that is free.
    pub(crate) free_share: f64,
}

/// A draw by speed among the endpoints of a service.
///
/// A slow endpoint is worth drawing only where the fast ones are busy: with all slots taken, each of them counts alike. So the weight of
/// speed falls with the share of free slots over all candidates, which is known better than that of any single one.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Draw {
    power: f64,
    count: usize,
}

impl Draw {
    /// The draw among `candidates`.
    pub(crate) fn among<E>(candidates: &[Candidate<E>], settings: &SamplingSettings) -> Self {
        let count = f64::from(u32::try_from(candidates.len()).unwrap_or(u32::MAX)).max(1.0);
        let free_share = candidates.iter().map(|candidate| candidate.free_share).sum::<f64>() / count;
        let is_wide = free_share >= ROOM_SHARE && are_uneven(candidates);
        let count = if is_wide { settings.uneven_count } else { settings.count };
        Self { power: settings.speed_power * free_share, count }
    }

    /// Draws some of `near`, which are at one distance (weighted sampling without replacement by Efraimidis and Spirakis).
    pub(crate) fn draw<E>(self, near: Vec<Candidate<E>>, random: &mut impl Rng) -> Vec<E> {
        let keyed = near.into_iter().map(|candidate| {
            let uniform: f64 = 1.0 - random.random::<f64>();
            (-uniform.ln() * candidate.seconds.powf(self.power), candidate.endpoint)
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
