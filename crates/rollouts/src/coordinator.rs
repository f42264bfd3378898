//! Decides on the next step of every rollout.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::{NodeName, ReleaseName, ServiceName};

use crate::evidence::ReleaseEvidence;
use crate::held::HeldPlans;
use crate::judge::{ReleaseJudge, Verdict};
use crate::order::{RolloutState, StoredRollout};
use crate::plan::{ALL_PERMILLE, PlanStage, RolloutPlan};
use crate::schedule::{Progress, RolloutSettings, is_over, step, step_of};

/// Share of the time after which a rollout whose target never came is taken back.
const NEVER_CAME_SHARE: f64 = 0.85;
/// Share of the time after which it is no longer waited for nodes that report nothing: they may be cut off.
const FORCED_END_SHARE: f64 = 0.9;
/// Share of a rollout's time that counts as past when a coordinator takes over and nobody could tell it how much is.
const UNKNOWN_ELAPSED_SHARE: f64 = 0.3;
/// Time from the last step to the end at least: plans reach all nodes within it, and requests that were sent before arrive.
const SETTLING_TIME: Duration = Duration::from_millis(800);
/// Slots of the target that have to be there before all requests go to it, as a share of those of the others.
const CAPACITY_SHARE: f64 = 0.7;

/// The back ends of one service that can be reached, by release.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Nodes beside back ends of each release that take new work, with their slots.
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

/// What the coordinator wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum CoordinatorAction {
    /// Every node is to be told this plan.
    Tell {
        /// The plan.
        plan: RolloutPlan,
        /// What led to it.
        reason: &'static str,
        /// What is found of the target.
        verdict: Verdict,
        /// Answers of the target seen so far.
        answers: u32,
    },
    /// The state is to be written under the condition that the object still has the revision.
    Write {
        /// The service.
        service: ServiceName,
        /// The target.
        target: ReleaseName,
        /// Revision of the object.
        revision: u64,
        /// The state.
        state: RolloutState,
    },
}

/// One rollout that goes on.
#[derive(Debug)]
struct Running {
    stored: StoredRollout,
    /// Revision at which the target was seen first.
    seen: u64,
    /// When this coordinator took it up, and the time from the order until then, as far as known.
    taken_up_at: Instant,
    elapsed_before: Duration,
    stage: PlanStage,
    stage_since: Instant,
    /// Answers of the target when the stage began.
    answers_before: u32,
    judge: ReleaseJudge,
}

/// Decides on the next step of every rollout. Each node that reads the store has one; two of them may work at the same time: the
/// later stage holds on all nodes, and only one end can be written.
#[derive(Debug)]
pub struct RolloutCoordinator {
    settings: RolloutSettings,
    running: BTreeMap<ServiceName, Running>,
    /// When the orders were read last: a new one came later.
    read_at: Option<Instant>,
}

impl RolloutCoordinator {
    /// A coordinator that knows of no rollout.
    #[must_use]
    pub const fn new(settings: RolloutSettings) -> Self {
        Self { settings, running: BTreeMap::new(), read_at: None }
    }

    /// Gives all up: the node does not coordinate any more.
    pub fn clear(&mut self) {
        self.running.clear();
        self.read_at = None;
    }

    /// Whether any rollout goes on.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    /// Takes in what the store holds. Gives the plans that follow at once: those of rollouts that have ended, and of orders that
    /// were taken back.
    pub fn on_stored(
        &mut self,
        now: Instant,
        held: &HeldPlans,
        stored: Vec<StoredRollout>,
    ) -> Vec<CoordinatorAction> {
        let mut actions = self.taken_back(now, &stored);
        let unread_for = self.read_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.read_at = Some(now);
        for rollout in stored {
            let service = rollout.order.service.clone();
            match rollout.state.filter(|state| state.is_final()) {
                Some(state) => {
                    self.running.remove(&service);
                    actions.extend(tell_end(held, &rollout, state));
                }
                None => self.on_running(now, held, rollout, unread_for),
            }
        }
        actions
    }

    /// Takes in a node's report.
    pub fn on_evidence(&mut self, evidence: ReleaseEvidence) {
        if let Some(running) = self.running.get_mut(&evidence.service) {
            let is_target = evidence.release == running.stored.order.target;
            running.judge.on_evidence(is_target, evidence);
        }
    }

    /// Takes in that the store holds the state `state` for `service` at the revision `revision` now.
    pub fn on_written(&mut self, service: &ServiceName, state: RolloutState, revision: u64) {
        if let Some(running) = self.running.get_mut(service) {
            running.stored.state = Some(state);
            running.stored.revision = revision;
        }
    }

    /// Decides on the next steps. `endpoints` are the back ends that can be reached.
    pub fn on_tick(
        &mut self,
        now: Instant,
        held: &HeldPlans,
        endpoints: &BTreeMap<ServiceName, EndpointCounts>,
    ) -> Vec<CoordinatorAction> {
        let nothing = EndpointCounts::default();
        let mut actions = Vec::new();
        for (service, running) in &mut self.running {
            running.follow(now, held);
            let counts = endpoints.get(service).unwrap_or(&nothing);
            actions.extend(running.on_tick(now, &self.settings, counts));
        }
        actions
    }

    fn on_running(&mut self, now: Instant, held: &HeldPlans, stored: StoredRollout, unread_for: Duration) {
        let service = stored.order.service.clone();
        if let Some(running) = self.running.get_mut(&service)
            && running.stored.order.target == stored.order.target
            && running.stored.made == stored.made
        {
            running.stored = stored;
            return;
        }
        self.running.insert(service, Running::new(now, held, stored, unread_for));
    }

    /// Orders that the store no longer holds: their target gets nothing any more.
    fn taken_back(&mut self, now: Instant, stored: &[StoredRollout]) -> Vec<CoordinatorAction> {
        let is_held = |service: &ServiceName| stored.iter().any(|rollout| rollout.order.service == *service);
        let gone: Vec<ServiceName> =
            self.running.keys().filter(|service| !is_held(service)).cloned().collect();
        let taken = gone.into_iter().filter_map(|service| self.running.remove(&service));
        taken
            .map(|mut running| running.go_to(now, PlanStage::Reverted, "order-taken-back", Verdict::Sound))
            .collect()
    }
}

impl Running {
    fn new(now: Instant, held: &HeldPlans, stored: StoredRollout, unread_for: Duration) -> Self {
        let service = &stored.order.service;
        let known = held
            .get(service)
            .filter(|plan| plan.made == stored.made && plan.target == stored.order.target)
            .cloned();
        let is_taken_over = stored.state.is_some();
        let elapsed = match (&known, is_taken_over) {
            (Some(_), _) => held.elapsed(now, service).unwrap_or_default(),
            (None, true) => stored.order.duration.mul_f64(UNKNOWN_ELAPSED_SHARE),
            // The store may have been away since before the order.
            (None, false) => unread_for,
        };
        Self {
            seen: known.as_ref().map_or(stored.revision, |plan| plan.seen),
            taken_up_at: now,
            elapsed_before: elapsed,
            stage: known.map_or(PlanStage::Share(0), |plan| plan.stage),
            stage_since: now,
            answers_before: 0,
            judge: ReleaseJudge::new(),
            stored,
        }
    }

    /// Time since the order, as far as known.
    fn elapsed(&self, now: Instant) -> Duration {
        self.elapsed_before + now.saturating_duration_since(self.taken_up_at)
    }

    /// The time that steps share: what was left when this coordinator took the rollout up.
    fn time_for_steps(&self) -> Duration {
        self.stored.order.duration.saturating_sub(self.elapsed_before)
    }

    /// Goes on from a later stage that another coordinator has told.
    fn follow(&mut self, now: Instant, held: &HeldPlans) {
        let Some(plan) = held.get(&self.stored.order.service) else { return };
        let is_same = plan.made == self.stored.made && plan.target == self.stored.order.target;
        if is_same && plan.stage > self.stage {
            self.stage = plan.stage;
            self.stage_since = now;
            self.answers_before = self.judge.answers();
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
                actions.push(self.go_to(now, PlanStage::Reverting, "target-is-bad", verdict));
            }
            PlanStage::Share(permille) => actions.extend(self.next_share(now, settings, counts, permille)),
            PlanStage::Reverting => {
                let target = self.stored.order.target.clone();
                if self.is_settled(now, counts, |release| *release == target) {
                    actions.push(self.write(RolloutState::Reverted));
                }
            }
            PlanStage::Reverted | PlanStage::Complete => {}
        }
        actions
    }

    fn next_share(
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
            let is_hopeless = elapsed >= duration.mul_f64(NEVER_CAME_SHARE);
            return is_hopeless
                .then(|| self.go_to(now, PlanStage::Reverting, "target-never-came", Verdict::Sound));
        }
        if permille == 0 {
            let first = step(settings, 0).permille;
            return Some(self.go_to(now, PlanStage::Share(first), "target-is-there", Verdict::Sound));
        }
        if permille >= ALL_PERMILLE {
            let is_over = self.is_settled(now, counts, |release| *release != target);
            return is_over.then(|| self.write(RolloutState::Complete));
        }
        let number = step_of(settings, permille);
        let stayed = now.saturating_duration_since(self.stage_since);
        let answers = self.judge.answers().saturating_sub(self.answers_before);
        let progress = Progress { duration, elapsed, time_for_steps: self.time_for_steps(), stayed, answers };
        if !is_over(step(settings, number), progress) {
            return None;
        }
        let next = step(settings, number + 1).permille;
        let others_slots = counts.slots(|release| *release != target);
        let is_enough = f64::from(target_slots) >= CAPACITY_SHARE * f64::from(others_slots);
        let is_late = elapsed >= duration.mul_f64(NEVER_CAME_SHARE);
        (next < ALL_PERMILLE || is_enough || is_late)
            .then(|| self.go_to(now, PlanStage::Share(next), "sound-so-far", Verdict::Sound))
    }

    /// Whether the back ends of the releases that get no requests any more have none left.
    fn is_settled(
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
        let is_empty = |node: &NodeName| match self.judge.last_of(node) {
            Some(last) => last.is_closed && last.in_flight == 0,
            None => false,
        };
        is_forced || counts.nodes(is_closed).all(is_empty)
    }

    fn go_to(
        &mut self,
        now: Instant,
        stage: PlanStage,
        reason: &'static str,
        verdict: Verdict,
    ) -> CoordinatorAction {
        self.stage = stage;
        self.stage_since = now;
        self.answers_before = self.judge.answers();
        let elapsed = self.elapsed(now);
        CoordinatorAction::Tell {
            plan: RolloutPlan {
                service: self.stored.order.service.clone(),
                target: self.stored.order.target.clone(),
                made: self.stored.made,
                seen: self.seen,
                elapsed_millis: u32::try_from(elapsed.as_millis()).unwrap_or(u32::MAX),
                stage,
            },
            reason,
            verdict,
            answers: self.judge.answers(),
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

/// The plan by which all nodes hear of an end that the store holds.
fn tell_end(held: &HeldPlans, rollout: &StoredRollout, state: RolloutState) -> Option<CoordinatorAction> {
    let stage = if state == RolloutState::Complete { PlanStage::Complete } else { PlanStage::Reverted };
    let plan = RolloutPlan {
        service: rollout.order.service.clone(),
        target: rollout.order.target.clone(),
        made: rollout.made,
        seen: rollout.revision,
        elapsed_millis: 0,
        stage,
    };
    let is_known = held.get(&plan.service).is_some_and(|before| !plan.supersedes(before));
    (!is_known).then_some(CoordinatorAction::Tell {
        plan,
        reason: "store-holds-the-end",
        verdict: Verdict::Sound,
        answers: 0,
    })
}
