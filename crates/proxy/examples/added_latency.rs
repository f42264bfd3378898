//! Measures what the two proxies add to a call, over loopback TCP in one process.
//!
//! Caller -> outbound half -> inbound half -> back end is compared with caller -> back end in the same run: first
//! at the planned rate of one node, calls of both ways taking turns, then with as many calls as go through. The
//! processor time is that of the whole process (caller, proxies and back end), so the difference of the two ways
//! is the cost of the two halves.
//!
//!     cargo run --release -p umberpond-proxy --example added_latency -- [seconds]

use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use umberpond_config::{Entry, RequestClass, Route, RoutePolicy, Service, Snapshot};
use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, LocalityRule, Millis, NodeName, Version,
};
use umberpond_net::{BoxListener, Network, TcpNetwork};
use umberpond_proxy::{
    BackendSettings, NoObserver, NodeIdentity, ProcessClock, ProxyEnvironment, ProxySettings, ProxyState,
    RoutingTable, serve_inbound, serve_outbound, shutdown_channel,
};

type Failure = Box<dyn std::error::Error + Send + Sync>;

/// Calls a second of one node at the planned size.
const PLANNED_RATE: u32 = 61;
/// Calls under way at once in the run with as many calls as go through.
const CONCURRENCY: usize = 32;
/// Bytes of an answer's body.
const ANSWER_BYTES: usize = 512;
/// Slots of the back end: more than the concurrency, so that nothing queues.
const SLOTS: u32 = 256;

fn main() -> Result<(), Failure> {
    let seconds = std::env::args().nth(1).map_or(Ok(20), |text| text.parse())?;
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    runtime.worker_threads(4).enable_all().build()?.block_on(measure(Duration::from_secs(seconds)))
}

async fn measure(duration: Duration) -> Result<(), Failure> {
    let backend = start_backend().await?;
    let outbound = start_proxies(backend).await?;
    let (direct, proxied) = take_turns(backend, outbound, duration).await?;
    println!("at {PLANNED_RATE} calls/s each way, {} calls each way, latency in microseconds", direct.len());
    println!("{}", row("direct", &direct));
    println!("{}", row("through both proxies", &proxied));
    let added = |quantile: f64| proxied.value_at_quantile(quantile) - direct.value_at_quantile(quantile);
    println!("added at p50 {} us, p99 {} us, p99.9 {} us", added(0.5), added(0.99), added(0.999));
    println!("\n{CONCURRENCY} calls at once, as many as go through");
    for (name, address) in [("direct", backend), ("through both proxies", outbound)] {
        let (latencies, elapsed, busy) = saturate(address, duration / 2).await?;
        let rate = latencies.len() as f64 / elapsed.as_secs_f64();
        let each = busy.as_secs_f64() * 1e6 / latencies.len() as f64;
        println!("{}, {rate:.0} calls/s, {each:.1} us of processor time a call", row(name, &latencies));
    }
    Ok(())
}

fn row(name: &str, latencies: &Histogram<u64>) -> String {
    let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| latencies.value_at_quantile(quantile));
    format!("{name:>22}: p50 {p50}, p99 {p99}, p99.9 {p999}")
}

async fn take_turns(
    backend: SocketAddr,
    outbound: SocketAddr,
    duration: Duration,
) -> Result<(Histogram<u64>, Histogram<u64>), Failure> {
    let (mut direct, mut proxied) = (Histogram::new(3)?, Histogram::new(3)?);
    let (mut to_backend, mut to_outbound) = (connect(backend).await?, connect(outbound).await?);
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / (2 * PLANNED_RATE));
    let began = Instant::now();
    for _ in 0..PLANNED_RATE {
        call(&mut to_backend).await?;
        call(&mut to_outbound).await?;
    }
    while began.elapsed() < duration {
        ticks.tick().await;
        direct.record(call(&mut to_backend).await?)?;
        ticks.tick().await;
        proxied.record(call(&mut to_outbound).await?)?;
    }
    Ok((direct, proxied))
}

/// Latencies, elapsed time and processor time of the process.
async fn saturate(
    to: SocketAddr,
    duration: Duration,
) -> Result<(Histogram<u64>, Duration, Duration), Failure> {
    let busy_before = processor_time()?;
    let began = Instant::now();
    let mut callers = tokio::task::JoinSet::new();
    for _ in 0..CONCURRENCY {
        callers.spawn(async move {
            let mut latencies = Histogram::<u64>::new(3)?;
            let mut connection = connect(to).await?;
            while began.elapsed() < duration {
                latencies.record(call(&mut connection).await?)?;
            }
            Ok::<_, Failure>(latencies)
        });
    }
    let mut all = Histogram::new(3)?;
    while let Some(latencies) = callers.join_next().await {
        all.add(latencies??)?;
    }
    Ok((all, began.elapsed(), processor_time()?.saturating_sub(busy_before)))
}

/// User and system time of this process, in steps of 10 ms (the kernel's tick for this file).
fn processor_time() -> Result<Duration, Failure> {
    const TICK: Duration = Duration::from_millis(10);
    let text = std::fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<_> = text.rsplit(") ").next().unwrap_or_default().split(' ').collect();
    let ticks: u32 = fields.get(11).ok_or("short stat")?.parse::<u32>()?
        + fields.get(12).ok_or("short stat")?.parse::<u32>()?;
    Ok(TICK * ticks)
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, Failure> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

/// One call on a kept connection; its latency in microseconds, the whole body included.
async fn call(connection: &mut SendRequest<Full<Bytes>>) -> Result<u64, Failure> {
    connection.ready().await?;
    let request = Request::get("/job/grid").header(header::HOST, "archive").body(Full::new(Bytes::new()))?;
    let began = Instant::now();
    let response = connection.send_request(request).await?;
    let status = response.status();
    let body = response.into_body().collect().await?.to_bytes();
    let elapsed = began.elapsed();
    if !status.is_success() || body.len() != ANSWER_BYTES {
        return Err(format!("status {status}, {} bytes", body.len()).into());
    }
    Ok(u64::try_from(elapsed.as_micros())?)
}

async fn start_backend() -> Result<SocketAddr, Failure> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            let service = service_fn(|_request: Request<Incoming>| async {
                let body = Full::new(Bytes::from_static(&[b'x'; ANSWER_BYTES]));
                Ok::<_, Infallible>(Response::new(body))
            });
            let serving =
                hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            tokio::spawn(serving);
        }
    });
    Ok(address)
}

async fn start_proxies(backend: SocketAddr) -> Result<SocketAddr, Failure> {
    let inbound = TcpNetwork.listen("127.0.0.1:0".parse()?).await?;
    let outbound = TcpNetwork.listen("127.0.0.1:0".parse()?).await?;
    let (inbound_at, outbound_at) = (inbound.local_addr(), outbound.local_addr());
    let callers = BTreeSet::from(["storefront".parse()?]);
    let table =
        || RoutingTable::compile(Version(1), &snapshot()?, &BTreeMap::new(), &callers).map_err(Failure::from);
    let record = record(inbound_at)?;

    let server = state("archive-1", Some(backend))?;
    server.activate(Arc::new(table()?))?;
    server.set_own_record(&record);
    serve(inbound, &server, true);

    let caller = state("edge-1", None)?;
    caller.set_endpoints(vec![record]);
    caller.activate(Arc::new(table()?))?;
    serve(outbound, &caller, false);
    Ok(outbound_at)
}

fn serve(listener: BoxListener, state: &Arc<ProxyState>, is_inbound: bool) {
    let (handle, shutdown) = shutdown_channel();
    let state = Arc::clone(state);
    tokio::spawn(async move {
        if is_inbound {
            serve_inbound(listener, state, shutdown).await;
        } else {
            serve_outbound(listener, state, shutdown).await;
        }
        drop(handle);
    });
}

fn locality() -> Result<Locality, Failure> {
    Ok(Locality { region: "north".parse()?, zone: "a".parse()? })
}

fn state(node: &str, backend: Option<SocketAddr>) -> Result<Arc<ProxyState>, Failure> {
    let identity = NodeIdentity {
        node: NodeName::new(node)?,
        locality: locality()?,
        incarnation: Incarnation(1),
        service: backend.map(|_| "archive".parse()).transpose()?,
        callers: BTreeSet::from(["storefront".parse()?]),
    };
    let environment = ProxyEnvironment {
        network: Arc::new(TcpNetwork),
        clock: ProcessClock::starting_at(tokio::time::Instant::now()),
        seed: 1,
        observer: Arc::new(NoObserver),
    };
    let settings = ProxySettings { connections_per_endpoint: CONCURRENCY * 2, ..ProxySettings::default() };
    Ok(ProxyState::new(identity, settings, backend.map(BackendSettings::at), environment))
}

fn record(inbound: SocketAddr) -> Result<EndpointRecord, Failure> {
    Ok(EndpointRecord {
        node: "archive-1".parse()?,
        service: Some("archive".parse()?),
        locality: locality()?,
        inbound,
        control: inbound,
        incarnation: Incarnation(1),
        sequence: 1,
        status: EndpointStatus::Ready,
        suspect: false,
    })
}

fn snapshot() -> Result<Snapshot, Failure> {
    let service = Service {
        name: "archive".parse()?,
        allowed: vec![LocalityRule { region: "north".parse()?, zone: None }],
        slots: SLOTS,
        connections: SLOTS,
        seal_key: None,
        health_path: None,
    };
    let route = Route {
        name: "work".parse()?,
        service: "archive".parse()?,
        callers: BTreeSet::from(["storefront".parse()?]),
        path_prefix: "/job".into(),
        methods: BTreeSet::new(),
        idempotent: false,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(5_000),
        credentials: Vec::new(),
    };
    let mut snapshot = Snapshot::default();
    snapshot.services.insert(service.name.clone(), Entry::new(service));
    snapshot.routes.insert(route.name.clone(), Entry::new(route));
    Ok(snapshot)
}
