//! Request ids: one for all attempts of a request.

use std::fmt;
use std::str::FromStr;

use http::HeaderValue;
use thiserror::Error;
use umberpond_model::ContentHash;

/// Hex digits of a request id on the wire.
const HEX_DIGITS: usize = 32;

/// Identity of one request, the same in each of its attempts.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u128);

/// A header that holds no request id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a request id is {HEX_DIGITS} lower-case hex digits")]
pub struct InvalidRequestId;

impl RequestId {
    /// The id under which a request with a caller's own `idempotency-key` is admitted: equal for equal method,
    /// path and key, so that a caller's own repetition is recognised.
    #[must_use]
    pub(crate) fn of_key(method: &str, path: &str, key: &[u8]) -> Self {
        let mut input = Vec::with_capacity(method.len() + path.len() + key.len() + 2);
        input.extend_from_slice(method.as_bytes());
        input.push(0);
        input.extend_from_slice(path.as_bytes());
        input.push(0);
        input.extend_from_slice(key);
        let hash = ContentHash::of(&input);
        let mut first = [0; 16];
        first.copy_from_slice(&hash.as_bytes()[..16]);
        Self(u128::from_be_bytes(first))
    }

    /// The id as a header value.
    #[must_use]
    pub(crate) fn to_header(self) -> HeaderValue {
        HeaderValue::try_from(self.to_string()).expect("hex digits are a valid header value")
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for RequestId {
    type Err = InvalidRequestId;

    fn from_str(text: &str) -> Result<Self, InvalidRequestId> {
        let is_lower_hex = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != HEX_DIGITS || !text.bytes().all(is_lower_hex) {
            return Err(InvalidRequestId);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| InvalidRequestId)
    }
}
