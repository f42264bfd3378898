//! Secrets: sealed on the operator's machine for each service that may read them.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use umberpond_model::{SecretName, ServiceName};

/// A secret value sealed to one service's key. Only nodes of that service can open it.
#[derive(Clone, PartialEq, Eq, Encode, Decode)]
pub struct SealedValue(pub Vec<u8>);

impl std::fmt::Debug for SealedValue {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "SealedValue({} bytes)", self.0.len())
    }
}

/// One secret as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Secret {
    /// Name of the secret.
    pub name: SecretName,
    /// The value, sealed once for each service that may read it.
    pub readers: BTreeMap<ServiceName, SealedValue>,
}
