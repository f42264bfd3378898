//! What an operator has ordered, as the store holds it.

use std::time::Duration;

use umberpond_model::{ReleaseName, ServiceName};

/// An operator's order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// Service whose requests are to be moved.
    pub service: ServiceName,
    /// Release to which they are moved.
    pub target: ReleaseName,
    /// Time from the order within which it has to be finished.
    pub duration: Duration,
}

/// How far a rollout is, as operators see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RolloutState {
    /// Requests are being moved.
    Running,
    /// All requests go to the target; nothing runs on other releases.
    Complete,
    /// No request goes to the target.
    Reverted,
}

impl RolloutState {
    /// Whether nothing follows.
    #[must_use]
    pub const fn is_final(self) -> bool {
        !matches!(self, Self::Running)
    }

    /// The state as one word, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Complete => "complete",
            Self::Reverted => "reverted",
        }
    }
}

/// An order and its state as the store holds them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRollout {
    /// The order.
    pub order: RolloutOrder,
    /// State written for this order; absent if none was, or only one for an earlier target.
    pub state: Option<RolloutState>,
    /// Revision of the store at which the object was changed last. A write under this condition fails if there was another.
    pub revision: u64,
    /// Revision at which the object was made: an object that was removed and ordered anew has another one.
    pub made: u64,
}
