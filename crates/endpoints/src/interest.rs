//! Which records a node wants to hear of.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use umberpond_model::ServiceName;

/// Interest in endpoint records, by service.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Interest {
    /// Every record; for relays and readers.
    All,
    /// Records of these services; for nodes that call them.
    Services(BTreeSet<ServiceName>),
}

impl Interest {
    /// Whether a record of `service` is wanted. Records of edge nodes carry no service; only relays want them.
    #[must_use]
    pub fn covers(&self, service: Option<&ServiceName>) -> bool {
        match self {
            Self::All => true,
            Self::Services(services) => service.is_some_and(|service| services.contains(service)),
        }
    }
}
