//! Scopes: the part of a snapshot that a node needs.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use umberpond_model::ServiceName;

/// What a node receives. Relays and readers receive everything (secret values stay sealed); every other node
/// receives its own services, the routes they call, the services behind those and the secrets they use.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Scope {
    /// The whole snapshot.
    Full,
    /// What these services need as callers, and the services themselves.
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
