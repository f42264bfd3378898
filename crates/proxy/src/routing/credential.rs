//! Values of credential headers. They are never printed.

use std::fmt;

use http::HeaderValue;
use thiserror::Error;

/// The opened value of a secret, checked to be a header value. `Debug` hides it; it has no `Display`.
#[derive(Clone)]
pub struct CredentialValue(HeaderValue);

/// A secret whose value can't stand in a header. Tells nothing about the value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the secret's value holds bytes that a header may not hold")]
pub struct InvalidCredential;

impl CredentialValue {
    /// Checks the bytes of an opened secret.
    ///
    /// # Errors
    /// Returns [`InvalidCredential`] if a header may not hold them.
    pub fn new(bytes: &[u8]) -> Result<Self, InvalidCredential> {
        let mut value = HeaderValue::from_bytes(bytes).map_err(|_| InvalidCredential)?;
        value.set_sensitive(true);
        Ok(Self(value))
    }

    pub(crate) const fn header_value(&self) -> &HeaderValue {
        &self.0
    }
}

impl fmt::Debug for CredentialValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("CredentialValue(redacted)")
    }
}
