//! What is the same of a request each time it is sent.

use std::fmt;
use std::str::FromStr;

use bitcode::{Decode, Encode};
use thiserror::Error;

/// Bytes of a body that enter a fingerprint. A longer body is told apart from others by these and by its length: the rest isn't there yet when the request
/// is sent on.
pub const FINGERPRINTED_BYTES: usize = 16 * 1024;

/// Purposes of the hashes, so that they are equal to no other ones of the same bytes.
const CONTENT_CONTEXT: &str = "umberpond request content v1";
const CALLER_CONTEXT: &str = "umberpond request content and caller v1";
/// Length of a fingerprint in bytes: 128 bits of a cryptographic hash, so that no caller can make a request that is taken for another one.
const LENGTH: usize = 16;

/// What is asked, without what is new with each attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a [u8],
    /// Host, as the caller wrote it.
    pub host: &'a str,
    /// Path and query.
    pub target: &'a [u8],
    /// Length of the body in bytes; absent if it is not known before the body's end.
    pub body_length: Option<u64>,
    /// The body, or its first [`FINGERPRINTED_BYTES`].
    pub body: &'a [u8],
}

/// Identity of a request by what it asks.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RequestFingerprint([u8; LENGTH]);

/// What a request is known by: its content, and its content with the service that asks. Whoever asks it, a request that ends back ends is found by the first; if one
/// service is answered what ends back ends for another one, the first is cleared again and again, and the second finds it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    /// Fingerprint of its content.
    pub content: RequestFingerprint,
    /// Fingerprint of its content and of the service on whose behalf it is sent.
    pub by_caller: RequestFingerprint,
}

impl RequestKey {
    /// The key of what has the fingerprint `content`, asked by the service `caller`.
    #[must_use]
    pub fn new(content: RequestFingerprint, caller: &str) -> Self {
        Self { content, by_caller: content.asked_by(caller) }
    }

    /// Both fingerprints.
    #[must_use]
    pub const fn fingerprints(&self) -> [RequestFingerprint; 2] {
        [self.content, self.by_caller]
    }
}

/// A text that is no fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a fingerprint is 32 hexadecimal digits")]
pub struct InvalidFingerprint;

impl RequestFingerprint {
    /// The fingerprint of `content`, whoever asks it.
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

    /// The fingerprint of the same content if `caller` asks it. A back end may end by what one service asks and answer another one the same.
    #[must_use]
    pub fn asked_by(&self, caller: &str) -> Self {
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

    /// Its bytes.
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
