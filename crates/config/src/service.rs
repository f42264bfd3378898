//! Services and the localities in which each may be served.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{Locality, LocalityRule, RequestRate, ServiceName};

use crate::SealKey;

/// One service as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Localities in which a request to this service may be served: a hard filter. Anywhere if empty, which a
    /// bundle can't say.
    pub allowed: Vec<LocalityRule>,
    /// Requests one back end runs at once.
    pub slots: u32,
    /// Connections one back end accepts.
    pub connections: u32,
    /// Key to which secrets for this service are sealed; absent if it may hold none.
    pub seal_key: Option<SealKey>,
    /// Path under which a back end tells whether it is well; absent if it tells nothing.
    pub health_path: Option<String>,
    /// Requests that a back end bears while it is cold; absent if it bears as many as at other times.
    pub cold_rate: Option<RequestRate>,
}

impl Service {
    /// Whether a request to this service may be served in `locality`.
    #[must_use]
    pub fn allows(&self, locality: &Locality) -> bool {
        self.allowed.is_empty() || self.allowed.iter().any(|rule| rule.allows(locality))
    }
}
