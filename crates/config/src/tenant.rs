//! Tenants: whose requests they are, by what key that is known, and how many of them there may be.

use std::collections::BTreeSet;
use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{HomeRegions, RequestRate, TenantName};

/// Domain separation from every other use of BLAKE3.
const KEY_DOMAIN: &str = "umberpond 2026 tenant key 1";
/// Bytes of a hash that are printed.
const PRINTED_BYTES: usize = 4;

/// What is kept of a tenant's key: its hash, from which the key can't be found again. Two are compared in constant time.
#[derive(Clone, Copy, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct KeyHash([u8; 32]);

impl KeyHash {
    /// The hash of `key`.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(blake3::derive_key(KEY_DOMAIN, key))
    }

    /// The first bytes, by which entries are found; the rest is compared with `==`.
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

/// How many requests a tenant may send, over all nodes together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Quota {
    /// Requests in the long run.
    pub rate: RequestRate,
    /// Requests beyond the rate that may come at once.
    pub burst: u64,
}

/// One tenant as it is in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct Tenant {
    /// Name of the tenant, which back ends are told.
    pub name: TenantName,
    /// The keys by which its requests are known.
    pub keys: BTreeSet<KeyHash>,
    /// Rank of its requests among those for one back end, in place of the route's; 0 is served first.
    pub priority: Option<u8>,
    /// How many requests it may send; any number if absent.
    pub quota: Option<Quota>,
    /// Where its requests may be served.
    pub homes: HomeRegions,
}
