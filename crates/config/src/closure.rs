//! Closure checks: every reference in a snapshot must resolve inside the snapshot.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;
use umberpond_model::{RegionName, RouteName, SecretName, ServiceName, TenantName, ZoneName};

use crate::{Delta, Route, Scope, Service, Snapshot};

/// The first dangling reference found in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClosureError {
    /// A route references a service that the snapshot does not contain.
    #[error("route `{route}` references service `{service}`, which the snapshot does not contain")]
    RouteWithoutService {
        /// The route.
        route: RouteName,
        /// The referenced service.
        service: ServiceName,
    },
    /// A route references a secret that the snapshot does not contain.
    #[error("route `{route}` references secret `{secret}`, which the snapshot does not contain")]
    RouteWithoutSecret {
        /// The route.
        route: RouteName,
        /// The referenced secret.
        secret: SecretName,
    },
    /// A caller inside the scope can't open a secret of a route that it calls.
    #[error("route `{route}` uses secret `{secret}`, which is not sealed to its caller `{caller}`")]
    SecretNotSealedToCaller {
        /// The route.
        route: RouteName,
        /// The referenced secret.
        secret: SecretName,
        /// The caller without a sealed value.
        caller: ServiceName,
    },
    /// A service allows a locality that does not exist.
    #[error("service `{service}` allows a locality in region `{region}` that does not exist")]
    UnknownLocality {
        /// The service.
        service: ServiceName,
        /// Region of the locality rule.
        region: RegionName,
        /// Zone of the locality rule, if it names one.
        zone: Option<ZoneName>,
    },
    /// Two tenants have the same key, so requests with this key could not be attributed to one of them.
    #[error("tenants `{first}` and `{second}` have the same key")]
    SharedKey {
        /// The first of the two, in the order of their names.
        first: TenantName,
        /// The other one.
        second: TenantName,
    },
    /// An entry is stored under a name that differs from its own.
    #[error("the entry stored under `{key}` has the name `{name}`")]
    NameMismatch {
        /// Name under which the entry is stored.
        key: String,
        /// The entry's own name.
        name: String,
    },
}

impl Snapshot {
    /// Checks that every reference of a service or route resolves inside this snapshot.
    ///
    /// # Errors
    /// Returns the first dangling reference, in the order services, routes.
    pub fn check_closed(&self) -> Result<(), ClosureError> {
        self.check_services()?;
        for (key, secret) in &self.secrets {
            check_name(key.as_str(), secret.name.as_str())?;
        }
        for (key, route) in &self.routes {
            check_name(key.as_str(), route.name.as_str())?;
            self.check_route(route)?;
        }
        self.check_tenants()
    }

    /// Checks that no two tenants have the same key.
    fn check_tenants(&self) -> Result<(), ClosureError> {
        let mut key_owners = BTreeMap::new();
        for (name, tenant) in &self.tenants {
            check_name(name.as_str(), tenant.name.as_str())?;
            for key in &tenant.keys {
                if let Some(first) = key_owners.insert(key, name) {
                    return Err(ClosureError::SharedKey { first: first.clone(), second: name.clone() });
                }
            }
        }
        Ok(())
    }

    /// Incremental form of [`Snapshot::check_closed_for`]. This snapshot must result from applying `delta` to
    /// a snapshot that was closed for `scope`; only changed entries and routes that reference them are
    /// checked.
    ///
    /// # Errors
    /// Returns a dangling reference or a secret that a caller can't open if and only if the full check fails.
    pub fn check_delta(&self, delta: &Delta, scope: &Scope) -> Result<(), ClosureError> {
        self.check_changed_services(delta)?;
        for key in delta.secrets.keys() {
            if let Some(secret) = self.secrets.get(key) {
                check_name(key.as_str(), secret.name.as_str())?;
            }
        }
        for name in self.routes_to_check(delta) {
            let Some(route) = self.routes.get(name) else { continue };
            check_name(name.as_str(), route.name.as_str())?;
            self.check_route(route)?;
            self.check_callers(route, scope)?;
        }
        if delta.tenants.is_empty() { Ok(()) } else { self.check_tenants() }
    }

    /// Checks the changed services. A changed topology affects every service but no route.
    fn check_changed_services(&self, delta: &Delta) -> Result<(), ClosureError> {
        if delta.topology.is_some() {
            return self.check_services();
        }
        for key in delta.services.keys() {
            if let Some(service) = self.services.get(key) {
                check_name(key.as_str(), service.name.as_str())?;
                self.check_localities(service)?;
            }
        }
        Ok(())
    }

    /// Returns the changed routes, those that reference removed services, and those that reference changed or
    /// removed secrets.
    fn routes_to_check<'a>(&'a self, delta: &'a Delta) -> BTreeSet<&'a RouteName> {
        let index = self.routes.index();
        let removed = delta.services.iter().filter(|(_, service)| service.is_none());
        let of_services = removed.flat_map(|(name, _)| index.to_service(name));
        let of_secrets = delta.secrets.keys().flat_map(|name| index.with_secret(name));
        delta.routes.keys().chain(of_services).chain(of_secrets).collect()
    }

    /// Same as [`Snapshot::check_closed`], but also checks that each caller in `scope` has a sealed value for
    /// every secret of the routes that it may call.
    ///
    /// # Errors
    /// Returns the first dangling reference or the first secret that a caller can't open.
    pub fn check_closed_for(&self, scope: &Scope) -> Result<(), ClosureError> {
        self.check_closed()?;
        for route in self.routes.values() {
            self.check_callers(route, scope)?;
        }
        Ok(())
    }

    fn check_services(&self) -> Result<(), ClosureError> {
        for (key, service) in &self.services {
            check_name(key.as_str(), service.name.as_str())?;
            self.check_localities(service)?;
        }
        Ok(())
    }

    fn check_callers(&self, route: &Route, scope: &Scope) -> Result<(), ClosureError> {
        if route.credentials.is_empty() {
            return Ok(());
        }
        for caller in route.callers.iter().filter(|caller| scope.covers_caller(caller)) {
            self.check_sealed(route, caller)?;
        }
        Ok(())
    }

    fn check_localities(&self, service: &Service) -> Result<(), ClosureError> {
        for rule in &service.allowed {
            let zones: Option<&BTreeSet<ZoneName>> = self.topology.get(&rule.region);
            let exists =
                zones.is_some_and(|zones| rule.zone.as_ref().is_none_or(|zone| zones.contains(zone)));
            if !exists {
                return Err(ClosureError::UnknownLocality {
                    service: service.name.clone(),
                    region: rule.region.clone(),
                    zone: rule.zone.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_route(&self, route: &Route) -> Result<(), ClosureError> {
        let missing = route.services().find(|service| !self.services.contains_key(*service));
        if let Some(service) = missing {
            return Err(ClosureError::RouteWithoutService {
                route: route.name.clone(),
                service: service.clone(),
            });
        }
        for credential in &route.credentials {
            if !self.secrets.contains_key(&credential.secret) {
                return Err(ClosureError::RouteWithoutSecret {
                    route: route.name.clone(),
                    secret: credential.secret.clone(),
                });
            }
        }
        Ok(())
    }

    fn check_sealed(&self, route: &Route, caller: &ServiceName) -> Result<(), ClosureError> {
        for credential in &route.credentials {
            let secret = self.secrets.get(&credential.secret);
            if !secret.is_some_and(|secret| secret.readers.contains_key(caller)) {
                return Err(ClosureError::SecretNotSealedToCaller {
                    route: route.name.clone(),
                    secret: credential.secret.clone(),
                    caller: caller.clone(),
                });
            }
        }
        Ok(())
    }
}

fn check_name(key: &str, name: &str) -> Result<(), ClosureError> {
    if key == name {
        return Ok(());
    }
    Err(ClosureError::NameMismatch { key: key.to_owned(), name: name.to_owned() })
}
