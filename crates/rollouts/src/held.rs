//! The plans in force on one node.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::ServiceName;

use crate::plan::RolloutPlan;

/// A plan and when it was heard.
#[derive(Debug, Clone)]
struct Held {
    plan: RolloutPlan,
    heard_at: Instant,
}

/// The latest plan of each service that a node has heard of, whoever told it.
#[derive(Debug, Clone, Default)]
pub struct HeldPlans {
    plans: BTreeMap<ServiceName, Held>,
}

impl HeldPlans {
    /// Takes in a plan; tells whether it is in force now and was not before.
    pub fn take_in(&mut self, now: Instant, plan: &RolloutPlan) -> bool {
        let is_news = self.plans.get(&plan.service).is_none_or(|held| plan.supersedes(&held.plan));
        if is_news {
            self.plans.insert(plan.service.clone(), Held { plan: plan.clone(), heard_at: now });
        }
        is_news
    }

    /// The plan of one service.
    #[must_use]
    pub fn get(&self, service: &ServiceName) -> Option<&RolloutPlan> {
        self.plans.get(service).map(|held| &held.plan)
    }

    /// All plans.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutPlan> {
        self.plans.values().map(|held| &held.plan)
    }

    /// Time since the order of `service` was given, as far as its coordinator knew.
    #[must_use]
    pub fn elapsed(&self, now: Instant, service: &ServiceName) -> Option<Duration> {
        let held = self.plans.get(service)?;
        let told = Duration::from_millis(u64::from(held.plan.elapsed_millis));
        Some(told + now.saturating_duration_since(held.heard_at))
    }
}
