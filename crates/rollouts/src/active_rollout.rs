//! One rollout in progress, as a coordinator sees it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::{NodeName, ReleaseName, StoreRevision};

use crate::coordinator::CoordinatorAction;
use crate::held::HeldPlans;
use crate::judge::{ReleaseJudge, Verdict};
use crate::order::{RolloutState, StoredRollout};
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

/// A rollout in progress.
#[derive(Debug)]
pub(crate) struct ActiveRollout {
    pub(crate) stored: StoredRollout,
    /// Store revision at which a coordinator first read this target.
    target_revision: StoreRevision,
    /// Whether the order was read again after a restore of the store, which may have lost its state.
    pub(crate) is_restored: bool,
    /// When this coordinator took the rollout over, and the known or estimated time from the order until
    /// then.
    taken_over_at: Instant,
    elapsed_at_takeover: Duration,
    pub(crate) stage: PlanStage,
    stage_since: Instant,
    /// Number of responses of the target when the stage began.
    responses_before: u32,
    pub(crate) judge: ReleaseJudge,
}

impl ActiveRollout {
    pub(crate) fn new(
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
    pub(crate) fn adopt_later_stage(&mut self, now: Instant, held: &HeldPlans) {
        let Some(plan) = held.get(&self.stored.order.service) else { return };
        if plan.created_revision == self.stored.created_revision {
            self.adopt_stage_of(now, plan);
        }
    }

    pub(crate) fn adopt_stage_of(&mut self, now: Instant, plan: &RolloutPlan) {
        if plan.target == self.stored.order.target && plan.stage > self.stage {
            self.stage = plan.stage;
            self.stage_since = now;
            self.responses_before = self.judge.responses();
        }
    }

    pub(crate) fn on_tick(
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

    pub(crate) fn enter_stage(
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

    pub(crate) fn publish(&self, now: Instant, reason: &'static str, verdict: Verdict) -> CoordinatorAction {
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
