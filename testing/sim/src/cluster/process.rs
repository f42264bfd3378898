//! Starting and ending the processes of one node.

use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;
use tokio::time::Instant;
use umberpond_config::Topology;
use umberpond_daemon::settings::{
    AdvertisedAddresses, BackEndConfig, ListenAddresses, LogConfig, NodeConfig,
};
use umberpond_daemon::{
    Daemon, Environment, Extensions, NoBootClock, RunningDaemon, StartError, listen, serve_http,
};
use umberpond_forwarding::HeaderProfile;
use umberpond_model::Millis;
use umberpond_net::Network;
use umberpond_operator::admin::ADMIN_BODY_BYTES;
use umberpond_operator::{AdminHandler, ChainSource, StoreDirectory};
use umberpond_selection::RetryBudgetSettings;
use umberpond_standins::backend::{Backend, BackendSettings, FaultChange, Ledger};
use umberpond_store::{ClientSettings, GateLimits, ObjectStore, PlatformClient, PlatformGate};
use umberpond_telemetry::Telemetry;

use super::layout::{self, Place};
use super::observer::{ProcessObserver, Recorder};
use crate::history::Event;
use umberpond_virtual_network::SimNetwork;

/// Milliseconds since the Unix epoch at the begin of every run.
const RUN_BEGIN_MILLIS: u64 = 1_700_000_000_000;
/// Time between two health checks of a back end.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Time from the order to stop until the process is killed; the longest request takes less.
const GRACE: Duration = Duration::from_secs(12);
/// Service time of a back end.
const SERVICE_TIME: Duration = Duration::from_millis(60);

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
    running: Option<RunningProcess>,
    /// The back end, while it runs.
    back_end: Option<RunningBackEnd>,
    /// Ledgers of back ends that died, with the time at which each began.
    past_ledgers: Vec<(Millis, Ledger)>,
    generation: u64,
}

/// A process that runs.
struct RunningProcess {
    daemon: Arc<RunningDaemon>,
    /// The operators' listener.
    admin: AbortHandle,
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
    pub async fn start(&mut self, surroundings: &Surroundings) {
        if self.running.is_some() {
            return;
        }
        self.generation += 1;
        let observer = ProcessObserver {
            place: self.place.number,
            node: self.place.node.clone(),
            process: self.generation,
            recorder: surroundings.recorder.clone(),
        };
        let environment = Environment {
            network: surroundings.host(self.place.host()),
            seed: self.process_seed(surroundings.seed),
            telemetry: Telemetry::to_observer(Arc::new(observer)),
            boot_clock: Arc::new(NoBootClock),
        };
        surroundings.recorder.record(Event::Started { node: self.place.node.clone() });
        match self.start_daemon(environment, surroundings.begun).await {
            Ok(running) => self.running = Some(running),
            Err(error) => {
                surroundings.recorder.trace(&format!("{}: start failed: {error:?}", self.place.node))
            }
        }
    }

    /// Starts the daemon and the operators' listener as the program does.
    async fn start_daemon(
        &self,
        environment: Environment,
        run_begun: Instant,
    ) -> Result<RunningProcess, StartError> {
        let gate = PlatformGate::new(GateLimits::default());
        let network = Arc::clone(&environment.network);
        let client = PlatformClient::new(network, layout::PLATFORM, gate, ClientSettings::default());
        let store: Arc<dyn ObjectStore> = Arc::new(client.named(self.place.node.clone()));
        let extensions = Extensions {
            source: Arc::new(ChainSource::new(Arc::clone(&store))),
            directory: Arc::new(StoreDirectory::new(Arc::clone(&store))),
            rollouts: None,
            quarantine: None,
            evacuations: None,
            header_profile: HeaderProfile::DEFAULT,
        };
        let daemon = Arc::new(Daemon::start(self.config(), environment.clone(), extensions).await?);
        let time_of_day =
            move || RUN_BEGIN_MILLIS + u64::try_from(run_begun.elapsed().as_millis()).unwrap_or(0);
        let handler = AdminHandler::new(Arc::clone(&daemon), store, Arc::new(time_of_day), environment.seed);
        let listener = listen(&environment, "admin", self.place.admin()).await?;
        let admin = tokio::spawn(serve_http(listener, Arc::new(handler), ADMIN_BODY_BYTES)).abort_handle();
        Ok(RunningProcess { daemon, admin })
    }

    /// The running process and its number among the processes of this node.
    pub fn process(&self) -> Option<(Arc<RunningDaemon>, u64)> {
        self.running.as_ref().map(|running| (Arc::clone(&running.daemon), self.generation))
    }

    /// Takes in that the process has ended by itself.
    pub fn ended(&mut self, surroundings: &Surroundings) {
        if let Some(running) = self.running.take() {
            running.admin.abort();
            surroundings.network.kill(self.place.host());
        }
    }

    /// Ends the process as a kill would: nothing of it reaches anybody from here on.
    pub fn kill(&mut self, surroundings: &Surroundings) {
        if let Some(running) = self.running.take() {
            surroundings.network.kill(self.place.host());
            running.daemon.kill();
            running.admin.abort();
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

    fn config(&self) -> NodeConfig {
        let place = &self.place;
        let mut topology = Topology::new();
        for zone in 0..layout::ZONES {
            let locality = layout::locality(zone);
            topology.entry(locality.region).or_default().insert(locality.zone);
        }
        NodeConfig {
            node: place.node.clone(),
            service: place.service.clone(),
            is_first_start: self.generation == 1,
            locality: place.locality(),
            topology,
            listen: ListenAddresses {
                inbound: place.inbound(),
                outbound: place.outbound(),
                admin: place.admin(),
                control: place.control(),
                registration: None,
            },
            advertise: AdvertisedAddresses::default(),
            back_end: (!place.is_edge).then(|| BackEndConfig {
                check_interval: CHECK_INTERVAL,
                ..BackEndConfig::at(place.back_end())
            }),
            store: layout::PLATFORM,
            seal_key: place.is_edge.then(|| Arc::new(layout::caller_key())),
            link_rate: None,
            retry_budget: RetryBudgetSettings::default(),
            rollouts: None,
            follows_evacuations: false,
            keeps_slots_for_calls: false,
            chooses_by_speed: false,
            log: LogConfig::default(),
            grace: GRACE,
        }
    }
}
