//! The ledger: what a back end truly ran.

use serde::{Deserialize, Serialize};
use umberpond_model::{Locality, ServiceName};

/// One request that a back end began to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Request id, if the request carried one.
    pub request_id: Option<String>,
    /// Idempotency key, if the request carried one.
    pub idempotency_key: Option<String>,
    /// Path and query.
    pub path: String,
    /// When it began, in milliseconds since the back end started.
    pub started_millis: u64,
    /// When its answer was handed over whole, in milliseconds since the back end started.
    pub finished_millis: Option<u64>,
    /// Request limit that its answer advertised, in thousandths per second.
    #[serde(default)]
    pub advertised_limit: Option<u64>,
    /// Whether its answer said that the back end is about to shut down.
    #[serde(default)]
    pub said_leaving: bool,
    /// Whether it was given up: the connection closed, the deadline passed, or the answer was cut.
    pub cancelled: bool,
}

/// The ledger of one back end, with what is needed to judge it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Name of the back end.
    pub backend: String,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Where it runs.
    pub locality: Locality,
    /// Requests in the order in which they began.
    pub entries: Vec<LedgerEntry>,
}
