//! Snapshots: one closed configuration, immutable, cheap to copy.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{ContentHash, RegionName, RouteName, SecretName, ServiceName, ZoneName};

use crate::{Entry, Route, Scope, Secret, Service};

/// Regions and their zones.
pub type Topology = BTreeMap<RegionName, BTreeSet<ZoneName>>;

/// One configuration, whole or restricted to a scope. Copies share their entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Regions and zones that exist.
    pub topology: Topology,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Entry<Service>>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Entry<Route>>,
    /// Secrets by name.
    pub secrets: BTreeMap<SecretName, Entry<Secret>>,
}

impl Snapshot {
    /// Hash of the content, equal for equal content however it was reached.
    #[must_use]
    pub fn content_hash(&self) -> ContentHash {
        unimplemented!()
    }

    /// The part of this snapshot that `scope` covers. Closed if this snapshot is closed.
    #[must_use]
    pub fn restrict(&self, _scope: &Scope) -> Self {
        unimplemented!()
    }
}
