//! Starts and stops the processes of one node and its back end.

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
use umberpond_model::{Millis, RequestRate};
use umberpond_net::Network;
use umberpond_operator::admin::ADMIN_BODY_BYTES;
use umberpond_operator::{AdminHandler, ChainSource, StoreDirectory};
use umberpond_selection::RetryBudgetSettings;
use umberpond_standins::backend::{Backend, BackendSettings, FaultChange, Ledger};
use umberpond_store::{ClientSettings, GateLimits, ObjectStore, PlatformClient, PlatformGate};
use umberpond_telemetry::Telemetry;

use super::layout::{self, NodePlacement};
use super::observer::{ProcessObserver, Recorder};
use crate::history::Event;
use umberpond_virtual_network::SimNetwork;

/// Start time of every run, in milliseconds since the Unix epoch.
const RUN_START_UNIX_MILLIS: u64 = 1_700_000_000_000;
/// Interval between two health checks of a back end.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Grace period of a planned stop; longer than the longest request.
const STOP_GRACE: Duration = Duration::from_secs(12);
/// Time that a back end takes for one request.
const SERVICE_TIME: Duration = Duration::from_millis(60);

/// A running back end and its start time.
struct RunningBackEnd {
    started_at: Millis,
    back_end: Backend,
}

/// One node of the cluster with its back end.
pub struct NodeSlot {
    /// Name, service and location of the node.
    pub placement: NodePlacement,
    /// The running process, if there is one.
    running: Option<RunningProcess>,
    /// The running back end, if there is one.
    back_end: Option<RunningBackEnd>,
    /// Ledgers of killed back ends, each with the start time of the back end.
    past_ledgers: Vec<(Millis, Ledger)>,
    /// Number of processes started so far.
    generation: u64,
}

/// A running process.
struct RunningProcess {
    daemon: Arc<RunningDaemon>,
    /// Task that serves the admin API.
    admin: AbortHandle,
}

/// State of a run that all its processes share.
pub struct RunContext {
    /// The in-memory network.
    pub network: SimNetwork,
    /// Seed of the run.
    pub seed: u64,
    /// Recorder of the run.
    pub recorder: Recorder,
    /// Start of the run on the paused clock.
    pub started_at: Instant,
}

impl RunContext {
    /// Network interface of `host`.
    pub fn host(&self, host: std::net::IpAddr) -> Arc<dyn Network> {
        self.network.host(host)
    }
}

impl NodeSlot {
    /// Creates a slot with a running back end and no process.
    ///
    /// # Panics
    /// If the back end can't listen, which the in-memory network never refuses at an unused address.
    pub async fn new(placement: NodePlacement, context: &RunContext) -> Self {
        let mut slot =
            Self { placement, running: None, back_end: None, past_ledgers: Vec::new(), generation: 0 };
        slot.start_back_end(context).await;
        slot
    }

    /// Starts the back end with empty state, unless it is running or the node has none.
    ///
    /// # Panics
    /// If the back end can't listen, which the in-memory network never refuses at an unused address.
    pub async fn start_back_end(&mut self, context: &RunContext) {
        if self.placement.is_edge || self.back_end.is_some() {
            return;
        }
        let placement = &self.placement;
        let network = context.host(placement.back_end_host());
        let settings = BackendSettings {
            name: placement.node.to_string(),
            instance: self
                .has_named_back_end()
                .then(|| format!("{}-{}", placement.node, self.past_ledgers.len())),
            service: placement.service.clone(),
            locality: placement.locality(),
            slots: u64::from(layout::SLOTS),
            service_time: SERVICE_TIME,
            cold_start: Duration::ZERO,
            warm_up: Duration::ZERO,
        };
        let started_at = context.recorder.now();
        let started = Backend::start(&*network, placement.back_end(), settings).await;
        let back_end = started.expect("an unused address can be bound");
        self.back_end = Some(RunningBackEnd { started_at, back_end });
    }

    /// Kills the back end with its requests in flight and records a fault of its node.
    pub fn kill_back_end(&mut self, context: &RunContext) {
        let Some(RunningBackEnd { started_at, back_end }) = self.back_end.take() else { return };
        let node = &self.placement.node;
        context.recorder.record(Event::FaultBegan { node: node.clone() });
        context.recorder.record(Event::LimitEnded { node: node.clone() });
        context.recorder.record(Event::LeavingEnded { node: node.clone() });
        context.network.kill(self.placement.back_end_host());
        self.past_ledgers.push((started_at, back_end.ledger()));
    }

    /// Sets the time that the back end adds to each request and records a fault of its node.
    pub fn slow_back_end(&self, context: &RunContext, delay_millis: u64) {
        let Some(running) = &self.back_end else { return };
        context.recorder.record(Event::FaultBegan { node: self.placement.node.clone() });
        running
            .back_end
            .change_faults(&FaultChange { delay_millis: Some(delay_millis), ..FaultChange::default() });
    }

    /// Sets the limit that the responses of the back end advertise, in thousandths of a request per second.
    pub fn limit_back_end(&self, context: &RunContext, limit: Option<u64>) {
        let Some(running) = &self.back_end else { return };
        let node = self.placement.node.clone();
        let rate = limit.and_then(|limit| RequestRate::per_second(limit as f64 / 1_000.0).ok());
        context.recorder.record(match rate {
            Some(limit) => Event::LimitBegan { node, limit },
            None => Event::LimitEnded { node },
        });
        let change = FaultChange { request_limit: Some(limit), ..FaultChange::default() };
        running.back_end.change_faults(&change);
    }

    /// Makes the responses of the back end say that it is about to shut down.
    pub fn leave_back_end(&self, context: &RunContext) {
        let Some(running) = &self.back_end else { return };
        context.recorder.record(Event::LeavingBegan { node: self.placement.node.clone() });
        // A back end without identity that is healthy for some seconds counts as the next process.
        let health_lies = Some(self.has_named_back_end());
        let change = FaultChange { leaving: Some(true), health_lies, ..FaultChange::default() };
        running.back_end.change_faults(&change);
    }

    /// Whether the back end reports an identity. Some don't, so that both cases are tested.
    const fn has_named_back_end(&self) -> bool {
        self.placement.index.is_multiple_of(2)
    }

    /// Ledgers of all back ends of this node, each with the start time of the back end.
    pub fn ledgers(&self) -> impl Iterator<Item = (Millis, Ledger)> + '_ {
        let running = self.back_end.iter().map(|running| (running.started_at, running.back_end.ledger()));
        self.past_ledgers.iter().cloned().chain(running)
    }

    /// Starts a process with empty state, unless one is running.
    pub async fn start(&mut self, context: &RunContext) {
        if self.running.is_some() {
            return;
        }
        self.generation += 1;
        let observer = ProcessObserver {
            node_index: self.placement.index,
            node: self.placement.node.clone(),
            process: self.generation,
            recorder: context.recorder.clone(),
        };
        let environment = Environment {
            network: context.host(self.placement.host()),
            seed: self.process_seed(context.seed),
            telemetry: Telemetry::to_observer(Arc::new(observer)),
            boot_clock: Arc::new(NoBootClock),
        };
        context.recorder.record(Event::Started { node: self.placement.node.clone() });
        match self.start_daemon(environment, context.started_at).await {
            Ok(running) => self.running = Some(running),
            Err(error) => {
                context.recorder.trace(&format!("{}: start failed: {error:?}", self.placement.node))
            }
        }
    }

    /// Starts the daemon and its admin listener as the `umberpond` program does.
    async fn start_daemon(
        &self,
        environment: Environment,
        run_started_at: Instant,
    ) -> Result<RunningProcess, StartError> {
        let gate = PlatformGate::new(GateLimits::default());
        let network = Arc::clone(&environment.network);
        let client = PlatformClient::new(network, layout::PLATFORM, gate, ClientSettings::default());
        let store: Arc<dyn ObjectStore> = Arc::new(client.named(self.placement.node.clone()));
        let extensions = Extensions {
            source: Arc::new(ChainSource::new(Arc::clone(&store))),
            directory: Arc::new(StoreDirectory::new(Arc::clone(&store))),
            rollouts: None,
            quarantine: None,
            evacuations: None,
            departures: None,
            header_profile: HeaderProfile::DEFAULT,
        };
        let daemon = Arc::new(Daemon::start(self.config(), environment.clone(), extensions).await?);
        let time_of_day =
            move || RUN_START_UNIX_MILLIS + u64::try_from(run_started_at.elapsed().as_millis()).unwrap_or(0);
        let handler = AdminHandler::new(Arc::clone(&daemon), store, Arc::new(time_of_day), environment.seed);
        let listener = listen(&environment, "admin", self.placement.admin()).await?;
        let admin = tokio::spawn(serve_http(listener, Arc::new(handler), ADMIN_BODY_BYTES)).abort_handle();
        Ok(RunningProcess { daemon, admin })
    }

    /// Returns the running process and its generation.
    pub fn process(&self) -> Option<(Arc<RunningDaemon>, u64)> {
        self.running.as_ref().map(|running| (Arc::clone(&running.daemon), self.generation))
    }

    /// Cleans up after the process has exited by itself.
    pub fn on_process_exit(&mut self, context: &RunContext) {
        if let Some(running) = self.running.take() {
            running.admin.abort();
            context.network.kill(self.placement.host());
        }
    }

    /// Kills the process: from now on it can neither send nor receive anything.
    pub fn kill(&mut self, context: &RunContext) {
        if let Some(running) = self.running.take() {
            context.network.kill(self.placement.host());
            running.daemon.kill();
            running.admin.abort();
            context.recorder.record(Event::FaultBegan { node: self.placement.node.clone() });
            context.recorder.record(Event::Stopped { node: self.placement.node.clone() });
        }
    }

    fn process_seed(&self, run_seed: u64) -> u64 {
        let name = format!("{run_seed} {} {}", self.placement.node, self.generation);
        let hash = blake3::hash(name.as_bytes());
        let mut first_bytes = [0; 8];
        first_bytes.copy_from_slice(&hash.as_bytes()[..8]);
        u64::from_le_bytes(first_bytes)
    }

    fn config(&self) -> NodeConfig {
        let placement = &self.placement;
        let mut topology = Topology::new();
        for zone in 0..layout::ZONES {
            let locality = layout::locality(zone);
            topology.entry(locality.region).or_default().insert(locality.zone);
        }
        NodeConfig {
            node: placement.node.clone(),
            service: placement.service.clone(),
            is_first_start: self.generation == 1,
            locality: placement.locality(),
            topology,
            listen: ListenAddresses {
                inbound: placement.inbound(),
                outbound: placement.outbound(),
                admin: placement.admin(),
                control: placement.control(),
                registration: None,
            },
            advertise: AdvertisedAddresses::default(),
            back_end: (!placement.is_edge).then(|| BackEndConfig {
                check_interval: CHECK_INTERVAL,
                ..BackEndConfig::at(placement.back_end())
            }),
            store: layout::PLATFORM,
            seal_key: placement.is_edge.then(|| Arc::new(layout::caller_key())),
            link_rate: None,
            retry_budget: RetryBudgetSettings::default(),
            rollouts: None,
            follows_evacuations: false,
            keeps_slots_for_calls: false,
            chooses_by_speed: false,
            log: LogConfig::default(),
            grace: STOP_GRACE,
        }
    }
}
