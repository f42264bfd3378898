//! Request fingerprints, which are the same for every attempt of a request.

use std::fmt;
use std::str::FromStr;

use bitcode::{Decode, Encode};
use thiserror::Error;

/// Number of body bytes that enter a fingerprint. A longer body is identified by these bytes and its length,
/// because the remainder has not arrived yet when the request is forwarded.
pub const FINGERPRINTED_BYTES: usize = 16 * 1024;

/// Contexts of the hashes, which make them differ from other hashes of the same bytes.
const CONTENT_CONTEXT: &str = "umberpond request content v1";
const CALLER_CONTEXT: &str = "umberpond request content and caller v1";
/// Length of a fingerprint in bytes: 128 bits of a cryptographic hash, so that no caller can construct a
/// request that collides with another one.
const LENGTH: usize = 16;

/// Content of a request, without the parts that change with each attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// Request method.
    pub method: &'a [u8],
    /// Host as the caller sent it.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a [u8],
    /// Length of the body in bytes; `None` if unknown before the end of the body.
    pub body_length: Option<u64>,
    /// The body, or its first [`FINGERPRINTED_BYTES`].
    pub body: &'a [u8],
}

/// Identity of a request, derived from its content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestFingerprint([u8; LENGTH]);

/// Identity of a request by its content alone, and by its content and calling service together. The first
/// identifies a request that crashes back ends for every caller. If only one service's requests crash back
/// ends, the responses to other services keep clearing the first, and the second identifies the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Fingerprint of the content.
    pub content: RequestFingerprint,
    /// Fingerprint of the content and of the service on whose behalf the request is sent.
    pub with_caller: RequestFingerprint,
}

impl RequestKey {
    /// Creates the key of the request with the fingerprint `content` from the service `caller`.
    #[must_use]
    pub fn new(content: RequestFingerprint, caller: &str) -> Self {
        Self { content, with_caller: content.for_caller(caller) }
    }

    /// Both fingerprints.
    #[must_use]
    pub const fn fingerprints(&self) -> [RequestFingerprint; 2] {
        [self.content, self.with_caller]
    }
}

/// Error for a text that is not a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint is 32 hexadecimal digits")]
pub struct InvalidFingerprint;

impl RequestFingerprint {
    /// Fingerprint of `content`, independent of the caller.
    #[must_use]
    pub fn of(content: &RequestContent<'_>) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CONTENT_CONTEXT);
        let host = content.host.to_ascii_lowercase();
        let parts = [content.method, host.as_bytes(), content.target];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let length = content.body_length.unwrap_or(u64::MAX);
        hasher.update(&length.to_le_bytes());
        hasher.update(&content.body[..content.body.len().min(FINGERPRINTED_BYTES)]);
        Self::finish(&hasher)
    }

    /// Fingerprint of the same content sent by `caller`. A back end may crash on a request from one service
    /// and respond to the same request from another.
    #[must_use]
    pub fn for_caller(&self, caller: &str) -> Self {
        let mut hasher = blake3::Hasher::new_derive_key(CALLER_CONTEXT);
        hasher.update(&self.0);
        hasher.update(caller.as_bytes());
        Self::finish(&hasher)
    }

    fn finish(hasher: &blake3::Hasher) -> Self {
        let mut fingerprint = [0; LENGTH];
        hasher.finalize_xof().fill(&mut fingerprint);
        Self(fingerprint)
    }

    /// Bytes of the fingerprint.
    #[must_use]
    pub const fn as_bytes(&self) -> &[u8; LENGTH] {
        &self.0
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for RequestFingerprint {
    type Err = InvalidFingerprint;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hexadecimal = text.len() == 2 * LENGTH && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_hexadecimal {
            return Err(InvalidFingerprint);
        }
        let mut fingerprint = [0; LENGTH];
        for (at, byte) in fingerprint.iter_mut().enumerate() {
            *byte =
                u8::from_str_radix(&text[2 * at..2 * at + 2], 16).map_err(|_digits| InvalidFingerprint)?;
        }
        Ok(Self(fingerprint))
    }
}
