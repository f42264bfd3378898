//! Ejection of one endpoint: when it begins, how long it lasts, and how the endpoint is probed back.

use std::time::Duration;

use umberpond_model::{Millis, Timestamp};

use crate::BalancerSettings;

/// Weight of the newest latency in the running mean.
const LATENCY_GAIN: f64 = 0.1;

/// Whether an endpoint takes part in the choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// It does.
    Healthy,
    /// It doesn't until the given time.
    Ejected(Timestamp),
    /// Its ejection is over; it gets one request at a time until one is answered.
    Probing,
}

/// Failure and latency record of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Health {
    phase: Phase,
    failures_in_a_row: u32,
    ejections: u32,
    returned_at: Timestamp,
    mean_latency_micros: f64,
    samples_in_window: u32,
}

impl Health {
    pub(crate) const fn new() -> Self {
        Self {
            phase: Phase::Healthy,
            failures_in_a_row: 0,
            ejections: 0,
            returned_at: Timestamp(0),
            mean_latency_micros: 0.0,
            samples_in_window: 0,
        }
    }

    pub(crate) const fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes an answer in. Returns true if it ended a probe, so that the endpoint is healthy again.
    pub(crate) fn on_answered(&mut self, now: Timestamp, latency: Duration) -> bool {
        self.failures_in_a_row = 0;
        let micros = latency.as_secs_f64() * 1e6;
        if self.mean_latency_micros == 0.0 {
            self.mean_latency_micros = micros;
        }
        self.mean_latency_micros += (micros - self.mean_latency_micros) * LATENCY_GAIN;
        self.samples_in_window += 1;
        if self.phase != Phase::Probing {
            return false;
        }
        self.phase = Phase::Healthy;
        self.returned_at = now;
        true
    }

    /// Takes a failure in. Returns true if the endpoint is now to be ejected (subject to the cap).
    pub(crate) fn on_failed(&mut self, settings: &BalancerSettings) -> bool {
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        match self.phase {
            Phase::Healthy => self.failures_in_a_row >= settings.ejection_failures,
            Phase::Probing => true,
            Phase::Ejected(_) => false,
        }
    }

    /// Ejects the endpoint; each ejection in succession lasts twice as long as the one before.
    pub(crate) fn eject(&mut self, now: Timestamp, settings: &BalancerSettings) {
        let is_forgiven = now.since(self.returned_at) > settings.ejection_forgiven_after;
        if is_forgiven && self.phase == Phase::Healthy {
            self.ejections = 0;
        }
        let factor = 1_u64.checked_shl(self.ejections).unwrap_or(u64::MAX);
        let length = settings.ejection_base.0.saturating_mul(factor).min(settings.ejection_longest.0);
        self.ejections = self.ejections.saturating_add(1).min(u64::BITS - 1);
        self.phase = Phase::Ejected(now + Millis(length));
        self.failures_in_a_row = 0;
        self.mean_latency_micros = 0.0;
        self.samples_in_window = 0;
    }

    /// Moves an endpoint whose ejection is over, or must be given up, to probing.
    pub(crate) fn start_probing(&mut self) {
        self.phase = Phase::Probing;
    }

    /// Mean latency in microseconds if enough answers came in this window; starts a new window.
    pub(crate) fn take_window(&mut self, settings: &BalancerSettings) -> Option<f64> {
        let samples = std::mem::take(&mut self.samples_in_window);
        (self.phase == Phase::Healthy && samples >= settings.latency_samples)
            .then_some(self.mean_latency_micros)
    }
}
