//! The rollout plans in force on one node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::ServiceName;

use crate::plan::RolloutPlan;

/// A plan and the time when it was received.
#[derive(Debug, Clone)]
struct ReceivedPlan {
    plan: RolloutPlan,
    received_at: Instant,
}

/// The latest plan of each service that a node has received, from any sender.
#[derive(Debug, Clone, Default)]
pub struct HeldPlans {
    plans: BTreeMap<ServiceName, ReceivedPlan>,
}

impl HeldPlans {
    /// Stores a plan if it supersedes the one of its service. Returns whether it did.
    pub fn update(&mut self, now: Instant, plan: &RolloutPlan) -> bool {
        let is_newer = self.plans.get(&plan.service).is_none_or(|held| plan.supersedes(&held.plan));
        if is_newer {
            self.plans.insert(plan.service.clone(), ReceivedPlan { plan: plan.clone(), received_at: now });
        }
        is_newer
    }

    /// The plan of one service, if any.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutPlan> {
        self.plans.get(service).map(|held| &held.plan)
    }

    /// All plans.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutPlan> {
        self.plans.values().map(|held| &held.plan)
    }

    /// Time since the order for `service`, based on the estimate of the coordinator that sent the plan.
    #[must_use]
    pub fn elapsed(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let held = self.plans.get(service)?;
        let elapsed_at_receipt = Duration::from_millis(u64::from(held.plan.elapsed_millis));
        Some(elapsed_at_receipt + now.saturating_duration_since(held.received_at))
    }
}
