//! The task by which a node participates in rollouts.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use ractor::rpc::CallResult;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use umberpond_distribution::ReaderSettings;
use umberpond_forwarding::Inbound;
use umberpond_model::{NodeName, ReleaseName, ServiceName, StoreRevision};
use umberpond_rollouts::{
    CoordinatorAction, EndpointCounts, HeldPlans, ListedRollouts, ReleaseEvidence, RolloutCoordinator,
    RolloutPlan, RolloutSettings, RolloutState, Verdict,
};
use umberpond_telemetry::{Event, Telemetry};

use super::store::{RolloutStore, WriteError};
use crate::back_end::BackEndMonitor;
use crate::configuration::{SourceError, is_store_reader};
use crate::membership::MembershipMessage;

/// Interval between two steps while no rollout is running.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reports and two decisions while a rollout is running: short compared with the half
/// second within which a bad release has to be found, and long compared with the delivery time of a report.
const BUSY_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between two reads of the store while no rollout is running. New back ends take more than a second
/// to start.
const LIST_INTERVAL: Duration = Duration::from_millis(1_500);
/// The same interval while a rollout is running, to detect that it was cancelled.
const BUSY_LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// Pause after a failed call to the store.
const FAILURE_PAUSE: Duration = Duration::from_millis(400);
/// Timeout for the reply of the membership actor.
const ACTOR_TIMEOUT: Duration = Duration::from_millis(500);

/// The rollout plans and endpoints that the membership knows.
#[derive(Debug)]
pub(crate) struct RolloutView {
    /// The active plans.
    pub(crate) held: HeldPlans,
    /// The reachable back ends.
    pub(crate) endpoints: BTreeMap<ServiceName, EndpointCounts>,
}

/// Arguments of the rollout task.
pub(crate) struct RolloutTask {
    pub(crate) node: NodeName,
    pub(crate) store: Arc<dyn RolloutStore>,
    pub(crate) settings: RolloutSettings,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) back_end: Arc<BackEndMonitor>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    /// Reports of this node and of other nodes.
    pub(crate) evidence: mpsc::UnboundedReceiver<ReleaseEvidence>,
    pub(crate) telemetry: Telemetry,
}

/// Participates in rollouts until the task is aborted.
pub(crate) async fn run_rollouts(task: RolloutTask) {
    let coordinator = RolloutCoordinator::new(task.settings);
    let mut participant = Participant {
        task,
        coordinator,
        published: BTreeMap::new(),
        reports: 0,
        list_at: Instant::now(),
        is_coordinator: false,
        calls: JoinSet::new(),
        is_listing: false,
        writing: BTreeSet::new(),
    };
    loop {
        let is_busy = participant.step().await;
        sleep(if is_busy { BUSY_INTERVAL } else { IDLE_INTERVAL }).await;
    }
}

/// Result of a call to the store. Calls run concurrently with the steps, so that an unresponsive store delays
/// no report and no decision.
enum StoreOutcome {
    Listed(Result<ListedRollouts, SourceError>),
    Written {
        service: ServiceName,
        target: ReleaseName,
        revision: StoreRevision,
        state: RolloutState,
        written: Result<StoreRevision, WriteError>,
    },
}

struct Participant {
    task: RolloutTask,
    coordinator: RolloutCoordinator,
    /// The plans that this node publishes as a coordinator.
    published: BTreeMap<ServiceName, RolloutPlan>,
    reports: u64,
    list_at: Instant,
    is_coordinator: bool,
    calls: JoinSet<StoreOutcome>,
    is_listing: bool,
    /// Services whose state is being written.
    writing: BTreeSet<ServiceName>,
}

impl Participant {
    /// Performs one step; returns whether a rollout is running.
    async fn step(&mut self) -> bool {
        let reply = self.task.membership.call(MembershipMessage::RolloutView, Some(ACTOR_TIMEOUT)).await;
        let Ok(CallResult::Success(view)) = reply else { return false };
        let is_running = view.held.iter().any(|plan| plan.stage.is_running());
        if is_running {
            self.report(&view.held);
        }
        self.coordinate(&view).await;
        is_running || !self.coordinator.is_idle()
    }

    /// Reports the response statistics of the local back end to the coordinators, if its service has a
    /// running rollout.
    fn report(&mut self, held: &HeldPlans) {
        let Some(record) = self.task.back_end.record() else { return };
        let Some(release) = record.release else { return };
        let is_concerned = held.get(&record.service).is_some_and(|plan| plan.stage.is_running());
        if !is_concerned {
            return;
        }
        self.reports += 1;
        let load = self.task.inbound.load();
        let evidence = ReleaseEvidence {
            node: self.task.node.clone(),
            instance: record.instance,
            number: self.reports,
            service: record.service,
            release,
            is_cold: record.is_cold,
            is_closed: !self.task.inbound.is_release_open(),
            in_flight: load.running + load.waiting,
            routes: self.task.inbound.response_tallies(),
        };
        let _ = self.task.membership.send_message(MembershipMessage::ReportEvidence(Box::new(evidence)));
    }

    async fn coordinate(&mut self, view: &RolloutView) {
        let is_reader = is_store_reader(&self.task.membership, &ReaderSettings::default()).await;
        if !is_reader {
            self.stop_coordinating();
            return;
        }
        self.is_coordinator = true;
        for plan in view.held.iter() {
            self.add_published(plan);
        }
        while let Ok(evidence) = self.task.evidence.try_recv() {
            self.coordinator.on_evidence(evidence);
        }
        while let Some(Ok(outcome)) = self.calls.try_join_next() {
            self.on_outcome(&view.held, outcome);
        }
        let now = Instant::now();
        if now >= self.list_at && !self.is_listing {
            self.is_listing = true;
            let store = Arc::clone(&self.task.store);
            self.calls.spawn(async move { StoreOutcome::Listed(store.list().await) });
        }
        let actions = self.coordinator.on_tick(now.into_std(), &view.held, &view.endpoints);
        self.apply(actions);
        self.send_plans();
    }

    fn stop_coordinating(&mut self) {
        if !std::mem::take(&mut self.is_coordinator) {
            return;
        }
        self.coordinator.clear();
        self.published.clear();
        self.list_at = Instant::now();
        while self.task.evidence.try_recv().is_ok() {}
        self.calls.abort_all();
        self.calls = JoinSet::new();
        self.is_listing = false;
        self.writing.clear();
        self.send_plans();
    }

    /// Publishes a plan unless a newer one is published already. Plans of other coordinators are included, so
    /// that joining nodes receive them.
    fn add_published(&mut self, plan: &RolloutPlan) {
        if self.published.get(&plan.service).is_none_or(|published| plan.supersedes(published)) {
            self.published.insert(plan.service.clone(), plan.clone());
        }
    }

    fn on_outcome(&mut self, held: &HeldPlans, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Listed(listed) => {
                self.is_listing = false;
                self.on_listed(held, listed);
            }
            StoreOutcome::Written { service, target, revision, state, written } => {
                self.writing.remove(&service);
                self.on_written(service, &target, revision, state, written);
            }
        }
    }

    fn on_listed(&mut self, held: &HeldPlans, listed: Result<ListedRollouts, SourceError>) {
        let outcome = if listed.is_ok() { "answered" } else { "unavailable" };
        self.task.telemetry.metrics().platform_request("rollouts", outcome);
        let now = Instant::now();
        match listed {
            Ok(stored) => {
                let actions = self.coordinator.on_stored(now.into_std(), held, stored);
                let interval = if self.coordinator.is_idle() { LIST_INTERVAL } else { BUSY_LIST_INTERVAL };
                self.list_at = now + interval;
                self.apply(actions);
            }
            Err(error) => {
                self.list_at = now + FAILURE_PAUSE;
                self.task.telemetry.emit(Event::RolloutsUnread { reason: error.to_string() });
            }
        }
    }

    fn on_written(
        &mut self,
        service: ServiceName,
        target: &ReleaseName,
        revision: StoreRevision,
        state: RolloutState,
        written: Result<StoreRevision, WriteError>,
    ) {
        let outcome = match &written {
            Ok(_) => "written",
            Err(WriteError::Conflict) => "conflict",
            Err(WriteError::Unavailable { .. }) => "unavailable",
        };
        self.task.telemetry.metrics().platform_request("rollout-state", outcome);
        self.task.telemetry.emit(Event::RolloutStateWritten {
            service: service.clone(),
            target: target.to_string(),
            state: state.as_str(),
            revision: revision.number,
            outcome,
        });
        if let Ok(revision) = written {
            self.coordinator.on_written(&service, state, revision);
        }
        // The next step reads the current state from the store, also after this node has ended the rollout.
        if written.is_err() || state.is_final() {
            self.list_at = Instant::now();
        }
    }

    fn apply(&mut self, actions: Vec<CoordinatorAction>) {
        for action in actions {
            match action {
                CoordinatorAction::Publish { plan, reason, verdict, responses } => {
                    self.emit_decision(&plan, reason, verdict, responses);
                    self.add_published(&plan);
                }
                CoordinatorAction::Write { service, target, revision, state } => {
                    self.write(service, target, revision, state);
                }
            }
        }
    }

    fn write(
        &mut self,
        service: ServiceName,
        target: ReleaseName,
        revision: StoreRevision,
        state: RolloutState,
    ) {
        if !self.writing.insert(service.clone()) {
            return;
        }
        let store = Arc::clone(&self.task.store);
        self.calls.spawn(async move {
            let written = store.write(&service, &target, revision, state).await;
            StoreOutcome::Written { service, target, revision, state, written }
        });
    }

    fn send_plans(&self) {
        let plans = self.published.values().cloned().collect();
        let _ = self.task.membership.send_message(MembershipMessage::Rollouts(plans));
    }

    fn emit_decision(&self, plan: &RolloutPlan, reason: &'static str, verdict: Verdict, answers: u32) {
        let (bad, target_millis, others_millis) = match verdict {
            Verdict::Sound => (0, 0, 0),
            Verdict::Fails { bad, .. } => (bad, 0, 0),
            Verdict::Slow { millis, others_millis, .. } => (0, millis, others_millis),
        };
        self.task.telemetry.emit(Event::RolloutDecided {
            service: plan.service.clone(),
            target: plan.target.to_string(),
            stage: plan.stage.as_str(),
            permille: plan.stage.target_permille(),
            reason,
            elapsed_millis: plan.elapsed_millis,
            answers,
            bad,
            target_millis,
            others_millis,
        });
    }
}
