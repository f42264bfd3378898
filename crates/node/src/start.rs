//! Starts a node: opens every listener, then the actors and tasks around them.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use ractor::{Actor, ActorRef, SpawnErr};
use thiserror::Error;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use umberpond_acceptance::{Acceptor, AcceptorContext, AcceptorSettings};
use umberpond_admission::RetryBudgetSettings;
use umberpond_model::{EndpointRecord, EndpointStatus};
use umberpond_net::BoxListener;
use umberpond_overlay::OverlayConfig;
use umberpond_platform::{ClientSettings, GateLimits, PlatformClient, PlatformGate};
use umberpond_proxy::{
    BackendSettings, NodeIdentity, ProxyEnvironment, ProxySettings, ProxyState, check_backend, serve_inbound,
    serve_outbound,
};
use umberpond_telemetry::Event;

use crate::NodeConfig;
use crate::activation::Activation;
use crate::admin::{self, Routes, api::ReaderAddress};
use crate::commit_index::KnownCommitIndex;
use crate::control_listener;
use crate::environment::{Environment, SeedUse};
use crate::observer::TelemetryObserver;
use crate::overlay::{OverlayActor, OverlayArguments, OverlayMessage};
use crate::own_status::{self, OwnStatus};
use crate::platform::{KnownMachines, PlatformActor, PlatformArguments, PlatformMessage};
use crate::recording::Recording;
use crate::running::{Actors, RunningNode, Servers};
use crate::shared::{NodeAddresses, NodeShared};
use crate::tasks::TaskGroup;

/// A node that could not start. Nothing of it is left running.
#[derive(Debug, Error)]
pub enum StartError {
    /// A listener could not be opened.
    #[error("can't listen at {address} for {listener}")]
    Listen {
        /// Name of the listener.
        listener: &'static str,
        /// Its address.
        address: SocketAddr,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// An actor could not be started.
    #[error("a control actor could not be started")]
    Actor(#[from] SpawnErr),
}

/// The daemon.
#[derive(Debug, Clone, Copy)]
pub struct Node;

/// Listeners of a node, open.
struct Listeners {
    inbound: Option<BoxListener>,
    outbound: BoxListener,
    admin: BoxListener,
    control: BoxListener,
}

impl Listeners {
    async fn open(config: &NodeConfig, environment: &Environment) -> Result<Self, StartError> {
        let inbound = match config.listen.inbound {
            Some(address) => Some(listen(environment, "inbound", address).await?),
            None => None,
        };
        Ok(Self {
            inbound,
            outbound: listen(environment, "outbound", config.listen.outbound).await?,
            admin: listen(environment, "admin", config.listen.admin).await?,
            control: listen(environment, "control", config.listen.control).await?,
        })
    }

    fn addresses(&self) -> NodeAddresses {
        NodeAddresses {
            inbound: self.inbound.as_ref().map(|listener| listener.local_addr()),
            outbound: self.outbound.local_addr(),
            admin: self.admin.local_addr(),
            control: self.control.local_addr(),
        }
    }
}

pub(crate) async fn listen(
    environment: &Environment,
    listener: &'static str,
    address: SocketAddr,
) -> Result<BoxListener, StartError> {
    let opened = environment.network.listen(address).await.map_err(|source| StartError::Listen {
        listener,
        address,
        source,
    })?;
    environment.telemetry.emit(Event::Listening { listener, address: opened.local_addr() });
    Ok(opened)
}

impl Node {
    /// Starts a node. It runs until [`RunningNode::drain`] or [`RunningNode::kill`].
    ///
    /// # Errors
    /// Returns [`StartError`] if a listener or an actor could not be started.
    pub async fn start(config: NodeConfig, environment: Environment) -> Result<RunningNode, StartError> {
        environment.telemetry.emit(Event::NodeStarted {
            node: config.node.clone(),
            incarnation: environment.incarnation,
            program_version: env!("CARGO_PKG_VERSION"),
        });
        let listeners = Listeners::open(&config, &environment).await?;
        let addresses = listeners.addresses();
        let tasks = TaskGroup::default();
        let (shared, actors) = start_control(config, &environment, addresses, &tasks).await?;
        let servers = serve(listeners, &shared, &environment, &tasks);
        tasks.spawn(own_status::follow_readiness(Arc::clone(&shared)));
        Ok(RunningNode::new(shared, tasks, actors, servers))
    }
}

/// Starts the actors.
pub(crate) async fn start_control(
    config: NodeConfig,
    environment: &Environment,
    addresses: NodeAddresses,
    tasks: &TaskGroup,
) -> Result<(Arc<NodeShared>, Actors), StartError> {
    let own = own_record(&config, environment, addresses);
    let overlay_config = OverlayConfig::new(config.seeds.clone(), BTreeSet::from([config.service.clone()]));
    let seed = environment.seed_for(SeedUse::Overlay);
    let recording = Arc::new(Recording::new(config.recording_entries, &overlay_config, &own, seed));
    let proxy = proxy_state(&config, environment);
    let activation = Arc::new(Activation::new(
        Arc::clone(&proxy),
        config.service.clone(),
        config.seal_key.clone(),
        environment.telemetry.clone(),
    ));
    let commit_index = Arc::new(KnownCommitIndex::default());
    let arguments = OverlayArguments {
        config: overlay_config,
        own: own.clone(),
        environment: environment.clone(),
        tasks: tasks.clone(),
        activation: Arc::clone(&activation),
        recording: Arc::clone(&recording),
        commit_index: Arc::clone(&commit_index),
    };
    let (overlay, overlay_task) = Actor::spawn(None, OverlayActor, arguments).await?;
    let client = platform_client(&config, environment);
    let machines = Arc::new(KnownMachines::default());
    let acceptor = acceptor(&client, environment, &machines, commit_index);
    let shared = Arc::new(NodeShared {
        config,
        environment: environment.clone(),
        addresses,
        proxy,
        own_status: OwnStatus::new(own),
        activation,
        overlay,
        client,
        acceptor,
        machines,
        recording,
        draining: watch::Sender::new(false),
    });
    let (platform, platform_task) = start_platform(&shared).await?;
    // The core starts only now, since its first output may be a request to the platform.
    let _ = shared.overlay.send_message(OverlayMessage::PlatformActor(platform.clone()));
    let actors = Actors::new(shared.overlay.clone(), overlay_task, platform, platform_task);
    Ok((shared, actors))
}

async fn start_platform(
    shared: &Arc<NodeShared>,
) -> Result<(ActorRef<PlatformMessage>, JoinHandle<()>), SpawnErr> {
    let admin = shared.config.advertise.admin.unwrap_or(shared.addresses.admin);
    let arguments = PlatformArguments {
        client: shared.client.clone(),
        acceptor: shared.acceptor.clone(),
        overlay: shared.overlay.clone(),
        environment: shared.environment.clone(),
        node: shared.config.node.clone(),
        locality: shared.config.locality.clone(),
        reader_address: ReaderAddress { node: shared.config.node.clone(), admin },
        machines: Arc::clone(&shared.machines),
    };
    Actor::spawn(None, PlatformActor, arguments).await
}

/// The record under which other nodes know this one. An edge takes no requests of other nodes; its inbound
/// address is that of its control listener, which nothing uses.
fn own_record(config: &NodeConfig, environment: &Environment, addresses: NodeAddresses) -> EndpointRecord {
    let control = config.advertise.control.unwrap_or(addresses.control);
    let inbound = config.advertise.inbound.or(addresses.inbound).unwrap_or(control);
    EndpointRecord {
        node: config.node.clone(),
        service: (!config.is_edge()).then(|| config.service.clone()),
        locality: config.locality.clone(),
        inbound,
        control,
        incarnation: environment.incarnation,
        sequence: 0,
        status: EndpointStatus::Starting,
        suspect: false,
    }
}

fn proxy_state(config: &NodeConfig, environment: &Environment) -> Arc<ProxyState> {
    let identity = NodeIdentity {
        node: config.node.clone(),
        locality: config.locality.clone(),
        incarnation: environment.incarnation,
        service: (!config.is_edge()).then(|| config.service.clone()),
        callers: BTreeSet::from([config.service.clone()]),
    };
    let settings = ProxySettings {
        max_head_bytes: config.limits.head_bytes,
        max_connections: config.limits.connections,
        connect_timeout: config.limits.connect_timeout,
        retry_budget: RetryBudgetSettings {
            retries_per_thousand: config.limits.retries_per_thousand,
            ..RetryBudgetSettings::default()
        },
        ..ProxySettings::default()
    };
    let back_end = config.back_end.map(|back_end| BackendSettings {
        check_interval: back_end.check_interval,
        failures_to_unready: back_end.failures_to_unready,
        ..BackendSettings::at(back_end.address)
    });
    let surroundings = ProxyEnvironment {
        network: Arc::clone(&environment.network),
        clock: environment.clock(),
        seed: environment.seed_for(SeedUse::RequestPath),
        observer: Arc::new(TelemetryObserver::new(environment.telemetry.clone())),
    };
    ProxyState::new(identity, settings, back_end, surroundings)
}

fn platform_client(config: &NodeConfig, environment: &Environment) -> PlatformClient {
    let gate = PlatformGate::new(GateLimits::default());
    let network = Arc::clone(&environment.network);
    PlatformClient::new(network, config.platform, gate, ClientSettings::default()).named(config.node.clone())
}

fn acceptor(
    client: &PlatformClient,
    environment: &Environment,
    machines: &Arc<KnownMachines>,
    commit_index: Arc<KnownCommitIndex>,
) -> Acceptor {
    let machines = Arc::clone(machines);
    let clock = environment.clone();
    let context = AcceptorContext {
        store: Arc::new(client.clone()),
        candidates: Arc::new(move || machines.staying()),
        commit_index: Arc::new(move || commit_index.get()),
        unix_millis: Arc::new(move || clock.unix_millis()),
        seed: environment.seed_for(SeedUse::Acceptance),
    };
    Acceptor::new(context, AcceptorSettings::default())
}

/// Starts the servers.
fn serve(
    listeners: Listeners,
    shared: &Arc<NodeShared>,
    environment: &Environment,
    tasks: &TaskGroup,
) -> Servers {
    let servers = Servers::new(tasks);
    let Listeners { inbound, outbound, admin, control } = listeners;
    if let Some(inbound) = inbound {
        servers.run(serve_inbound(inbound, Arc::clone(&shared.proxy), servers.signal()));
    }
    servers.run(serve_outbound(outbound, Arc::clone(&shared.proxy), servers.signal()));
    tasks.spawn(check_backend(Arc::clone(&shared.proxy), servers.signal()));
    tasks.spawn(control_listener::accept(control, shared.overlay.clone(), environment.telemetry.clone()));
    let routes =
        Routes { shared: Arc::clone(shared), environment: environment.clone(), tasks: tasks.clone() };
    tasks.spawn(admin::serve(admin, Arc::new(routes)));
    servers
}
