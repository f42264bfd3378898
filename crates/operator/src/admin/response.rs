//! Responses of the operator API.

use http::StatusCode;
use serde::Serialize;
use umberpond_daemon::HttpResponse;

use super::api::ErrorBody;

/// A response of the operator API.
pub(super) struct ApiResponse(HttpResponse);

impl ApiResponse {
    pub(super) fn text(status: StatusCode, text: impl Into<bytes::Bytes>) -> Self {
        Self(HttpResponse::text(status, text))
    }

    pub(super) fn json(status: StatusCode, body: &impl Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self(HttpResponse::json(status, body)),
            Err(error) => Self::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
        }
    }

    pub(super) fn refusal(status: StatusCode, error: impl Into<String>) -> Self {
        Self::json(status, &ErrorBody { error: error.into() })
    }

    pub(super) const fn retry_after(mut self, seconds: u64) -> Self {
        self.0.retry_after_seconds = Some(seconds);
        self
    }

    pub(super) const fn status(&self) -> StatusCode {
        self.0.status
    }

    pub(super) fn into_http(self) -> HttpResponse {
        self.0
    }
}
