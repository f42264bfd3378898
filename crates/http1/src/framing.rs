//! Length of message bodies (RFC 9112, section 6).

use thiserror::Error;

use crate::fields::Fields;
use crate::head::{RequestHead, ResponseHead};

/// How the end of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// A body of this number of bytes.
    Length(u64),
    /// The chunked transfer coding.
    Chunked,
    /// The body extends to the end of the connection.
    UntilClose,
}

impl Framing {
    /// Whether there is no body.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        matches!(self, Self::Length(0))
    }
}

/// A head with an ambiguous body length, about which two parsers could disagree; that enables request
/// smuggling.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The content length is not a number, or there are several different ones.
    #[error("the content length is not a single number")]
    InvalidLength,
    /// Both a content length and a transfer coding are given.
    #[error("both a content length and a transfer coding are given")]
    LengthAndCoding,
    /// A transfer coding other than `chunked`.
    #[error("the transfer coding is not `chunked`")]
    UnknownCoding,
}

/// Returns the framing of a request's body.
///
/// # Errors
/// Returns [`FramingError`] if the length is ambiguous or the transfer coding is unknown.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    let framing = declared_framing(&head.fields)?;
    Ok(framing.unwrap_or(Framing::Length(0)))
}

/// Returns the framing of the body of a response to a request with `method`.
///
/// # Errors
/// Returns [`FramingError`] if the length is ambiguous or the transfer coding is unknown.
pub fn response_framing(head: &ResponseHead, method: &[u8]) -> Result<Framing, FramingError> {
    let has_no_body = method == b"HEAD" || matches!(head.status, 100..=199 | 204 | 304);
    if has_no_body {
        return Ok(Framing::Length(0));
    }
    let framing = declared_framing(&head.fields)?;
    Ok(framing.unwrap_or(Framing::UntilClose))
}

fn declared_framing(fields: &Fields) -> Result<Option<Framing>, FramingError> {
    let length = content_length(fields)?;
    if !fields.contains("transfer-encoding") {
        return Ok(length.map(Framing::Length));
    }
    if length.is_some() {
        return Err(FramingError::LengthAndCoding);
    }
    let mut codings = fields.get_all("transfer-encoding");
    let is_chunked = codings.next().is_some_and(|coding| coding.eq_ignore_ascii_case(b"chunked"));
    if is_chunked && codings.next().is_none() {
        Ok(Some(Framing::Chunked))
    } else {
        Err(FramingError::UnknownCoding)
    }
}

fn content_length(fields: &Fields) -> Result<Option<u64>, FramingError> {
    let mut found = None;
    for value in fields.get_all("content-length") {
        let length = parse_length(value)?;
        if found.is_some_and(|earlier| earlier != length) {
            return Err(FramingError::InvalidLength);
        }
        found = Some(length);
    }
    Ok(found)
}

/// Accepts digits only: signs, whitespace and lists are rejected.
fn parse_length(value: &[u8]) -> Result<u64, FramingError> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(FramingError::InvalidLength)
}
