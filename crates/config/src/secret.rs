//! Secrets, sealed on the operator's machine for each service that may read them.

use std::collections::{BTreeMap, BTreeSet};

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{SecretName, ServiceName};

/// A secret value sealed to one service's key. Only nodes of that service can open it.
#[derive(Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct SealedValue(pub Vec<u8>);

impl std::fmt::Debug for SealedValue {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "SealedValue({} bytes)", self.0.len())
    }
}

/// A secret of the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Secret {
    /// Name of the secret.
    pub name: SecretName,
    /// The value, sealed once for each service that may read it.
    pub readers: BTreeMap<ServiceName, SealedValue>,
}

impl Secret {
    /// Returns this secret with only the sealed values of the services in `readers`.
    #[must_use]
    pub fn restrict(&self, readers: &BTreeSet<ServiceName>) -> Self {
        let kept = self.readers.iter().filter(|(reader, _)| readers.contains(*reader));
        Self {
            name: self.name.clone(),
            readers: kept.map(|(reader, sealed)| (reader.clone(), sealed.clone())).collect(),
        }
    }
}
