//! Submission, withdrawal and resolution of bundles.

use bytes::Bytes;
use http::StatusCode;
use umberpond_acceptance::chain::WholeConfiguration;
use umberpond_acceptance::{AbandonError, Abandonment, ChainError, Change, Resolution, SubmitError};
use umberpond_config::Bundle;
use umberpond_model::{BundleName, SubmissionId, Version};
use umberpond_telemetry::Event;

use super::api::{ServiceSealKey, SubmissionName, SubmissionResult};
use super::configuration;
use super::response::ApiResponse;
use super::shared::AdminShared;

/// Value of `Retry-After` for a submission whose outcome is unknown, in seconds.
const UNKNOWN_RETRY_SECONDS: u64 = 1;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Submits the bundle in `body`, or withdraws the bundle if there is no body.
pub(super) async fn submit(
    shared: &AdminShared,
    submission: SubmissionId,
    bundle: BundleName,
    body: Option<Bytes>,
) -> ApiResponse {
    let change = match body.as_deref().map(Bundle::from_bytes) {
        Some(Ok(content)) => Change::Put(content),
        Some(Err(error)) => return ApiResponse::refusal(StatusCode::BAD_REQUEST, error.to_string()),
        None => Change::Withdraw,
    };
    let result = shared.acceptor.submit(submission, bundle.clone(), change).await;
    let name = SubmissionName { bundle, submission };
    match result {
        Ok(accepted) => {
            let version = accepted.version;
            shared.daemon.telemetry().emit(Event::SubmissionAccepted {
                bundle: name.bundle,
                submission,
                version,
            });
            ApiResponse::json(StatusCode::OK, &SubmissionResult::Accepted { submission, version })
        }
        Err(error) => refusal_response(shared, name, error),
    }
}

fn refusal_response(shared: &AdminShared, name: SubmissionName, error: SubmitError) -> ApiResponse {
    let SubmissionName { bundle, submission } = name;
    let reason = error.to_string();
    shared.daemon.telemetry().emit(match error {
        SubmitError::Unknown { .. } => Event::SubmissionUnknown { bundle, submission },
        SubmitError::NotAccepted { .. } => Event::SubmissionNotAccepted { bundle, submission, reason },
        _ => Event::SubmissionRefused { bundle, submission, reason },
    });
    submit_error_response(submission, error)
}

/// Response to a submission that was not accepted by this request.
pub(super) fn submit_error_response(submission: SubmissionId, error: SubmitError) -> ApiResponse {
    let reason = error.to_string();
    match error {
        SubmitError::Unknown { .. } => unknown(submission),
        SubmitError::NotAccepted { retry_after, .. } => {
            let retry_after_millis = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
            let result = SubmissionResult::NotAccepted { submission, retry_after_millis, reason };
            ApiResponse::json(StatusCode::SERVICE_UNAVAILABLE, &result)
                .retry_after(retry_after_millis.div_ceil(MILLIS_PER_SECOND))
        }
        other => {
            let (status, result) = refusal(submission, reason, other);
            ApiResponse::json(status, &result)
        }
    }
}

/// Response to a submission that would be refused again while the configuration stays the same.
fn refusal(submission: SubmissionId, reason: String, error: SubmitError) -> (StatusCode, SubmissionResult) {
    match error {
        SubmitError::Invalid(report) => {
            (StatusCode::UNPROCESSABLE_ENTITY, SubmissionResult::Invalid { submission, report })
        }
        SubmitError::Conflict { winner, report } => {
            let winner = Some(winner.version);
            let result = SubmissionResult::Conflict { submission, winner, reason, report: Some(report) };
            (StatusCode::CONFLICT, result)
        }
        _ => {
            let result = SubmissionResult::Conflict { submission, winner: None, reason, report: None };
            (StatusCode::CONFLICT, result)
        }
    }
}

fn unknown(submission: SubmissionId) -> ApiResponse {
    ApiResponse::json(StatusCode::GATEWAY_TIMEOUT, &SubmissionResult::Unknown { submission })
        .retry_after(UNKNOWN_RETRY_SECONDS)
}

/// Resolves the outcome of a submission.
pub(super) async fn resolve(shared: &AdminShared, submission: SubmissionId) -> ApiResponse {
    match shared.acceptor.resolve(submission).await {
        Resolution::Accepted(version) => {
            ApiResponse::json(StatusCode::OK, &SubmissionResult::Accepted { submission, version })
        }
        Resolution::NotAccepted(version) => abandoned_response(submission, version),
        Resolution::Unknown => unknown(submission),
    }
}

/// Abandons a submission permanently, unless it was accepted before.
pub(super) async fn abandon(shared: &AdminShared, submission: SubmissionId) -> ApiResponse {
    match shared.acceptor.abandon(submission).await {
        Ok(Abandonment::AlreadyAccepted(version)) => {
            ApiResponse::json(StatusCode::OK, &SubmissionResult::Accepted { submission, version })
        }
        Ok(Abandonment::Abandoned(version)) => abandoned_response(submission, version),
        Err(AbandonError::NotAbandoned { retry_after, .. }) => {
            unknown(submission).retry_after(retry_after.as_secs().max(UNKNOWN_RETRY_SECONDS))
        }
        Err(AbandonError::Unknown { .. }) => unknown(submission),
    }
}

fn abandoned_response(submission: SubmissionId, version: Version) -> ApiResponse {
    let reason = format!("it was given up at version {version}");
    let result = SubmissionResult::NotAccepted { submission, retry_after_millis: 0, reason };
    ApiResponse::json(StatusCode::OK, &result)
}

/// Reads the newest accepted configuration from the platform.
async fn newest(shared: &AdminShared) -> Result<Option<WholeConfiguration>, ChainError> {
    let chain = shared.acceptor.chain();
    let Some(seen) = chain.read_head().await? else { return Ok(None) };
    chain.read_whole(seen.head.record).await.map(Some)
}

fn unavailable(error: &ChainError) -> ApiResponse {
    ApiResponse::refusal(StatusCode::SERVICE_UNAVAILABLE, error.to_string())
        .retry_after(UNKNOWN_RETRY_SECONDS)
}

/// Returns the public seal keys of all services, with which operators encrypt secrets.
pub(super) async fn seal_keys(shared: &AdminShared) -> ApiResponse {
    let services = match newest(shared).await {
        Ok(whole) => whole.map(|whole| whole.snapshot.services).unwrap_or_default(),
        Err(error) => return unavailable(&error),
    };
    let keys: Vec<ServiceSealKey> = services
        .values()
        .filter_map(|service| {
            let seal_key = service.seal_key?;
            Some(ServiceSealKey { service: service.name.clone(), seal_key })
        })
        .collect();
    ApiResponse::json(StatusCode::OK, &keys)
}

/// Returns the newest accepted configuration, with sealed secrets, for `umberpond plan`.
pub(super) async fn configuration(shared: &AdminShared) -> ApiResponse {
    match configuration::read(shared).await {
        Ok(configuration) => ApiResponse::json(StatusCode::OK, &configuration),
        Err(error) => unavailable(&error),
    }
}
