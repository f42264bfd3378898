//! What the caller gets.

use std::time::Duration;

use bytes::Bytes;
use umberpond_http1::Fields;
use umberpond_model::{Locality, NodeName, Version};

use crate::header_profile::ResponseHeaders;
use crate::message::{Response, ResponseBody};
use crate::outcome::{NotRunReason, UnknownReason};
use crate::routing::NoTenant;

/// Why this node answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyReason {
    /// The bytes are no request.
    Malformed,
    /// The head is over the limit.
    HeadTooLarge,
    /// The head came too slowly.
    HeadTooSlow,
    /// The body is over the limit.
    BodyTooLarge,
    /// No route takes the request.
    NoRoute,
    /// The route takes only requests of tenants, and this one is of none.
    NoTenant(NoTenant),
    /// The tenant is at its limit; the request did not run.
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

    /// The reason as one word.
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

    /// Whether nothing that follows on the caller's connection can be trusted.
    const fn closes(self) -> bool {
        matches!(self, Self::Malformed | Self::HeadTooLarge | Self::HeadTooSlow | Self::BodyTooLarge)
    }
}

/// An answer as it is written to the caller.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) fields: Fields,
    pub(crate) body: ResponseBody,
    /// Whether the caller's connection ends after it.
    pub(crate) closes: bool,
    /// Why this node answers by itself; absent if a back end has answered.
    pub(crate) reason: Option<ReplyReason>,
}

impl Reply {
    /// An answer of this node's own. `retry_after` tells when to come back.
    pub(crate) fn own(
        reason: ReplyReason,
        retry_after: Option<Duration>,
        marks: Option<&ResponseHeaders>,
    ) -> Self {
        let word = reason.as_str();
        let mut fields = Fields::default();
        fields.push(&b"Content-Type"[..], &b"text/plain"[..]);
        if let Some(after) = retry_after {
            fields.push(&b"Retry-After"[..], seconds(after));
        }
        if let Some(marks) = marks {
            fields.push(marks.outcome, reason.outcome());
            fields.push(marks.reason, word);
        }
        let body = ResponseBody::Whole(Bytes::from(word));
        Self { status: reason.status(), fields, body, closes: reason.closes(), reason: Some(reason) }
    }

    /// The answer of a back end, which `node` at `locality` served.
    pub(crate) fn of_answer(answer: Response, marks: Option<&ResponseHeaders>, served: &Served<'_>) -> Self {
        let mut fields = answer.fields;
        if let Some(marks) = marks {
            fields.set(marks.outcome, "answered");
            fields.set(marks.served_by, served.node.to_string());
            fields.set(marks.version, served.version.to_string());
            if let Some(locality) = &served.locality {
                fields.set(marks.locality, locality.to_string());
            }
        }
        Self { status: answer.status, fields, body: answer.body, closes: false, reason: None }
    }
}

/// Who served a request, and by which configuration.
#[derive(Debug)]
pub(crate) struct Served<'a> {
    pub(crate) node: &'a NodeName,
    pub(crate) locality: Option<Locality>,
    pub(crate) version: Version,
}

/// Seconds with three digits after the point.
fn seconds(duration: Duration) -> Bytes {
    Bytes::from(format!("{:.3}", duration.as_secs_f64()))
}
