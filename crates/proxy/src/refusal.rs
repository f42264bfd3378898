//! Answers that the proxies make themselves.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Response, StatusCode};
use umberpond_admission::RequestId;

use crate::headers::names;
use crate::server::{InFlight, Malformed, ProxyBody};
use crate::{Outcome, ProxyState, RefusalReason, RequestEvent};

/// What a caller gets whose head took too long. Written past the HTTP library, which closes without a word.
pub(crate) const SLOW_HEAD_ANSWER: &[u8] = b"HTTP/1.1 408 Request Timeout\r\n\
    content-length: 12\r\n\
    content-type: text/plain\r\n\
    connection: close\r\n\
    retry-after: 1\r\n\
    umberpond-outcome: rejected\r\n\
    umberpond-reason: slow-sender\r\n\
    \r\n\
    slow-sender\n";

/// Retry-after where nothing better is known.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A refusal or a given-up request, as the caller is told it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: RefusalReason,
    pub(crate) outcome: Outcome,
    pub(crate) retry_after: Duration,
    /// Whether the caller's connection closes after it.
    pub(crate) closes: bool,
}

impl Refusal {
    /// It is known that the request did not run.
    pub(crate) const fn rejected(reason: RefusalReason) -> Self {
        Self { reason, outcome: Outcome::Rejected, retry_after: DEFAULT_RETRY_AFTER, closes: false }
    }

    /// The request may have run.
    pub(crate) const fn unknown(reason: RefusalReason) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: DEFAULT_RETRY_AFTER, closes: false }
    }

    /// The message is malformed; its connection closes, since nothing after it can be trusted.
    pub(crate) const fn malformed(malformed: Malformed) -> Self {
        Self { closes: true, ..Self::rejected(malformed.reason()) }
    }

    pub(crate) const fn closing(self) -> Self {
        Self { closes: true, ..self }
    }

    pub(crate) const fn after(self, retry_after: Duration) -> Self {
        Self { retry_after, ..self }
    }

    const fn status(self) -> StatusCode {
        match self.reason {
            RefusalReason::Malformed => StatusCode::BAD_REQUEST,
            RefusalReason::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RefusalReason::SlowSender => StatusCode::REQUEST_TIMEOUT,
            RefusalReason::UnknownHost | RefusalReason::NoRoute => StatusCode::NOT_FOUND,
            RefusalReason::Overload => StatusCode::TOO_MANY_REQUESTS,
            RefusalReason::Duplicate => StatusCode::CONFLICT,
            RefusalReason::Deadline => StatusCode::GATEWAY_TIMEOUT,
            RefusalReason::AttemptsExhausted => match self.outcome {
                Outcome::Rejected => StatusCode::SERVICE_UNAVAILABLE,
                Outcome::Unknown | Outcome::Answered => StatusCode::BAD_GATEWAY,
            },
            RefusalReason::NoConfiguration
            | RefusalReason::NoEndpoint
            | RefusalReason::Draining
            | RefusalReason::BackendNotReady
            | RefusalReason::WrongService
            | RefusalReason::WrongLocality
            | RefusalReason::BackendShed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether the same request can succeed later without a change.
    const fn is_worth_repeating(self) -> bool {
        !matches!(
            self.reason,
            RefusalReason::Malformed
                | RefusalReason::HeadTooLarge
                | RefusalReason::UnknownHost
                | RefusalReason::NoRoute
        )
    }
}

impl RefusalReason {
    /// The reason as header text.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::SlowSender => "slow-sender",
            Self::UnknownHost => "unknown-host",
            Self::NoRoute => "no-route",
            Self::NoConfiguration => "no-configuration",
            Self::NoEndpoint => "no-endpoint",
            Self::Draining => "draining",
            Self::BackendNotReady => "backend-not-ready",
            Self::WrongService => "wrong-service",
            Self::WrongLocality => "wrong-locality",
            Self::Overload => "overload",
            Self::BackendShed => "backend-shed",
            Self::Duplicate => "duplicate",
            Self::Deadline => "deadline",
            Self::AttemptsExhausted => "attempts-exhausted",
        }
    }
}

impl ProxyState {
    /// Makes the answer for `refusal` and tells the observer.
    pub(crate) fn refuse(
        &self,
        refusal: Refusal,
        request: Option<RequestId>,
        in_flight: Option<InFlight>,
    ) -> Response<ProxyBody> {
        let Refusal { reason, outcome, .. } = refusal;
        self.observe(&RequestEvent::Refused { request, reason, outcome });
        let text = Bytes::from(format!("{}\n", reason.as_str()));
        let mut response = Response::new(ProxyBody::own(text, in_flight));
        *response.status_mut() = refusal.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        headers.insert(names::OUTCOME, outcome.to_header());
        headers.insert(names::REASON, HeaderValue::from_static(reason.as_str()));
        if refusal.is_worth_repeating() {
            let seconds = refusal.retry_after.as_millis().div_ceil(1000).max(1);
            let seconds = u64::try_from(seconds).unwrap_or(u64::MAX);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if refusal.closes {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
