//! Scopes: the part of a snapshot that a node needs.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use umberpond_model::ServiceName;

/// The part of the configuration that a node receives. Relays and readers receive everything (secret values
/// stay sealed); every other node receives its own services, the routes that they call, the target services
/// of these routes and the secrets that they use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Scope {
    /// The full snapshot.
    Full,
    /// These services and everything that they need as callers.
    Callers(BTreeSet<ServiceName>),
}

impl Scope {
    /// Whether `service` is one of the callers that this scope serves.
    #[must_use]
    pub fn covers_caller(&self, service: &ServiceName) -> bool {
        match self {
            Self::Full => true,
            Self::Callers(callers) => callers.contains(service),
        }
    }
}
