//! Moving average of a back end's service time.

use std::time::Duration;

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.05;
/// Number of samples below which the plain average is used, so that the first samples count equally.
const EARLY_SAMPLES: u32 = 20;

/// Exponentially weighted moving average of service times.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServiceTime {
    mean_micros: f64,
    samples: u32,
}

impl ServiceTime {
    /// Records a sample.
    pub fn record(&mut self, taken: Duration) {
        self.samples = self.samples.saturating_add(1);
        let weight = if self.samples < EARLY_SAMPLES { 1.0 / f64::from(self.samples) } else { SAMPLE_WEIGHT };
        let micros = taken.as_secs_f64() * 1e6;
        self.mean_micros += (micros - self.mean_micros) * weight;
    }

    /// The average; absent without a sample.
    #[must_use]
    pub fn mean(&self) -> Option<Duration> {
        (self.samples > 0).then(|| Duration::from_secs_f64(self.mean_micros / 1e6))
    }

    /// The average in microseconds; 0 without a sample.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn mean_micros(&self) -> u32 {
        self.mean_micros.clamp(0.0, f64::from(u32::MAX)) as u32
    }
}
