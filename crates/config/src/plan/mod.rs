//! Plans: the effects of a configuration change, computed before it is accepted.

mod changes;
mod localities;
mod text;

use serde::Serialize;
use umberpond_model::{Locality, RouteName, SecretName, ServiceName};

pub use changes::Changes;
pub use localities::{NewLocalities, Subject};

use crate::{Delta, Scope, Snapshot};

/// The changes from one snapshot to another, and the nodes that they affect.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Plan {
    /// Existing services and routes whose traffic would become allowed in new localities. Operators should
    /// review these first.
    pub new_localities: Vec<NewLocalities>,
    /// Changes of zones.
    pub localities: Changes<Locality>,
    /// Changes of services.
    pub services: Changes<ServiceName>,
    /// Changes of routes.
    pub routes: Changes<RouteName>,
    /// Changes of secrets. A secret that was only sealed again counts as changed, because only its readers
    /// can detect that the value is the same.
    pub secrets: Changes<SecretName>,
    /// Services whose nodes receive a delta, with the size of the delta.
    pub scopes: Vec<AffectedScope>,
    /// Size of the delta that relays and readers receive, in bytes; 0 if nothing changes.
    pub full_delta_bytes: usize,
}

/// The nodes of one service and the size of the delta that they receive.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AffectedScope {
    /// The service whose back ends the nodes accompany.
    pub service: ServiceName,
    /// Size of the delta that each of the nodes receives, in bytes.
    pub delta_bytes: usize,
}

impl Plan {
    /// Computes the plan for a change from `before` to `after`, both unrestricted.
    #[must_use]
    pub fn between(before: &Snapshot, after: &Snapshot) -> Self {
        let full = Delta::between(before, after);
        if full.is_empty() {
            return Self::default();
        }
        Self {
            new_localities: localities::new_localities(before, after),
            localities: localities::zone_changes(before, after),
            services: Changes::between(&before.services, &after.services),
            routes: Changes::between(&before.routes, &after.routes),
            secrets: Changes::between(&before.secrets, &after.secrets),
            scopes: affected_scopes(before, after),
            full_delta_bytes: full.to_bytes().len(),
        }
    }

    /// Whether nothing would change.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

fn affected_scopes(before: &Snapshot, after: &Snapshot) -> Vec<AffectedScope> {
    let mut services: Vec<&ServiceName> = before.services.keys().chain(after.services.keys()).collect();
    services.sort();
    services.dedup();
    services.into_iter().filter_map(|service| affected_scope(service, before, after)).collect()
}

fn affected_scope(service: &ServiceName, before: &Snapshot, after: &Snapshot) -> Option<AffectedScope> {
    let scope = Scope::Callers([service.clone()].into());
    let delta = Delta::between(&before.restrict(&scope), &after.restrict(&scope));
    (!delta.is_empty())
        .then(|| AffectedScope { service: service.clone(), delta_bytes: delta.to_bytes().len() })
}
