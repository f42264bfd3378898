//! Moves the requests of a service over to a newer release of its back ends, and back if that release is bad.
//!
//! An operator orders a rollout in the store ([`StoredRollout`]). The nodes that read the store coordinate it: each step is a
//! [`RolloutPlan`], which travels with the node's record in the membership, and every node holds the latest plan of each
//! service ([`HeldPlans`]). The node beside each back end counts its answers ([`AnswerTally`]) and reports them to the
//! coordinators ([`ReleaseEvidence`]), which compare the two releases at the same moments ([`ReleaseJudge`]) and decide on the
//! next step ([`RolloutCoordinator`]). The end is agreed on in the store, by a write under the condition that nothing else was
//! written; nothing else is.
//!
//! The core has no I/O and reads no clock.

mod coordinator;
mod evidence;
mod held;
mod judge;
mod order;
mod plan;
mod schedule;
mod windows;

pub use coordinator::{CoordinatorAction, EndpointCounts, RolloutCoordinator};
pub use evidence::{AnswerTally, ReleaseEvidence, RouteTally};
pub use held::HeldPlans;
pub use judge::{ReleaseJudge, Verdict};
pub use order::{RolloutOrder, RolloutState, StoredRollout};
pub use plan::{PlanStage, RolloutPlan};
pub use schedule::RolloutSettings;
