//! Starting and ending the processes of one node.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use umberpond_config::Topology;
use umberpond_model::{Incarnation, Millis};
use umberpond_net::Network;
use umberpond_node::settings::{
    AdvertisedAddresses, BackEndConfig, Limits, ListenAddresses, LogConfig, NodeConfig,
};
use umberpond_node::{Environment, Node, RunningNode};
use umberpond_standins::backend::{Backend, BackendSettings, FaultChange, Ledger};
use umberpond_telemetry::Telemetry;

use super::layout::{self, Place};
use super::observer::{ProcessObserver, Recorder};
use crate::history::Event;
use umberpond_virtual_network::SimNetwork;

/// Wall-clock microseconds at the begin of every run.
const RUN_BEGIN_MICROS: u64 = 1_700_000_000_000_000;
/// Time between two health checks of a back end.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time that a planned stop waits for requests in flight; the longest request takes less.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(8);
/// Service time of a back end.
const SERVICE_TIME: Duration = Duration::from_millis(60);
/// Decisions kept for replay.
const RECORDING_ENTRIES: usize = 16;

/// A back end and the time at which it began.
struct RunningBackEnd {
    begun_at: Millis,
    back_end: Backend,
}

/// One node of the cluster with its back end.
pub struct NodeSlot {
    /// Who and where.
    pub place: Place,
    /// The running process, if any.
    pub running: Option<Arc<RunningNode>>,
    /// The back end, while it runs.
    back_end: Option<RunningBackEnd>,
    /// Ledgers of back ends that died, with the time at which each began.
    past_ledgers: Vec<(Millis, Ledger)>,
    generation: u64,
}

/// What processes need.
pub struct Surroundings {
    /// The links.
    pub network: SimNetwork,
    /// Name of the run.
    pub seed: u64,
    /// The record.
    pub recorder: Recorder,
    /// Begin of the run.
    pub begun: Instant,
}

impl Surroundings {
    /// Microseconds of the run's wall clock.
    fn wall_clock_micros(&self) -> u64 {
        RUN_BEGIN_MICROS + u64::try_from(self.begun.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// The network as seen by `host`.
    pub fn host(&self, host: std::net::IpAddr) -> Arc<dyn Network> {
        self.network.host(host)
    }
}

impl NodeSlot {
    /// A slot with its back end running and no process.
    ///
    /// # Panics
    /// If the back end can't listen, which the simulated network never refuses at a fresh address.
    pub async fn new(place: Place, surroundings: &Surroundings) -> Self {
        let mut slot = Self { place, running: None, back_end: None, past_ledgers: Vec::new(), generation: 0 };
        slot.start_back_end(surroundings).await;
        slot
    }

    /// Starts the back end without memory, unless it runs or the node has none.
    ///
    /// # Panics
    /// If the back end can't listen, which the simulated network never refuses at a fresh address.
    pub async fn start_back_end(&mut self, surroundings: &Surroundings) {
        if self.place.is_edge || self.back_end.is_some() {
            return;
        }
        let place = &self.place;
        let network = surroundings.host(place.back_end_host());
        let settings = BackendSettings {
            name: place.node.to_string(),
            service: place.service.clone(),
            locality: place.locality(),
            slots: u64::from(layout::SLOTS),
            service_time: SERVICE_TIME,
            cold_start: Duration::ZERO,
            warm_up: Duration::ZERO,
        };
        let begun_at = surroundings.recorder.now();
        let started = Backend::start(&*network, place.back_end(), settings).await;
        let back_end = started.expect("a fresh address can be listened at");
        self.back_end = Some(RunningBackEnd { begun_at, back_end });
    }

    /// Ends the back end in the middle of its work; its node is marked as hit by a fault.
    pub fn kill_back_end(&mut self, surroundings: &Surroundings) {
        let Some(RunningBackEnd { begun_at, back_end }) = self.back_end.take() else { return };
        surroundings.recorder.record(Event::FaultBegan { node: self.place.node.clone() });
        surroundings.network.kill(self.place.back_end_host());
        self.past_ledgers.push((begun_at, back_end.ledger()));
    }

    /// Changes the time that the back end adds to each request; its node is marked as hit by a fault.
    pub fn slow_back_end(&self, surroundings: &Surroundings, delay_millis: u64) {
        let Some(running) = &self.back_end else { return };
        surroundings.recorder.record(Event::FaultBegan { node: self.place.node.clone() });
        running
            .back_end
            .change_faults(&FaultChange { delay_millis: Some(delay_millis), ..FaultChange::default() });
    }

    /// What all back ends of this node ran, each with the time at which it began.
    pub fn ledgers(&self) -> impl Iterator<Item = (Millis, Ledger)> + '_ {
        let running = self.back_end.iter().map(|running| (running.begun_at, running.back_end.ledger()));
        self.past_ledgers.iter().cloned().chain(running)
    }

    /// Starts a process without memory, unless one runs.
    pub async fn start(&mut self, surroundings: &Surroundings, seeds: &[Place]) {
        if self.running.is_some() {
            return;
        }
        self.generation += 1;
        let incarnation = Incarnation(surroundings.wall_clock_micros());
        let observer = ProcessObserver {
            place: self.place.number,
            node: self.place.node.clone(),
            incarnation,
            recorder: surroundings.recorder.clone(),
        };
        let environment = Environment {
            network: surroundings.host(self.place.host()),
            seed: self.process_seed(surroundings.seed),
            incarnation,
            started: Instant::now(),
            telemetry: Telemetry::to_observer(Arc::new(observer)),
        };
        surroundings.recorder.record(Event::Started { node: self.place.node.clone() });
        match Node::start(self.config(seeds), environment).await {
            Ok(running) => self.running = Some(Arc::new(running)),
            Err(error) => {
                surroundings.recorder.trace(&format!("{}: start failed: {error:?}", self.place.node))
            }
        }
    }

    /// The running process and its number among the processes of this node.
    pub fn process(&self) -> Option<(Arc<RunningNode>, u64)> {
        self.running.clone().map(|running| (running, self.generation))
    }

    /// Ends the process as a kill would: nothing of it reaches anybody from here on.
    pub fn kill(&mut self, surroundings: &Surroundings) {
        if let Some(running) = self.running.take() {
            surroundings.network.kill(self.place.host());
            running.kill();
            surroundings.recorder.record(Event::FaultBegan { node: self.place.node.clone() });
            surroundings.recorder.record(Event::Stopped { node: self.place.node.clone() });
        }
    }

    fn process_seed(&self, run_seed: u64) -> u64 {
        let name = format!("{run_seed} {} {}", self.place.node, self.generation);
        let hash = blake3::hash(name.as_bytes());
        let mut first_bytes = [0; 8];
        first_bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first_bytes)
    }

    fn config(&self, seeds: &[Place]) -> NodeConfig {
        let place = &self.place;
        let mut localities = Topology::new();
        for zone in 0..layout::ZONES {
            let locality = layout::locality(zone);
            localities.entry(locality.region).or_default().insert(locality.zone);
        }
        NodeConfig {
            node: place.node.clone(),
            service: place.service.clone(),
            locality: place.locality(),
            localities,
            listen: ListenAddresses {
                inbound: (!place.is_edge).then(|| place.inbound()),
                outbound: place.outbound(),
                admin: place.admin(),
                control: place.control(),
            },
            advertise: AdvertisedAddresses::default(),
            back_end: (!place.is_edge).then(|| BackEndConfig {
                address: place.back_end(),
                check_interval: CHECK_INTERVAL,
                failures_to_unready: 3,
            }),
            platform: layout::PLATFORM,
            seeds: seeds.iter().filter(|seed| seed.number != place.number).map(Place::control).collect(),
            seal_key: place.is_edge.then(|| Arc::new(layout::caller_key())),
            limits: Limits::default(),
            log: LogConfig::default(),
            drain_timeout: DRAIN_TIMEOUT,
            recording_entries: RECORDING_ENTRIES,
        }
    }
}
