//! The scopes whose part of the configuration a delta changes.

use std::collections::BTreeSet;

use umberpond_model::{RouteName, ServiceName};

use crate::{Delta, Scope, Snapshot};

/// Scopes whose restriction a delta may change. The restriction and hash of every other scope stay the same.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangedScopes {
    /// All scopes, because the topology, the limits or the tenants change.
    All,
    /// The full scope and all scopes with one of these callers.
    Callers(BTreeSet<ServiceName>),
}

impl ChangedScopes {
    /// Returns the scopes affected by `delta`, which changes `before` to `after`, both unrestricted.
    #[must_use]
    pub fn of(delta: &Delta, before: &Snapshot, after: &Snapshot) -> Self {
        if delta.topology.is_some() || delta.limits.is_some() || !delta.tenants.is_empty() {
            return Self::All;
        }
        let mut callers: BTreeSet<ServiceName> = delta.services.keys().cloned().collect();
        for snapshot in [before, after] {
            for name in affected_routes(delta, snapshot) {
                let route = snapshot.routes.get(name);
                callers.extend(route.into_iter().flat_map(|route| route.callers.iter().cloned()));
            }
        }
        Self::Callers(callers)
    }

    /// Whether the delta may change what `scope` covers.
    #[must_use]
    pub fn contains(&self, scope: &Scope) -> bool {
        match (self, scope) {
            (Self::All, _) | (_, Scope::Full) => true,
            (Self::Callers(touched), Scope::Callers(callers)) => !touched.is_disjoint(callers),
        }
    }
}

/// Returns the changed routes and the routes of `snapshot` that reference changed services or secrets.
fn affected_routes<'a>(delta: &'a Delta, snapshot: &'a Snapshot) -> BTreeSet<&'a RouteName> {
    let index = snapshot.routes.index();
    let of_services = delta.services.keys().flat_map(|name| index.to_service(name));
    let of_secrets = delta.secrets.keys().flat_map(|name| index.with_secret(name));
    delta.routes.keys().chain(of_services).chain(of_secrets).collect()
}
