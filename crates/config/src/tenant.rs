//! Tenants: their keys, priorities, quotas and home regions.

use std::collections::BTreeSet;
use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{HomeRegions, RequestRate, TenantName};

/// Context string that separates this hash from other uses of BLAKE3.
const KEY_CONTEXT: &str = "umberpond 2026 tenant key 1";
/// Number of bytes of a hash that are printed.
const PRINTED_BYTES: usize = 4;

/// Hash of a tenant's key, from which the key can't be recovered. Hashes are compared in constant time.
#[derive(Clone, Copy, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// Computes the hash of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_CONTEXT, key))
    }

    /// Returns the first bytes, which are used for lookups; the full hashes are then compared with `==`.
    #[must_use]
    pub fn prefix(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl PartialEq for KeyHash {
    fn eq(&self, other: &Self) -> bool {
        blake3::Hash::from_bytes(self.0) == blake3::Hash::from_bytes(other.0)
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyHash(")?;
        for byte in &self.0[..PRINTED_BYTES] {
            write!(formatter, "{byte:02x}")?;
        }
        formatter.write_str("..)")
    }
}

/// Number of requests that a tenant may send, across all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Quota {
    /// Long-term request rate.
    pub rate: RequestRate,
    /// Number of requests that may exceed the rate in a burst.
    pub burst: u64,
}

/// A tenant of the active configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant, which is sent to back ends.
    pub name: TenantName,
    /// Hashes of the keys that identify its requests.
    pub keys: BTreeSet<KeyHash>,
    /// Rank of its requests among those for one back end, which overrides the route's; 0 is served first.
    pub priority: Option<u8>,
    /// Request quota; unlimited if absent.
    pub quota: Option<Quota>,
    /// Regions in which its requests may be served.
    pub homes: HomeRegions,
}
