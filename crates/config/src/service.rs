//! Services and the localities in which each may be served.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{Locality, LocalityRule, RequestRate, ServiceName};

use crate::SealKey;

/// A service of the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Localities in which a request to this service may be served; a hard constraint. An empty list allows
    /// all localities and can't be written in a bundle.
    pub allowed: Vec<LocalityRule>,
    /// Number of concurrent requests of one back end.
    pub slots: u32,
    /// Number of connections that one back end accepts.
    pub connections: u32,
    /// Key to which secrets for this service are sealed; absent if it may read no secrets.
    pub seal_key: Option<SealKey>,
    /// Path of a back end's health check; absent if it has none.
    pub health_path: Option<String>,
    /// Request rate that a cold back end can handle; absent if it is the same as for a warm one.
    pub cold_rate: Option<RequestRate>,
}

impl Service {
    /// Whether a request to this service may be served in `locality`.
    #[must_use]
    pub fn allows(&self, locality: &Locality) -> bool {
        self.allowed.is_empty() || self.allowed.iter().any(|rule| rule.allows(locality))
    }
}
