//! Secrets that are not sealed yet.

use std::collections::BTreeSet;

use umberpond_model::ServiceName;

use crate::SecretValue;

/// Source of a secret's plaintext value.
#[derive(Debug, Clone)]
pub enum ValueSource {
    /// The value was read from a file of the bundle's directory.
    File(SecretValue),
    /// The value is read from this environment variable of the command line.
    Environment(String),
}

/// A secret as described in a bundle's files.
#[derive(Debug, Clone)]
pub struct SecretSource {
    /// Services that may read the value.
    pub readers: BTreeSet<ServiceName>,
    /// Source of the value.
    pub value: ValueSource,
}
