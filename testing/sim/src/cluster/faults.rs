//! Injects the faults of a schedule into the cluster.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;
use umberpond_model::Millis;
use umberpond_standins::platform::{FaultChange, Platform};

use super::layout::{self, NodePlacement};
use super::operators::{Operator, submit_changes};
use super::process::{NodeSlot, RunContext};
use crate::history::Event;
use crate::schedule::{Fault, FaultKind};

/// Delay added to each response of a slow platform.
const SLOW_PLATFORM_MILLIS: u64 = 1_500;
/// Delay added to one direction of a link, so that messages arrive out of order.
const REORDERING_DELAY: Millis = Millis(700);
/// Number of responses lost by one fault.
const LOST_RESPONSES: u64 = 3;
/// Time added to each request of a slow back end: some requests still finish within their timeout, some
/// don't.
const SLOW_BACK_END_MILLIS: u64 = 1_800;
/// Delay of a platform that also loses its responses; a change is applied after half of the delay.
const LATE_PLATFORM_MILLIS: u64 = 4_000;
/// Time for which the stale zone is cut off before the next zone restarts; longer than the interval between
/// two versions, so that it misses some.
const STALE_ZONE_LEAD_TIME: Duration = Duration::from_secs(6);
/// Delay from killing the processes of the second zone to restarting them.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// Extra delay of the second copy of a duplicated request.
const DUPLICATE_DELAY: Millis = Millis(60);
/// Limits that a back end may advertise, in thousandths of a request per second.
const REQUEST_LIMITS: [u64; 3] = [400, 2_000, 5_500];
/// Number of operators that submit at the same time.
const RACING_OPERATORS: u64 = 3;

/// All parts of a run that faults act on.
pub struct Cluster {
    /// Network, seed and recorder that processes share.
    pub context: RunContext,
    /// The platform.
    pub platform: Platform,
    /// The nodes. Each slot has its own lock, so that a long planned stop doesn't delay other faults.
    pub slots: Vec<Mutex<NodeSlot>>,
    /// Placement of each node.
    pub placements: Vec<NodePlacement>,
    /// Sends the submissions of all operators.
    pub operator: Operator,
}

impl Cluster {
    /// Starts a node's process unless it is running.
    pub async fn start(&self, node_index: usize) {
        self.slots[node_index].lock().await.start(&self.context).await;
    }

    /// Injects one fault at its start time and ends it after its duration.
    pub async fn inject(self: Arc<Self>, fault: Fault) {
        sleep(Duration::from_millis(fault.at.0)).await;
        self.context
            .recorder
            .trace(&format!("FAULT {} {} for {} ms", fault.kind, fault.place, fault.duration.0));
        self.begin(fault).await;
        sleep(Duration::from_millis(fault.duration.0)).await;
        self.end(fault).await;
        self.context.recorder.trace(&format!("FAULT {} {} is over", fault.kind, fault.place));
    }

    async fn begin(&self, fault: Fault) {
        if fault.kind.impairs_store() {
            self.context.recorder.record(Event::StoreImpaired);
        }
        if fault.kind.cuts_links() {
            self.context.recorder.record(Event::LinksCut);
        }
        let network = &self.context.network;
        match fault.kind {
            FaultKind::Kill => self.kill(self.node_of(fault)).await,
            FaultKind::HerdRestart => {
                for placement in self.in_zone(fault) {
                    self.kill(placement.index).await;
                }
            }
            FaultKind::CutZone => {
                self.mark_faulty(&self.in_zone(fault));
                self.for_each_cut_link(fault, |one, other| network.cut(one, other));
            }
            FaultKind::Freeze => {
                let placement = &self.placements[self.node_of(fault)];
                self.mark_faulty(std::slice::from_ref(placement));
                network.freeze(placement.host());
            }
            FaultKind::PlatformDown => {
                self.change_platform(FaultChange { down: Some(true), ..FaultChange::default() })
            }
            FaultKind::PlatformSlow => {
                let delay_millis = Some(SLOW_PLATFORM_MILLIS);
                self.change_platform(FaultChange { delay_millis, ..FaultChange::default() });
            }
            FaultKind::LoseAnswers => {
                let lose_answers = Some(LOST_RESPONSES);
                self.change_platform(FaultChange { lose_answers, ..FaultChange::default() });
            }
            FaultKind::EndWatches => {
                self.change_platform(FaultChange { cut_watches: true, ..FaultChange::default() });
            }
            FaultKind::OperatorRace => {
                let first = fault.place as u64;
                for number in first..first + RACING_OPERATORS {
                    tokio::spawn(submit_changes(self.operator.clone(), self.admins(), number, fault.at.0));
                }
            }
            FaultKind::CrossedUpdates => self.reorder_messages(fault, REORDERING_DELAY),
            FaultKind::PlannedStop => self.planned_stop(self.node_of(fault)).await,
            FaultKind::BackEndDeath => {
                self.slots[self.node_of(fault)].lock().await.kill_back_end(&self.context);
            }
            FaultKind::SlowBackEnd => self.slow_back_end(fault, SLOW_BACK_END_MILLIS).await,
            FaultKind::LateLostAnswers => self.change_platform(FaultChange {
                delay_millis: Some(LATE_PLATFORM_MILLIS),
                lose_answers: Some(u64::MAX),
                ..FaultChange::default()
            }),
            FaultKind::StaleZone => self.begin_stale_zone(fault).await,
            FaultKind::LimitedBackEnd => {
                let limit = REQUEST_LIMITS[fault.place % REQUEST_LIMITS.len()];
                self.slots[self.node_of(fault)].lock().await.limit_back_end(&self.context, Some(limit));
            }
            FaultKind::LeavingBackEnd => {
                self.slots[self.node_of(fault)].lock().await.leave_back_end(&self.context);
            }
            FaultKind::DoubledRequests => {
                network
                    .duplicate_streams(self.placements[self.node_of(fault)].inbound(), Some(DUPLICATE_DELAY));
            }
        }
    }

    async fn end(&self, fault: Fault) {
        let network = &self.context.network;
        match fault.kind {
            FaultKind::Kill | FaultKind::PlannedStop => self.start(self.node_of(fault)).await,
            FaultKind::HerdRestart => {
                for placement in self.in_zone(fault) {
                    self.start(placement.index).await;
                }
            }
            FaultKind::CutZone => self.for_each_cut_link(fault, |one, other| network.mend(one, other)),
            FaultKind::StaleZone => {
                for zone in [fault, in_next_zone(fault)] {
                    self.for_each_cut_link(zone, |one, other| network.mend(one, other));
                }
            }
            FaultKind::BackEndDeath => {
                self.slots[self.node_of(fault)].lock().await.start_back_end(&self.context).await;
            }
            FaultKind::SlowBackEnd => self.slow_back_end(fault, 0).await,
            FaultKind::LimitedBackEnd => {
                self.slots[self.node_of(fault)].lock().await.limit_back_end(&self.context, None);
            }
            FaultKind::LeavingBackEnd => {
                let mut slot = self.slots[self.node_of(fault)].lock().await;
                slot.kill_back_end(&self.context);
                slot.start_back_end(&self.context).await;
            }
            FaultKind::DoubledRequests => {
                network.duplicate_streams(self.placements[self.node_of(fault)].inbound(), None)
            }
            FaultKind::LateLostAnswers => self.change_platform(FaultChange {
                delay_millis: Some(0),
                lose_answers: Some(0),
                ..FaultChange::default()
            }),
            FaultKind::Freeze => network.thaw(self.placements[self.node_of(fault)].host()),
            FaultKind::PlatformDown => {
                self.change_platform(FaultChange { down: Some(false), ..FaultChange::default() });
            }
            FaultKind::PlatformSlow => {
                self.change_platform(FaultChange { delay_millis: Some(0), ..FaultChange::default() });
            }
            FaultKind::LoseAnswers => {
                self.change_platform(FaultChange { lose_answers: Some(0), ..FaultChange::default() });
            }
            FaultKind::CrossedUpdates => self.reorder_messages(fault, Millis(0)),
            FaultKind::EndWatches | FaultKind::OperatorRace => {}
        }
        if fault.kind.impairs_store() {
            self.context.recorder.record(Event::StoreMended);
        }
        if fault.kind.cuts_links() {
            self.context.recorder.record(Event::LinksMended);
        }
    }

    /// Admin addresses of all nodes.
    pub fn admins(&self) -> Vec<std::net::SocketAddr> {
        self.placements.iter().map(NodePlacement::admin).collect()
    }

    async fn kill(&self, node_index: usize) {
        self.slots[node_index].lock().await.kill(&self.context);
    }

    /// Drains and stops a node. The slot isn't locked while the node drains, so that other faults can hit it.
    async fn planned_stop(&self, node_index: usize) {
        let slot = &self.slots[node_index];
        let Some((running, generation)) = slot.lock().await.process() else { return };
        let node = self.placements[node_index].node.clone();
        self.context.recorder.record(Event::DrainBegan { node: node.clone() });
        let report = running.stop().await;
        self.context.recorder.trace(&format!("{node}: drained, {report:?}"));
        let mut slot = slot.lock().await;
        if slot.process().is_none_or(|(_, current)| current != generation) {
            return;
        }
        slot.on_process_exit(&self.context);
        self.context.recorder.record(Event::PlannedStopEnded { node: node.clone() });
        self.context.recorder.record(Event::Stopped { node });
    }

    async fn begin_stale_zone(&self, fault: Fault) {
        let network = &self.context.network;
        let restarted = in_next_zone(fault);
        self.mark_faulty(&self.in_zone(fault));
        self.for_each_cut_link(fault, |one, other| network.cut(one, other));
        sleep(STALE_ZONE_LEAD_TIME).await;
        self.for_each_cut_link(restarted, |one, other| network.cut(one, other));
        for stale in self.in_zone(fault) {
            for placement in self.in_zone(restarted) {
                network.mend(stale.host(), placement.host());
            }
        }
        for placement in self.in_zone(restarted) {
            self.kill(placement.index).await;
        }
        sleep(RESTART_PAUSE).await;
        for placement in self.in_zone(restarted) {
            self.start(placement.index).await;
        }
    }

    async fn slow_back_end(&self, fault: Fault, delay_millis: u64) {
        let slot = self.slots[self.node_of(fault)].lock().await;
        slot.slow_back_end(&self.context, delay_millis);
    }

    fn change_platform(&self, change: FaultChange) {
        self.platform.change_faults(&change);
    }

    /// Index of the node that a fault hits.
    fn node_of(&self, fault: Fault) -> usize {
        fault.place % self.placements.len()
    }

    fn in_zone(&self, fault: Fault) -> Vec<NodePlacement> {
        let zone = fault.place % layout::ZONES;
        self.placements.iter().filter(|placement| placement.zone == zone).cloned().collect()
    }

    fn mark_faulty(&self, placements: &[NodePlacement]) {
        for placement in placements {
            self.context.recorder.record(Event::FaultBegan { node: placement.node.clone() });
        }
    }

    /// Calls `change` for each link between the nodes of a zone and all other nodes and the platform.
    fn for_each_cut_link(&self, fault: Fault, change: impl Fn(IpAddr, IpAddr)) {
        let inside = self.in_zone(fault);
        let outside =
            self.placements.iter().filter(|placement| placement.zone != fault.place % layout::ZONES);
        let outside: Vec<IpAddr> = outside.map(NodePlacement::host).chain([layout::PLATFORM_HOST]).collect();
        for placement in &inside {
            for other in &outside {
                change(placement.host(), *other);
            }
        }
    }

    /// Adds a delay to one direction of some links, so that messages over different links arrive out of
    /// order.
    fn reorder_messages(&self, fault: Fault, extra: Millis) {
        let from = self.placements[self.node_of(fault)].host();
        for placement in self.placements.iter().filter(|placement| placement.index % 2 == fault.place % 2) {
            self.context.network.slow(from, placement.host(), extra);
        }
    }
}

/// Returns the same fault in the next zone.
const fn in_next_zone(fault: Fault) -> Fault {
    Fault { place: fault.place % layout::ZONES + 1, ..fault }
}
