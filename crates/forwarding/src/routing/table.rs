//! Compiled routes of one configuration version, and the lookup of routes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use umberpond_config::{Entries, RequestClass, RequestLimits, RouteAccess, Service};
use umberpond_model::{Locality, RequestRate, RouteName, ServiceName, Version};

use super::tenants::TenantTable;

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the sum over the route.
    pub weight: u32,
}

/// A compiled route.
#[derive(Debug, Clone)]
pub struct CompiledRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Hash of the name; the same on all nodes.
    pub number: u32,
    /// Services that the requests are distributed to; never empty.
    pub destinations: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Class of its requests.
    pub class: RequestClass,
    /// Priority rank among the requests for one back end: 0 is served first.
    pub priority: u8,
    /// Maximum number of back ends that one request may be sent to.
    pub attempts: u32,
    /// Timeout of a request, all attempts included.
    pub timeout: Duration,
    /// Time within which a response is fully useful.
    pub objective: Duration,
    /// Header fields whose values are secrets.
    pub credentials: Vec<(String, Vec<u8>)>,
    /// Which callers may use it, and where its requests may be served.
    pub access: RouteAccess,
}

/// Reasons why no route matches a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoRoute {
    /// No route is defined for this host.
    #[error("no route is defined for this host")]
    UnknownHost,
    /// No route of the host has a prefix of the path.
    #[error("no route of the host matches the path")]
    NoMatch,
}

/// Routes of one host by path prefix without trailing slash.
pub(super) type HostRoutes = HashMap<Box<str>, Vec<MethodRoute>>;

/// A route and the methods it accepts.
#[derive(Debug, Clone)]
pub(super) struct MethodRoute {
    /// All methods if this is empty.
    pub(super) methods: Vec<String>,
    /// Whether the prefix ends with a slash, which the path must then contain too.
    pub(super) needs_slash: bool,
    pub(super) route: Arc<CompiledRoute>,
}

impl MethodRoute {
    /// Whether the route accepts `method`. `is_whole_path` is set if the prefix without its slash is the
    /// whole path.
    fn serves(&self, method: &[u8], is_whole_path: bool) -> bool {
        let serves_method = || self.methods.iter().any(|served| served.as_bytes() == method);
        !(is_whole_path && self.needs_slash) && (self.methods.is_empty() || serves_method())
    }
}

/// The compiled routes of one configuration version. Immutable, and replaced as a whole.
#[derive(Debug)]
pub struct RoutingTable {
    pub(super) version: Version,
    pub(super) limits: RequestLimits,
    pub(super) services: Entries<Service>,
    pub(super) hosts: HashMap<Box<str>, HostRoutes>,
    pub(super) tenants: Arc<TenantTable>,
}

impl RoutingTable {
    /// Version of the configuration.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Limits on requests.
    #[must_use]
    pub const fn limits(&self) -> &RequestLimits {
        &self.limits
    }

    /// Whether the configuration allows serving `service` in `locality`. An unknown service isn't restricted:
    /// no route leads to it.
    #[must_use]
    pub fn allows(&self, service: &ServiceName, locality: &Locality) -> bool {
        self.services.get(service).is_none_or(|service| service.allows(locality))
    }

    /// Request rate that a cold back end of `service` can handle, if configured.
    #[must_use]
    pub fn cold_rate(&self, service: &ServiceName) -> Option<RequestRate> {
        self.services.get(service)?.cold_rate
    }

    /// The tenants of the configuration.
    #[must_use]
    pub const fn tenants(&self) -> &Arc<TenantTable> {
        &self.tenants
    }

    /// Number of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().flat_map(HashMap::values).map(Vec::len).sum()
    }

    /// Whether there are no routes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Finds the route of a request: among the routes of `host` whose prefix matches `path`, the one with the
    /// longest prefix. A prefix matches whole path segments; one that ends with a slash does not match the
    /// path without it. `host` may include a port, and `target` a query.
    ///
    /// # Errors
    /// Returns [`NoRoute`] if nothing matches.
    pub fn find(&self, host: &str, method: &[u8], target: &str) -> Result<&Arc<CompiledRoute>, NoRoute> {
        let routes = self.host(host).ok_or(NoRoute::UnknownHost)?;
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let mut candidate = path;
        loop {
            let is_whole_path = candidate.len() == path.len();
            let of_prefix = routes.get(candidate).into_iter().flatten();
            let matching = of_prefix.into_iter().find(|route| route.serves(method, is_whole_path));
            if let Some(found) = matching {
                return Ok(&found.route);
            }
            let end = candidate.rfind('/').ok_or(NoRoute::NoMatch)?;
            candidate = &candidate[..end];
        }
    }

    fn host(&self, host: &str) -> Option<&HostRoutes> {
        let bare = host.rsplit_once(':').map_or(host, |(bare, _port)| bare);
        if let Some(routes) = self.hosts.get(bare) {
            return Some(routes);
        }
        self.hosts.get(bare.to_ascii_lowercase().as_str())
    }
}
