//! Enforces each tenant's quota across all nodes, including during network partitions, restarts and process
//! suspensions.
//!
//! Each request needs a token of its tenant. Tokens accrue over time, and every node accrues an equal share
//! of each second ([`AccruedTime`]). A node reports its accrued time to one of a few nodes that act as pools
//! ([`TokenPool`]), and requests tokens for the tenants whose requests arrive at it ([`QuotaReport`],
//! [`QuotaGrant`]). Reported time is removed at the sender, and time lost in transit is lost for good.
//! Whichever nodes act as pools for whom, all nodes together accrue one second per second, so no tenant gets
//! more than its rate plus the stored tokens. A process starts without accrued time.
//!
//! [`QuotaSharing`] has two implementations: [`PooledShares`], described above, and [`LocalShares`], where each
//! node keeps what it accrues. The crate performs no I/O and reads no clock.

mod accrued;
mod held;
mod limit;
mod local;
mod message;
mod pool;
mod pooled;
mod sharing;

pub use accrued::AccruedTime;
pub use local::LocalShares;
pub use message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
pub use pool::TokenPool;
pub use pooled::PooledShares;
pub use sharing::{MAX_TOKEN_WAIT, QuotaSharing, Quotas, TokenDecision, quotas_of};
