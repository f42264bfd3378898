//! The compiled routes of one version, and the look-up in them.

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

/// One route, ready for use.
#[derive(Debug, Clone)]
pub struct CompiledRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Hash of the name; all nodes use the same.
    pub number: u32,
    /// Services among which the requests are divided; never empty.
    pub destinations: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Kind of its requests.
    pub class: RequestClass,
    /// Rank among the requests for one back end: 0 is served first.
    pub priority: u8,
    /// Most back ends to which one request may be sent.
    pub attempts: u32,
    /// Longest time of a request, all attempts included.
    pub timeout: Duration,
    /// Time within which an answer is of full use.
    pub objective: Duration,
    /// Header fields set from secrets.
    pub credentials: Vec<(String, Vec<u8>)>,
    /// Whose requests it takes, and where they may be served.
    pub access: RouteAccess,
}

/// A request that no route matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoRoute {
    /// No route names this host.
    #[error("no route names this host")]
    UnknownHost,
    /// No route of the host begins the path.
    #[error("no route of the host begins the path")]
    NoMatch,
}

/// Routes of one host by path prefix, without its trailing slash.
pub(super) type HostRoutes = HashMap<Box<str>, Vec<MethodRoute>>;

/// A route and the methods it serves.
#[derive(Debug, Clone)]
pub(super) struct MethodRoute {
    /// All methods if empty.
    pub(super) methods: Vec<String>,
    /// Whether the prefix ends with a slash, which the path must have too.
    pub(super) needs_slash: bool,
    pub(super) route: Arc<CompiledRoute>,
}

impl MethodRoute {
    /// `is_whole_path`: the prefix without its slash is the whole path.
    fn serves(&self, method: &[u8], is_whole_path: bool) -> bool {
        let serves_method = || self.methods.iter().any(|served| served.as_bytes() == method);
        !(is_whole_path && self.needs_slash) && (self.methods.is_empty() || serves_method())
    }
}

/// The compiled routes of one version. Immutable; swapped as a whole.
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

    /// Whether the configuration lets `service` be served in `locality`. A service that it does not know is not
    /// restricted: no route goes there.
    #[must_use]
    pub fn allows(&self, service: &ServiceName, locality: &Locality) -> bool {
        self.services.get(service).is_none_or(|service| service.allows(locality))
    }

    /// Requests that a cold back end of `service` bears, if the configuration names a rate.
    #[must_use]
    pub fn cold_rate(&self, service: &ServiceName) -> Option<RequestRate> {
        self.services.get(service)?.cold_rate
    }

    /// The tenants.
    #[must_use]
    pub const fn tenants(&self) -> &Arc<TenantTable> {
        &self.tenants
    }

    /// Count of routes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.hosts.values().flat_map(HashMap::values).map(Vec::len).sum()
    }

    /// Whether there is no route.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// The route of a request: of those of `host` whose prefix begins `path`, the one with the longest prefix. A
    /// prefix ends at a path segment; one that ends with a slash does not match the path without it. `host` may carry a port, `target` a query.
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
