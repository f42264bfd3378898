//! What nodes tell one another of tokens.

use bitcode::{Decode, Encode};
use umberpond_model::TenantId;

/// Tokens of one tenant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct TokenCount {
    /// The tenant.
    pub tenant: TenantId,
    /// How many.
    pub tokens: u32,
}

/// Tokens that a node asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct WantedTokens {
    /// The tenant.
    pub tenant: TenantId,
    /// For requests that wait.
    pub waiting: u32,
    /// For those that are expected soon.
    pub ahead: u32,
}

/// From a node to a pool.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaReport {
    /// The process that sends it.
    pub life: u64,
    /// Count of the reports of this process.
    pub number: u64,
    /// Nanoseconds of the time of all nodes that the sender has earned, and hands on.
    pub earned_nanos: u64,
    /// Tokens that it has taken out of that time by itself.
    pub spent: Vec<TokenCount>,
    /// Tokens that it was given, has not used and gives back.
    pub returned: Vec<TokenCount>,
    /// Tokens that it asks for.
    pub wanted: Vec<WantedTokens>,
}

/// From a pool to a node.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct QuotaGrant {
    /// Number of the report that is answered.
    pub number: u64,
    /// Tokens given, for each tenant that was asked for, in the order of the question.
    pub granted: Vec<TokenCount>,
}
