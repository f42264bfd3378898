//! Evacuations of zones: the store readers publish to all nodes which zones operators have evacuated.

mod store;
mod task;

pub use store::EvacuationStore;
pub(crate) use task::{EvacuationTask, follow_evacuations};
