//! Which path of the admin API does what.

use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{Method, StatusCode};
use umberpond_model::{BundleName, SubmissionId, Version};

use super::bundles;
use super::server::Answer;
use super::status;
use super::witnesses;
use crate::environment::Environment;
use crate::shared::NodeShared;
use crate::tasks::TaskGroup;

/// The admin API of one node.
pub(crate) struct Routes {
    pub(crate) shared: Arc<NodeShared>,
    pub(crate) environment: Environment,
    pub(crate) tasks: TaskGroup,
}

impl Routes {
    /// Answers one request, whose body is whole.
    pub(crate) async fn answer(&self, head: &Parts, body: Bytes) -> Answer {
        let path = head.uri.path();
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        match (&head.method, parts.as_slice()) {
            (&Method::GET, ["livez"]) => Answer::text(StatusCode::OK, "live\n"),
            (&Method::GET, ["readyz"]) => self.readiness(),
            (&Method::GET, ["metrics"]) => status::metrics(&self.shared).await,
            (&Method::GET, ["v1", "status"]) => status::node(&self.shared).await,
            (&Method::GET, ["v1", "versions", version]) => self.progress(path, version).await,
            (&Method::GET, ["v1", "seal-keys"]) => bundles::seal_keys(&self.shared).await,
            (&Method::GET, ["v1", "configuration"]) => bundles::configuration(&self.shared).await,
            (&Method::GET, ["v1", "recording"]) => Answer::bytes(self.shared.recording.export()),
            (&Method::GET, ["v1", "submissions", id]) => self.resolve(id).await,
            (&Method::DELETE, ["v1", "submissions", id]) => self.abandon(id).await,
            (&Method::PUT, ["v1", "bundles", name]) => self.submit(head, name, Some(body)).await,
            (&Method::DELETE, ["v1", "bundles", name]) => self.submit(head, name, None).await,
            (&Method::POST, ["v1", "witnesses", "replace"]) => self.replace_witnesses(head, &body).await,
            (_, ["livez" | "readyz" | "metrics"])
            | (_, ["v1", "status" | "seal-keys" | "configuration" | "recording"])
            | (_, ["v1", "versions" | "submissions" | "bundles", _])
            | (_, ["v1", "witnesses", "replace"]) => Answer::refusal(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{} is not allowed here", head.method),
            ),
            _ => Answer::refusal(StatusCode::NOT_FOUND, "there is no such path"),
        }
    }

    fn readiness(&self) -> Answer {
        let readiness = self.shared.readiness();
        let status = if readiness.ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Answer::json(status, &readiness)
    }

    async fn progress(&self, path: &str, version: &str) -> Answer {
        match version.parse() {
            Ok(number) => status::progress(&self.shared, path, Version(number)).await,
            Err(_) => Answer::refusal(StatusCode::BAD_REQUEST, "a version is a whole number"),
        }
    }

    async fn resolve(&self, id: &str) -> Answer {
        match id.parse() {
            Ok(submission) => bundles::resolve(&self.shared, submission).await,
            Err(_) => Answer::refusal(StatusCode::BAD_REQUEST, NOT_AN_ID),
        }
    }

    async fn abandon(&self, id: &str) -> Answer {
        match id.parse() {
            Ok(submission) => bundles::abandon(&self.shared, submission).await,
            Err(_) => Answer::refusal(StatusCode::BAD_REQUEST, NOT_AN_ID),
        }
    }

    async fn submit(&self, head: &Parts, name: &str, body: Option<Bytes>) -> Answer {
        let bundle = match BundleName::new(name) {
            Ok(bundle) => bundle,
            Err(invalid) => return Answer::refusal(StatusCode::BAD_REQUEST, invalid.to_string()),
        };
        match submission_id(head) {
            Some(submission) => bundles::submit(&self.shared, submission, bundle, body).await,
            None => Answer::refusal(StatusCode::BAD_REQUEST, NOT_AN_ID),
        }
    }

    async fn replace_witnesses(&self, head: &Parts, body: &Bytes) -> Answer {
        match submission_id(head) {
            Some(submission) => witnesses::replace(&self.shared, submission, body).await,
            None => Answer::refusal(StatusCode::BAD_REQUEST, NOT_AN_ID),
        }
    }
}

const NOT_AN_ID: &str = "a submission is named by up to 32 hex digits, as in `?submission=…`";

fn submission_id(head: &Parts) -> Option<SubmissionId> {
    let query = head.uri.query()?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix("submission="))?;
    value.parse().ok()
}
