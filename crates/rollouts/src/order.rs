//! Rollout orders and their states as stored.

use std::time::Duration;

use umberpond_model::{ReleaseName, ServiceName, StoreEra, StoreRevision};

/// An operator's order to roll out a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose requests are shifted.
    pub service: ServiceName,
    /// Release that the requests are shifted to.
    pub target: ReleaseName,
    /// Time after the order within which the rollout has to finish.
    pub duration: Duration,
}

/// State of a rollout that is shown to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// Requests are being shifted.
    Running,
    /// All requests go to the target; no request runs on other releases.
    Complete,
    /// No request goes to the target.
    Reverted,
}

impl RolloutState {
    /// Whether no other state can follow.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Running)
    }

    /// The name of the state, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Complete => "complete",
            Self::Reverted => "reverted",
        }
    }
}

/// An order and its state, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRollout {
    /// The order.
    pub order: RolloutOrder,
    /// State written for this order. Absent if there is none yet, or only one for an earlier target.
    pub state: Option<RolloutState>,
    /// Store revision of the last change of the object. A write conditional on it fails if the object was
    /// changed since.
    pub revision: StoreRevision,
    /// Store revision at which the object was created. It differs if the object was removed and created
    /// again, and after a restore of the store.
    pub created_revision: StoreRevision,
}

/// All orders that the store lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRollouts {
    /// The orders with their states, including ended ones.
    pub rollouts: Vec<StoredRollout>,
    /// Era of the store when it listed them.
    pub era: StoreEra,
}
