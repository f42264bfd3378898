//! Compact tenant identifiers for messages and queues.

use bitcode::{Decode, Encode};

use crate::names::TenantName;

/// Identifies a tenant in messages: a hash of its name, the same on all nodes. Two tenants whose names hash
/// to the same value would share their tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct TenantId(pub u64);

impl TenantId {
    /// The identifier of the tenant called `name`.
    #[must_use]
    pub fn of(name: &TenantName) -> Self {
        let mut first = [0; 8];
        first.copy_from_slice(&blake3::hash(name.as_str().as_bytes()).as_bytes()[..8]);
        Self(u64::from_le_bytes(first))
    }
}
