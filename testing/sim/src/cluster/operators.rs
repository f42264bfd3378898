//! Operators, which submit bundles through the admin API of a node and poll the result while it is unknown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use tokio::time::{sleep, timeout};
use umberpond_config::Bundle;
use umberpond_model::{BundleName, SubmissionId};
use umberpond_net::{Network, collect_body, send_request};
use umberpond_operator::admin::api::SubmissionResult;

use super::layout;
use super::observer::Recorder;
use crate::history::{Event, SubmissionClaim};

/// Timeout of one request to the admin API.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
/// Interval between two status requests for a submission.
const STATUS_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Number of status requests after which the result stays unknown.
const MAX_STATUS_REQUESTS: usize = 20;
/// Size limit of a response body.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Submits bundles and records their results.
#[derive(Clone)]
pub struct Operator {
    /// Network interface of the operators' host.
    pub network: Arc<dyn Network>,
    /// Recorder of the run.
    pub recorder: Recorder,
}

/// A bundle to submit.
pub struct Submission {
    /// Identifier of the submission.
    pub id: SubmissionId,
    /// Name of the bundle.
    pub bundle: BundleName,
    /// Content of the bundle.
    pub content: Bundle,
}

impl Operator {
    /// Submits through the node at `admin`. While the result is unknown, polls the nodes at `others` in turn.
    pub async fn submit(&self, admin: SocketAddr, others: &[SocketAddr], submission: Submission) {
        let path = format!("/v1/bundles/{}?submission={}", submission.bundle, submission.id);
        let body = Bytes::from(submission.content.to_bytes());
        let mut claim = self.request_result(Method::PUT, admin, &path, body).await;
        let status_path = format!("/v1/submissions/{}", submission.id);
        for polled in others.iter().cycle().take(MAX_STATUS_REQUESTS) {
            if claim != SubmissionClaim::Unknown {
                break;
            }
            sleep(STATUS_POLL_INTERVAL).await;
            claim = self.request_result(Method::GET, *polled, &status_path, Bytes::new()).await;
        }
        self.recorder.record(Event::SubmissionTold { submission: submission.id, claim });
    }

    async fn request_result(
        &self,
        method: Method,
        admin: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> SubmissionClaim {
        let exchange = async {
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header(http::header::HOST, admin.to_string())
                .body(Full::new(body))
                .ok()?;
            let exchange = send_request(&*self.network, admin, request).await.ok()?;
            let response = collect_body(exchange, MAX_RESPONSE_BYTES).await.ok()?;
            serde_json::from_slice::<SubmissionResult>(response.body()).ok()
        };
        match timeout(REQUEST_TIMEOUT, exchange).await {
            Ok(Some(result)) => submission_claim(&result),
            Ok(None) | Err(_) => SubmissionClaim::Unknown,
        }
    }
}

const fn submission_claim(result: &SubmissionResult) -> SubmissionClaim {
    match result {
        SubmissionResult::Accepted { version, .. } => SubmissionClaim::Accepted(*version),
        SubmissionResult::Unknown { .. } => SubmissionClaim::Unknown,
        SubmissionResult::Invalid { .. }
        | SubmissionResult::Conflict { .. }
        | SubmissionResult::NotAccepted { .. } => SubmissionClaim::NotAccepted,
    }
}

/// Submits one small change through a node selected by `number`. `salt` distinguishes the identifiers of
/// changes with the same number.
pub(super) async fn submit_changes(operator: Operator, admins: Vec<SocketAddr>, number: u64, salt: u64) {
    let content = layout::extra_bundle(number);
    let bundle = layout::extra_bundle_name(number);
    let id = SubmissionId(u128::from(number) << 64 | u128::from(salt) << 8 | 2);
    let through = usize::try_from(number).unwrap_or(0) % admins.len();
    operator.submit(admins[through], &admins, Submission { id, bundle, content }).await;
}
