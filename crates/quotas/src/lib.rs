//! Keeps each tenant's quota over all nodes together, whatever is cut off, restarted or suspended.
//!
//! A request needs a token of its tenant. Tokens are earned by time, and every node earns an equal part of each second
//! ([`EarnedTime`]). A node hands what it has earned on to one of a few nodes, its pools ([`TokenPool`]), and asks it for tokens of the tenants
//! whose requests enter here ([`QuotaReport`], [`QuotaGrant`]). What was handed on is gone here, and what is lost on the way is lost: whoever is
//! taken for a pool by whom, all nodes together earn one second a second, so that no tenant gets more than its rate and what was stored. A process
//! that starts has earned nothing.
//!
//! Two ways to share stand behind [`QuotaSharing`]: [`PooledShares`], described above, and [`OwnShares`], in which each node keeps what it earns.
//! The core has no I/O and reads no clock.

mod earned;
mod held;
mod limit;
mod message;
mod own;
mod pool;
mod pooled;
mod sharing;

pub use earned::EarnedTime;
pub use message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
pub use own::OwnShares;
pub use pool::TokenPool;
pub use pooled::PooledShares;
pub use sharing::{MAX_TOKEN_WAIT, QuotaSharing, Quotas, TokenDecision, quotas_of};
