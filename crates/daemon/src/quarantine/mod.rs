//! Requests that end back ends: what was found here is told on, and what is certain is kept in the store.

mod store;
mod task;

pub use store::{QuarantineFreshness, QuarantineStore, StoredQuarantine};
pub(crate) use task::{QuarantineTask, keep_quarantine, tell_news};
