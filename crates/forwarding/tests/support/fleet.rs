//! Nodes with back ends of two services: the runs of `desk` make calls to `ledger`, whose back ends reject a
//! share of the requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::time::{Instant, sleep, sleep_until};
use umberpond_config::{Entry, RequestClass, Route, RoutePolicy, Snapshot};
use umberpond_forwarding::{
    BackEnd, Inbound, InboundSettings, OpenedSecrets, Outbound, OutboundIdentity, OutboundSettings,
    RoutingTable, ServerControl, serve_inbound, serve_outbound,
};
use umberpond_http1::{MessageReader, ReadLimits};
use umberpond_model::{BackEndProcess, Millis, ServiceName, Version};
use umberpond_net::{BoxStream, Network};
use umberpond_selection::{Endpoint, RetryBudgetSettings};
use umberpond_telemetry::{MemoryRecorder, Telemetry};
use umberpond_virtual_network::SimNetwork;

use super::caller::Caller;
use super::{BACK_END_PORT, DIALECT, host, locality, name, route, service};

/// Retry budget that all nodes share.
pub fn budget() -> RetryBudgetSettings {
    let window = Duration::from_secs(10);
    RetryBudgetSettings { ratio: 0.2, extra: 20.0, window }
}

/// Number of slots of each back end.
const SLOTS: u32 = 12;
/// Number of nodes with back ends of `desk`; those with back ends of `ledger` follow.
const DESKS: usize = 6;
const LEDGERS: usize = 4;
/// Calls that the runs at `desk` make.
#[derive(Debug, Clone, Copy)]
pub struct RunLoad {
    /// Concurrent calls of each run that makes any.
    pub calls: usize,
    /// Number of runs in ten that make calls.
    pub calling_runs: usize,
}

/// Few runs make calls, but many at once.
const FEW_CALLING_RUNS: RunLoad = RunLoad { calls: 4, calling_runs: 3 };
/// Time after its start for which a node does not know the number of nodes.
const UNINFORMED_TIME: Duration = Duration::from_millis(400);

/// What the callers sent and the back ends received.
#[derive(Debug, Default)]
pub struct History {
    /// Times at which requests for `ledger` were sent.
    pub requests: Vec<Instant>,
    /// Times at which requests arrived at `ledger` again after their first arrival, or as calls of a retried
    /// run.
    pub repeats: Vec<Instant>,
    /// Number of these retries that are calls of retried runs.
    pub repeated_calls: usize,
    /// Response counts by status.
    pub statuses: HashMap<u16, usize>,
    /// Response counts by path and status.
    pub statuses_by_path: HashMap<(String, u16), usize>,
    arrivals: HashMap<String, usize>,
    runs: HashMap<String, usize>,
    rejections: usize,
}

struct Shared {
    history: Mutex<History>,
    /// Number of requests in twenty that the back ends of `ledger` reject.
    rejections_in_twenty: AtomicUsize,
    load: RunLoad,
    /// Random generator that selects the rejected requests; `None` to reject them at regular intervals.
    random: Option<Mutex<SmallRng>>,
}

struct Node {
    outbound: Arc<Outbound>,
    at: SocketAddr,
    endpoint: Endpoint,
    inbound: Arc<Inbound>,
    generation: u16,
}

/// Nodes of two services.
#[derive(Clone)]
pub struct Fleet {
    network: SimNetwork,
    nodes: Arc<Mutex<Vec<Node>>>,
    shared: Arc<Shared>,
    telemetry: Telemetry,
}

impl Fleet {
    pub async fn start() -> Self {
        Self::with(FEW_CALLING_RUNS, None).await
    }

    /// As [`Fleet::start`], with other runs and with randomly selected rejections.
    pub async fn with_runs(load: RunLoad, seed: u64) -> Self {
        Self::with(load, Some(Mutex::new(SmallRng::seed_from_u64(seed)))).await
    }

    async fn with(load: RunLoad, random: Option<Mutex<SmallRng>>) -> Self {
        let fleet = Self {
            network: SimNetwork::new(7, |_, _| Millis(1)),
            nodes: Arc::default(),
            shared: Arc::new(Shared {
                history: Mutex::default(),
                rejections_in_twenty: AtomicUsize::new(0),
                load,
                random,
            }),
            telemetry: Telemetry::to_observer(Arc::new(MemoryRecorder::default()) as _),
        };
        for number in 0..DESKS + LEDGERS {
            fleet.serve_back_end(number).await;
            let node = fleet.start_node(number, 1).await;
            fleet.nodes.lock().push(node);
        }
        fleet.publish_endpoints();
        fleet.publish_node_count();
        fleet
    }

    pub fn count(&self) -> usize {
        DESKS + LEDGERS
    }

    /// Sets the number of requests in twenty that the back ends of `ledger` reject.
    pub fn set_rejections(&self, count: usize) {
        self.shared.rejections_in_twenty.store(count, Ordering::Relaxed);
    }

    pub fn history<T>(&self, look: impl FnOnce(&History) -> T) -> T {
        look(&self.shared.history.lock())
    }

    /// Restarts the process of a node: it loses its state, and for a short time does not know the number of
    /// nodes.
    pub async fn restart(&self, number: usize) {
        let generation = {
            let nodes = self.nodes.lock();
            nodes[number].inbound.close();
            nodes[number].generation + 1
        };
        let node = self.start_node(number, generation).await;
        self.nodes.lock()[number] = node;
        self.publish_endpoints();
        let fleet = self.clone();
        tokio::spawn(async move {
            sleep(UNINFORMED_TIME).await;
            fleet.publish_node_count();
        });
    }

    /// Sends requests at an even rate until `end`, to each node in turn.
    pub async fn send_until(&self, path: &'static str, per_second: u32, end: Instant) {
        let mut next = Instant::now();
        let mut number = 0;
        while next < end {
            sleep_until(next).await;
            next += Duration::from_secs(1) / per_second;
            number += 1;
            let fleet = self.clone();
            let id = format!("{}{number}", &path[1..2]);
            tokio::spawn(async move { fleet.send(path, &id, number % fleet.count()).await });
        }
    }

    async fn send(&self, path: &str, id: &str, node: usize) {
        if path.starts_with("/ledger") {
            self.shared.history.lock().requests.push(Instant::now());
        }
        let status = self.ask(path, id, node).await;
        let mut history = self.shared.history.lock();
        *history.statuses.entry(status).or_default() += 1;
        *history.statuses_by_path.entry((path.to_owned(), status)).or_default() += 1;
    }

    async fn ask(&self, path: &str, id: &str, node: usize) -> u16 {
        let at = self.nodes.lock()[node].at;
        let mut caller = Caller::connect(&self.network.host(host(address_of(node))), at).await;
        caller.send(path, id).await;
        caller.read().await.map_or(0, |response| response.status)
    }

    fn publish_endpoints(&self) {
        let nodes = self.nodes.lock();
        for service in ["desk", "ledger"] {
            let of_service = nodes.iter().enumerate().filter(|(number, _)| service_of(*number) == service);
            let endpoints: Vec<Endpoint> = of_service.map(|(_, node)| node.endpoint.clone()).collect();
            for node in &*nodes {
                node.outbound.set_endpoints(&name::<ServiceName>(service), endpoints.clone());
            }
        }
    }

    fn publish_node_count(&self) {
        for node in &*self.nodes.lock() {
            node.outbound.set_sharing_nodes(self.count());
        }
    }

    async fn start_node(&self, number: usize, generation: u16) -> Node {
        let network = self.network.host(host(address_of(number)));
        let inbound = Arc::new(Inbound::new(
            DIALECT,
            InboundSettings::default(),
            Arc::clone(&network),
            self.telemetry.clone(),
        ));
        let identity = OutboundIdentity {
            node: name(&format!("node-{number}")),
            locality: locality(),
            caller: name(service_of(number)),
            seed: number as u64 * 100 + u64::from(generation),
        };
        let settings = OutboundSettings { retry_budget: budget(), ..OutboundSettings::default() };
        let outbound = Outbound::new(
            identity,
            DIALECT,
            settings,
            Arc::clone(&network),
            self.telemetry.clone(),
            Arc::clone(&inbound),
        );
        let instance = format!("life-{number}");
        let back_end = BackEnd {
            process: BackEndProcess::of(&instance),
            service: name(service_of(number)),
            release: None,
            address: SocketAddr::new(host(address_of(number)), BACK_END_PORT),
            slots: SLOTS,
        };
        inbound.open(back_end);
        let inbound_at = SocketAddr::new(host(address_of(number)), 200 + 2 * generation);
        let at = SocketAddr::new(host(address_of(number)), 201 + 2 * generation);
        let listener = network.listen(inbound_at).await.unwrap();
        tokio::spawn(serve_inbound(listener, Arc::clone(&inbound), self.telemetry.clone()));
        let listener = network.listen(at).await.unwrap();
        let control = ServerControl::default();
        tokio::spawn(serve_outbound(listener, Arc::clone(&outbound), control, self.telemetry.clone()));
        let table =
            RoutingTable::compile(Version(1), &snapshot(), &OpenedSecrets::new(), &name(service_of(number)));
        outbound.activate(Arc::new(table.unwrap())).unwrap();
        let endpoint = Endpoint {
            node: name(&format!("node-{number}")),
            address: inbound_at,
            locality: locality(),
            instance,
            release: None,
            slots: SLOTS,
            is_cold: false,
            request_limit: None,
        };
        Node { outbound, at, endpoint, inbound, generation }
    }

    async fn serve_back_end(&self, number: usize) {
        let at = SocketAddr::new(host(address_of(number)), BACK_END_PORT);
        let mut listener = self.network.host(host(address_of(number))).listen(at).await.unwrap();
        let fleet = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _peer) = listener.accept().await.unwrap();
                tokio::spawn(fleet.clone().serve_connection(number, stream));
            }
        });
    }

    async fn serve_connection(self, number: usize, stream: BoxStream) {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut reader = MessageReader::new(reader);
        let limits = ReadLimits { head_bytes: 64 * 1024, head_time: Duration::from_secs(60) };
        while let Ok(Some(head)) = reader.request_head(limits).await {
            let id = head.fields.text("umberpond-request").unwrap_or_default().to_owned();
            let response = match service_of(number) {
                "desk" => self.run_at_desk(number, &id).await,
                _ => self.run_at_ledger(&id).await,
            };
            if writer.write_all(response.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Makes the calls of a run, which fails if one of them does.
    async fn run_at_desk(&self, number: usize, id: &str) -> String {
        let runs = {
            let mut history = self.shared.history.lock();
            let runs = history.runs.entry(id.to_owned()).or_default();
            *runs += 1;
            *runs
        };
        sleep(Duration::from_millis(20)).await;
        let digits: String = id.chars().filter(char::is_ascii_digit).collect();
        let RunLoad { calls, calling_runs } = self.shared.load;
        let makes_calls = digits.parse::<usize>().unwrap_or_default() % 10 < calling_runs;
        let calls = if makes_calls { calls } else { 0 };
        let mut calling = Vec::new();
        for call in 0..calls {
            let (fleet, id) = (self.clone(), format!("{id}.run{runs}call{call}"));
            calling.push(tokio::spawn(async move {
                fleet.shared.history.lock().requests.push(Instant::now());
                fleet.ask("/ledger/check/", &id, number).await
            }));
        }
        let mut all_succeeded = true;
        for called in calling {
            all_succeeded &= called.await.unwrap() == 200;
        }
        response(if all_succeeded { 200 } else { 500 }, id)
    }

    /// Rejects a share of the requests.
    async fn run_at_ledger(&self, id: &str) -> String {
        let is_rejected = {
            let mut history = self.shared.history.lock();
            let arrivals = history.arrivals.entry(id.to_owned()).or_default();
            *arrivals += 1;
            let is_later = *arrivals > 1;
            let is_call_of_repeat = id.contains(".run") && !id.contains(".run1");
            if is_later || is_call_of_repeat {
                history.repeats.push(Instant::now());
                history.repeated_calls += usize::from(is_call_of_repeat);
            }
            let rejections_in_twenty = self.shared.rejections_in_twenty.load(Ordering::Relaxed);
            match &self.shared.random {
                Some(random) => random.lock().random_range(0..20) < rejections_in_twenty,
                None => {
                    history.rejections += rejections_in_twenty;
                    let is_rejected = history.rejections >= 20;
                    history.rejections %= 20;
                    is_rejected
                }
            }
        };
        if is_rejected {
            return "HTTP/1.1 503 Full\r\numberpond-rejected: 1\r\nContent-Length: 0\r\n\r\n".to_owned();
        }
        sleep(Duration::from_millis(15)).await;
        response(200, id)
    }
}

impl History {
    /// Finds the window with the most retries above the allowed number. Returns its retries, requests and
    /// allowed retries. The requests are those of the window, of the one before it or of the one half a
    /// window earlier, whichever are most.
    pub fn worst_window(&self, budget: &RetryBudgetSettings) -> (usize, usize, f64) {
        let count = |times: &[Instant], from: Instant| {
            times.iter().filter(|at| **at >= from && **at < from + budget.window).count()
        };
        let windows = self.repeats.iter().map(|from| {
            let requests = [Duration::ZERO, budget.window / 2, budget.window]
                .map(|earlier| count(&self.requests, *from - earlier))
                .into_iter()
                .max()
                .unwrap_or_default();
            let allowed = budget.ratio * f64::from(u32::try_from(requests).unwrap()) + budget.extra;
            (count(&self.repeats, *from), requests, allowed)
        });
        let excess = |window: &(usize, usize, f64)| f64::from(u32::try_from(window.0).unwrap()) - window.2;
        windows.max_by(|one, other| excess(one).total_cmp(&excess(other))).unwrap_or_default()
    }
}

fn service_of(number: usize) -> &'static str {
    if number < DESKS { "desk" } else { "ledger" }
}

fn address_of(number: usize) -> u8 {
    10 + u8::try_from(number).unwrap()
}

fn response(status: u16, id: &str) -> String {
    format!("HTTP/1.1 {status} Said\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 2\r\n\r\nok")
}

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    for service in [service("desk"), service("ledger")] {
        snapshot.services.insert(service.name.clone(), Entry::new(service));
    }
    for (prefix, service, is_idempotent) in
        [("/desk/", "desk", true), ("/ledger/check/", "ledger", true), ("/ledger/book/", "ledger", false)]
    {
        let route = Route {
            service: name(service),
            policy: RoutePolicy { attempts: 3, objective: Some(Millis(500)), priority: Some(1) },
            class: RequestClass::Status,
            ..route(prefix, is_idempotent)
        };
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
    snapshot
}
