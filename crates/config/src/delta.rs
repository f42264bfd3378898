//! Deltas between snapshots.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use umberpond_model::{RouteName, SecretName, ServiceName};

use crate::{Route, Secret, Service, Snapshot, Topology};

/// What changes between two snapshots: a value sets an entry, `None` removes it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Delta {
    /// The new topology, if it changes.
    pub topology: Option<Topology>,
    /// Services set or removed.
    pub services: BTreeMap<ServiceName, Option<Service>>,
    /// Routes set or removed.
    pub routes: BTreeMap<RouteName, Option<Route>>,
    /// Secrets set or removed.
    pub secrets: BTreeMap<SecretName, Option<Secret>>,
}

impl Delta {
    /// The delta that leads from `before` to `after`. `between(&Snapshot::default(), s)` is a full transfer of `s`.
    #[must_use]
    pub fn between(_before: &Snapshot, _after: &Snapshot) -> Self {
        unimplemented!()
    }

    /// Whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.topology.is_none()
            && self.services.is_empty()
            && self.routes.is_empty()
            && self.secrets.is_empty()
    }

    /// The snapshot that results from applying this delta to `before`.
    #[must_use]
    pub fn apply(&self, _before: &Snapshot) -> Snapshot {
        unimplemented!()
    }
}
