//! Rollouts: reports on the responses of the local back end, and coordination by the store readers.

mod store;
mod task;

pub use store::{RolloutStore, WriteError};
pub(crate) use task::{RolloutTask, RolloutView, run_rollouts};
