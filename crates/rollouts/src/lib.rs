//! Shifts the requests of a service to a newer release of its back ends, and back if that release is bad.
//!
//! An operator orders a rollout in the store ([`StoredRollout`]). The nodes that read the store coordinate
//! it. Each step is a [`RolloutPlan`], which is distributed with the node's membership record, and every node
//! keeps the latest plan of each service ([`HeldPlans`]). The node beside each back end counts its responses
//! ([`ResponseTally`]) and reports the counts to the coordinators ([`ReleaseEvidence`]). These compare the
//! two releases over the same period ([`ReleaseJudge`]) and decide on the next step ([`RolloutCoordinator`]).
//! The coordinators agree only on the final state, by a conditional write to the store.
//!
//! This crate does no I/O and reads no clock.

mod active_rollout;
mod coordinator;
mod evidence;
mod held;
mod judge;
mod order;
mod plan;
mod schedule;
mod windows;

pub use active_rollout::EndpointCounts;
pub use coordinator::{CoordinatorAction, RolloutCoordinator};
pub use evidence::{ReleaseEvidence, ResponseTally, RouteTally};
pub use held::HeldPlans;
pub use judge::{ReleaseJudge, Verdict};
pub use order::{ListedRollouts, RolloutOrder, RolloutState, StoredRollout};
pub use plan::{PlanStage, RolloutPlan};
pub use schedule::RolloutSettings;
