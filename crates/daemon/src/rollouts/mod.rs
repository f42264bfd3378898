//! Rollouts: reports of the own back end's answers, and coordination by the nodes that read the store.

mod store;
mod task;

pub use store::{RolloutStore, WriteError};
pub(crate) use task::{RolloutTask, RolloutView, run_rollouts};
