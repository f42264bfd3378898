//! A node of callers, nodes with scripted back ends, and a caller, on a virtual network.

#![allow(dead_code, reason = "each test crate uses only a part of the module")]

pub mod back_end;
pub mod caller;
pub mod chain;
pub mod fleet;
pub mod transport;

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use umberpond_config::{
    Destination, Entry, RequestClass, RequestLimits, Route, RouteAccess, RoutePolicy, Service, Snapshot,
};
use umberpond_forwarding::{
    BackEnd, HeaderMatcher, HeaderProfile, Inbound, InboundSettings, OpenedSecrets, Outbound,
    OutboundIdentity, OutboundSettings, RoutingTable, ServerControl, serve_inbound, serve_outbound,
};
use umberpond_model::{BackEndProcess, Locality, Millis, ServiceName, Version};
use umberpond_net::Network;
use umberpond_selection::{Endpoint, RetryBudgetSettings};
use umberpond_telemetry::{MemoryRecorder, Telemetry};
use umberpond_virtual_network::SimNetwork;

use back_end::{Script, ScriptedBackEnd, ScriptedResponse};
use caller::Caller;
use transport::{ScriptedConnection, ScriptedTransport};

/// Header names like those of a platform with signatures.
pub const DIALECT: HeaderProfile = HeaderProfile {
    request_id: "umberpond-request",
    call_separator: Some(b'.'),
    echoes_request_id: true,
    caller_key: Some("x-key"),
    deadline_millis: "umberpond-deadline",
    caller: "umberpond-caller-service",
    tenant_key: "x-tenant-key",
    tenant: "x-tenant",
    expected_instance: "umberpond-meant-instance",
    instance: "umberpond-serving-instance",
    not_executed: HeaderMatcher { name: "umberpond-rejected", value: None },
    load: "umberpond-load",
    warmup_millis: Some("umberpond-cold"),
    request_limit: "umberpond-request-limit",
    leaving: HeaderMatcher { name: "umberpond-leaving", value: Some("1") },
    signature: Some("x-proof"),
    response_headers: None,
};

pub fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("a valid name")
}

pub fn host(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// A retry budget that allows every retry.
const AMPLE_BUDGET: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 100.0, extra: 0.0, window: Duration::from_secs(10) };
const CALLERS: u8 = 1;
const INBOUND_PORT: u16 = 100;
const OUTBOUND_PORT: u16 = 101;
pub const BACK_END_PORT: u16 = 102;
/// Number of slots of a scripted back end.
pub const SLOTS: u32 = 2;

/// One node with its back end.
pub struct BackEndNode {
    pub inbound: Arc<Inbound>,
    pub back_end: ScriptedBackEnd,
    pub endpoint: Endpoint,
}

/// A node of callers and nodes with back ends of the service `archive`.
pub struct TestCluster {
    pub network: SimNetwork,
    pub outbound: Arc<Outbound>,
    pub control: ServerControl,
    pub recorder: Arc<MemoryRecorder>,
    pub telemetry: Telemetry,
    pub served: Vec<BackEndNode>,
    callers: Arc<dyn Network>,
    link_rate: Option<f64>,
    /// What nodes added from now on see on their connections to their back ends, if that is scripted.
    connection: Option<ScriptedConnection>,
}

/// The routes of every test: two from the host `x.example` to `archive`.
pub fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot {
        limits: RequestLimits { head_bytes: 4096, body_bytes: 600_000, ..RequestLimits::default() },
        ..Snapshot::default()
    };
    for service in [service("archive"), service("billing")] {
        let service = Service { health_path: Some("/well".to_owned()), ..service };
        snapshot.services.insert(service.name.clone(), Entry::new(service));
    }
    for (prefix, is_idempotent) in [("/read/", true), ("/write/", false)] {
        let route = route(prefix, is_idempotent);
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
    snapshot
}

pub fn service(of: &str) -> Service {
    Service {
        name: name(of),
        allowed: Vec::new(),
        slots: 0,
        connections: 100,
        seal_key: None,
        health_path: None,
        cold_rate: None,
    }
}

pub fn route(prefix: &str, is_idempotent: bool) -> Route {
    Route {
        name: name(&prefix.trim_matches('/').replace('/', "-")),
        service: name("archive"),
        callers: BTreeSet::new(),
        host: Some("x.example".to_owned()),
        split: Vec::<Destination>::new(),
        policy: RoutePolicy { attempts: 2, objective: Some(Millis(500)), priority: Some(1) },
        path_prefix: prefix.to_owned(),
        methods: BTreeSet::new(),
        idempotent: is_idempotent,
        class: RequestClass::Status,
        timeout: Millis(2_000),
        credentials: Vec::new(),
        access: RouteAccess::default(),
    }
}

impl TestCluster {
    /// Starts a node of callers and a node for each script.
    pub async fn new(scripts: Vec<Script>) -> Self {
        Self::on_links(scripts, None, AMPLE_BUDGET).await
    }

    /// As [`TestCluster::with_routes`], with the given retry budget.
    pub async fn with_budget(scripts: Vec<Script>, budget: RetryBudgetSettings) -> Self {
        let world = Self::on_links(scripts, None, budget).await;
        world.activate(1, &snapshot());
        world
    }

    /// As [`TestCluster::with_routes`], with nodes that are configured with a link bandwidth of `rate` bytes per
    /// second.
    pub async fn with_link(scripts: Vec<Script>, rate: f64) -> Self {
        let world = Self::on_links(scripts, Some(rate), AMPLE_BUDGET).await;
        world.activate(1, &snapshot());
        world
    }

    async fn on_links(scripts: Vec<Script>, link_rate: Option<f64>, budget: RetryBudgetSettings) -> Self {
        let network = SimNetwork::new(1, |_, _| Millis(1));
        let recorder = Arc::new(MemoryRecorder::default());
        let telemetry = Telemetry::to_observer(Arc::clone(&recorder) as _);
        let callers = network.host(host(CALLERS));
        let inbound = inbound(&callers, &telemetry, link_rate);
        let outbound = Outbound::new(
            OutboundIdentity {
                node: name("callers"),
                locality: locality(),
                caller: name("storefront"),
                seed: 1,
            },
            DIALECT,
            OutboundSettings { retry_budget: budget, ..OutboundSettings::default() },
            Arc::clone(&callers),
            telemetry.clone(),
            inbound,
        );
        let control = ServerControl::default();
        let at = SocketAddr::new(host(CALLERS), OUTBOUND_PORT);
        let listener = callers.listen(at).await.unwrap();
        tokio::spawn(serve_outbound(listener, Arc::clone(&outbound), control.clone(), telemetry.clone()));
        let mut world = Self {
            network,
            outbound,
            control,
            recorder,
            telemetry: telemetry.clone(),
            served: Vec::new(),
            callers,
            link_rate,
            connection: None,
        };
        for script in scripts {
            world.add_node(script, &telemetry).await;
        }
        world.publish_endpoints();
        world
    }

    /// As [`TestCluster::new`], with the routes of [`snapshot`] active.
    pub async fn with_routes(scripts: Vec<Script>) -> Self {
        let world = Self::new(scripts).await;
        world.activate(1, &snapshot());
        world
    }

    /// As [`TestCluster::with_routes`], with one node whose connections to its back end act as `connection` says.
    pub async fn with_connection(connection: ScriptedConnection) -> Self {
        let mut world = Self::with_routes(Vec::new()).await;
        world.connection = Some(connection);
        let telemetry = world.telemetry.clone();
        world.add_node(vec![ScriptedResponse::NoResponse], &telemetry).await;
        world.publish_endpoints();
        world
    }

    pub fn activate(&self, version: u64, snapshot: &Snapshot) {
        let caller = name("storefront");
        let table =
            RoutingTable::compile(Version(version), snapshot, &OpenedSecrets::new(), &caller).unwrap();
        self.outbound.activate(Arc::new(table)).unwrap();
    }

    async fn add_node(&mut self, script: Script, telemetry: &Telemetry) {
        let number = 10 + u8::try_from(self.served.len()).unwrap();
        let network = self.network.host(host(number));
        let at = SocketAddr::new(host(number), BACK_END_PORT);
        let inbound = inbound(&self.transport(&network, at), telemetry, self.link_rate);
        let instance = format!("life-{number}");
        let back_end = ScriptedBackEnd::start(&network, at, &instance, script).await;
        inbound.open(BackEnd {
            process: BackEndProcess::of(&instance),
            service: name("archive"),
            release: None,
            address: at,
            slots: SLOTS,
        });
        let address = SocketAddr::new(host(number), INBOUND_PORT);
        let listener = network.listen(address).await.unwrap();
        tokio::spawn(serve_inbound(listener, Arc::clone(&inbound), telemetry.clone()));
        let endpoint = Endpoint {
            node: name(&format!("node-{number}")),
            address,
            locality: locality(),
            instance,
            release: None,
            slots: SLOTS,
            is_cold: false,
            request_limit: None,
        };
        self.served.push(BackEndNode { inbound, back_end, endpoint });
    }

    /// The network on which a node reaches its back end at `back_end`.
    fn transport(&self, network: &Arc<dyn Network>, back_end: SocketAddr) -> Arc<dyn Network> {
        let network = Arc::clone(network);
        match self.connection {
            Some(connection) => {
                Arc::new(ScriptedTransport { network, scripted_address: back_end, connection })
            }
            None => network,
        }
    }

    /// Sends all endpoints to the callers' node.
    pub fn publish_endpoints(&self) {
        let endpoints = self.served.iter().map(|served| served.endpoint.clone()).collect();
        self.outbound.set_endpoints(&name::<ServiceName>("archive"), endpoints);
    }

    /// Opens a connection of a caller.
    pub async fn caller(&self) -> Caller {
        Caller::connect(&self.callers, SocketAddr::new(host(CALLERS), OUTBOUND_PORT)).await
    }

    /// Number of requests that all back ends received.
    pub fn arrivals(&self) -> usize {
        self.served.iter().map(|served| served.back_end.received().len()).sum()
    }
}

pub fn locality() -> Locality {
    Locality { region: name("north"), zone: name("a") }
}

fn inbound(network: &Arc<dyn Network>, telemetry: &Telemetry, link_rate: Option<f64>) -> Arc<Inbound> {
    let settings = InboundSettings { link_rate, ..InboundSettings::default() };
    Arc::new(Inbound::new(DIALECT, settings, Arc::clone(network), telemetry.clone()))
}

pub async fn pause(millis: u64) {
    tokio::time::sleep(Duration::from_millis(millis)).await;
}
