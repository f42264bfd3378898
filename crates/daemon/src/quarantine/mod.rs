//! Quarantine of requests that crash back ends: findings are sent to other nodes, and confirmed ones are
//! stored.

mod store;
mod task;

pub use store::{QuarantineFreshness, QuarantineStore, StoredQuarantine};
pub(crate) use task::{QuarantineTask, broadcast_findings, sync_quarantine};
