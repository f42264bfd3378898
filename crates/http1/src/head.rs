//! Heads of requests and responses.

use std::ops::RangeInclusive;

use bytes::Bytes;

use crate::error::HeadError;
use crate::fields::{Field, Fields};

/// Number of header fields up to which parsing a head allocates no memory for them. More are limited by the size
/// of the head only.
const USUAL_FIELDS: usize = 100;

/// Valid status codes (RFC 9110, section 15).
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// HTTP version of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HttpVersion {
    /// HTTP/1.0: connections are not persistent by default.
    Http10,
    /// HTTP/1.1.
    Http11,
}

impl HttpVersion {
    const fn of(minor: Option<u8>) -> Self {
        match minor {
            Some(0) => Self::Http10,
            _ => Self::Http11,
        }
    }
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: Bytes,
    /// Request target, as it was received.
    pub target: Bytes,
    /// Version.
    pub version: HttpVersion,
    /// Header fields.
    pub fields: Fields,
}

/// Head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code, from 100 to 599.
    pub status: u16,
    /// Version.
    pub version: HttpVersion,
    /// Header fields.
    pub fields: Fields,
}

/// Result of parsing the bytes received so far: a head and its length in bytes, or `None` if the head is
/// incomplete.
pub(crate) type Parsed<T> = Result<Option<(T, usize)>, HeadError>;

/// A head that can be parsed from the start of a buffer.
pub(crate) trait Head: Sized {
    /// Parses `bytes`; returns the head and its length once it is complete.
    fn parse(bytes: &[u8]) -> Parsed<Self>;
}

impl Head for RequestHead {
    fn parse(bytes: &[u8]) -> Parsed<Self> {
        with_field_slots(bytes, |slots| {
            let mut request = httparse::Request::new(slots);
            let Some(length) = parsed_length(request.parse(bytes))? else { return Ok(None) };
            let shared = SharedBytes::new(bytes, length);
            let head = Self {
                method: shared.slice(request.method.unwrap_or_default().as_bytes()),
                target: shared.slice(request.path.unwrap_or_default().as_bytes()),
                version: HttpVersion::of(request.version),
                fields: shared.fields(request.headers),
            };
            Ok(Some((head, length)))
        })
    }
}

impl Head for ResponseHead {
    fn parse(bytes: &[u8]) -> Parsed<Self> {
        with_field_slots(bytes, |slots| {
            let mut response = httparse::Response::new(slots);
            let Some(length) = parsed_length(response.parse(bytes))? else { return Ok(None) };
            let status = response.code.filter(|status| VALID_STATUSES.contains(status));
            let shared = SharedBytes::new(bytes, length);
            let head = Self {
                status: status.ok_or(HeadError::Malformed)?,
                version: HttpVersion::of(response.version),
                fields: shared.fields(response.headers),
            };
            Ok(Some((head, length)))
        })
    }
}

/// Calls `parse` with a slot for each header field that `bytes` may contain.
fn with_field_slots<'a, T>(
    bytes: &'a [u8],
    parse: impl Fn(&mut [httparse::Header<'a>]) -> Parsed<T>,
) -> Parsed<T> {
    match parse(&mut [httparse::EMPTY_HEADER; USUAL_FIELDS]) {
        Err(HeadError::TooLarge) => {
            let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
            parse(&mut vec![httparse::EMPTY_HEADER; lines])
        }
        parsed => parsed,
    }
}

fn parsed_length(status: httparse::Result<usize>) -> Result<Option<usize>, HeadError> {
    match status {
        Ok(httparse::Status::Complete(length)) => Ok(Some(length)),
        Ok(httparse::Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(HeadError::TooLarge),
        Err(_) => Err(HeadError::Malformed),
    }
}

/// A shared copy of a head's bytes; method, target and fields are slices of it.
struct SharedBytes<'a> {
    original: &'a [u8],
    copy: Bytes,
}

impl<'a> SharedBytes<'a> {
    fn new(bytes: &'a [u8], length: usize) -> Self {
        let original = &bytes[..length];
        Self { original, copy: Bytes::copy_from_slice(original) }
    }

    /// Returns the slice of the copy that corresponds to `part`, a slice of the original.
    fn slice(&self, part: &[u8]) -> Bytes {
        let start = (part.as_ptr() as usize).wrapping_sub(self.original.as_ptr() as usize);
        match start.checked_add(part.len()) {
            Some(end) if end <= self.copy.len() => self.copy.slice(start..end),
            _ => Bytes::copy_from_slice(part),
        }
    }

    fn fields(&self, headers: &[httparse::Header<'_>]) -> Fields {
        headers
            .iter()
            .map(|header| Field {
                name: self.slice(header.name.as_bytes()),
                value: self.slice(header.value.trim_ascii()),
            })
            .collect()
    }
}

/// Standard reason phrase of a status code; empty if it is not known here.
#[must_use]
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "",
    }
}
