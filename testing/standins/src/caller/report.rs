//! What a caller saw in all: each answer, and latencies by outcome and service.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use umberpond_model::ServiceName;

use super::answer::{Answer, Outcome};

/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Latencies of answered calls, in microseconds, counted from when each call was due.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Latencies {
    /// How many calls were answered.
    pub count: u64,
    /// Half of them were faster.
    pub p50_micros: u64,
    /// 99 in 100 were faster.
    pub p99_micros: u64,
    /// 999 in 1,000 were faster.
    pub p999_micros: u64,
    /// The slowest.
    pub max_micros: u64,
}

impl Latencies {
    /// Summarises the given latencies.
    #[must_use]
    pub fn of(micros: impl Iterator<Item = u64>) -> Self {
        let Ok(mut histogram) = Histogram::<u64>::new(LATENCY_DIGITS) else {
            return Self::default();
        };
        for value in micros {
            // An auto-resizing histogram takes every value.
            let _ = histogram.record(value);
        }
        Self {
            count: histogram.len(),
            p50_micros: histogram.value_at_quantile(0.5),
            p99_micros: histogram.value_at_quantile(0.99),
            p999_micros: histogram.value_at_quantile(0.999),
            max_micros: histogram.max(),
        }
    }
}

/// Everything a caller saw.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerReport {
    /// The record of each call, in the order in which they were due.
    pub answers: Vec<Answer>,
}

impl CallerReport {
    /// Number of calls with that outcome.
    #[must_use]
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.answers.iter().filter(|answer| answer.outcome == outcome).count() as u64
    }

    /// Latencies of all answered calls.
    #[must_use]
    pub fn latencies(&self) -> Latencies {
        Latencies::of(self.answered().map(|answer| answer.latency_micros))
    }

    /// Latencies of the answered calls of each service.
    #[must_use]
    pub fn latencies_by_service(&self) -> BTreeMap<ServiceName, Latencies> {
        let mut micros: BTreeMap<ServiceName, Vec<u64>> = BTreeMap::new();
        for answer in self.answered() {
            micros.entry(answer.service.clone()).or_default().push(answer.latency_micros);
        }
        micros.into_iter().map(|(service, values)| (service, Latencies::of(values.into_iter()))).collect()
    }

    fn answered(&self) -> impl Iterator<Item = &Answer> {
        self.answers.iter().filter(|answer| answer.outcome == Outcome::Answered)
    }
}
