//! Operators: they submit bundles through the nodes' admin API and ask again when the outcome is unknown.

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

/// Longest time an operator waits for one answer.
const PATIENCE: Duration = Duration::from_secs(12);
/// Time between two questions about a submission.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Questions after which the operator leaves it at unknown.
const MAX_QUESTIONS: usize = 20;
/// Largest answer read.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// One operator.
#[derive(Clone)]
pub struct Operator {
    /// The operator's network.
    pub network: Arc<dyn Network>,
    /// The record.
    pub recorder: Recorder,
}

/// What is submitted.
pub struct Submission {
    /// Its identity.
    pub id: SubmissionId,
    /// Name of the bundle.
    pub bundle: BundleName,
    /// Content of the bundle.
    pub content: Bundle,
}

impl Operator {
    /// Submits through the node at `admin` and, while the outcome is unknown, asks the nodes at `others` in turn.
    pub async fn submit(&self, admin: SocketAddr, others: &[SocketAddr], submission: Submission) {
        let path = format!("/v1/bundles/{}?submission={}", submission.bundle, submission.id);
        let body = Bytes::from(submission.content.to_bytes());
        let mut claim = self.ask(Method::PUT, admin, &path, body).await;
        let question = format!("/v1/submissions/{}", submission.id);
        for asked in others.iter().cycle().take(MAX_QUESTIONS) {
            if claim != SubmissionClaim::Unknown {
                break;
            }
            sleep(ASK_AGAIN).await;
            claim = self.ask(Method::GET, *asked, &question, Bytes::new()).await;
        }
        self.recorder.record(Event::SubmissionTold { submission: submission.id, claim });
    }

    async fn ask(&self, method: Method, admin: SocketAddr, path: &str, body: Bytes) -> SubmissionClaim {
        let exchange = async {
            let request = Request::builder()
                .method(method)
                .uri(path)
                .header(http::header::HOST, admin.to_string())
                .body(Full::new(body))
                .ok()?;
            let exchange = send_request(&*self.network, admin, request).await.ok()?;
            let answer = collect_body(exchange, MAX_ANSWER_BYTES).await.ok()?;
            serde_json::from_slice::<SubmissionResult>(answer.body()).ok()
        };
        match timeout(PATIENCE, exchange).await {
            Ok(Some(result)) => claim_of(&result),
            Ok(None) | Err(_) => SubmissionClaim::Unknown,
        }
    }
}

const fn claim_of(result: &SubmissionResult) -> SubmissionClaim {
    match result {
        SubmissionResult::Accepted { version, .. } => SubmissionClaim::Accepted(*version),
        SubmissionResult::Unknown { .. } => SubmissionClaim::Unknown,
        SubmissionResult::Invalid { .. }
        | SubmissionResult::Conflict { .. }
        | SubmissionResult::NotAccepted { .. } => SubmissionClaim::NotAccepted,
    }
}

/// Submits one small change through the node that `number` chooses. `salt` tells apart changes of equal number.
pub(super) async fn submit_changes(operator: Operator, admins: Vec<SocketAddr>, number: u64, salt: u64) {
    let content = layout::extra_bundle(number);
    let bundle = layout::extra_bundle_name(number);
    let id = SubmissionId(u128::from(number) << 64 | u128::from(salt) << 8 | 2);
    let through = usize::try_from(number).unwrap_or(0) % admins.len();
    operator.submit(admins[through], &admins, Submission { id, bundle, content }).await;
}
