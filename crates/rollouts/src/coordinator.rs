//! Decides on the next step of every rollout.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::{ORDER_REWRITE_TIME, ReleaseName, ServiceName, StoreEra, StoreRevision};

use crate::active_rollout::{ActiveRollout, EndpointCounts};
use crate::evidence::ReleaseEvidence;
use crate::held::HeldPlans;
use crate::judge::Verdict;
use crate::order::{ListedRollouts, RolloutState, StoredRollout};
use crate::plan::{PlanStage, RolloutPlan};
use crate::schedule::RolloutSettings;

/// An action that the caller of [`RolloutCoordinator`] has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum CoordinatorAction {
    /// Send this plan to all nodes.
    Publish {
        /// The plan.
        plan: RolloutPlan,
        /// Why the coordinator chose this stage, for the log.
        reason: &'static str,
        /// Evaluation of the target.
        verdict: Verdict,
        /// Number of responses of the target so far.
        responses: u32,
    },
    /// Write the state to the store, on condition that the object still has the given revision.
    Write {
        /// The service.
        service: ServiceName,
        /// The target.
        target: ReleaseName,
        /// Expected revision of the object.
        revision: StoreRevision,
        /// The state.
        state: RolloutState,
    },
}

/// Decides on the next step of every rollout. Each node that reads the store runs a coordinator. Several may
/// be active at the same time: nodes adopt the later stage, and conditional writes let only one final state
/// reach the store.
#[derive(Debug)]
pub struct RolloutCoordinator {
    settings: RolloutSettings,
    active: BTreeMap<ServiceName, ActiveRollout>,
    /// When the orders were last read from the store; an order that is new since then was given later.
    read_at: Option<Instant>,
    /// Era of the store when the orders were last read.
    era: Option<StoreEra>,
    /// When the orders were first read after a restore of the store.
    restored_at: Option<Instant>,
}

impl RolloutCoordinator {
    /// Creates a coordinator without rollouts.
    #[must_use]
    pub const fn new(settings: RolloutSettings) -> Self {
        Self { settings, active: BTreeMap::new(), read_at: None, era: None, restored_at: None }
    }

    /// Discards all rollouts, when the node stops coordinating.
    pub fn clear(&mut self) {
        self.active.clear();
        self.read_at = None;
        self.era = None;
        self.restored_at = None;
    }

    /// Whether no rollout is in progress.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.active.is_empty()
    }

    /// Processes the rollouts read from the store. Returns the plans that need no further evaluation: those
    /// of finished rollouts, of withdrawn orders and of orders that are known under another revision now.
    ///
    /// After a restore of the store, lost orders are missing or have an earlier target until they are written
    /// again. For that time the plans in force stay, and an order with the same target counts as the same
    /// order.
    pub fn on_stored(
        &mut self,
        now: Instant,
        held: &HeldPlans,
        listed: ListedRollouts,
    ) -> Vec<CoordinatorAction> {
        let is_rewritten = self.is_being_rewritten(now, held, listed.era);
        let stored = listed.rollouts;
        let mut actions = if is_rewritten { Vec::new() } else { self.remove_withdrawn(now, &stored) };
        let since_last_read = self.read_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.read_at = Some(now);
        for rollout in stored {
            let service = rollout.order.service.clone();
            let earlier = held
                .get(&service)
                .filter(|plan| is_rewritten && plan.created_revision.era < rollout.created_revision.era);
            if earlier.is_some_and(|plan| plan.target != rollout.order.target) {
                continue;
            }
            match rollout.state.filter(|state| state.is_final()) {
                Some(state) => {
                    self.active.remove(&service);
                    actions.extend(final_plan(held, &rollout, state));
                }
                None => actions.extend(self.on_running(now, held, rollout, since_last_read, earlier)),
            }
        }
        actions
    }

    /// Whether operators may still be writing orders again that a restore of the store has lost.
    fn is_being_rewritten(&mut self, now: Instant, held: &HeldPlans, era: StoreEra) -> bool {
        let known = self.era.replace(era);
        let of_plans = held.iter().map(|plan| plan.created_revision.era).max();
        if known.or(of_plans).is_some_and(|known| era > known) {
            self.restored_at = Some(now);
        }
        self.restored_at.is_some_and(|at| now.saturating_duration_since(at) < ORDER_REWRITE_TIME)
    }

    /// Processes the report of a node.
    pub fn on_evidence(&mut self, evidence: ReleaseEvidence) {
        if let Some(rollout) = self.active.get_mut(&evidence.service) {
            let is_target = evidence.release == rollout.stored.order.target;
            rollout.judge.on_evidence(is_target, evidence);
        }
    }

    /// Records that the store now holds `state` for `service` at `revision`.
    pub fn on_written(&mut self, service: &ServiceName, state: RolloutState, revision: StoreRevision) {
        if let Some(rollout) = self.active.get_mut(service) {
            rollout.stored.state = Some(state);
            rollout.stored.revision = revision;
        }
    }

    /// Decides on the next steps. `endpoints` are the reachable back ends.
    pub fn on_tick(
        &mut self,
        now: Instant,
        held: &HeldPlans,
        endpoints: &BTreeMap<ServiceName, EndpointCounts>,
    ) -> Vec<CoordinatorAction> {
        let nothing = EndpointCounts::default();
        let mut actions = Vec::new();
        for (service, rollout) in &mut self.active {
            rollout.adopt_later_stage(now, held);
            let counts = endpoints.get(service).unwrap_or(&nothing);
            actions.extend(rollout.on_tick(now, &self.settings, counts));
        }
        actions
    }

    fn on_running(
        &mut self,
        now: Instant,
        held: &HeldPlans,
        stored: StoredRollout,
        since_last_read: Duration,
        earlier: Option<&RolloutPlan>,
    ) -> Option<CoordinatorAction> {
        let is_restored = earlier.is_some();
        let service = stored.order.service.clone();
        if let Some(rollout) = self.active.get_mut(&service)
            && rollout.stored.order.target == stored.order.target
            && (is_restored || rollout.stored.created_revision == stored.created_revision)
        {
            rollout.stored = stored;
            rollout.is_restored |= is_restored;
        } else {
            let rollout = ActiveRollout::new(now, held, stored, since_last_read, is_restored);
            self.active.insert(service.clone(), rollout);
        }
        let (Some(rollout), Some(plan)) = (self.active.get_mut(&service), earlier) else { return None };
        rollout.adopt_stage_of(now, plan);
        // All nodes learn the revision that the order has now.
        Some(rollout.publish(now, "store-was-restored", Verdict::Sound))
    }

    /// Removes rollouts whose order is no longer in the store, and stops sending requests to their targets.
    fn remove_withdrawn(&mut self, now: Instant, stored: &[StoredRollout]) -> Vec<CoordinatorAction> {
        let is_held = |service: &ServiceName| stored.iter().any(|rollout| rollout.order.service == *service);
        let gone: Vec<ServiceName> =
            self.active.keys().filter(|service| !is_held(service)).cloned().collect();
        let taken = gone.into_iter().filter_map(|service| self.active.remove(&service));
        taken
            .map(|mut rollout| {
                rollout.enter_stage(now, PlanStage::Reverted, "order-taken-back", Verdict::Sound)
            })
            .collect()
    }
}

/// The plan that sends the final state from the store to all nodes, unless they have it already.
fn final_plan(held: &HeldPlans, rollout: &StoredRollout, state: RolloutState) -> Option<CoordinatorAction> {
    let stage = if state == RolloutState::Complete { PlanStage::Complete } else { PlanStage::Reverted };
    let plan = RolloutPlan {
        service: rollout.order.service.clone(),
        target: rollout.order.target.clone(),
        created_revision: rollout.created_revision,
        target_revision: rollout.revision,
        elapsed_millis: 0,
        stage,
    };
    let is_known = held.get(&plan.service).is_some_and(|before| !plan.supersedes(before));
    (!is_known).then_some(CoordinatorAction::Publish {
        plan,
        reason: "store-holds-the-end",
        verdict: Verdict::Sound,
        responses: 0,
    })
}
