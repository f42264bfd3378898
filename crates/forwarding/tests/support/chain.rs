//! A node whose back end calls a second service, and the nodes of that service.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};
use umberpond_config::{Entry, Route, RoutePolicy, Snapshot};
use umberpond_forwarding::{
    BackEnd, Inbound, InboundSettings, OpenedSecrets, Outbound, OutboundIdentity, OutboundSettings,
    RoutingTable, ServerControl, serve_inbound, serve_outbound,
};
use umberpond_http1::{MessageReader, ReadLimits, RequestHead};
use umberpond_model::{BackEndProcess, Millis, ServiceName, Version};
use umberpond_net::BoxStream;
use umberpond_selection::Endpoint;
use umberpond_telemetry::{MemoryRecorder, Telemetry};
use umberpond_virtual_network::SimNetwork;

use super::caller::{Caller, ReceivedResponse};
use super::{BACK_END_PORT, DIALECT, INBOUND_PORT, OUTBOUND_PORT, host, locality, name, route, service};

/// Host of the calling back end and of the node that receives the callers' requests.
const DESK: u8 = 20;
/// Time in milliseconds that the calling back end works before it makes its call.
const DESK_WORK: u64 = 20;
/// Number of slots of the calling back end.
const DESK_SLOTS: u32 = 4;

/// A back end of the called service.
#[derive(Debug, Clone, Copy)]
pub struct CalledBackEnd {
    pub host: u8,
    pub slots: u32,
    /// Service time of a call in milliseconds.
    pub work: u64,
}

/// Outcome of one request.
#[derive(Debug)]
pub struct Outcome {
    pub id: String,
    pub answer: ReceivedResponse,
    pub taken: Duration,
}

/// The nodes of both services.
#[derive(Clone)]
pub struct CallChain {
    pub network: SimNetwork,
    pub recorder: Arc<MemoryRecorder>,
    telemetry: Telemetry,
    desk: Arc<Mutex<Option<Arc<Outbound>>>>,
    /// Identities of the requests that the calling back end received.
    runs: Arc<Mutex<BTreeSet<String>>>,
    /// Calls that the called service received.
    calls: Arc<Mutex<Vec<RequestHead>>>,
}

impl CallChain {
    /// `called_time` is the timeout of the called route, in milliseconds.
    pub async fn start(called: CalledBackEnd, called_time: u64) -> Self {
        let recorder = Arc::new(MemoryRecorder::default());
        let chain = Self {
            network: SimNetwork::new(3, |_, _| Millis(1)),
            telemetry: Telemetry::to_observer(Arc::clone(&recorder) as _),
            recorder,
            desk: Arc::default(),
            runs: Arc::default(),
            calls: Arc::default(),
        };
        let own = chain.start_node("desk", DESK, DESK_SLOTS, DESK_WORK).await;
        let endpoint = own.1;
        own.0.set_endpoints(&name::<ServiceName>("desk"), vec![endpoint]);
        let caller = name("desk");
        let table = RoutingTable::compile(Version(1), &snapshot(called_time), &OpenedSecrets::new(), &caller);
        own.0.activate(Arc::new(table.unwrap())).unwrap();
        *chain.desk.lock() = Some(own.0);
        chain.replace_called_back_end(called).await;
        chain
    }

    /// Starts a back end of the called service that serves all calls from now on.
    pub async fn replace_called_back_end(&self, called: CalledBackEnd) {
        let (_, endpoint) = self.start_node("ledger", called.host, called.slots, called.work).await;
        let desk = self.desk.lock();
        desk.as_ref().unwrap().set_endpoints(&name::<ServiceName>("ledger"), vec![endpoint]);
    }

    /// Sends `per_second` requests of callers a second at an even rate for the time `lasts`, and returns
    /// their outcomes.
    pub async fn send(&self, prefix: &str, per_second: u32, lasts: Duration) -> Vec<Outcome> {
        let mut handles: Vec<JoinHandle<Outcome>> = Vec::new();
        let end = Instant::now() + lasts;
        while Instant::now() < end {
            let (chain, id) = (self.clone(), format!("{prefix}{}", handles.len()));
            handles.push(tokio::spawn(async move {
                let began = Instant::now();
                let answer = chain.ask("/desk/", &id, DESK).await;
                Outcome { id, answer, taken: began.elapsed() }
            }));
            sleep(Duration::from_secs(1) / per_second).await;
        }
        let mut outcomes = Vec::new();
        for handle in handles {
            outcomes.push(handle.await.unwrap());
        }
        outcomes
    }

    pub fn has_run(&self, id: &str) -> bool {
        self.runs.lock().contains(id)
    }

    pub fn calls(&self) -> Vec<RequestHead> {
        self.calls.lock().clone()
    }

    async fn ask(&self, path: &str, id: &str, from: u8) -> ReceivedResponse {
        let at = SocketAddr::new(host(DESK), OUTBOUND_PORT);
        let mut caller = Caller::connect(&self.network.host(host(from)), at).await;
        caller.send(path, id).await;
        caller.read().await.expect("a response")
    }

    async fn start_node(&self, of: &'static str, at: u8, slots: u32, work: u64) -> (Arc<Outbound>, Endpoint) {
        let network = self.network.host(host(at));
        let inbound = Arc::new(Inbound::new(
            DIALECT,
            InboundSettings::default(),
            Arc::clone(&network),
            self.telemetry.clone(),
        ));
        let identity = OutboundIdentity {
            node: name(&format!("node-{at}")),
            locality: locality(),
            caller: name(of),
            seed: u64::from(at),
        };
        let outbound = Outbound::new(
            identity,
            DIALECT,
            OutboundSettings::default(),
            Arc::clone(&network),
            self.telemetry.clone(),
            Arc::clone(&inbound),
        );
        let address = SocketAddr::new(host(at), BACK_END_PORT);
        let mut listener = network.listen(address).await.unwrap();
        let chain = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _peer) = listener.accept().await.unwrap();
                tokio::spawn(chain.clone().serve(stream, of, work));
            }
        });
        let instance = format!("life-{at}");
        let process = BackEndProcess::of(&instance);
        inbound.open(BackEnd { process, service: name(of), release: None, address, slots });
        let address = SocketAddr::new(host(at), INBOUND_PORT);
        let listener = network.listen(address).await.unwrap();
        tokio::spawn(serve_inbound(listener, inbound, self.telemetry.clone()));
        let listener = network.listen(SocketAddr::new(host(at), OUTBOUND_PORT)).await.unwrap();
        let control = ServerControl::default();
        tokio::spawn(serve_outbound(listener, Arc::clone(&outbound), control, self.telemetry.clone()));
        let node = name(&format!("node-{at}"));
        let locality = locality();
        (
            outbound,
            Endpoint {
                node,
                address,
                locality,
                instance,
                release: None,
                slots,
                is_cold: false,
                request_limit: None,
            },
        )
    }

    async fn serve(self, stream: BoxStream, of: &'static str, work: u64) {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut reader = MessageReader::new(reader);
        let limits = ReadLimits { head_bytes: 64 * 1024, head_time: Duration::from_secs(60) };
        while let Ok(Some(head)) = reader.request_head(limits).await {
            let id = head.fields.text("umberpond-request").unwrap_or_default().to_owned();
            let status =
                if of == "desk" { self.run(&id, work).await } else { self.answer_call(head, work).await };
            let answer = format!(
                "HTTP/1.1 {status} Said\r\numberpond-request: {id}\r\nx-proof: p\r\nContent-Length: 0\r\n\r\n"
            );
            if writer.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Runs a request, which fails if its call does.
    async fn run(&self, id: &str, work: u64) -> u16 {
        self.runs.lock().insert(id.to_owned());
        sleep(Duration::from_millis(work)).await;
        let answer = self.ask("/ledger/", &format!("{id}.call"), DESK).await;
        if answer.status == 200 { 200 } else { 500 }
    }

    async fn answer_call(&self, head: RequestHead, work: u64) -> u16 {
        self.calls.lock().push(head);
        sleep(Duration::from_millis(work)).await;
        200
    }
}

/// A route to each service. Requests to the calling service are more urgent than its calls, and are not
/// idempotent, so that no run is repeated.
fn snapshot(called_time: u64) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for service in [service("desk"), service("ledger")] {
        snapshot.services.insert(service.name.clone(), Entry::new(service));
    }
    for (prefix, service, priority, objective, timeout) in
        [("/desk/", "desk", 1, 500, 1_000), ("/ledger/", "ledger", 9, 150, called_time)]
    {
        let objective = Some(Millis(objective));
        let route = Route {
            service: name(service),
            policy: RoutePolicy { attempts: 1, objective, priority: Some(priority) },
            timeout: Millis(timeout),
            ..route(prefix, service == "ledger")
        };
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
    snapshot
}
