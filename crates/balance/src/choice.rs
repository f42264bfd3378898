//! The choice inside one tier: power of two choices, round robin or random.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rand::{Rng, RngExt};
use umberpond_model::{NodeName, Timestamp};

use crate::endpoint::{Endpoint, Score};
use crate::load::TypicalLoad;
use crate::{BalancerSettings, Strategy};

/// Draws made before the whole tier is looked through.
const DRAWS: usize = 4;

/// An endpoint that may be picked, with its comparison.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate<'a> {
    pub(crate) endpoint: &'a Arc<Endpoint>,
    pub(crate) score: Score,
}

/// One choice to be made.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Choice<'a> {
    pub(crate) now: Timestamp,
    pub(crate) excluded: &'a [NodeName],
    pub(crate) settings: &'a BalancerSettings,
    pub(crate) typical: &'a TypicalLoad,
    pub(crate) cursor: &'a AtomicUsize,
}

impl Choice<'_> {
    /// Chooses among `endpoints`; none if every one is excluded or already being probed.
    pub(crate) fn among<'a, R: Rng + ?Sized>(
        &self,
        endpoints: &'a [Arc<Endpoint>],
        rng: &mut R,
    ) -> Option<Candidate<'a>> {
        if endpoints.is_empty() {
            return None;
        }
        (0..DRAWS).find_map(|_| self.draw(endpoints, rng)).or_else(|| self.scan(endpoints, rng))
    }

    fn draw<'a, R: Rng + ?Sized>(
        &self,
        endpoints: &'a [Arc<Endpoint>],
        rng: &mut R,
    ) -> Option<Candidate<'a>> {
        match self.settings.strategy {
            Strategy::PowerOfTwoChoices => self.better_of_two(endpoints, rng),
            Strategy::RoundRobin => {
                let turn = self.cursor.fetch_add(1, Ordering::Relaxed);
                self.if_warm(&endpoints[turn % endpoints.len()], rng)
            }
            Strategy::Random => self.if_warm(&endpoints[rng.random_range(0..endpoints.len())], rng),
        }
    }

    fn better_of_two<'a, R: Rng + ?Sized>(
        &self,
        endpoints: &'a [Arc<Endpoint>],
        rng: &mut R,
    ) -> Option<Candidate<'a>> {
        let count = endpoints.len();
        let first = rng.random_range(0..count);
        if count == 1 {
            return self.candidate(&endpoints[first]);
        }
        let distance = rng.random_range(1..count);
        let second = (first + distance) % count;
        match (self.candidate(&endpoints[first]), self.candidate(&endpoints[second])) {
            (Some(first), Some(second)) if second.score.cost < first.score.cost => Some(second),
            (Some(first), _) => Some(first),
            (None, second) => second,
        }
    }

    /// A cold endpoint is taken with the chance of its present share.
    fn if_warm<'a, R: Rng + ?Sized>(
        &self,
        endpoint: &'a Arc<Endpoint>,
        rng: &mut R,
    ) -> Option<Candidate<'a>> {
        let candidate = self.candidate(endpoint)?;
        let is_taken = candidate.score.warmth >= 1.0 || rng.random_bool(candidate.score.warmth);
        is_taken.then_some(candidate)
    }

    /// Looks through all, from a random start; only reached when most are excluded, cold or being probed.
    fn scan<'a, R: Rng + ?Sized>(
        &self,
        endpoints: &'a [Arc<Endpoint>],
        rng: &mut R,
    ) -> Option<Candidate<'a>> {
        let start = rng.random_range(0..endpoints.len());
        let (before, after) = endpoints.split_at(start);
        after.iter().chain(before).find_map(|endpoint| self.candidate(endpoint))
    }

    fn candidate<'a>(&self, endpoint: &'a Arc<Endpoint>) -> Option<Candidate<'a>> {
        if self.excluded.contains(&endpoint.node) {
            return None;
        }
        let score = endpoint.score(self.now, self.typical, self.settings)?;
        Some(Candidate { endpoint, score })
    }
}
