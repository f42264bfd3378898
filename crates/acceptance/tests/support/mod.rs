//! Small configurations, acceptors with an in-memory platform, and the history of a run.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod history;

use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use umberpond_acceptance::chain::ChainReader;
use umberpond_acceptance::{Acceptor, AcceptorContext, AcceptorSettings, Change};
use umberpond_config::{Bundle, Origin, RequestClass, Route, RouteAccess, RoutePolicy, Service, Sourced};
use umberpond_model::{BundleName, Head, LocalityRule, Millis, SubmissionId};
use umberpond_store::memory::{Fault, MemoryPlatform, MemoryStore, RequestInfo, Verb};
use umberpond_store::{ObjectKind, ObjectStore};

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("test names are valid")
}

fn sourced<T>(line: u32, value: T) -> Sourced<T> {
    Sourced { origin: Origin { file: "mesh.toml".to_owned(), line }, value }
}

/// A bundle with one region and one service in it.
pub fn mesh() -> Bundle {
    let mut bundle = service("archive", 20);
    bundle.topology = BTreeMap::from([(name("north"), sourced(1, BTreeSet::from([name("a")])))]);
    bundle
}

/// A bundle with one service in the region of [`mesh`].
pub fn service(service: &str, slots: u32) -> Bundle {
    let allowed = vec![LocalityRule { region: name("north"), zone: None }];
    let value = Service {
        name: name(service),
        allowed,
        slots,
        connections: 130,
        seal_key: None,
        health_path: None,
        cold_rate: None,
    };
    Bundle { services: BTreeMap::from([(name(service), sourced(7, value))]), ..Bundle::default() }
}

/// A bundle with one route, from and to the same service.
pub fn route(route: &str, service: &str) -> Bundle {
    let value = Route {
        name: name(route),
        service: name(service),
        callers: BTreeSet::from([name(service)]),
        path_prefix: format!("/{route}"),
        methods: BTreeSet::new(),
        idempotent: false,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(2_000),
        credentials: Vec::new(),
        access: RouteAccess::default(),
    };
    Bundle { routes: BTreeMap::from([(name(route), sourced(4, value))]), ..Bundle::default() }
}

pub fn context(store: impl ObjectStore, seed: u64) -> AcceptorContext {
    AcceptorContext { store: Arc::new(store), unix_millis: Arc::new(|| 1), seed }
}

pub fn acceptor(store: MemoryStore, seed: u64) -> Acceptor {
    acceptor_with(store, seed, AcceptorSettings::default())
}

pub fn acceptor_with(store: MemoryStore, seed: u64, settings: AcceptorSettings) -> Acceptor {
    Acceptor::new(context(store, seed), settings)
}

/// Reads the head with a new reader.
pub async fn read_head(platform: &MemoryPlatform) -> Head {
    reader(platform).read_head().await.expect("the head can be read").expect("the head exists").head
}

/// Appends versions that each replace the one bundle `billing`.
pub async fn append_versions(platform: &MemoryPlatform, versions: RangeInclusive<u32>) {
    let acceptor = acceptor(platform.client(), 1);
    for version in versions {
        put(&acceptor, version.into(), "billing", service("billing", version)).await;
    }
}

pub fn reader(platform: &MemoryPlatform) -> ChainReader {
    ChainReader::new(Arc::new(platform.client()))
}

pub const MESH_ID: SubmissionId = SubmissionId(1_000_000);

/// A platform on which the bundle `mesh` is version 1.
pub async fn platform_with_mesh() -> MemoryPlatform {
    let platform = MemoryPlatform::new();
    put(&acceptor(platform.client(), 0), MESH_ID.0, "mesh", mesh()).await;
    platform
}

/// Submits a bundle that must be accepted.
pub async fn put(acceptor: &Acceptor, id: u128, bundle: &str, content: Bundle) -> u64 {
    let bundle: BundleName = name(bundle);
    let result = acceptor.submit(SubmissionId(id), bundle, Change::Put(content)).await;
    result.expect("the submission is accepted").version.0
}

/// Whether a request writes the head.
pub fn is_swap(info: &RequestInfo) -> bool {
    info.kind == ObjectKind::Head && matches!(info.verb, Verb::Put | Verb::Create)
}

/// A fault plan that injects `fault` into the first swap of the head.
pub fn first_swap(fault: Fault) -> impl FnMut(&RequestInfo) -> Fault + Send + 'static {
    let met = AtomicBool::new(false);
    move |info| if is_swap(info) && !met.swap(true, Ordering::Relaxed) { fault } else { Fault::None }
}
