//! Evacuations of zones: the store readers publish to all nodes which zones operators have evacuated.

mod held;
mod store;
mod task;

pub(crate) use held::HeldEvacuations;
pub use store::EvacuationStore;
pub(crate) use task::{EvacuationTask, follow_evacuations};
