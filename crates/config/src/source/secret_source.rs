//! Secrets before they are sealed.

use std::collections::BTreeSet;

use umberpond_model::ServiceName;

use crate::SecretValue;

/// Where a secret's clear value comes from.
#[derive(Debug, Clone)]
pub enum ValueSource {
    /// The value was read from a file of the bundle's directory.
    File(SecretValue),
    /// The value stands in this environment variable of the command line.
    Environment(String),
}

/// A secret as a bundle's files describe it.
#[derive(Debug, Clone)]
pub struct SecretSource {
    /// Services that may read the value.
    pub readers: BTreeSet<ServiceName>,
    /// Where the value comes from.
    pub value: ValueSource,
}
