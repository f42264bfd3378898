//! Headers of one attempt, from the outbound half to the inbound half.

use std::str::FromStr;

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Request};
use umberpond_admission::{Attempt, KeyDigest, RequestId};
use umberpond_config::RequestClass;
use umberpond_model::{Millis, NodeName, ServiceName};

use super::names;
use crate::server::{Malformed, single};

/// Hex digits of a request id.
const REQUEST_ID_DIGITS: usize = 32;

/// What an attempt says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct AttemptHeaders {
    pub(crate) service: ServiceName,
    pub(crate) caller: NodeName,
    pub(crate) attempt: Attempt,
}

impl AttemptHeaders {
    /// Reads the headers of an arriving attempt.
    pub(crate) fn read<B>(request: &Request<B>) -> Result<Self, Malformed> {
        let attempt = Attempt {
            request: RequestId(read_request_id(request)?),
            number: parsed(request, &names::ATTEMPT, "umberpond-attempt")?,
            class: read_class(request)?,
            idempotent: parsed(request, &names::IDEMPOTENT, "umberpond-idempotent")?,
            remaining: Millis(parsed(request, &names::DEADLINE, "umberpond-deadline")?),
            age: Millis(parsed(request, &names::AGE, "umberpond-age")?),
            key: key_digest(request.method(), request.uri().path(), request.headers()),
        };
        Ok(Self {
            service: parsed(request, &names::SERVICE, "umberpond-service")?,
            caller: parsed(request, &names::CALLER, "umberpond-caller")?,
            attempt,
        })
    }

    /// Writes the headers of an attempt that leaves.
    pub(crate) fn write(&self, headers: &mut HeaderMap) {
        let attempt = &self.attempt;
        set_text(headers, names::SERVICE, self.service.as_str());
        set_text(headers, names::CALLER, self.caller.as_str());
        set_text(headers, names::REQUEST_ID, &attempt.request.to_string());
        set_text(headers, names::CLASS, class_text(attempt.class));
        set_text(headers, names::IDEMPOTENT, if attempt.idempotent { "true" } else { "false" });
        set_number(headers, names::ATTEMPT, attempt.number.into());
        set_number(headers, names::DEADLINE, attempt.remaining.0);
        set_number(headers, names::AGE, attempt.age.0);
    }
}

/// Digest of the caller's own key, if it gave one. Equal keys of different methods or paths are different keys.
pub(crate) fn key_digest(method: &Method, path: &str, headers: &HeaderMap) -> Option<KeyDigest> {
    let key = headers.get(names::IDEMPOTENCY_KEY)?;
    Some(KeyDigest::of(&format!("{method} {path}"), key.as_bytes()))
}

/// Sets a header to a decimal number.
pub(crate) fn set_number(headers: &mut HeaderMap, name: HeaderName, number: u64) {
    headers.insert(name, HeaderValue::from(number));
}

/// Sets a header to a checked name or another text that is known to be a header value.
pub(super) fn set_text(headers: &mut HeaderMap, name: HeaderName, text: &str) {
    let value = HeaderValue::from_str(text).expect("names, hex digits and words are header values");
    headers.insert(name, value);
}

fn parsed<T: FromStr, B>(
    request: &Request<B>,
    name: &HeaderName,
    label: &'static str,
) -> Result<T, Malformed> {
    single(request, name)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or(Malformed::InternalHeader(label))
}

fn read_request_id<B>(request: &Request<B>) -> Result<u128, Malformed> {
    const LABEL: &str = "umberpond-request-id";
    let text: String = parsed(request, &names::REQUEST_ID, LABEL)?;
    let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    if text.len() != REQUEST_ID_DIGITS || !text.bytes().all(is_lower_hex) {
        return Err(Malformed::InternalHeader(LABEL));
    }
    u128::from_str_radix(&text, 16).map_err(|_| Malformed::InternalHeader(LABEL))
}

fn read_class<B>(request: &Request<B>) -> Result<RequestClass, Malformed> {
    match single(request, &names::CLASS).map(HeaderValue::as_bytes) {
        Some(b"reporting") => Ok(RequestClass::Reporting),
        Some(b"status") => Ok(RequestClass::Status),
        Some(b"transaction") => Ok(RequestClass::Transaction),
        Some(b"internal") => Ok(RequestClass::Internal),
        _ => Err(Malformed::InternalHeader("umberpond-class")),
    }
}

const fn class_text(class: RequestClass) -> &'static str {
    match class {
        RequestClass::Reporting => "reporting",
        RequestClass::Status => "status",
        RequestClass::Transaction => "transaction",
        RequestClass::Internal => "internal",
    }
}
