//! Snapshots: closed, immutable configurations that are cheap to copy.

use std::collections::{BTreeMap, BTreeSet};

use umberpond_model::{ContentHash, RegionName, RouteName, SecretName, ServiceName, ZoneName};

use crate::content_hasher::ContentHasher;
use crate::encoding::{self, DecodeError};
use crate::{Delta, Entries, Entry, RequestLimits, Route, Scope, Secret, Service, Tenant};

/// Regions and their zones.
pub type Topology = BTreeMap<RegionName, BTreeSet<ZoneName>>;

/// A configuration, either full or restricted to a scope. Copies share their content.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// Existing regions and zones.
    pub topology: Topology,
    /// Limits on requests.
    pub limits: RequestLimits,
    /// Services by name.
    pub services: Entries<Service>,
    /// Routes by name.
    pub routes: Entries<Route>,
    /// Secrets by name.
    pub secrets: Entries<Secret>,
    /// Tenants by name; if there are none, requests need no key.
    pub tenants: Entries<Tenant>,
}

impl Snapshot {
    /// Returns the content hash, which is equal for equal content regardless of how it was created. It covers
    /// the topology, the limits and the kind, name and hash of each entry.
    #[must_use]
    pub fn content_hash(&self) -> ContentHash {
        let mut hasher = ContentHasher::new();
        hasher.topology(&self.topology);
        hasher.limits(&self.limits);
        hasher.entries("service", &self.services);
        hasher.entries("route", &self.routes);
        hasher.entries("secret", &self.secrets);
        hasher.entries("tenant", &self.tenants);
        hasher.finish()
    }

    /// Number of entries of all kinds.
    #[must_use]
    pub fn entry_count(&self) -> usize {
        self.services.len() + self.routes.len() + self.secrets.len() + self.tenants.len()
    }

    /// Returns the part of this snapshot that `scope` covers. It is closed if this snapshot is closed.
    ///
    /// A secret keeps only the sealed values of services in the scope; a route keeps all its callers. All
    /// tenants are kept, because requests of any tenant can arrive at any node.
    #[must_use]
    pub fn restrict(&self, scope: &Scope) -> Self {
        let Scope::Callers(callers) = scope else {
            return self.clone();
        };
        let routes = self.routes_of(callers);
        Self {
            topology: self.topology.clone(),
            limits: self.limits,
            services: self.services_behind(&routes, callers),
            secrets: self.secrets_used(&routes, callers),
            tenants: self.tenants.clone(),
            routes,
        }
    }

    /// Encodes the full content; [`Snapshot::from_bytes`] decodes it.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        encoding::encode(&Delta::between(&Self::default(), self))
    }

    /// Decodes the output of [`Snapshot::to_bytes`].
    ///
    /// # Errors
    /// Returns [`DecodeError`] for an unknown schema or damaged bytes.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DecodeError> {
        let content: Delta = encoding::decode(bytes)?;
        Ok(content.apply(&Self::default()))
    }

    fn routes_of(&self, callers: &BTreeSet<ServiceName>) -> Entries<Route> {
        let called = callers.iter().flat_map(|caller| self.routes.index().of_caller(caller));
        let names: BTreeSet<&RouteName> = called.collect();
        names.into_iter().map(|name| (name.clone(), self.routes[name].clone())).collect()
    }

    fn services_behind(&self, routes: &Entries<Route>, callers: &BTreeSet<ServiceName>) -> Entries<Service> {
        let called = routes.values().flat_map(|route| route.services());
        let needed: BTreeSet<&ServiceName> = called.chain(callers).collect();
        needed
            .into_iter()
            .filter_map(|name| self.services.get_key_value(name))
            .map(|(name, service)| (name.clone(), service.clone()))
            .collect()
    }

    fn secrets_used(&self, routes: &Entries<Route>, callers: &BTreeSet<ServiceName>) -> Entries<Secret> {
        let credentials = routes.values().flat_map(|route| &route.credentials);
        let needed: BTreeSet<&SecretName> = credentials.map(|credential| &credential.secret).collect();
        needed
            .into_iter()
            .filter_map(|name| self.secrets.get_key_value(name))
            .map(|(name, secret)| (name.clone(), Entry::new(secret.restrict(callers))))
            .collect()
    }
}
