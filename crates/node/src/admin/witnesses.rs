//! An operator's replacement of witnesses that are lost for good.

use bytes::Bytes;
use http::StatusCode;
use umberpond_acceptance::{SubmitError, WitnessReplacement};
use umberpond_model::SubmissionId;
use umberpond_telemetry::Event;

use super::api::{ReplacementRequest, SubmissionResult};
use super::bundles;
use super::server::Answer;
use crate::shared::NodeShared;

/// Replaces the lost witnesses that `body` names, if it is forced; otherwise answers with the plan.
pub(super) async fn replace(shared: &NodeShared, submission: SubmissionId, body: &Bytes) -> Answer {
    let request: ReplacementRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return Answer::refusal(StatusCode::BAD_REQUEST, error.to_string()),
    };
    bundles::prepare(shared).await;
    let replacement = WitnessReplacement { lost: request.lost, forced_for: request.forced_for };
    match shared.acceptor.replace_witnesses(submission, replacement).await {
        Ok(accepted) => {
            let version = accepted.version;
            shared.environment.telemetry.emit(Event::WitnessesReplaced { version });
            Answer::json(StatusCode::OK, &SubmissionResult::Accepted { submission, version })
        }
        Err(error) => refused(shared, submission, error),
    }
}

fn refused(shared: &NodeShared, submission: SubmissionId, error: SubmitError) -> Answer {
    let reason = error.to_string();
    shared.environment.telemetry.emit(Event::WitnessReplacementRefused { submission, reason });
    bundles::answer(submission, error)
}
