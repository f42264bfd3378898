//! Decides which requests may still be sent to a back end while the process shuts down.

use std::time::Duration;

use tokio::time::Instant;
use umberpond_model::ServiceName;
use umberpond_telemetry::{Event, Telemetry};

use crate::inbound::millis;
use crate::message::{NotRun, id_text};
use crate::outcome::NotRunReason;

/// Share of the remaining time within which a response has to be expected. Responses may take twice as long: what is
/// expected is a mean, and soon after a start only that of the shortest ones. A refused request runs elsewhere, while
/// one that is cut off may be lost.
const EXPECTED_RESPONSE_SHARE: f64 = 0.5;

/// The end of the process as a limit on requests that arrive during its shutdown.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ShutdownLimit {
    /// Time by which every request must have its final response.
    pub(crate) response_deadline: Instant,
}

impl ShutdownLimit {
    /// Withholds the request `id` if its response, which is expected after `expected`, would come too late.
    pub(crate) fn check(
        &self,
        telemetry: &Telemetry,
        id: &[u8],
        service: &ServiceName,
        expected: Duration,
    ) -> Result<(), NotRun> {
        let now = Instant::now();
        if self.allows(now, expected) {
            return Ok(());
        }
        telemetry.emit(Event::LateRequestWithheld {
            request: id_text(id),
            service: service.clone(),
            expected_millis: millis(expected),
            left_millis: millis(self.left(now)),
        });
        Err(NotRun::before_back_end(NotRunReason::Stopping))
    }

    /// Time left at `now` until every request must have its final response.
    fn left(&self, now: Instant) -> Duration {
        self.response_deadline.saturating_duration_since(now)
    }

    /// Whether a request may be sent at `now` to a back end whose response is expected after `expected`. A
    /// request that is sent and then cut off may have run, so its caller may be unable to repeat it.
    fn allows(&self, now: Instant, expected: Duration) -> bool {
        expected <= self.left(now).mul_f64(EXPECTED_RESPONSE_SHARE)
    }
}

#[cfg(test)]
mod tests;
