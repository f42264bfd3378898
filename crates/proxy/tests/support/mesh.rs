//! Proxies of one caller's node and of the nodes beside the back ends.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use umberpond_config::{
    Entry, HeaderCredential, RequestClass, Route, RoutePolicy, SealedValue, Secret, Service, Snapshot,
};
use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, LocalityRule, Millis, NodeName, ServiceName,
    Version,
};
use umberpond_net::Network;
use umberpond_proxy::{
    BackendSettings, CredentialValue, DrainHandle, DrainReport, NodeIdentity, ProcessClock, ProxyEnvironment,
    ProxySettings, ProxyState, RequestEvent, RequestObserver, RoutingTable, serve_inbound, serve_outbound,
    shutdown_channel,
};

use super::MemoryNetwork;

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub const OUTBOUND: u16 = 1;

pub fn inbound_at(index: usize) -> SocketAddr {
    address(100 + u16::try_from(index).unwrap())
}

pub fn backend_at(index: usize) -> SocketAddr {
    address(200 + u16::try_from(index).unwrap())
}

pub fn locality(zone: &str) -> Locality {
    Locality { region: "north".parse().unwrap(), zone: zone.parse().unwrap() }
}

pub fn node_name(index: usize) -> NodeName {
    NodeName::new(&format!("archive-{index}")).unwrap()
}

/// The record of server node `index`.
pub fn record(index: usize, status: EndpointStatus, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        node: node_name(index),
        service: Some("archive".parse().unwrap()),
        locality: locality("a"),
        inbound: inbound_at(index),
        control: address(9),
        incarnation: Incarnation(1),
        sequence,
        status,
        suspect: false,
    }
}

/// Debug text of every event, in order.
#[derive(Default)]
pub struct EventLog(Mutex<Vec<String>>);

impl RequestObserver for EventLog {
    fn observe(&self, event: &RequestEvent<'_>) {
        self.0.lock().push(format!("{event:?}"));
    }
}

impl EventLog {
    pub fn all(&self) -> Vec<String> {
        self.0.lock().clone()
    }

    pub fn count(&self, part: &str) -> usize {
        self.0.lock().iter().filter(|event| event.contains(part)).count()
    }
}

pub struct Half {
    pub state: Arc<ProxyState>,
    pub drain: DrainHandle,
    pub serving: JoinHandle<DrainReport>,
}

/// What a mesh is made of.
pub struct MeshBuilder {
    pub servers: usize,
    pub timeout: Millis,
    pub slots: u32,
    pub settings: ProxySettings,
    /// Localities in which `archive` may be served.
    pub allowed: Vec<LocalityRule>,
    /// Localities in which the servers' own snapshots allow it.
    pub allowed_at_servers: Vec<LocalityRule>,
    /// Whether the servers' nodes have a configuration from the start.
    pub servers_have_configuration: bool,
    /// Whether the inbound proxies run; if not, tests put scripted peers in their place.
    pub real_inbound: bool,
}

impl Default for MeshBuilder {
    fn default() -> Self {
        let north = vec![LocalityRule { region: "north".parse().unwrap(), zone: None }];
        Self {
            servers: 1,
            timeout: Millis(5_000),
            slots: 10,
            settings: ProxySettings::default(),
            allowed: north.clone(),
            allowed_at_servers: north,
            servers_have_configuration: true,
            real_inbound: true,
        }
    }
}

pub struct Mesh {
    pub network: Arc<MemoryNetwork>,
    pub events: Arc<EventLog>,
    pub outbound: Half,
    pub inbound: Vec<Half>,
}

impl MeshBuilder {
    pub async fn build(self, network: &Arc<MemoryNetwork>) -> Mesh {
        let events = Arc::new(EventLog::default());
        let outbound = self.caller_node(network, &events).await;
        let mut inbound = Vec::new();
        for index in 0..if self.real_inbound { self.servers } else { 0 } {
            inbound.push(self.server_node(network, &events, index).await);
        }
        Mesh { network: Arc::clone(network), events, outbound, inbound }
    }

    pub fn snapshot(&self, allowed: &[LocalityRule]) -> Snapshot {
        let archive: ServiceName = "archive".parse().unwrap();
        let service = Service {
            name: archive.clone(),
            allowed: allowed.to_vec(),
            slots: self.slots,
            connections: 120,
            seal_key: None,
            health_path: None,
        };
        let sealed = BTreeMap::from([("storefront".parse().unwrap(), SealedValue(vec![1]))]);
        let secret = Secret { name: "archive-token".parse().unwrap(), readers: sealed };
        let mut snapshot = Snapshot::default();
        snapshot.services.insert(archive, Entry::new(service));
        snapshot.secrets.insert(secret.name.clone(), Entry::new(secret));
        for (name, prefix, idempotent) in [("read", "/read", true), ("buy", "/buy", false)] {
            let route = self.route(name, prefix, idempotent);
            snapshot.routes.insert(route.name.clone(), Entry::new(route));
        }
        snapshot
    }

    fn route(&self, name: &str, prefix: &str, idempotent: bool) -> Route {
        let credential =
            HeaderCredential { header: "authorization".into(), secret: "archive-token".parse().unwrap() };
        Route {
            name: name.parse().unwrap(),
            service: "archive".parse().unwrap(),
            callers: BTreeSet::from(["storefront".parse().unwrap()]),
            path_prefix: prefix.into(),
            methods: BTreeSet::new(),
            idempotent,
            class: if idempotent { RequestClass::Status } else { RequestClass::Transaction },
            host: None,
            split: Vec::new(),
            policy: RoutePolicy::default(),
            timeout: self.timeout,
            credentials: vec![credential],
        }
    }

    pub fn table(
        &self,
        version: u64,
        allowed: &[LocalityRule],
        callers: &BTreeSet<ServiceName>,
    ) -> RoutingTable {
        let token = CredentialValue::new(TOKEN.as_bytes()).unwrap();
        let opened = BTreeMap::from([("archive-token".parse().unwrap(), token)]);
        RoutingTable::compile(Version(version), &self.snapshot(allowed), &opened, callers).unwrap()
    }

    async fn caller_node(&self, network: &Arc<MemoryNetwork>, events: &Arc<EventLog>) -> Half {
        let callers = BTreeSet::from(["storefront".parse().unwrap()]);
        let identity = NodeIdentity {
            node: "edge-1".parse().unwrap(),
            locality: locality("a"),
            incarnation: Incarnation(1),
            service: None,
            callers: callers.clone(),
        };
        let state = self.state(identity, None, network, events);
        let records = (0..self.servers).map(|index| record(index, EndpointStatus::Ready, 1)).collect();
        state.set_endpoints(records);
        state.activate(Arc::new(self.table(1, &self.allowed, &callers))).unwrap();
        let listener = network.listen(address(OUTBOUND)).await.unwrap();
        let (drain, shutdown) = shutdown_channel();
        let serving = tokio::spawn(serve_outbound(listener, Arc::clone(&state), shutdown));
        Half { state, drain, serving }
    }

    async fn server_node(&self, network: &Arc<MemoryNetwork>, events: &Arc<EventLog>, index: usize) -> Half {
        let identity = NodeIdentity {
            node: node_name(index),
            locality: locality("a"),
            incarnation: Incarnation(1),
            service: Some("archive".parse().unwrap()),
            callers: BTreeSet::new(),
        };
        let backend = BackendSettings::at(backend_at(index));
        let state = self.state(identity, Some(backend), network, events);
        if self.servers_have_configuration {
            state.activate(Arc::new(self.table(1, &self.allowed_at_servers, &BTreeSet::new()))).unwrap();
        }
        state.set_own_record(&record(index, EndpointStatus::Ready, 1));
        let listener = network.listen(inbound_at(index)).await.unwrap();
        let (drain, shutdown) = shutdown_channel();
        let serving = tokio::spawn(serve_inbound(listener, Arc::clone(&state), shutdown));
        Half { state, drain, serving }
    }

    fn state(
        &self,
        identity: NodeIdentity,
        backend: Option<BackendSettings>,
        network: &Arc<MemoryNetwork>,
        events: &Arc<EventLog>,
    ) -> Arc<ProxyState> {
        // The processes have been up for a while, as the duplicate window of a new process is another matter.
        let origin = Instant::now();
        let environment = ProxyEnvironment {
            network: Arc::clone(network) as Arc<dyn Network>,
            clock: ProcessClock::starting_at(origin),
            seed: 7,
            observer: Arc::clone(events) as Arc<dyn RequestObserver>,
        };
        ProxyState::new(identity, self.settings.clone(), backend, environment)
    }
}

/// Value of the credential that the routes add.
pub const TOKEN: &str = "bearer 4f1c-secret";

impl Mesh {
    pub fn entry(&self) -> SocketAddr {
        address(OUTBOUND)
    }
}

/// Lets every task run until only timers are left.
pub async fn settle() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}
