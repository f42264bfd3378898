//! Routes: which requests of which callers go to which service, and how they are handled.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{HomeRegions, Millis, RouteName, SecretName, ServiceName};

/// Importance of a request. Under overload the lowest class is shed first; the variants are in ascending
/// order.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Reports and other work that can be delayed.
    Reporting,
    /// Status look-ups, archive pages, hints: read requests of users.
    Status,
    /// Renewals, purchases, activations: requests that change data.
    Transaction,
    /// Internal checks that other requests wait for.
    Internal,
}

/// A request header that the outbound proxy sets from a secret.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct HeaderCredential {
    /// Lower-case header name.
    pub header: String,
    /// Secret that provides the header's value.
    pub secret: SecretName,
}

/// A service that serves part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct Destination {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the sum over all destinations of the route.
    pub weight: u32,
}

/// Default of [`RoutePolicy::attempts`].
const DEFAULT_ATTEMPTS: u32 = 3;

/// Attempts, latency objective and priority of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RoutePolicy {
    /// Maximum number of upstreams that may run one request, at least 1. Upstreams that rejected it have not
    /// run it.
    pub attempts: u32,
    /// Time within which a response has its full value; absent if the route has no objective.
    pub objective: Option<Millis>,
    /// Rank among the requests for one back end; 0 is served first. If absent, the route's class determines
    /// it.
    pub priority: Option<u8>,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self { attempts: DEFAULT_ATTEMPTS, objective: None, priority: None }
    }
}

/// The tenants whose requests a route accepts, and the regions in which they may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RouteAccess {
    /// Whether requests need no tenant key even if tenants are configured.
    pub is_public: bool,
    /// Regions in which the requests may be served.
    pub homes: HomeRegions,
}

/// A route of the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Service that serves the route.
    pub service: ServiceName,
    /// Services whose nodes may call the route; all services if empty.
    pub callers: BTreeSet<ServiceName>,
    /// Host of the requests; the name of the service if absent.
    pub host: Option<String>,
    /// Services among which the requests are split; all requests go to `service` if empty.
    pub split: Vec<Destination>,
    /// Attempts, objective and priority.
    pub policy: RoutePolicy,
    /// Path prefix of the requests; the longest matching prefix wins. Matching ends at a path segment.
    pub path_prefix: String,
    /// Upper-case methods that match; all if empty.
    pub methods: BTreeSet<String>,
    /// Whether a request may run more than once. Defaults to `false` in bundles.
    pub idempotent: bool,
    /// Importance under overload.
    pub class: RequestClass,
    /// Maximum time for a request, including all attempts.
    pub timeout: Millis,
    /// Headers set from secrets.
    pub credentials: Vec<HeaderCredential>,
    /// Tenants whose requests are accepted, and regions in which they may be served.
    pub access: RouteAccess,
}

impl Route {
    /// Whether nodes of `caller` may call the route.
    #[must_use]
    pub fn may_be_called_by(&self, caller: &ServiceName) -> bool {
        self.callers.is_empty() || self.callers.contains(caller)
    }

    /// Every service that serves requests of this route.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        std::iter::once(&self.service).chain(self.split.iter().map(|destination| &destination.service))
    }
}
