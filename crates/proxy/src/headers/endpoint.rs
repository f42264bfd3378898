//! Headers in which an inbound half tells of itself with every answer.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};
use umberpond_balance::{EndpointReport, LoadReport};
use umberpond_model::{EndpointStatus, Incarnation, Millis, ONE_SECOND};

use super::attempt::{set_number, set_text};
use super::names;
use crate::{NodeIdentity, Outcome};

/// What an answer says of its origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct EndpointHeaders {
    pub(crate) outcome: Outcome,
    /// The request that is answered, as text.
    pub(crate) request: String,
    pub(crate) served_by: String,
    pub(crate) locality: String,
    pub(crate) report: EndpointReport,
}

impl EndpointHeaders {
    /// Reads them from an answer; absent if any is missing or unreadable, so the peer doesn't speak this protocol.
    pub(crate) fn read(headers: &HeaderMap) -> Option<Self> {
        let text = |name: &HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &HeaderName| text(name).and_then(|text| text.parse().ok());
        let status = match text(&names::ENDPOINT_STATUS)? {
            "starting" => EndpointStatus::Starting,
            "ready" => EndpointStatus::Ready,
            "draining" => EndpointStatus::Draining,
            _ => return None,
        };
        let report = EndpointReport {
            incarnation: Incarnation(number(&names::INCARNATION)?),
            sequence: number(&names::SEQUENCE),
            status,
            load: text(&names::LOAD).and_then(parse_load),
        };
        Some(Self {
            outcome: Outcome::from_header(headers.get(names::OUTCOME)?)?,
            request: text(&names::REQUEST_ID)?.to_owned(),
            served_by: text(&names::SERVED_BY)?.to_owned(),
            locality: text(&names::LOCALITY)?.to_owned(),
            report,
        })
    }

    /// Writes them into an answer.
    pub(crate) fn write(headers: &mut HeaderMap, identity: &NodeIdentity, report: &EndpointReport) {
        set_text(headers, names::SERVED_BY, identity.node.as_str());
        set_text(headers, names::LOCALITY, &identity.locality.to_string());
        set_text(headers, names::ENDPOINT_STATUS, status_text(report.status));
        set_number(headers, names::INCARNATION, report.incarnation.0);
        if let Some(sequence) = report.sequence {
            set_number(headers, names::SEQUENCE, sequence);
        }
        if let Some(LoadReport { outstanding, slots }) = report.load {
            set_text(headers, names::LOAD, &format!("{outstanding}/{slots}"));
        }
    }
}

const fn status_text(status: EndpointStatus) -> &'static str {
    match status {
        EndpointStatus::Starting => "starting",
        EndpointStatus::Ready => "ready",
        EndpointStatus::Draining | EndpointStatus::Gone => "draining",
    }
}

fn parse_load(text: &str) -> Option<LoadReport> {
    let (outstanding, slots) = text.split_once('/')?;
    Some(LoadReport { outstanding: outstanding.parse().ok()?, slots: slots.parse().ok()? })
}

/// The `retry-after` of an answer; one second if it gives none in seconds.
pub(crate) fn retry_after(headers: &HeaderMap) -> Millis {
    headers
        .get(header::RETRY_AFTER)
        .map(HeaderValue::as_bytes)
        .and_then(|bytes| std::str::from_utf8(bytes).ok())
        .and_then(|text| text.trim().parse::<u64>().ok())
        .map_or(ONE_SECOND, |seconds| Millis(seconds.saturating_mul(ONE_SECOND.0)))
}
