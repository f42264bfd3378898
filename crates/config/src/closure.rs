//! Closure: nothing in a snapshot refers to something that the snapshot lacks.

use std::collections::{BTreeMap, BTreeSet};

use thiserror::Error;
use umberpond_model::{RegionName, RouteName, SecretName, ServiceName, TenantName, ZoneName};

use crate::{Delta, Route, Scope, Service, Snapshot};

/// The first dangling reference found in a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ClosureError {
    /// A route points at a service that the snapshot lacks.
    #[error("route `{route}` points at service `{service}`, which the snapshot lacks")]
    RouteWithoutService {
        /// The route.
        route: RouteName,
        /// The service it points at.
        service: ServiceName,
    },
    /// A route uses a secret that the snapshot lacks.
    #[error("route `{route}` uses secret `{secret}`, which the snapshot lacks")]
    RouteWithoutSecret {
        /// The route.
        route: RouteName,
        /// The secret it uses.
        secret: SecretName,
    },
    /// A caller inside the scope can't open a secret of a route that it calls.
    #[error("route `{route}` uses secret `{secret}`, which is not sealed to its caller `{caller}`")]
    SecretNotSealedToCaller {
        /// The route.
        route: RouteName,
        /// The secret it uses.
        secret: SecretName,
        /// The caller that lacks a sealed value.
        caller: ServiceName,
    },
    /// A service may be served in a locality that doesn't exist.
    #[error("service `{service}` allows a locality in region `{region}` that does not exist")]
    UnknownLocality {
        /// The service.
        service: ServiceName,
        /// Region of the locality rule.
        region: RegionName,
        /// Zone of the locality rule, if it names one.
        zone: Option<ZoneName>,
    },
    /// Two tenants have the same key, so that it would not be known whose requests carry it.
    #[error("tenants `{first}` and `{second}` have the same key")]
    SharedKey {
        /// The tenant that comes first.
        first: TenantName,
        /// The other one.
        second: TenantName,
    },
    /// An entry stands under a name that isn't its own.
    #[error("the entry under `{key}` calls itself `{name}`")]
    NameMismatch {
        /// Name under which the entry stands.
        key: String,
        /// Name in the entry.
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

    /// Checks that each tenant's keys are its own.
    fn check_tenants(&self) -> Result<(), ClosureError> {
        let mut holders = BTreeMap::new();
        for (name, tenant) in &self.tenants {
            check_name(name.as_str(), tenant.name.as_str())?;
            for key in &tenant.keys {
                if let Some(first) = holders.insert(key, name) {
                    return Err(ClosureError::SharedKey { first: first.clone(), second: name.clone() });
                }
            }
        }
        Ok(())
    }

    /// As [`Snapshot::check_closed_for`], for what `delta` made of a snapshot that was closed for `scope`: looks only at
    /// what changed, and at the routes that refer to what was changed or removed.
    ///
    /// # Errors
    /// Returns a dangling reference or a secret that a caller can't open, if the full check would return any.
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

    /// A changed topology concerns every service, and no route.
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

    /// Changed routes, those that point at removed services, and those that use changed or removed secrets.
    fn routes_to_check<'a>(&'a self, delta: &'a Delta) -> BTreeSet<&'a RouteName> {
        let index = self.routes.index();
        let removed = delta.services.iter().filter(|(_, service)| service.is_none());
        let of_services = removed.flat_map(|(name, _)| index.to_service(name));
        let of_secrets = delta.secrets.keys().flat_map(|name| index.with_secret(name));
        delta.routes.keys().chain(of_services).chain(of_secrets).collect()
    }

    /// As [`Snapshot::check_closed`], and checks that each caller inside `scope` has a sealed value of each secret
    /// of the routes that it calls.
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
