//! The version chain on one node: what it holds, what it may activate, and the version floor that survives
//! restarts without a disk.
//!
//! All cores here are plain state machines: no socket, no clock, no spawn. Every map is ordered, and nonces are
//! handed in, so that the same inputs give the same outputs.
//!
//! | core | duty |
//! |---|---|
//! | [`VersionStore`] | snapshots a node holds, and the next one that it may put in force |
//! | [`CommitTracker`] | commit index, computed by readers from what the witnesses hold |
//! | [`Witness`] | a witness's answers, and its recovery after a restart |
//! | [`FloorRound`] | one quorum read of the witnesses for a version floor |
//! | [`FloorBatcher`] | joins many floor questions into one round |
//!
//! The rules and their proofs are in `docs/design/0031-commit-index-and-witness-recovery.md`.

mod answer;
mod batch;
mod commit;
mod floor;
mod history;
mod quorum;
mod scoped_view;
mod step;
mod store;
mod witness;
mod witness_sets;

pub use answer::{WitnessAnswer, WitnessMessage};
pub use batch::{FloorAnswer, FloorBatcher};
pub use commit::{CommitTracker, RecordGap};
pub use floor::{FloorRound, RoundState};
pub use quorum::{has_majority, majority};
pub use scoped_view::ScopedView;
pub use step::{ComposedStep, StepError, Whole};
pub use store::{Resize, VersionStore};
pub use witness::{Witness, WitnessState};
