//! Carrying out a fault schedule on the cluster.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;
use umberpond_model::Millis;
use umberpond_standins::platform::{FaultChange, Platform};

use super::layout::{self, Place};
use super::operators::{Operator, submit_changes};
use super::process::{NodeSlot, Surroundings};
use crate::history::Event;
use crate::schedule::{Fault, FaultKind};

/// Delay added to each answer of a slow platform.
const SLOW_PLATFORM_MILLIS: u64 = 1_500;
/// Delay added to one direction of a link whose messages cross.
const CROSSING_DELAY: Millis = Millis(700);
/// Answers lost by one fault.
const LOST_ANSWERS: u64 = 3;
/// Time added to each request of a slow back end: some still end within their time limit, some don't.
const SLOW_BACK_END_MILLIS: u64 = 1_800;
/// Delay of a platform whose answers are lost too: the change takes effect half of it later.
const LATE_ANSWERS_MILLIS: u64 = 4_000;
/// Time in which the cut-off zone falls behind, above the time between two versions.
const FALLING_BEHIND: Duration = Duration::from_secs(6);
/// Time between the end of a zone's processes and their restart beside the zone that is behind.
const RESTART_PAUSE: Duration = Duration::from_millis(200);
/// How much later the second copy of a doubled request comes.
const DOUBLED_AFTER: Millis = Millis(60);
/// Operators that race.
const RACING_OPERATORS: u64 = 3;

/// Everything that faults act on.
pub struct Cluster {
    /// What processes need.
    pub surroundings: Surroundings,
    /// The platform.
    pub platform: Platform,
    /// The nodes; each slot has a lock of its own, so that a long planned stop holds up no other fault.
    pub slots: Vec<Mutex<NodeSlot>>,
    /// All nodes.
    pub places: Vec<Place>,
    /// The operators.
    pub operator: Operator,
}

impl Cluster {
    /// Starts a node's process, unless it runs.
    pub async fn start(&self, number: usize) {
        self.slots[number].lock().await.start(&self.surroundings).await;
    }

    /// Carries out one fault from its begin to its end.
    pub async fn carry_out(self: Arc<Self>, fault: Fault) {
        sleep(Duration::from_millis(fault.at.0)).await;
        self.surroundings
            .recorder
            .trace(&format!("FAULT {} {} for {} ms", fault.kind, fault.place, fault.duration.0));
        self.begin(fault).await;
        sleep(Duration::from_millis(fault.duration.0)).await;
        self.end(fault).await;
        self.surroundings.recorder.trace(&format!("FAULT {} {} is over", fault.kind, fault.place));
    }

    async fn begin(&self, fault: Fault) {
        if fault.kind.impairs_store() {
            self.surroundings.recorder.record(Event::StoreImpaired);
        }
        if fault.kind.cuts_links() {
            self.surroundings.recorder.record(Event::LinksCut);
        }
        let network = &self.surroundings.network;
        match fault.kind {
            FaultKind::Kill => self.kill(self.node_of(fault)).await,
            FaultKind::HerdRestart => {
                for place in self.in_zone(fault) {
                    self.kill(place.number).await;
                }
            }
            FaultKind::CutZone => {
                self.mark_faulty(&self.in_zone(fault));
                self.for_each_cut_link(fault, |one, other| network.cut(one, other));
            }
            FaultKind::Freeze => {
                let place = &self.places[self.node_of(fault)];
                self.mark_faulty(std::slice::from_ref(place));
                network.freeze(place.host());
            }
            FaultKind::PlatformDown => {
                self.change_platform(FaultChange { down: Some(true), ..FaultChange::default() })
            }
            FaultKind::PlatformSlow => {
                let delay_millis = Some(SLOW_PLATFORM_MILLIS);
                self.change_platform(FaultChange { delay_millis, ..FaultChange::default() });
            }
            FaultKind::LoseAnswers => {
                let lose_answers = Some(LOST_ANSWERS);
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
            FaultKind::CrossedUpdates => self.cross(fault, CROSSING_DELAY),
            FaultKind::PlannedStop => self.stop_by_plan(self.node_of(fault)).await,
            FaultKind::BackEndDeath => {
                self.slots[self.node_of(fault)].lock().await.kill_back_end(&self.surroundings);
            }
            FaultKind::SlowBackEnd => self.slow_back_end(fault, SLOW_BACK_END_MILLIS).await,
            FaultKind::LateLostAnswers => self.change_platform(FaultChange {
                delay_millis: Some(LATE_ANSWERS_MILLIS),
                lose_answers: Some(u64::MAX),
                ..FaultChange::default()
            }),
            FaultKind::StaleZone => self.begin_stale_zone(fault).await,
            FaultKind::DoubledRequests => {
                network.double(self.places[self.node_of(fault)].inbound(), Some(DOUBLED_AFTER));
            }
        }
    }

    async fn end(&self, fault: Fault) {
        let network = &self.surroundings.network;
        match fault.kind {
            FaultKind::Kill | FaultKind::PlannedStop => self.start(self.node_of(fault)).await,
            FaultKind::HerdRestart => {
                for place in self.in_zone(fault) {
                    self.start(place.number).await;
                }
            }
            FaultKind::CutZone => self.for_each_cut_link(fault, |one, other| network.mend(one, other)),
            FaultKind::StaleZone => {
                for zone in [fault, in_next_zone(fault)] {
                    self.for_each_cut_link(zone, |one, other| network.mend(one, other));
                }
            }
            FaultKind::BackEndDeath => {
                self.slots[self.node_of(fault)].lock().await.start_back_end(&self.surroundings).await;
            }
            FaultKind::SlowBackEnd => self.slow_back_end(fault, 0).await,
            FaultKind::DoubledRequests => network.double(self.places[self.node_of(fault)].inbound(), None),
            FaultKind::LateLostAnswers => self.change_platform(FaultChange {
                delay_millis: Some(0),
                lose_answers: Some(0),
                ..FaultChange::default()
            }),
            FaultKind::Freeze => network.thaw(self.places[self.node_of(fault)].host()),
            FaultKind::PlatformDown => {
                self.change_platform(FaultChange { down: Some(false), ..FaultChange::default() });
            }
            FaultKind::PlatformSlow => {
                self.change_platform(FaultChange { delay_millis: Some(0), ..FaultChange::default() });
            }
            FaultKind::LoseAnswers => {
                self.change_platform(FaultChange { lose_answers: Some(0), ..FaultChange::default() });
            }
            FaultKind::CrossedUpdates => self.cross(fault, Millis(0)),
            FaultKind::EndWatches | FaultKind::OperatorRace => {}
        }
        if fault.kind.impairs_store() {
            self.surroundings.recorder.record(Event::StoreMended);
        }
        if fault.kind.cuts_links() {
            self.surroundings.recorder.record(Event::LinksMended);
        }
    }

    /// Admin addresses of all nodes.
    pub fn admins(&self) -> Vec<std::net::SocketAddr> {
        self.places.iter().map(Place::admin).collect()
    }

    async fn kill(&self, number: usize) {
        self.slots[number].lock().await.kill(&self.surroundings);
    }

    /// The slot stays free while the node drains, so that other faults can hit it then.
    async fn stop_by_plan(&self, number: usize) {
        let slot = &self.slots[number];
        let Some((running, generation)) = slot.lock().await.process() else { return };
        let node = self.places[number].node.clone();
        self.surroundings.recorder.record(Event::DrainBegan { node: node.clone() });
        let report = running.stop().await;
        self.surroundings.recorder.trace(&format!("{node}: drained, {report:?}"));
        let mut slot = slot.lock().await;
        if slot.process().is_none_or(|(_, current)| current != generation) {
            return;
        }
        slot.ended(&self.surroundings);
        self.surroundings.recorder.record(Event::PlannedStopEnded { node: node.clone() });
        self.surroundings.recorder.record(Event::Stopped { node });
    }

    async fn begin_stale_zone(&self, fault: Fault) {
        let network = &self.surroundings.network;
        let restarted = in_next_zone(fault);
        self.mark_faulty(&self.in_zone(fault));
        self.for_each_cut_link(fault, |one, other| network.cut(one, other));
        sleep(FALLING_BEHIND).await;
        self.for_each_cut_link(restarted, |one, other| network.cut(one, other));
        for behind in self.in_zone(fault) {
            for place in self.in_zone(restarted) {
                network.mend(behind.host(), place.host());
            }
        }
        for place in self.in_zone(restarted) {
            self.kill(place.number).await;
        }
        sleep(RESTART_PAUSE).await;
        for place in self.in_zone(restarted) {
            self.start(place.number).await;
        }
    }

    async fn slow_back_end(&self, fault: Fault, delay_millis: u64) {
        let slot = self.slots[self.node_of(fault)].lock().await;
        slot.slow_back_end(&self.surroundings, delay_millis);
    }

    fn change_platform(&self, change: FaultChange) {
        self.platform.change_faults(&change);
    }

    /// Which node a fault hits.
    fn node_of(&self, fault: Fault) -> usize {
        fault.place % self.places.len()
    }

    fn in_zone(&self, fault: Fault) -> Vec<Place> {
        let zone = fault.place % layout::ZONES;
        self.places.iter().filter(|place| place.zone == zone).cloned().collect()
    }

    fn mark_faulty(&self, places: &[Place]) {
        for place in places {
            self.surroundings.recorder.record(Event::FaultBegan { node: place.node.clone() });
        }
    }

    /// Links between a zone's nodes and all other nodes and the platform.
    fn for_each_cut_link(&self, fault: Fault, change: impl Fn(IpAddr, IpAddr)) {
        let inside = self.in_zone(fault);
        let outside = self.places.iter().filter(|place| place.zone != fault.place % layout::ZONES);
        let outside: Vec<IpAddr> = outside.map(Place::host).chain([layout::PLATFORM_HOST]).collect();
        for place in &inside {
            for other in &outside {
                change(place.host(), *other);
            }
        }
    }

    /// Slows one direction of some links, so that messages over different ways arrive out of order.
    fn cross(&self, fault: Fault, extra: Millis) {
        let from = self.places[self.node_of(fault)].host();
        for place in self.places.iter().filter(|place| place.number % 2 == fault.place % 2) {
            self.surroundings.network.slow(from, place.host(), extra);
        }
    }
}

/// The same fault at the zone after its own.
const fn in_next_zone(fault: Fault) -> Fault {
    Fault { place: fault.place % layout::ZONES + 1, ..fault }
}
