//! Evacuations of zones: the nodes that read the store tell all others which zones operators have emptied.

mod store;
mod task;

pub use store::EvacuationStore;
pub(crate) use task::{EvacuationTask, follow_evacuations};
