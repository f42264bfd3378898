//! How long a request may wait in a queue, and with which expected wait it is admitted.

use std::time::{Duration, Instant};

/// Fraction of the objective within which a refusal counts as early.
const EARLY_REFUSAL_SHARE: f64 = 0.2;
/// Fraction of the objective within which the response has to be expected. Half of the responses expected at
/// the very end of the objective arrive after it.
const EXPECTED_RESPONSE_SHARE: f64 = 0.55;
/// Maximum fraction of the caller's timeout for which a request is held without being dispatched to a back
/// end.
const MAX_QUEUE_TIMEOUT_SHARE: f64 = 0.45;
/// The same limit as a fraction of the objective: a request dispatched later is certain to miss the
/// objective, and its caller benefits from knowing. The limit isn't shorter because calls have short
/// objectives and would be dropped while their runs can still use the response.
const MAX_QUEUE_OBJECTIVE_SHARE: f64 = 1.0;

/// What waits for the response to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dependent {
    /// A caller, which retries after a refusal.
    Caller,
    /// Other requests, as declared in the configuration.
    Requests,
}

/// Time limits of one request at the node where it arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitBounds {
    /// When the request arrived.
    pub arrived: Instant,
    /// Time within which a response is of full use.
    pub objective: Duration,
    /// Time after which a response is of no use.
    pub deadline: Instant,
    /// Time for which the caller waits.
    pub caller_timeout: Duration,
    /// What waits for the response.
    pub dependent: Dependent,
}

impl WaitBounds {
    /// Time at which the request is dropped if it hasn't been dispatched to a back end. The caller then has
    /// enough time left to retry, and a run that waits for the request doesn't hold its slot in vain.
    #[must_use]
    pub fn queue_deadline(&self) -> Instant {
        let share = self.caller_timeout.mul_f64(MAX_QUEUE_TIMEOUT_SHARE);
        self.arrived + share.min(self.objective.mul_f64(MAX_QUEUE_OBJECTIVE_SHARE))
    }

    /// Maximum wait for a slot at `now` if the back end takes `service` for the request. While a refusal is
    /// still early, a request whose caller can retry waits only where it is expected to meet its objective.
    /// All others wait as long as they can.
    #[must_use]
    pub fn max_queue_wait(&self, now: Instant, service: Duration) -> Duration {
        let is_early = now < self.arrived + self.objective.mul_f64(EARLY_REFUSAL_SHARE);
        let until_deadline = self.deadline.saturating_duration_since(now).saturating_sub(service);
        if is_early && self.dependent == Dependent::Caller {
            let expected_by = self.arrived + self.objective.mul_f64(EXPECTED_RESPONSE_SHARE);
            return expected_by.saturating_duration_since(now).saturating_sub(service);
        }
        until_deadline.min(self.queue_deadline().saturating_duration_since(now))
    }
}
