//! Plaintext secret values, protected against output in logs, messages and files.

use std::fmt;

use zeroize::Zeroizing;

/// A plaintext secret value. It implements neither `Display` nor `Serialize`, its `Debug` output is redacted,
/// and its memory is zeroed on drop.
#[derive(Clone)]
pub struct SecretValue(Zeroizing<Vec<u8>>);

impl SecretValue {
    /// Wraps the bytes of a value.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(Zeroizing::new(bytes))
    }

    /// Returns the plaintext bytes. Call this only where the value is used.
    #[must_use]
    pub fn expose(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for SecretValue {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretValue(redacted)")
    }
}
