//! Index of routes by the entries that they reference. With it, the cost of restricting a snapshot, checking
//! a delta and finding the scopes that a delta affects is proportional to the number of routes concerned.

use std::collections::BTreeSet;

use imbl::{OrdMap, OrdSet};
use umberpond_model::{RouteName, SecretName, ServiceName};

use crate::Route;
use crate::record::RecordIndex;

/// Routes by target service, by caller and by secret.
#[derive(Debug, Clone, Default)]
pub struct RouteIndex {
    by_service: OrdMap<ServiceName, OrdSet<RouteName>>,
    by_caller: OrdMap<ServiceName, OrdSet<RouteName>>,
    by_secret: OrdMap<SecretName, OrdSet<RouteName>>,
}

impl RouteIndex {
    /// Routes that send requests to `service`.
    pub(crate) fn to_service(&self, service: &ServiceName) -> impl Iterator<Item = &RouteName> {
        self.by_service.get(service).into_iter().flatten()
    }

    /// Routes that `caller` may call.
    pub(crate) fn of_caller(&self, caller: &ServiceName) -> impl Iterator<Item = &RouteName> {
        self.by_caller.get(caller).into_iter().flatten()
    }

    /// Routes that use `secret`.
    pub(crate) fn with_secret(&self, secret: &SecretName) -> impl Iterator<Item = &RouteName> {
        self.by_secret.get(secret).into_iter().flatten()
    }
}

impl RecordIndex<Route> for RouteIndex {
    fn update(&mut self, name: &RouteName, old: Option<&Route>, new: Option<&Route>) {
        let service = |route: &Route| route.services().cloned().collect();
        let callers = |route: &Route| route.callers.clone();
        let secrets = |route: &Route| route.credentials.iter().map(|used| used.secret.clone()).collect();
        change(&mut self.by_service, name, references(old, service), references(new, service));
        change(&mut self.by_caller, name, references(old, callers), references(new, callers));
        change(&mut self.by_secret, name, references(old, secrets), references(new, secrets));
    }
}

fn references<K: Ord>(route: Option<&Route>, of: impl Fn(&Route) -> BTreeSet<K>) -> BTreeSet<K> {
    route.map(of).unwrap_or_default()
}

fn change<K: Ord + Clone>(
    index: &mut OrdMap<K, OrdSet<RouteName>>,
    name: &RouteName,
    old: BTreeSet<K>,
    new: BTreeSet<K>,
) {
    for key in old.difference(&new) {
        let Some(routes) = index.get_mut(key) else { continue };
        routes.remove(name);
        if routes.is_empty() {
            index.remove(key);
        }
    }
    for key in new.difference(&old) {
        index.entry(key.clone()).or_default().insert(name.clone());
    }
}
