//! Request routing of the operator API.

use std::sync::Arc;

use async_trait::async_trait;
use http::{Method, StatusCode};
use umberpond_acceptance::{Acceptor, AcceptorContext, AcceptorSettings};
use umberpond_daemon::{HttpHandler, HttpRequest, HttpResponse, RunningDaemon};
use umberpond_model::{BundleName, SubmissionId, Version};
use umberpond_store::ObjectStore;
use umberpond_telemetry::Event;

use super::response::ApiResponse;
use super::shared::AdminShared;
use super::{bundles, status};

/// Clock that returns milliseconds since the Unix epoch.
pub type TimeOfDay = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Serves the operator API, liveness and readiness probes, and metrics.
pub struct AdminHandler {
    shared: AdminShared,
}

impl std::fmt::Debug for AdminHandler {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("AdminHandler").finish_non_exhaustive()
    }
}

impl AdminHandler {
    /// Creates a handler for `daemon` that accepts versions into `store`. `clock` supplies the timestamps of
    /// versions, which are informational only; `seed` seeds the random backoff between attempts.
    #[must_use]
    pub fn new(daemon: Arc<RunningDaemon>, store: Arc<dyn ObjectStore>, clock: TimeOfDay, seed: u64) -> Self {
        let context = AcceptorContext { store: Arc::clone(&store), unix_millis: clock, seed };
        let acceptor = Acceptor::new(context, AcceptorSettings::default());
        Self { shared: AdminShared { daemon, store, acceptor } }
    }

    async fn route(&self, request: &HttpRequest) -> ApiResponse {
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (&request.method, parts.as_slice()) {
            (&Method::GET, ["livez"]) => ApiResponse::text(StatusCode::OK, "live\n"),
            (&Method::GET, ["readyz"]) => status::readiness(&self.shared),
            (&Method::GET, ["metrics"]) => status::metrics(&self.shared),
            (&Method::GET, ["v1", "status"]) => status::node(&self.shared).await,
            (&Method::GET, ["v1", "versions", version]) => self.progress(version).await,
            (&Method::GET, ["v1", "seal-keys"]) => bundles::seal_keys(&self.shared).await,
            (&Method::GET, ["v1", "configuration"]) => bundles::configuration(&self.shared).await,
            (&Method::GET, ["v1", "submissions", id]) => self.resolve(id).await,
            (&Method::DELETE, ["v1", "submissions", id]) => self.abandon(id).await,
            (&Method::PUT, ["v1", "bundles", name]) => self.submit(request, name, true).await,
            (&Method::DELETE, ["v1", "bundles", name]) => self.submit(request, name, false).await,
            (_, ["livez" | "readyz" | "metrics"])
            | (_, ["v1", "status" | "seal-keys" | "configuration"])
            | (_, ["v1", "versions" | "submissions" | "bundles", _]) => ApiResponse::refusal(
                StatusCode::METHOD_NOT_ALLOWED,
                format!("{} is not allowed here", request.method),
            ),
            _ => ApiResponse::refusal(StatusCode::NOT_FOUND, "there is no such path"),
        }
    }

    async fn progress(&self, version: &str) -> ApiResponse {
        match version.parse() {
            Ok(number) => status::progress(&self.shared, Version(number)).await,
            Err(_) => ApiResponse::refusal(StatusCode::BAD_REQUEST, "a version is a whole number"),
        }
    }

    async fn resolve(&self, id: &str) -> ApiResponse {
        match id.parse() {
            Ok(submission) => bundles::resolve(&self.shared, submission).await,
            Err(_) => ApiResponse::refusal(StatusCode::BAD_REQUEST, INVALID_SUBMISSION_ID),
        }
    }

    async fn abandon(&self, id: &str) -> ApiResponse {
        match id.parse() {
            Ok(submission) => bundles::abandon(&self.shared, submission).await,
            Err(_) => ApiResponse::refusal(StatusCode::BAD_REQUEST, INVALID_SUBMISSION_ID),
        }
    }

    /// Submits the bundle in the request body if `has_body`, or withdraws the bundle.
    async fn submit(&self, request: &HttpRequest, name: &str, has_body: bool) -> ApiResponse {
        let bundle = match BundleName::new(name) {
            Ok(bundle) => bundle,
            Err(invalid) => return ApiResponse::refusal(StatusCode::BAD_REQUEST, invalid.to_string()),
        };
        let body = has_body.then(|| request.body.clone());
        match submission_id(request) {
            Some(submission) => bundles::submit(&self.shared, submission, bundle, body).await,
            None => ApiResponse::refusal(StatusCode::BAD_REQUEST, INVALID_SUBMISSION_ID),
        }
    }
}

#[async_trait]
impl HttpHandler for AdminHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let response = self.route(&request).await;
        let status = response.status();
        if status.is_client_error() {
            let reason = format!("{} {}", request.method, request.path);
            let event = Event::OperatorRequestRefused { status: status.as_u16(), reason };
            self.shared.daemon.telemetry().emit(event);
        }
        response.into_http()
    }
}

const INVALID_SUBMISSION_ID: &str = "a submission is named by up to 32 hex digits, as in `?submission=…`";

fn submission_id(request: &HttpRequest) -> Option<SubmissionId> {
    let query = request.query.as_deref()?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix("submission="))?;
    value.parse().ok()
}
