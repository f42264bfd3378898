//! Starts a daemon: opens the listeners, then starts the actors and tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use ractor::{Actor, ActorRef};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use umberpond_distribution::ReaderSettings;
use umberpond_forwarding::{
    BackEndFinding, HeaderProfile, Inbound, InboundSettings, Outbound, OutboundIdentity, OutboundSettings,
    QuotaGate, ServerControl, ServerPhase, serve_inbound, serve_outbound,
};
use umberpond_membership::{
    BackEndRecord, DirectoryEntry, MemberPhase, MemberRecord, MemberView, Membership, MembershipSettings,
};
use umberpond_model::{Evacuations, Incarnation, StoreEra};
use umberpond_rollouts::ReleaseEvidence;
use umberpond_scheduling::LoadReport;
use umberpond_selection::{SamplingSettings, SelectorSettings};
use umberpond_telemetry::{Event, Telemetry};

use crate::back_end::{
    BackEndAssignment, BackEndMonitor, BackEndTracker, CheckSettings, DepartureLog, DepartureStore,
    check_low_limits, check_periodically, find_at_restart, follow_warmth, publish_request_limits,
};
use crate::configuration::{
    Activation, ConfigurationActor, ConfigurationArguments, ConfigurationMessage, ConfigurationSource,
    ReaderTask, is_store_reader, read_store, serve_peers,
};
use crate::directory::{JoinTask, MemberDirectory, keep_entry};
use crate::environment::{Environment, SeedUse};
use crate::error::StartError;
use crate::evacuations::{EvacuationStore, EvacuationTask, follow_evacuations};
use crate::listeners::Listeners;
use crate::membership::{MembershipActor, MembershipArguments, MembershipMessage, receive_datagrams};
use crate::quarantine::{
    ClaimTask, QuarantineStore, QuarantineTask, broadcast_findings, claim_trials, sync_quarantine,
};
use crate::readiness::Unready;
use crate::rollouts::{RolloutStore, RolloutTask, run_rollouts};
use crate::settings::{BackEndConfig, NodeConfig};

/// Interval at which connections that exceed the idle timeout are closed.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which idle connections to the back end are checked. One on which bytes arrive that no request asked
/// for is closed.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout for the reply of an actor.
const ACTOR_TIMEOUT: Duration = Duration::from_secs(1);

/// The platform-specific parts of a daemon.
#[derive(Clone)]
pub struct Extensions {
    /// Source of configurations.
    pub source: Arc<dyn ConfigurationSource>,
    /// Directory for node discovery.
    pub directory: Arc<dyn MemberDirectory>,
    /// Store of rollouts; absent if the platform has none.
    pub rollouts: Option<Arc<dyn RolloutStore>>,
    /// Store of quarantined requests, which outlasts the processes of all nodes; absent if the platform has
    /// none.
    pub quarantine: Option<Arc<dyn QuarantineStore>>,
    /// Store of zone evacuations; absent if the platform has none.
    pub evacuations: Option<Arc<dyn EvacuationStore>>,
    /// Store of the departures of back ends; absent if the platform has none.
    pub departures: Option<Arc<dyn DepartureStore>>,
    /// Names of the header fields.
    pub header_profile: HeaderProfile,
}

impl std::fmt::Debug for Extensions {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Extensions").field("dialect", &self.header_profile).finish_non_exhaustive()
    }
}

/// The daemon.
#[derive(Debug, Clone, Copy)]
pub struct Daemon;

impl Daemon {
    /// Starts a daemon. It runs until [`RunningDaemon::stop`].
    ///
    /// # Errors
    /// Returns [`StartError`] if a listener or an actor could not be started.
    pub async fn start(
        config: NodeConfig,
        environment: Environment,
        extensions: Extensions,
    ) -> Result<RunningDaemon, StartError> {
        let telemetry = environment.telemetry.clone();
        telemetry.emit(Event::NodeStarted {
            node: config.node.clone(),
            incarnation: Incarnation(0),
            program_version: env!("CARGO_PKG_VERSION"),
        });
        let listeners = Listeners::open(&config, &environment).await?;
        let own = own_record(&config, &environment, &listeners);
        let inbound = Arc::new(Inbound::new(
            extensions.header_profile,
            InboundSettings {
                link_rate: config.link_rate,
                keeps_slots_for_calls: config.keeps_slots_for_calls,
                ..InboundSettings::default()
            },
            Arc::clone(&environment.network),
            telemetry.clone(),
        ));
        let outbound = start_outbound(&config, &environment, extensions.header_profile, &inbound);
        let activation =
            Arc::new(Activation::new(Arc::clone(&outbound), config.seal_key.clone(), telemetry.clone()));
        let directory_entry = DirectoryEntry {
            node: own.node.clone(),
            control: own.control,
            locality: Some(own.locality.clone()),
        };
        let (evidence, reports) = mpsc::unbounded_channel();
        let (earlier_back_ends, remembered) = mpsc::unbounded_channel();
        let (store_era, store_eras) = watch::channel(StoreEra::default());
        let arguments = MembershipArguments {
            membership: Membership::new(MembershipSettings::default(), own),
            socket: Arc::clone(&listeners.datagrams),
            inbound: Arc::clone(&inbound),
            outbound: Arc::clone(&outbound),
            telemetry: telemetry.clone(),
            boot_clock: Arc::clone(&environment.boot_clock),
            evidence,
            earlier_back_ends,
            store_era,
        };
        let (membership, _) = Actor::spawn(None, MembershipActor, arguments).await?;
        let arguments = ConfigurationArguments {
            activation: Arc::clone(&activation),
            membership: membership.clone(),
            network: Arc::clone(&environment.network),
            telemetry: telemetry.clone(),
            seed: environment.seed_for(SeedUse::Fetch),
        };
        let (configuration, _) = Actor::spawn(None, ConfigurationActor, arguments).await?;
        let _ = membership.send_message(MembershipMessage::ConfigurationActor(configuration.clone()));
        let departures = extensions.departures.as_ref().map(|store| DepartureLog {
            store: Arc::clone(store),
            node: config.node.clone(),
            telemetry: telemetry.clone(),
        });
        let back_end = BackEndMonitor::new(
            BackEndTracker::new(BackEndAssignment::of(&config), !config.is_first_start),
            departures,
            Arc::clone(&inbound),
            Arc::clone(&activation),
            membership.clone(),
            telemetry,
        );
        let daemon = RunningDaemon {
            config,
            environment,
            extensions,
            directory_entry,
            inbound,
            outbound,
            activation,
            membership,
            configuration,
            back_end,
            control: ServerControl::default(),
            unready_responses: AtomicU32::new(0),
            store_eras,
            tasks: Mutex::default(),
        };
        daemon.start_tasks(listeners, reports);
        daemon.tasks.lock().spawn(follow_earlier_records(remembered, Arc::clone(&daemon.back_end)));
        Ok(daemon)
    }
}

/// The membership record of this node at the start.
fn own_record(config: &NodeConfig, environment: &Environment, listeners: &Listeners) -> MemberRecord {
    MemberRecord {
        node: config.node.clone(),
        process_id: environment.seed_for(SeedUse::Life),
        incarnation: Incarnation(1),
        sequence: 0,
        control: config.advertise.control.unwrap_or_else(|| listeners.control.local_addr()),
        inbound: config.advertise.inbound.unwrap_or_else(|| listeners.inbound.local_addr()),
        locality: config.locality.clone(),
        phase: MemberPhase::Running,
        back_end: None,
        rollouts: Vec::new(),
        evacuations: Evacuations::default(),
        store_era: StoreEra::default(),
    }
}

fn start_outbound(
    config: &NodeConfig,
    environment: &Environment,
    header_profile: HeaderProfile,
    inbound: &Arc<Inbound>,
) -> Arc<Outbound> {
    let identity = OutboundIdentity {
        node: config.node.clone(),
        locality: config.locality.clone(),
        caller: config.service.clone(),
        seed: environment.seed_for(SeedUse::RequestPath),
    };
    let sampling =
        if config.chooses_by_speed { SamplingSettings::BY_SPEED } else { SamplingSettings::default() };
    let selector = SelectorSettings { sampling, ..SelectorSettings::default() };
    let retry_budget = config.retry_budget;
    let settings = OutboundSettings { selector, retry_budget, ..OutboundSettings::default() };
    Outbound::new(
        identity,
        header_profile,
        settings,
        Arc::clone(&environment.network),
        environment.telemetry.clone(),
        Arc::clone(inbound),
    )
}

/// A running daemon.
pub struct RunningDaemon {
    pub(crate) config: NodeConfig,
    pub(crate) environment: Environment,
    pub(crate) extensions: Extensions,
    pub(crate) directory_entry: DirectoryEntry,
    pub(crate) inbound: Arc<Inbound>,
    pub(crate) outbound: Arc<Outbound>,
    activation: Arc<Activation>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) configuration: ActorRef<ConfigurationMessage>,
    back_end: Arc<BackEndMonitor>,
    pub(crate) control: ServerControl,
    /// Number of readiness requests that got an unready response since the stop request.
    pub(crate) unready_responses: AtomicU32,
    /// Latest era of the store that any reachable node has seen.
    store_eras: watch::Receiver<StoreEra>,
    pub(crate) tasks: Mutex<JoinSet<()>>,
}

impl std::fmt::Debug for RunningDaemon {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("RunningDaemon").field("node", &self.config.node).finish_non_exhaustive()
    }
}

impl RunningDaemon {
    /// Whether this node is ready for callers.
    ///
    /// # Errors
    /// Returns the reason if it is not ready.
    pub fn readiness(&self) -> Result<(), Unready> {
        if self.control.phase() >= ServerPhase::Draining {
            self.unready_responses.fetch_add(1, Ordering::Relaxed);
            return Err(Unready::Stopping);
        }
        if self.control.is_full() {
            return Err(Unready::NoConnections);
        }
        if self.activation.active().is_none() {
            return Err(Unready::NoConfiguration);
        }
        Ok(())
    }

    /// The settings with which the daemon was started.
    #[must_use]
    pub const fn config(&self) -> &NodeConfig {
        &self.config
    }

    /// Load of the back end beside this node.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        self.inbound.load()
    }

    /// The metrics in the Prometheus text format.
    #[must_use]
    pub fn metrics(&self) -> String {
        self.environment.telemetry.metrics().encode()
    }

    /// Whether this node is currently a store reader.
    pub async fn reads_store(&self) -> bool {
        is_store_reader(&self.membership, &ReaderSettings::default()).await
    }

    /// The monitor of the back end beside this node.
    #[must_use]
    pub const fn back_end(&self) -> &Arc<BackEndMonitor> {
        &self.back_end
    }

    /// Activation of configurations, which holds the active one.
    #[must_use]
    pub const fn activation(&self) -> &Arc<Activation> {
        &self.activation
    }

    /// Events and metrics.
    #[must_use]
    pub const fn telemetry(&self) -> &Telemetry {
        &self.environment.telemetry
    }

    /// Applies the settings that may change at run time; all others need a restart.
    pub fn reload(&self, config: &NodeConfig) {
        self.outbound.set_caller(config.service.clone());
        self.back_end.assign(BackEndAssignment::of(config));
        let service = config.service.clone();
        self.environment.telemetry.emit(Event::SettingsReloaded { service });
    }

    /// All other nodes that this node knows; empty if the membership actor doesn't reply in time.
    pub async fn members(&self) -> Vec<MemberView> {
        let reply = self.membership.call(MembershipMessage::Members, Some(ACTOR_TIMEOUT)).await;
        match reply {
            Ok(ractor::rpc::CallResult::Success(members)) => members,
            _ => Vec::new(),
        }
    }

    fn start_tasks(&self, listeners: Listeners, evidence: mpsc::UnboundedReceiver<ReleaseEvidence>) {
        let telemetry = self.environment.telemetry.clone();
        let mut tasks = self.tasks.lock();
        tasks.spawn(serve_outbound(
            listeners.outbound,
            Arc::clone(&self.outbound),
            self.control.clone(),
            telemetry.clone(),
        ));
        tasks.spawn(serve_inbound(listeners.inbound, Arc::clone(&self.inbound), telemetry.clone()));
        tasks.spawn(serve_peers(listeners.control, self.configuration.clone(), telemetry.clone()));
        tasks.spawn(receive_datagrams(listeners.datagrams, self.membership.clone(), telemetry.clone()));
        tasks.spawn(read_store(ReaderTask {
            source: Arc::clone(&self.extensions.source),
            settings: ReaderSettings::default(),
            configuration: self.configuration.clone(),
            membership: self.membership.clone(),
            telemetry: telemetry.clone(),
            seed: self.environment.seed_for(SeedUse::Store),
        }));
        tasks.spawn(keep_entry(JoinTask {
            directory: Arc::clone(&self.extensions.directory),
            own: self.directory_entry.clone(),
            membership: self.membership.clone(),
            store_eras: self.store_eras.clone(),
            is_first_start: self.config.is_first_start,
            seed: self.environment.seed_for(SeedUse::Store).wrapping_add(1),
            telemetry: telemetry.clone(),
        }));
        tasks.spawn(request_tokens(Arc::clone(self.outbound.quotas()), self.membership.clone()));
        tasks.spawn(broadcast_findings(Arc::clone(self.inbound.quarantine()), self.membership.clone()));
        if let Some(store) = &self.extensions.quarantine {
            tasks.spawn(sync_quarantine(QuarantineTask {
                store: Arc::clone(store),
                quarantine: Arc::clone(self.inbound.quarantine()),
                membership: self.membership.clone(),
                telemetry: telemetry.clone(),
            }));
            tasks.spawn(claim_trials(ClaimTask {
                store: Arc::clone(store),
                quarantine: Arc::clone(self.inbound.quarantine()),
                telemetry: telemetry.clone(),
            }));
        }
        if let (Some(store), Some(settings)) = (&self.extensions.rollouts, self.config.rollouts) {
            tasks.spawn(run_rollouts(RolloutTask {
                node: self.config.node.clone(),
                store: Arc::clone(store),
                settings,
                inbound: Arc::clone(&self.inbound),
                back_end: Arc::clone(&self.back_end),
                membership: self.membership.clone(),
                evidence,
                telemetry,
            }));
        }
        if let Some(store) = self.extensions.evacuations.as_ref().filter(|_| self.config.follows_evacuations)
        {
            tasks.spawn(follow_evacuations(EvacuationTask {
                store: Arc::clone(store),
                membership: self.membership.clone(),
                telemetry: self.environment.telemetry.clone(),
            }));
        }
        tasks.spawn(handle_findings(Arc::clone(&self.inbound), Arc::clone(&self.back_end)));
        tasks.spawn(follow_warmth(Arc::clone(&self.back_end)));
        tasks.spawn(publish_request_limits(Arc::clone(&self.back_end)));
        tasks.spawn(check_low_limits(Arc::clone(&self.back_end)));
        tasks.spawn(run_maintenance(Arc::clone(&self.inbound), Arc::clone(&self.outbound)));
        tasks.spawn(check_idle_connections(Arc::clone(&self.inbound)));
        if let Some(back_end) = self.config.back_end {
            self.start_health_checks(&mut tasks, back_end);
        }
    }

    /// Starts the health checks of the back end. One that announces itself is probed only after a restart of the
    /// node; any other is checked periodically.
    fn start_health_checks(&self, tasks: &mut JoinSet<()>, back_end: BackEndConfig) {
        let monitor = Arc::clone(&self.back_end);
        let service = self.config.service.clone();
        if self.config.listen.registration.is_none() {
            let settings = CheckSettings {
                service,
                address: back_end.address,
                interval: back_end.check_interval,
                failures: back_end.failures_to_unready,
            };
            tasks.spawn(check_periodically(monitor, settings));
            return;
        }
        tasks.spawn(write_departures_again(Arc::clone(&monitor), self.store_eras.clone()));
        if !self.config.is_first_start {
            tasks.spawn(find_at_restart(monitor, service, back_end.address));
        }
    }
}

async fn handle_findings(inbound: Arc<Inbound>, back_end: Arc<BackEndMonitor>) {
    let mut findings = inbound.watch_findings();
    while let Some(finding) = findings.recv().await {
        match finding {
            BackEndFinding::Unreachable(process) => back_end.unreachable(&process),
            BackEndFinding::Leaving(process) => back_end.leaving(&process),
            BackEndFinding::RequestLimitChanged => back_end.request_limit_changed(),
        }
    }
}

/// Writes the departure of the back end again after each restore of the store, which may have lost it.
async fn write_departures_again(back_end: Arc<BackEndMonitor>, mut store_eras: watch::Receiver<StoreEra>) {
    while store_eras.changed().await.is_ok() {
        back_end.write_departure_again();
    }
}

/// Passes on what other nodes remember of the back end of an earlier process of this node.
async fn follow_earlier_records(
    mut remembered: mpsc::UnboundedReceiver<BackEndRecord>,
    back_end: Arc<BackEndMonitor>,
) {
    while let Some(record) = remembered.recv().await {
        back_end.on_earlier_record(&record);
    }
}

/// Requests tokens whenever a request waits for one.
async fn request_tokens(quotas: Arc<QuotaGate>, membership: ActorRef<MembershipMessage>) {
    loop {
        quotas.token_wanted().await;
        if membership.send_message(MembershipMessage::TokenWanted).is_err() {
            return;
        }
    }
}

async fn check_idle_connections(inbound: Arc<Inbound>) {
    loop {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        inbound.close_expired();
    }
}

async fn run_maintenance(inbound: Arc<Inbound>, outbound: Arc<Outbound>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        inbound.report_tenant_shares();
        outbound.close_expired();
    }
}
