//! One step of a rollout, as nodes send it to each other.

use bitcode::{Decode, Encode};
use umberpond_model::{ReleaseName, ServiceName, StoreRevision};

/// All requests, in thousandths.
pub(crate) const ALL_PERMILLE: u16 = 1000;

/// Which release gets the requests of a service. Later stages compare as greater. Of two plans for the same
/// order the one with the greater stage is in force, so a share shrinks only by reverting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum PlanStage {
    /// The target gets this many thousandths of the requests.
    Share(u16),
    /// The target gets no requests; this is not yet written to the store.
    Reverting,
    /// The target gets no requests, as written to the store.
    Reverted,
    /// The target gets all requests, as written to the store.
    Complete,
}

impl PlanStage {
    /// Thousandths of the requests that go to the target.
    #[must_use]
    pub const fn target_permille(self) -> u16 {
        match self {
            Self::Share(permille) => permille,
            Self::Reverting | Self::Reverted => 0,
            Self::Complete => ALL_PERMILLE,
        }
    }

    /// Whether back ends of the target accept no requests.
    #[must_use]
    pub const fn closes_target(self) -> bool {
        matches!(self, Self::Reverting | Self::Reverted)
    }

    /// Whether back ends of other releases accept no requests.
    #[must_use]
    pub const fn closes_others(self) -> bool {
        matches!(self, Self::Share(ALL_PERMILLE) | Self::Complete)
    }

    /// Whether the rollout is still in progress.
    #[must_use]
    pub const fn is_running(self) -> bool {
        matches!(self, Self::Share(_) | Self::Reverting)
    }

    /// The name of the stage, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Share(_) => "share",
            Self::Reverting => "reverting",
            Self::Reverted => "reverted",
            Self::Complete => "complete",
        }
    }
}

/// One step of the rollout of one service.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct RolloutPlan {
    /// The service.
    pub service: ServiceName,
    /// Release that its requests are shifted to.
    pub target: ReleaseName,
    /// Store revision at which the order was created. A plan for a later order supersedes one for an earlier
    /// order.
    pub created_revision: StoreRevision,
    /// Store revision at which the coordinator first read this target, to compare orders that were changed in
    /// place.
    pub target_revision: StoreRevision,
    /// Milliseconds from the order until the plan was published.
    pub elapsed_millis: u32,
    /// Which release gets the requests.
    pub stage: PlanStage,
}

impl RolloutPlan {
    /// Whether both are steps of the same order.
    #[must_use]
    pub fn is_same_order(&self, other: &Self) -> bool {
        self.created_revision == other.created_revision && self.target == other.target
    }

    /// Whether this plan replaces `held`.
    #[must_use]
    pub fn supersedes(&self, held: &Self) -> bool {
        if self.is_same_order(held) {
            return self.stage > held.stage;
        }
        (self.created_revision, self.target_revision) > (held.created_revision, held.target_revision)
    }
}
