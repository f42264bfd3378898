//! Decides on the next step of every rollout.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::{NodeName, ReleaseName, ServiceName, StoreEra, StoreRevision};

use crate::evidence::ReleaseEvidence;
use crate::held::HeldPlans;
use crate::judge::{ReleaseJudge, Verdict};
use crate::order::{ListedRollouts, RolloutState, StoredRollout};
use crate::plan::{ALL_PERMILLE, PlanStage, RolloutPlan};
use crate::schedule::{Progress, RolloutSettings, is_over, step, step_of};

/// Fraction of the rollout duration after which the rollout is reverted if no back end of the target is
/// ready.
const TARGET_WAIT_SHARE: f64 = 0.85;
/// Fraction of the rollout duration after which the coordinator stops waiting for nodes to drain: nodes that
/// send no reports may be partitioned.
const FORCED_END_SHARE: f64 = 0.9;
/// Fraction of the rollout duration that a new coordinator assumes to have elapsed if it took over without a
/// plan that gives the elapsed time.
const UNKNOWN_ELAPSED_SHARE: f64 = 0.3;
/// Minimum time between the last change of stage and the final state. Within it the plan reaches all nodes,
/// and requests that were sent under the previous plan arrive.
const SETTLING_TIME: Duration = Duration::from_millis(800);
/// Time after a restore of the store within which operators have written lost orders again.
const REWRITE_TIME: Duration = Duration::from_secs(5);
/// Slots that the target needs before it gets all requests, as a fraction of the slots of the other releases.
const CAPACITY_SHARE: f64 = 0.7;

/// The reachable back ends of one service, by release.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Nodes whose back end accepts new requests, with the number of its slots, by release.
    pub ready: BTreeMap<ReleaseName, Vec<(NodeName, u32)>>,
}

impl EndpointCounts {
    fn slots(&self, is_wanted: impl Fn(&ReleaseName) -> bool) -> u32 {
        let wanted = self.ready.iter().filter(|(release, _)| is_wanted(release));
        wanted.flat_map(|(_, nodes)| nodes).map(|(_, slots)| slots).sum()
    }

    fn nodes(&self, is_wanted: impl Fn(&ReleaseName) -> bool) -> impl Iterator<Item = &NodeName> {
        let wanted = self.ready.iter().filter(move |(release, _)| is_wanted(release));
        wanted.flat_map(|(_, nodes)| nodes).map(|(node, _)| node)
    }
}

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

/// A rollout in progress.
#[derive(Debug)]
struct ActiveRollout {
    stored: StoredRollout,
    /// Store revision at which a coordinator first read this target.
    target_revision: StoreRevision,
    /// Whether the order was read again after a restore of the store, which may have lost its state.
    is_restored: bool,
    /// When this coordinator took the rollout over, and the known or estimated time from the order until
    /// then.
    taken_over_at: Instant,
    elapsed_at_takeover: Duration,
    stage: PlanStage,
    stage_since: Instant,
    /// Number of responses of the target when the stage began.
    responses_before: u32,
    judge: ReleaseJudge,
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
        self.restored_at.is_some_and(|at| now.saturating_duration_since(at) < REWRITE_TIME)
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

impl ActiveRollout {
    fn new(
        now: Instant,
        held: &HeldPlans,
        stored: StoredRollout,
        since_last_read: Duration,
        is_restored: bool,
    ) -> Self {
        let service = &stored.order.service;
        let is_same = |plan: &&RolloutPlan| {
            plan.target == stored.order.target
                && (is_restored || plan.created_revision == stored.created_revision)
        };
        let known = held.get(service).filter(is_same).cloned();
        let is_taken_over = stored.state.is_some();
        let elapsed = match (&known, is_taken_over) {
            (Some(_), _) => held.elapsed(now, service).unwrap_or_default(),
            (None, true) => stored.order.duration.mul_f64(UNKNOWN_ELAPSED_SHARE),
            // The order may be as old as the last successful read, if the store was unavailable since then.
            (None, false) => since_last_read,
        };
        Self {
            target_revision: known.as_ref().map_or(stored.revision, |plan| plan.target_revision),
            is_restored,
            taken_over_at: now,
            elapsed_at_takeover: elapsed,
            stage: known.map_or(PlanStage::Share(0), |plan| plan.stage),
            stage_since: now,
            responses_before: 0,
            judge: ReleaseJudge::new(),
            stored,
        }
    }

    /// Known or estimated time since the order.
    fn elapsed(&self, now: Instant) -> Duration {
        self.elapsed_at_takeover + now.saturating_duration_since(self.taken_over_at)
    }

    /// Time available for all steps: what was left of the duration when this coordinator took the rollout
    /// over.
    fn time_for_steps(&self) -> Duration {
        self.stored.order.duration.saturating_sub(self.elapsed_at_takeover)
    }

    /// Continues from a later stage that another coordinator published.
    fn adopt_later_stage(&mut self, now: Instant, held: &HeldPlans) {
        let Some(plan) = held.get(&self.stored.order.service) else { return };
        if plan.created_revision == self.stored.created_revision {
            self.adopt_stage_of(now, plan);
        }
    }

    fn adopt_stage_of(&mut self, now: Instant, plan: &RolloutPlan) {
        if plan.target == self.stored.order.target && plan.stage > self.stage {
            self.stage = plan.stage;
            self.stage_since = now;
            self.responses_before = self.judge.responses();
        }
    }

    fn on_tick(
        &mut self,
        now: Instant,
        settings: &RolloutSettings,
        counts: &EndpointCounts,
    ) -> Vec<CoordinatorAction> {
        let verdict = self.judge.judge(now, !self.stage.closes_others());
        let mut actions = Vec::new();
        if self.stored.state.is_none() {
            actions.push(self.write(RolloutState::Running));
        }
        match self.stage {
            PlanStage::Share(_) if verdict != Verdict::Sound => {
                actions.push(self.enter_stage(now, PlanStage::Reverting, "target-is-bad", verdict));
            }
            PlanStage::Share(permille) => actions.extend(self.advance_share(now, settings, counts, permille)),
            PlanStage::Reverting => {
                let target = self.stored.order.target.clone();
                if self.is_drained(now, counts, |release| *release == target) {
                    actions.push(self.write(RolloutState::Reverted));
                }
            }
            // The store had this end before it was restored.
            PlanStage::Reverted if self.is_restored => actions.push(self.write(RolloutState::Reverted)),
            PlanStage::Complete if self.is_restored => actions.push(self.write(RolloutState::Complete)),
            PlanStage::Reverted | PlanStage::Complete => {}
        }
        actions
    }

    fn advance_share(
        &mut self,
        now: Instant,
        settings: &RolloutSettings,
        counts: &EndpointCounts,
        permille: u16,
    ) -> Option<CoordinatorAction> {
        let target = self.stored.order.target.clone();
        let duration = self.stored.order.duration;
        let elapsed = self.elapsed(now);
        let target_slots = counts.slots(|release| *release == target);
        if target_slots == 0 {
            let is_target_missing = elapsed >= duration.mul_f64(TARGET_WAIT_SHARE);
            return is_target_missing
                .then(|| self.enter_stage(now, PlanStage::Reverting, "target-never-came", Verdict::Sound));
        }
        if permille == 0 {
            let first = step(settings, 0).permille;
            return Some(self.enter_stage(now, PlanStage::Share(first), "target-is-there", Verdict::Sound));
        }
        if permille >= ALL_PERMILLE {
            let is_over = self.is_drained(now, counts, |release| *release != target);
            return is_over.then(|| self.write(RolloutState::Complete));
        }
        let number = step_of(settings, permille);
        let stayed = now.saturating_duration_since(self.stage_since);
        let responses = self.judge.responses().saturating_sub(self.responses_before);
        let progress =
            Progress { duration, elapsed, time_for_steps: self.time_for_steps(), stayed, responses };
        if !is_over(step(settings, number), progress) {
            return None;
        }
        let next = step(settings, number + 1).permille;
        let others_slots = counts.slots(|release| *release != target);
        let is_enough = f64::from(target_slots) >= CAPACITY_SHARE * f64::from(others_slots);
        let is_late = elapsed >= duration.mul_f64(TARGET_WAIT_SHARE);
        (next < ALL_PERMILLE || is_enough || is_late)
            .then(|| self.enter_stage(now, PlanStage::Share(next), "sound-so-far", Verdict::Sound))
    }

    /// Whether the back ends of the closed releases have no requests left, or the time to wait for that is
    /// over.
    fn is_drained(
        &self,
        now: Instant,
        counts: &EndpointCounts,
        is_closed: impl Fn(&ReleaseName) -> bool,
    ) -> bool {
        if now.saturating_duration_since(self.stage_since) < SETTLING_TIME {
            return false;
        }
        let elapsed = self.elapsed(now);
        let is_forced = elapsed >= self.stored.order.duration.mul_f64(FORCED_END_SHARE);
        let is_empty = |node: &NodeName| match self.judge.last_report(node) {
            Some(last) => last.is_closed && last.in_flight == 0,
            None => false,
        };
        is_forced || counts.nodes(is_closed).all(is_empty)
    }

    fn enter_stage(
        &mut self,
        now: Instant,
        stage: PlanStage,
        reason: &'static str,
        verdict: Verdict,
    ) -> CoordinatorAction {
        self.stage = stage;
        self.stage_since = now;
        self.responses_before = self.judge.responses();
        self.publish(now, reason, verdict)
    }

    fn publish(&self, now: Instant, reason: &'static str, verdict: Verdict) -> CoordinatorAction {
        let elapsed = self.elapsed(now);
        CoordinatorAction::Publish {
            plan: RolloutPlan {
                service: self.stored.order.service.clone(),
                target: self.stored.order.target.clone(),
                created_revision: self.stored.created_revision,
                target_revision: self.target_revision,
                elapsed_millis: u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX),
                stage: self.stage,
            },
            reason,
            verdict,
            responses: self.judge.responses(),
        }
    }

    fn write(&self, state: RolloutState) -> CoordinatorAction {
        CoordinatorAction::Write {
            service: self.stored.order.service.clone(),
            target: self.stored.order.target.clone(),
            revision: self.stored.revision,
            state,
        }
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
