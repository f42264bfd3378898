//! Quarantine of requests that crash back ends: findings are sent to other nodes, confirmed ones are stored,
//! and trial runs are claimed in the store.

mod claims;
mod store;
mod task;

pub(crate) use claims::{ClaimTask, claim_trials};
pub use store::{QuarantineFreshness, QuarantineStore, StoredQuarantine, StoredTrials};
pub(crate) use task::{QuarantineTask, broadcast_findings, sync_quarantine};
