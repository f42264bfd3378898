//! Compares when an answer was expected with when it came.

use std::time::Duration;

use umberpond_selection::Choice;
use umberpond_telemetry::{DelayCause, Metrics};

use crate::message::Response;

/// Notes how long an attempt took that was answered `elapsed` after it had been sent by `choice`.
pub(super) fn note_expected(metrics: &Metrics, choice: &Choice, answer: &Response, elapsed: Duration) {
    if choice.total.is_zero() {
        return;
    }
    let work = choice.total.saturating_sub(choice.wait);
    let by_work = answer.back_end_time.abs_diff(work);
    let by_all = elapsed.abs_diff(choice.total);
    let cause = if by_work * 2 >= by_all { DelayCause::Work } else { DelayCause::Wait };
    metrics.answer_expected(cause, elapsed.as_secs_f64() / choice.total.as_secs_f64());
}
