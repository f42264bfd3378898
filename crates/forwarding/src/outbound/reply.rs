//! Replies to callers.

use std::time::Duration;

use bytes::Bytes;
use umberpond_http1::Fields;
use umberpond_model::{Locality, NodeName, Version};

use crate::header_profile::ResponseHeaders;
use crate::message::{Response, ResponseBody};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::routing::NoTenant;

/// Why this node replies without a response of a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyReason {
    /// The input is not a valid request.
    Malformed,
    /// The request head exceeds the size limit.
    HeadTooLarge,
    /// The request head was not received in time.
    HeadTooSlow,
    /// The request body exceeds the size limit.
    BodyTooLarge,
    /// No route matches the request.
    NoRoute,
    /// The route requires a tenant, and the request has none.
    NoTenant(NoTenant),
    /// The tenant is at its quota; the request did not run.
    OverQuota,
    /// The request did not run.
    NotRun(NotRunReason),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl ReplyReason {
    const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::HeadTooSlow => 408,
            Self::BodyTooLarge => 413,
            Self::NoRoute => 404,
            Self::NoTenant(_) => 401,
            Self::OverQuota => 429,
            Self::NotRun(_) => 503,
            Self::Unknown(UnknownReason::TimedOut) => 504,
            Self::Unknown(UnknownReason::RepeatedKey) => 409,
            Self::Unknown(_) => 502,
        }
    }

    /// What is known about the request: it did not run, or it may have.
    pub(crate) const fn outcome(self) -> &'static str {
        if matches!(self, Self::Unknown(_)) { "unknown" } else { "rejected" }
    }

    /// The reason as an identifier for logs, metrics and callers.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::HeadTooSlow => "slow-sender",
            Self::BodyTooLarge => "body-too-large",
            Self::NoRoute => "no-route",
            Self::OverQuota => "over-quota",
            Self::NoTenant(NoTenant::NoKey) => "no-key",
            Self::NoTenant(NoTenant::UnknownKey) => "unknown-key",
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
        }
    }

    /// Whether the rest of the caller's connection can't be parsed reliably.
    const fn closes(self) -> bool {
        matches!(self, Self::Malformed | Self::HeadTooLarge | Self::HeadTooSlow | Self::BodyTooLarge)
    }
}

/// A reply as it is written to the caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) fields: Fields,
    pub(crate) body: ResponseBody,
    /// Whether the caller's connection is closed after the reply.
    pub(crate) closes: bool,
    /// Why this node replies by itself; `None` for the response of a back end.
    pub(crate) reason: Option<ReplyReason>,
}

impl Reply {
    /// A reply that this node generates. `retry_after` is the delay after which the caller should retry.
    pub(crate) fn local(
        reason: ReplyReason,
        retry_after: Option<Duration>,
        response_headers: Option<&ResponseHeaders>,
    ) -> Self {
        let word = reason.as_str();
        let mut fields = Fields::default();
        fields.push(&b"Content-Type"[..], &b"text/plain"[..]);
        if let Some(after) = retry_after {
            fields.push(&b"Retry-After"[..], seconds(after));
        }
        if let Some(response_headers) = response_headers {
            fields.push(response_headers.outcome, reason.outcome());
            fields.push(response_headers.reason, word);
        }
        let body = ResponseBody::Whole(Bytes::from(word));
        Self { status: reason.status(), fields, body, closes: reason.closes(), reason: Some(reason) }
    }

    /// A reply that forwards the response of a back end, with the node that served it and its locality.
    pub(crate) fn from_response(
        response: Response,
        response_headers: Option<&ResponseHeaders>,
        served: &ServedBy<'_>,
    ) -> Self {
        let mut fields = response.fields;
        if let Some(response_headers) = response_headers {
            fields.set(response_headers.outcome, "answered");
            fields.set(response_headers.served_by, served.node.to_string());
            fields.set(response_headers.version, served.version.to_string());
            if let Some(locality) = &served.locality {
                fields.set(response_headers.locality, locality.to_string());
            }
        }
        Self { status: response.status, fields, body: response.body, closes: false, reason: None }
    }
}

/// Where a request was served, and the configuration version used.
#[derive(Debug)]
pub(crate) struct ServedBy<'a> {
    pub(crate) node: &'a NodeName,
    pub(crate) locality: Option<Locality>,
    pub(crate) version: Version,
}

/// Formats a duration in seconds with three decimal places.
fn seconds(duration: Duration) -> Bytes {
    Bytes::from(format!("{:.3}", duration.as_secs_f64()))
}
