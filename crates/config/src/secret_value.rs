//! Clear secret values, kept apart from every text that people or files may see.

use std::fmt;

use zeroize::Zeroizing;

/// A clear secret value. It has no `Display` and no `Serialize`, its `Debug` tells nothing, and its memory is
/// overwritten when it is dropped.
#[derive(Clone)]
pub struct SecretValue(Zeroizing<Vec<u8>>);

impl SecretValue {
    /// Takes over the bytes of a value.
    #[must_use]
    pub fn new(bytes: Vec<u8>) -> Self {
        Self(Zeroizing::new(bytes))
    }

    /// The clear bytes, for the one place that puts them to use.
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
