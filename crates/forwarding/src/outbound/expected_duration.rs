//! Compares the expected duration of an attempt with the measured one.

use std::time::Duration;

use umberpond_selection::Choice;
use umberpond_telemetry::{DelayCause, Metrics};

use crate::message::Response;

/// Records the ratio of measured to expected duration of an attempt whose response came `elapsed` after it
/// was sent to `choice`, and whether the difference is due to service time or to waiting.
pub(super) fn record_duration_error(
    metrics: &Metrics,
    choice: &Choice,
    response: &Response,
    elapsed: Duration,
) {
    if choice.total.is_zero() {
        return;
    }
    let service = choice.total.saturating_sub(choice.wait);
    let service_error = response.back_end_time.abs_diff(service);
    let total_error = elapsed.abs_diff(choice.total);
    let cause = if service_error * 2 >= total_error { DelayCause::Work } else { DelayCause::Wait };
    metrics.answer_expected(cause, elapsed.as_secs_f64() / choice.total.as_secs_f64());
}
