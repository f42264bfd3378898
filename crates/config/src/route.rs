//! Routes: which requests of which callers go to which service, and how they may be treated.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{HomeRegions, Millis, RouteName, SecretName, ServiceName};

/// Importance of a request. Under overload the lowest class is shed first; the order of the variants is that order.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum RequestClass {
    /// Reports and other work that can wait.
    Reporting,
    /// Status look-ups, archive pages, hints: what a person reads.
    Status,
    /// Renewals, purchases, activations: what changes something.
    Transaction,
    /// Internal checks on which other requests wait.
    Internal,
}

/// A request header that the outbound proxy sets from a secret.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct HeaderCredential {
    /// Lower-case header name.
    pub header: String,
    /// Secret whose value becomes the header's value.
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

/// Upstreams to which one request may be sent where a route says nothing.
const DEFAULT_ATTEMPTS: u32 = 3;

/// How hard and in which order the requests of a route are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RoutePolicy {
    /// Most upstreams that may run one request, at least 1. Those that turned it away have not run it.
    pub attempts: u32,
    /// Time within which an answer is of full use; absent if the route names none.
    pub objective: Option<Millis>,
    /// Rank among the requests for one back end: 0 is served first. Absent: by the route's class.
    pub priority: Option<u8>,
}

impl Default for RoutePolicy {
    fn default() -> Self {
        Self { attempts: DEFAULT_ATTEMPTS, objective: None, priority: None }
    }
}

/// Whose requests a route takes, and where they may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct RouteAccess {
    /// Whether requests need no key of a tenant, even if there are tenants.
    pub is_public: bool,
    /// Where the requests may be served.
    pub homes: HomeRegions,
}

/// One route as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Service that serves the route.
    pub service: ServiceName,
    /// Services whose nodes may call the route; those of every service if empty.
    pub callers: BTreeSet<ServiceName>,
    /// Host that the requests name; the name of the service if absent.
    pub host: Option<String>,
    /// Services among which the requests are divided; all go to `service` if empty.
    pub split: Vec<Destination>,
    /// Attempts, objective and priority.
    pub policy: RoutePolicy,
    /// Path prefix of the requests; the longest matching prefix wins. Matching ends at a path segment.
    pub path_prefix: String,
    /// Upper-case methods that match; all if empty.
    pub methods: BTreeSet<String>,
    /// Whether a request may run more than once. Unsaid in a bundle means `false`.
    pub idempotent: bool,
    /// Importance under overload.
    pub class: RequestClass,
    /// Longest time a request may take, all attempts included.
    pub timeout: Millis,
    /// Headers set from secrets.
    pub credentials: Vec<HeaderCredential>,
    /// Whose requests it takes, and where they may be served.
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
