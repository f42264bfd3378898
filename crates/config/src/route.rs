//! Routes: which requests of which callers go to which service, and how they may be treated.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{Millis, RouteName, SecretName, ServiceName};

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

/// One route as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: RouteName,
    /// Service that serves the route.
    pub service: ServiceName,
    /// Services whose nodes may call the route.
    pub callers: BTreeSet<ServiceName>,
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
}
