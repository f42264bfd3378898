//! Deltas between snapshots.

use std::collections::BTreeMap;

use bitcode::{Decode, Encode};
use umberpond_model::{RouteName, SecretName, ServiceName, TenantName};

use crate::encoding::{self, DecodeError};
use crate::{Entries, Entry, Record, RequestLimits, Route, Secret, Service, Snapshot, Tenant, Topology};

/// The difference between two snapshots: a value sets an entry, `None` removes it.
///
/// Deltas are computed within a scope: `between(before.restrict(s), after.restrict(s))` updates a node from
/// the restriction of `before` to the restriction of `after`, and contains nothing outside the scope.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Delta {
    /// The new topology, if it changes.
    pub topology: Option<Topology>,
    /// The new limits, if they change.
    pub limits: Option<RequestLimits>,
    /// Services set or removed.
    pub services: BTreeMap<ServiceName, Option<Service>>,
    /// Routes set or removed.
    pub routes: BTreeMap<RouteName, Option<Route>>,
    /// Secrets set or removed.
    pub secrets: BTreeMap<SecretName, Option<Secret>>,
    /// Tenants set or removed.
    pub tenants: BTreeMap<TenantName, Option<Tenant>>,
}

impl Delta {
    /// Computes the delta from `before` to `after`. `between(&Snapshot::default(), s)` is a full transfer of
    /// `s`.
    #[must_use]
    pub fn between(before: &Snapshot, after: &Snapshot) -> Self {
        let topology_changes = before.topology != after.topology;
        Self {
            topology: topology_changes.then(|| after.topology.clone()),
            limits: (before.limits != after.limits).then_some(after.limits),
            services: changes(&before.services, &after.services),
            routes: changes(&before.routes, &after.routes),
            secrets: changes(&before.secrets, &after.secrets),
            tenants: changes(&before.tenants, &after.tenants),
        }
    }

    /// Whether the delta changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.topology.is_none()
            && self.limits.is_none()
            && self.services.is_empty()
            && self.routes.is_empty()
            && self.secrets.is_empty()
            && self.tenants.is_empty()
    }

    /// Applies this delta to `before` and returns the resulting snapshot.
    #[must_use]
    pub fn apply(&self, before: &Snapshot) -> Snapshot {
        let mut after = before.clone();
        if let Some(topology) = &self.topology {
            after.topology.clone_from(topology);
        }
        if let Some(limits) = self.limits {
            after.limits = limits;
        }
        apply_changes(&mut after.services, &self.services);
        apply_changes(&mut after.routes, &self.routes);
        apply_changes(&mut after.secrets, &self.secrets);
        apply_changes(&mut after.tenants, &self.tenants);
        after
    }

    /// Encodes the delta; [`Delta::from_bytes`] decodes it.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encoding::encode(self)
    }

    /// Decodes the output of [`Delta::to_bytes`].
    ///
    /// # Errors
    /// Returns [`DecodeError`] for an unknown schema or damaged bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        encoding::decode(bytes)
    }
}

fn changes<T: Record>(before: &Entries<T>, after: &Entries<T>) -> BTreeMap<T::Name, Option<T>> {
    let changes = before.changes_to(after);
    changes.map(|(name, entry)| (name.clone(), entry.map(|entry| T::clone(entry)))).collect()
}

fn apply_changes<T: Record>(entries: &mut Entries<T>, changes: &BTreeMap<T::Name, Option<T>>) {
    for (name, change) in changes {
        match change {
            Some(value) => entries.insert(name.clone(), Entry::new(value.clone())),
            None => entries.remove::<T::Name>(name),
        };
    }
}
