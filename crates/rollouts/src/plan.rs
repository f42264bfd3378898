//! One step of a rollout, as nodes tell it to one another.

use bitcode::{Decode, Encode};
use umberpond_model::{ReleaseName, ServiceName};

/// Thousandths of all requests.
pub(crate) const ALL_PERMILLE: u16 = 1000;

/// Which release gets the requests of a service. Later stages are greater: of two plans for one order the greater is in force,
/// so a share never shrinks but by reverting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum PlanStage {
    /// The target gets so many thousandths of the requests.
    Share(u16),
    /// The target gets none any more; the store does not know it yet.
    Reverting,
    /// The store has it that the target gets none.
    Reverted,
    /// The store has it that the target gets all.
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

    /// Whether back ends of the target take no request.
    #[must_use]
    pub const fn closes_target(self) -> bool {
        matches!(self, Self::Reverting | Self::Reverted)
    }

    /// Whether back ends of other releases take no request.
    #[must_use]
    pub const fn closes_others(self) -> bool {
        matches!(self, Self::Share(ALL_PERMILLE) | Self::Complete)
    }

    /// Whether the rollout goes on.
    #[must_use]
    pub const fn is_running(self) -> bool {
        matches!(self, Self::Share(_) | Self::Reverting)
    }

    /// The stage as one word, for logs.
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
    /// Release to which its requests are moved.
    pub target: ReleaseName,
    /// Revision of the store at which the order was made. A plan for a later order goes before one for an earlier one.
    pub made: u64,
    /// Revision of the store at which the coordinator saw this target first, for orders that were changed in place.
    pub seen: u64,
    /// Milliseconds from the order until the plan was told.
    pub elapsed_millis: u32,
    /// Which release gets the requests.
    pub stage: PlanStage,
}

impl RolloutPlan {
    /// Whether both are steps of the same order.
    #[must_use]
    pub fn is_same_order(&self, other: &Self) -> bool {
        self.made == other.made && self.target == other.target
    }

    /// Whether this plan takes the place of `held`.
    #[must_use]
    pub fn supersedes(&self, held: &Self) -> bool {
        if self.is_same_order(held) {
            return self.stage > held.stage;
        }
        (self.made, self.seen) > (held.made, held.seen)
    }
}
