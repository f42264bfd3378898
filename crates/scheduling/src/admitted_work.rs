//! Exponentially decayed sums of the work that a back end has recently admitted, by priority and urgency.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Half-life of the admitted work.
const HALF_LIFE: Duration = Duration::from_millis(500);
/// Shortest interval between two decay steps.
const DECAY_INTERVAL: Duration = Duration::from_millis(10);
/// Number of urgency classes. Class `n` holds requests with 2^(n-1) to 2^n milliseconds left of their
/// objective; the last class holds all that have more.
const CLASSES: usize = 24;

/// Recently admitted work.
///
/// More urgent requests that arrive later overtake a waiting request, so the work queued ahead of it on
/// arrival underestimates its wait.
#[derive(Debug, Default)]
pub(crate) struct AdmittedWork {
    by_priority: BTreeMap<u8, PriorityWork>,
}

impl AdmittedWork {
    /// Records a request of `priority` with `left` until its objective and the expected service time `service`.
    pub(crate) fn record(&mut self, now: Instant, priority: u8, left: Duration, service: Duration) {
        self.by_priority.entry(priority).or_default().record(now, left, service);
    }

    /// Seconds of service per second consumed by requests that overtake one of `priority` with `left` until its
    /// objective. Requests of a lower priority never overtake it, however little time they have left.
    pub(crate) fn overtaking_rate(&mut self, now: Instant, priority: u8, left: Duration) -> f64 {
        self.by_priority.range_mut(..=priority).map(|(_, work)| work.overtaking_rate(now, left)).sum()
    }

    /// Seconds of service per second consumed by all requests of `priority` and higher priorities.
    pub(crate) fn rate(&mut self, now: Instant, priority: u8) -> f64 {
        self.by_priority.range_mut(..=priority).map(|(_, work)| work.rate(now)).sum()
    }
}

/// Work of one priority, classified by the time the requests had left until their objective.
#[derive(Debug, Clone, Copy, Default)]
struct PriorityWork {
    /// Seconds of service per urgency class, exponentially decayed.
    seconds: [f64; CLASSES],
    decayed_at: Option<Instant>,
}

impl PriorityWork {
    fn record(&mut self, now: Instant, left: Duration, service: Duration) {
        self.decay(now);
        self.seconds[class_of(left)] += service.as_secs_f64();
    }

    fn overtaking_rate(&mut self, now: Instant, left: Duration) -> f64 {
        self.decay(now);
        self.seconds[..class_of(left)].iter().sum::<f64>() / time_constant_seconds()
    }

    fn rate(&mut self, now: Instant) -> f64 {
        self.decay(now);
        self.seconds.iter().sum::<f64>() / time_constant_seconds()
    }

    fn decay(&mut self, now: Instant) {
        let at = *self.decayed_at.get_or_insert(now);
        let age = now.saturating_duration_since(at);
        if age < DECAY_INTERVAL {
            return;
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for seconds in &mut self.seconds {
            *seconds *= factor;
        }
        self.decayed_at = Some(now);
    }
}

fn time_constant_seconds() -> f64 {
    HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}

fn class_of(left: Duration) -> usize {
    let millis = left.as_millis();
    let class = (u128::BITS - millis.leading_zeros()) as usize;
    class.min(CLASSES - 1)
}
