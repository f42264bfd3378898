//! The compiled table and its look-up.

use std::collections::BTreeMap;

use http::{HeaderName, HeaderValue, Method};
use thiserror::Error;
use umberpond_config::{Entries, RequestClass, Service};
use umberpond_model::{Millis, RouteName, ServiceName, Version};

/// One route, ready for use.
#[derive(Clone)]
pub struct CompiledRoute {
    /// Name of the route.
    pub name: RouteName,
    /// Service that serves it.
    pub service: ServiceName,
    /// Methods that match; all if empty.
    pub(crate) methods: Vec<Method>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Importance under overload.
    pub class: RequestClass,
    /// Longest time of a request, all attempts and the answer's body included.
    pub timeout: Millis,
    /// Headers set from secrets; the values are marked sensitive.
    pub(crate) credentials: Vec<(HeaderName, HeaderValue)>,
}

impl std::fmt::Debug for CompiledRoute {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CompiledRoute")
            .field("name", &self.name)
            .field("service", &self.service)
            .field("idempotent", &self.idempotent)
            .field("class", &self.class)
            .finish_non_exhaustive()
    }
}

impl CompiledRoute {
    fn matches(&self, method: &Method) -> bool {
        self.methods.is_empty() || self.methods.contains(method)
    }

    /// Order among routes of one prefix: those that list methods first, then those that may not repeat.
    fn precedence(&self) -> (bool, bool, &RouteName) {
        (self.methods.is_empty(), self.idempotent, &self.name)
    }
}

/// Routes of one service by path prefix.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceRoutes {
    prefixes: BTreeMap<Box<str>, Vec<CompiledRoute>>,
    /// Most `/` in any prefix; a longer path is cut there before it is looked up.
    deepest: usize,
}

impl ServiceRoutes {
    pub(crate) fn insert(&mut self, prefix: &str, route: CompiledRoute) {
        self.deepest = self.deepest.max(slashes(prefix));
        let routes = self.prefixes.entry(Box::from(prefix)).or_default();
        routes.push(route);
        routes.sort_by(|left, right| left.precedence().cmp(&right.precedence()));
    }

    fn find(&self, method: &Method, path: &str) -> Option<&CompiledRoute> {
        let mut candidate = first_segments(path, self.deepest);
        loop {
            let routes = self.prefixes.get(candidate);
            if let Some(route) = routes.and_then(|routes| routes.iter().find(|route| route.matches(method))) {
                return Some(route);
            }
            let end = candidate.rfind('/')?;
            candidate = &candidate[..end];
        }
    }
}

fn slashes(text: &str) -> usize {
    text.bytes().filter(|byte| *byte == b'/').count()
}

/// The part of `path` that holds at most `count` segments.
fn first_segments(path: &str, count: usize) -> &str {
    match path.match_indices('/').nth(count) {
        Some((end, _)) => &path[..end],
        None => path,
    }
}

/// A matched route and its service.
#[derive(Debug, Clone, Copy)]
pub struct RouteMatch<'a> {
    /// The route.
    pub route: &'a CompiledRoute,
    /// The service that serves it.
    pub service: &'a Service,
}

/// A request that no route of this node matches.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoRoute {
    /// No service of this name is in this node's scope.
    #[error("no service of this name is in this node's scope")]
    UnknownHost,
    /// The service has no route for this path and method.
    #[error("the service has no route for this path and method")]
    NoMatch,
}

/// The compiled routes of one version. Immutable; swapped as a whole.
#[derive(Debug, Clone)]
pub struct RoutingTable {
    version: Version,
    services: Entries<Service>,
    routes: BTreeMap<ServiceName, ServiceRoutes>,
}

impl RoutingTable {
    pub(crate) const fn new(
        version: Version,
        services: Entries<Service>,
        routes: BTreeMap<ServiceName, ServiceRoutes>,
    ) -> Self {
        Self { version, services, routes }
    }

    /// Version of the snapshot that this table was compiled from.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.version
    }

    /// A service of the snapshot.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|service| &**service)
    }

    /// Services that the routes of this table call.
    pub fn called_services(&self) -> impl Iterator<Item = &Service> {
        self.routes.keys().filter_map(|name| self.service(name.as_str()))
    }

    /// Finds the route for a request: of the routes of the service `host` that match path and method, the one
    /// with the longest prefix. `host` is a bare lower-case service name, `path` starts with `/` and has no query.
    ///
    /// # Errors
    /// Returns [`NoRoute`] if nothing matches.
    pub fn find(&self, host: &str, method: &Method, path: &str) -> Result<RouteMatch<'_>, NoRoute> {
        let routes = self.routes.get(host).ok_or(NoRoute::UnknownHost)?;
        let route = routes.find(method, path).ok_or(NoRoute::NoMatch)?;
        let service = self.service(host).ok_or(NoRoute::UnknownHost)?;
        Ok(RouteMatch { route, service })
    }
}
