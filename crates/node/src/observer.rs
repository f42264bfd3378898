//! Turns the events of the request path into metrics and logs.

use std::time::Duration;

use umberpond_proxy::{
    AttemptFailure, CutReason, Outcome, RefusalReason, RequestEvent, RequestId, RequestObserver, RetryReason,
    Stage,
};
use umberpond_telemetry::{Event, RequestDetail, Severity, Telemetry};

/// Observer of the request path of one node.
pub(crate) struct TelemetryObserver {
    telemetry: Telemetry,
}

impl TelemetryObserver {
    pub(crate) const fn new(telemetry: Telemetry) -> Self {
        Self { telemetry }
    }

    fn refused(&self, request: Option<RequestId>, reason: RefusalReason, outcome: Outcome) {
        let detail = RequestDetail::Reason(reason.as_str());
        self.telemetry.metrics().request(outcome.as_str(), detail);
        let reason = reason.as_str();
        if outcome == Outcome::Unknown {
            self.telemetry.emit(Event::OutcomeUnknown { request: id_text(request), reason });
        } else {
            self.tell(|| Event::RequestRefused { request: id_text(request), reason });
        }
    }

    /// Tells an event that only matters when looking for a cause; it is not even made if nobody sees it.
    fn tell(&self, event: impl FnOnce() -> Event) {
        if self.telemetry.is_enabled(Severity::Debug) {
            self.telemetry.emit(event());
        }
    }
}

impl RequestObserver for TelemetryObserver {
    fn observe(&self, event: &RequestEvent<'_>) {
        let metrics = self.telemetry.metrics();
        match *event {
            RequestEvent::Accepted { .. } | RequestEvent::Admitted { .. } => {}
            RequestEvent::Picked { .. } => metrics.attempt(),
            RequestEvent::AttemptFailed { request, attempt, stage, failure } => {
                self.tell(|| Event::AttemptFailed {
                    request: request.to_string(),
                    attempt,
                    stage: stage_name(stage),
                    failure: failure_name(failure),
                });
            }
            RequestEvent::Retried { request, attempt, reason } => {
                let reason = retry_name(reason);
                self.tell(|| Event::RequestRetried { request: request.to_string(), attempt, reason });
            }
            RequestEvent::Refused { request, reason, outcome } => self.refused(request, reason, outcome),
            RequestEvent::Duplicate { request } => {
                self.telemetry.emit(Event::DuplicateRefused { request: request.to_string() });
            }
            RequestEvent::Answered { request, status, phases } => {
                let status = status.as_u16();
                metrics.request(Outcome::Answered.as_str(), RequestDetail::Status(status));
                let micros = micros(phases.total);
                self.tell(|| Event::RequestAnswered { request: request.to_string(), status, micros });
            }
            RequestEvent::Cut { request, reason } => {
                let reason = cut_name(reason);
                metrics.cut(reason);
                self.telemetry.emit(Event::AnswerCut { request: request.to_string(), reason });
            }
            RequestEvent::Finished { total, .. } => metrics.request_time(total.as_secs_f64()),
        }
    }
}

fn id_text(request: Option<RequestId>) -> String {
    request.map_or_else(|| "none".to_owned(), |request| request.to_string())
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

const fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Connect => "connect",
        Stage::BeforeWrite => "before-write",
        Stage::AwaitingAnswer => "awaiting-answer",
        Stage::AnswerBody => "answer-body",
    }
}

const fn failure_name(failure: AttemptFailure) -> &'static str {
    match failure {
        AttemptFailure::NotConnected => "not-connected",
        AttemptFailure::ConnectionLost => "connection-lost",
        AttemptFailure::Deadline => "deadline",
        AttemptFailure::RejectedByPeer => "rejected-by-peer",
        AttemptFailure::UnknownAtPeer => "unknown-at-peer",
        AttemptFailure::WrongAnswer => "wrong-answer",
        AttemptFailure::UnframedAnswer => "unframed-answer",
        AttemptFailure::RequestBody => "request-body",
    }
}

const fn retry_name(reason: RetryReason) -> &'static str {
    match reason {
        RetryReason::NothingWritten => "nothing-written",
        RetryReason::Rejected => "rejected",
        RetryReason::Idempotent => "idempotent",
    }
}

const fn cut_name(reason: CutReason) -> &'static str {
    match reason {
        CutReason::CallerGone => "caller-gone",
        CutReason::UpstreamCut => "upstream-cut",
        CutReason::Deadline => "deadline",
        CutReason::Killed => "killed",
    }
}
