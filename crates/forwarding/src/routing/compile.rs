//! Compiles a configuration into a [`RoutingTable`].

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use umberpond_config::{RequestClass, Route, Snapshot};
use umberpond_model::{Millis, RouteName, SecretName, ServiceName, Version};

use super::table::{CompiledRoute, MethodRoute, RoutingTable, WeightedService};
use super::tenants::TenantTable;

/// Reasons why a configuration cannot be activated. The active configuration stays unchanged.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CompileError {
    /// A route refers to a service that is not in the configuration.
    #[error("route `{route}` refers to service `{service}`, which is not in the configuration")]
    MissingService {
        /// The route.
        route: RouteName,
        /// The missing service.
        service: ServiceName,
    },
    /// A route needs a secret that this node has not decrypted.
    #[error("route `{route}` needs secret `{secret}`, which is not available on this node")]
    MissingSecret {
        /// The route.
        route: RouteName,
        /// The missing secret.
        secret: SecretName,
    },
}

/// Values of the secrets that this node has decrypted.
pub type OpenedSecrets = BTreeMap<SecretName, Vec<u8>>;

impl RoutingTable {
    /// Compiles the routes of `snapshot` that `caller` may use.
    ///
    /// # Errors
    /// Returns [`CompileError`] if a reference cannot be resolved; there is no partial result.
    pub fn compile(
        version: Version,
        snapshot: &Snapshot,
        opened: &OpenedSecrets,
        caller: &ServiceName,
    ) -> Result<Self, CompileError> {
        let mut hosts: HashMap<Box<str>, HashMap<Box<str>, Vec<MethodRoute>>> = HashMap::new();
        let usable = snapshot.routes.values().filter(|route| route.may_be_called_by(caller));
        for route in usable {
            let compiled = Arc::new(compile_route(snapshot, route, opened)?);
            let host = route.host.as_deref().unwrap_or(route.service.as_str());
            let prefix = route.path_prefix.trim_end_matches('/');
            let routes = hosts.entry(host.into()).or_default().entry(prefix.into()).or_default();
            routes.push(MethodRoute {
                methods: route.methods.iter().cloned().collect(),
                needs_slash: route.path_prefix.ends_with('/'),
                route: compiled,
            });
            routes.sort_by(|left, right| precedence(left).cmp(&precedence(right)));
        }
        let tenants = Arc::new(TenantTable::compile(&snapshot.tenants));
        Ok(Self { version, limits: snapshot.limits, services: snapshot.services.clone(), hosts, tenants })
    }
}

/// Order of routes with the same prefix: those that list methods come first, then those that are not
/// idempotent.
fn precedence(route: &MethodRoute) -> (bool, bool, &RouteName) {
    (route.methods.is_empty(), route.route.is_idempotent, &route.route.name)
}

fn compile_route(
    snapshot: &Snapshot,
    route: &Route,
    opened: &OpenedSecrets,
) -> Result<CompiledRoute, CompileError> {
    if let Some(service) = route.services().find(|service| !snapshot.services.contains_key(*service)) {
        return Err(CompileError::MissingService { route: route.name.clone(), service: service.clone() });
    }
    let mut credentials = Vec::with_capacity(route.credentials.len());
    for credential in &route.credentials {
        let value = opened.get(&credential.secret).ok_or_else(|| CompileError::MissingSecret {
            route: route.name.clone(),
            secret: credential.secret.clone(),
        })?;
        credentials.push((credential.header.clone(), value.clone()));
    }
    let timeout = duration(route.timeout);
    Ok(CompiledRoute {
        name: route.name.clone(),
        number: route_number(&route.name),
        destinations: destinations(route),
        is_idempotent: route.idempotent,
        class: route.class,
        priority: route.policy.priority.unwrap_or_else(|| class_priority(route.class)),
        attempts: route.policy.attempts.max(1),
        timeout,
        objective: route.policy.objective.map_or(timeout, duration),
        credentials,
        access: route.access.clone(),
    })
}

/// Hash of a route's name.
fn route_number(route: &RouteName) -> u32 {
    let mut first = [0; 4];
    first.copy_from_slice(&blake3::hash(route.as_str().as_bytes()).as_bytes()[..4]);
    u32::from_le_bytes(first)
}

fn destinations(route: &Route) -> Vec<WeightedService> {
    if route.split.is_empty() {
        return vec![WeightedService { service: route.service.clone(), weight: 1 }];
    }
    let parts = route.split.iter();
    parts.map(|part| WeightedService { service: part.service.clone(), weight: part.weight }).collect()
}

const fn duration(millis: Millis) -> Duration {
    Duration::from_millis(millis.0)
}

const fn class_priority(class: RequestClass) -> u8 {
    match class {
        RequestClass::Internal => 0,
        RequestClass::Transaction => 1,
        RequestClass::Status => 2,
        RequestClass::Reporting => 3,
    }
}
