//! How long a body is (RFC 9112, section 6).

use thiserror::Error;

use crate::fields::Fields;
use crate::head::{RequestHead, ResponseHead};

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(u64),
    /// Chunks, the last of them empty.
    Chunked,
    /// Everything up to the end of the connection.
    UntilClose,
}

impl Framing {
    /// Whether there is no body at all.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        matches!(self, Self::Length(0))
    }
}

/// A head whose body length can't be trusted: two readers could disagree about it, which is how requests are smuggled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FramingError {
    /// The length is no number, or there are several that differ.
    #[error("the content length is no single number")]
    InvalidLength,
    /// Both a length and a transfer coding are given.
    #[error("both a content length and a transfer coding are given")]
    LengthAndCoding,
    /// A transfer coding other than `chunked`.
    #[error("the transfer coding is not `chunked`")]
    UnknownCoding,
}

/// Framing of a request's body.
///
/// # Errors
/// Returns [`FramingError`] when the length can't be trusted.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    let framing = declared(&head.fields)?;
    Ok(framing.unwrap_or(Framing::Length(0)))
}

/// Framing of the body of an answer to a request with `method`.
///
/// # Errors
/// Returns [`FramingError`] when the length can't be trusted.
pub fn response_framing(head: &ResponseHead, method: &[u8]) -> Result<Framing, FramingError> {
    let has_no_body = method == b"HEAD" || matches!(head.status, 100..=199 | 204 | 304);
    if has_no_body {
        return Ok(Framing::Length(0));
    }
    let framing = declared(&head.fields)?;
    Ok(framing.unwrap_or(Framing::UntilClose))
}

fn declared(fields: &Fields) -> Result<Option<Framing>, FramingError> {
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

/// Digits only: signs, blanks and lists are refused.
fn parse_length(value: &[u8]) -> Result<u64, FramingError> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let text = std::str::from_utf8(value).ok().filter(|_| is_number);
    text.and_then(|text| text.parse().ok()).ok_or(FramingError::InvalidLength)
}
