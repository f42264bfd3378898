//! Which path of the operators' API does what.

use std::sync::Arc;

use async_trait::async_trait;
use http::{Method, StatusCode};
use umberpond_acceptance::{Acceptor, AcceptorContext, AcceptorSettings};
use umberpond_daemon::{HttpHandler, HttpRequest, HttpResponse, RunningDaemon};
use umberpond_model::{BundleName, SubmissionId, Version};
use umberpond_store::ObjectStore;
use umberpond_telemetry::Event;

use super::answer::Answer;
use super::shared::AdminShared;
use super::{bundles, status};

/// Tells milliseconds since the Unix epoch.
pub type TimeOfDay = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Answers operators, readiness questions and the collection of figures.
pub struct AdminHandler {
    shared: AdminShared,
}

impl std::fmt::Debug for AdminHandler {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("AdminHandler").finish_non_exhaustive()
    }
}

impl AdminHandler {
    /// Answers for `daemon`, whose versions are accepted into `store`. `clock` tells the time of day, which is written
    /// into versions for people only; `seed` draws the waits between tries.
    #[must_use]
    pub fn new(daemon: Arc<RunningDaemon>, store: Arc<dyn ObjectStore>, clock: TimeOfDay, seed: u64) -> Self {
        let context = AcceptorContext { store: Arc::clone(&store), unix_millis: clock, seed };
        let acceptor = Acceptor::new(context, AcceptorSettings::default());
        Self { shared: AdminShared { daemon, store, acceptor } }
    }

    async fn route(&self, question: &HttpRequest) -> Answer {
        let parts: Vec<&str> = question.path.trim_matches('/').split('/').collect();
        match (&question.method, parts.as_slice()) {
            (&Method::GET, ["livez"]) => Answer::text(StatusCode::OK, "live\n"),
            (&Method::GET, ["readyz"]) => status::readiness(&self.shared),
            (&Method::GET, ["metrics"]) => status::metrics(&self.shared),
            (&Method::GET, ["v1", "status"]) => status::node(&self.shared).await,
            (&Method::GET, ["v1", "versions", version]) => self.progress(version).await,
            (&Method::GET, ["v1", "seal-keys"]) => bundles::seal_keys(&self.shared).await,
            (&Method::GET, ["v1", "configuration"]) => bundles::configuration(&self.shared).await,
            (&Method::GET, ["v1", "submissions", id]) => self.resolve(id).await,
            (&Method::DELETE, ["v1", "submissions", id]) => self.abandon(id).await,
            (&Method::PUT, ["v1", "bundles", name]) => self.submit(question, name, true).await,
            (&Method::DELETE, ["v1", "bundles", name]) => self.submit(question, name, false).await,
            (_, ["livez" | "readyz" | "metrics"])
            | (_, ["v1", "status" | "seal-keys" | "configuration"])
            | (_, ["v1", "versions" | "submissions" | "bundles", _]) => Answer::refusal(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{} is not allowed here", question.method),
            ),
            _ => Answer::refusal(StatusCode::NOT_FOUND, "there is no such path"),
        }
    }

    async fn progress(&self, version: &str) -> Answer {
        match version.parse() {
            Ok(number) => status::progress(&self.shared, Version(number)).await,
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

    /// Submits the bundle in the body, or withdraws the bundle.
    async fn submit(&self, question: &HttpRequest, name: &str, is_submitted: bool) -> Answer {
        let bundle = match BundleName::new(name) {
            Ok(bundle) => bundle,
            Err(invalid) => return Answer::refusal(StatusCode::BAD_REQUEST, invalid.to_string()),
        };
        let body = is_submitted.then(|| question.body.clone());
        match submission_id(question) {
            Some(submission) => bundles::submit(&self.shared, submission, bundle, body).await,
            None => Answer::refusal(StatusCode::BAD_REQUEST, NOT_AN_ID),
        }
    }
}

#[async_trait]
impl HttpHandler for AdminHandler {
    async fn handle(&self, question: HttpRequest) -> HttpResponse {
        let answer = self.route(&question).await;
        let status = answer.status();
        if status.is_client_error() {
            let reason = format!("{} {}", question.method, question.path);
            let refused = Event::OperatorRequestRefused { status: status.as_u16(), reason };
            self.shared.daemon.telemetry().emit(refused);
        }
        answer.into_http()
    }
}

const NOT_AN_ID: &str = "a submission is named by up to 32 hex digits, as in `?submission=…`";

fn submission_id(question: &HttpRequest) -> Option<SubmissionId> {
    let query = question.query.as_deref()?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix("submission="))?;
    value.parse().ok()
}
