//! Messages that nodes exchange about tokens.

use bitcode::{Decode, Encode};
use umberpond_model::TenantId;

/// Tokens of one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct TokenCount {
    /// The tenant.
    pub tenant: TenantId,
    /// Number of tokens.
    pub tokens: u32,
}

/// Tokens that a node requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WantedTokens {
    /// The tenant.
    pub tenant: TenantId,
    /// Number for waiting requests.
    pub waiting: u32,
    /// Number for requests expected soon.
    pub ahead: u32,
}

/// Report of a node to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReport {
    /// Identifies the sending process among all processes of all nodes.
    pub process_id: u64,
    /// Sequence number of the report within that process.
    pub number: u64,
    /// Time that the sender accrued and hands to the pool, in nanoseconds of the time of all nodes.
    pub accrued_nanos: u64,
    /// Tokens that the sender spent out of that time itself.
    pub spent: Vec<TokenCount>,
    /// Granted tokens that the sender returns unused.
    pub returned: Vec<TokenCount>,
    /// Requested tokens.
    pub wanted: Vec<WantedTokens>,
}

/// Reply of a pool to a report.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// Sequence number of the report that this replies to.
    pub number: u64,
    /// Granted tokens for each requested tenant, in the order of the request.
    pub granted: Vec<TokenCount>,
}
