//! How much of a back end's time the most urgent requests take.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time after which admitted work is half forgotten.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Shortest time between two times of forgetting.
const FORGET_INTERVAL: Duration = Duration::from_millis(10);
/// Classes of urgency: class `n` has between 2^(n-1) and 2^n milliseconds left, the last one more.
const CLASSES: usize = 24;

/// Work admitted lately.
///
/// A request that waits is overtaken by later ones that are more urgent, so the work that lies before it when it comes is not all
/// that it waits for.
#[derive(Debug, Default)]
pub(crate) struct AdmittedWork {
    by_rank: BTreeMap<u8, RankWork>,
}

impl AdmittedWork {
    /// Takes in a request of `rank` that has `left` of its objective and takes `service` in the back end.
    pub(crate) fn record(&mut self, now: Instant, rank: u8, left: Duration, service: Duration) {
        self.by_rank.entry(rank).or_default().record(now, left, service);
    }

    /// Seconds of service a second that go to requests which overtake one of `rank` with `left` of its objective. Less urgent ones don't, however
    /// little time they have left.
    pub(crate) fn overtaking_rate(&mut self, now: Instant, rank: u8, left: Duration) -> f64 {
        self.by_rank.range_mut(..=rank).map(|(_, work)| work.overtaking_rate(now, left)).sum()
    }

    /// Seconds of service a second that go to all requests of `rank` and more urgent ones.
    pub(crate) fn rate(&mut self, now: Instant, rank: u8) -> f64 {
        self.by_rank.range_mut(..=rank).map(|(_, work)| work.rate(now)).sum()
    }
}

/// Work of one rank, by the time that its requests had left of their objective.
#[derive(Debug, Clone, Copy, Default)]
struct RankWork {
    /// Seconds of service by class, each counted less with time.
    seconds: [f64; CLASSES],
    forgotten_at: Option<Instant>,
}

impl RankWork {
    fn record(&mut self, now: Instant, left: Duration, service: Duration) {
        self.forget(now);
        self.seconds[class_of(left)] += service.as_secs_f64();
    }

    fn overtaking_rate(&mut self, now: Instant, left: Duration) -> f64 {
        self.forget(now);
        self.seconds[..class_of(left)].iter().sum::<f64>() / mean_life_seconds()
    }

    fn rate(&mut self, now: Instant) -> f64 {
        self.forget(now);
        self.seconds.iter().sum::<f64>() / mean_life_seconds()
    }

    fn forget(&mut self, now: Instant) {
        let at = *self.forgotten_at.get_or_insert(now);
        let age = now.saturating_duration_since(at);
        if age < FORGET_INTERVAL {
            return;
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for seconds in &mut self.seconds {
            *seconds *= factor;
        }
        self.forgotten_at = Some(now);
    }
}

fn mean_life_seconds() -> f64 {
    HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}

fn class_of(left: Duration) -> usize {
    let millis = left.as_millis();
    let class = (u128::BITS - millis.leading_zeros()) as usize;
    class.min(CLASSES - 1)
}
