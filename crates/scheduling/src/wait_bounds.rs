//! How long a request is held, and the longest wait with which it is taken in.

use std::time::{Duration, Instant};

/// Share of the objective within which a refusal is early.
const EARLY_SHARE: f64 = 0.2;
/// Share of the objective at which an answer has to be expected: half of those expected at its very end come after it.
const EXPECTED_SHARE: f64 = 0.55;
/// Share of the time that a caller waits for which a request is held at most without having been handed to a back end.
const HOLD_SHARE: f64 = 0.45;
/// Share of its objective for which it is: begun later it is late for certain, and its caller does better to know. No shorter, since calls, whose
/// objectives are short, would be given up while their runs can still use them.
const HOLD_OBJECTIVE_SHARE: f64 = 1.0;

/// Who waits for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dependent {
    /// A caller, which comes back if it is refused.
    Caller,
    /// Other requests, by the word of the configuration.
    Requests,
}

/// The times of one request at the node where it has arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WaitBounds {
    /// When it arrived.
    pub arrived: Instant,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// End of the time within which an answer is of any use.
    pub deadline: Instant,
    /// Time for which its caller waits.
    pub caller_timeout: Duration,
    /// Who waits for it.
    pub dependent: Dependent,
}

impl WaitBounds {
    /// When it is given up if no back end has been handed it: its caller still has time to come back then, and a run that waits for it
    /// does not hold its slot for longer than that serves.
    #[must_use]
    pub fn queue_deadline(&self) -> Instant {
        let share = self.caller_timeout.mul_f64(HOLD_SHARE);
        self.arrived + share.min(self.objective.mul_f64(HOLD_OBJECTIVE_SHARE))
    }

    /// Longest wait for a slot at `now`, if the back end takes `service` for it. As long as a refusal still comes early, a request that a caller
    /// can send again waits only where it is expected to meet its objective. Others wait as long as they can.
    #[must_use]
    pub fn max_queue_wait(&self, now: Instant, service: Duration) -> Duration {
        let is_early = now < self.arrived + self.objective.mul_f64(EARLY_SHARE);
        let until_deadline = self.deadline.saturating_duration_since(now).saturating_sub(service);
        if is_early && self.dependent == Dependent::Caller {
            let expected_by = self.arrived + self.objective.mul_f64(EXPECTED_SHARE);
            return expected_by.saturating_duration_since(now).saturating_sub(service);
        }
        until_deadline.min(self.queue_deadline().saturating_duration_since(now))
    }
}
