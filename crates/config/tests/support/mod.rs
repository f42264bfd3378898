//! Small configurations for tests, generated from a seed or built from given entries.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, OnceLock};

use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_config::{
    Bundle, HeaderCredential, Origin, RequestClass, Route, RouteAccess, RoutePolicy, Scope, SealKey,
    SealedValue, Secret, SecretValue, Service, Snapshot, Sourced, join, seal,
};
use umberpond_model::{BundleName, LocalityRule, Millis, ServiceName, ZoneName};

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("test names are valid")
}

pub fn sourced<T>(file: &str, line: u32, value: T) -> Sourced<T> {
    Sourced { origin: Origin { file: file.to_owned(), line }, value }
}

pub fn service(text: &str) -> Service {
    Service {
        name: name(text),
        allowed: vec![LocalityRule { region: name("north"), zone: None }],
        slots: 20,
        connections: 130,
        seal_key: Some(SealKey([7; 32])),
        health_path: None,
        cold_rate: None,
    }
}

pub fn secret(text: &str, readers: &[&str]) -> Secret {
    let sealed = |reader: &&str| (name(reader), sealed_value());
    Secret { name: name(text), readers: readers.iter().map(sealed).collect() }
}

/// A value sealed to the key of all services created by [`service`].
fn sealed_value() -> SealedValue {
    static SEALED: OnceLock<SealedValue> = OnceLock::new();
    let value = SecretValue::new(b"clear".to_vec());
    let rng = &mut ChaCha8Rng::seed_from_u64(1);
    SEALED.get_or_init(|| seal(&name("token"), &value, &SealKey([7; 32]), rng).expect("seals")).clone()
}

pub fn route(text: &str, service: &str, callers: &[&str], prefix: &str) -> Route {
    Route {
        name: name(text),
        service: name(service),
        callers: callers.iter().map(|caller| name(caller)).collect(),
        path_prefix: prefix.to_owned(),
        methods: BTreeSet::new(),
        idempotent: false,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(2_000),
        credentials: Vec::new(),
        access: RouteAccess::default(),
    }
}

pub fn with_credential(mut route: Route, secret: &str) -> Route {
    route.credentials.push(HeaderCredential { header: "authorization".to_owned(), secret: name(secret) });
    route
}

/// A bundle with region `north` (zones `a` and `b`) and the given entries, from file `all.toml`.
pub fn bundle(services: &[&str], routes: Vec<Route>, secrets: Vec<Secret>) -> Bundle {
    let zones: BTreeSet<ZoneName> = [name("a"), name("b")].into();
    Bundle {
        topology: [(name("north"), sourced("all.toml", 1, zones))].into(),
        ..without_topology(services, routes, secrets)
    }
}

pub fn without_topology(services: &[&str], routes: Vec<Route>, secrets: Vec<Secret>) -> Bundle {
    let line = |kind: u32, index: usize| kind * 100 + u32::try_from(index).expect("few entries");
    let services = services.iter().enumerate();
    let routes = routes.into_iter().enumerate();
    let secrets = secrets.into_iter().enumerate();
    Bundle {
        topology: BTreeMap::new(),
        services: services.map(|(i, s)| (name(s), sourced("all.toml", line(1, i), service(s)))).collect(),
        routes: routes.map(|(i, r)| (r.name.clone(), sourced("all.toml", line(2, i), r))).collect(),
        secrets: secrets.map(|(i, s)| (s.name.clone(), sourced("all.toml", line(3, i), s))).collect(),
    }
}

pub fn in_force(bundles: Vec<(&str, Bundle)>) -> BTreeMap<BundleName, Arc<Bundle>> {
    bundles.into_iter().map(|(text, bundle)| (name(text), Arc::new(bundle))).collect()
}

pub fn scope(callers: &[&str]) -> Scope {
    Scope::Callers(callers.iter().map(|caller| name(caller)).collect())
}

/// Generates a closed snapshot from `seed`. Snapshots of different seeds share many names.
pub fn random_snapshot(seed: u64) -> Snapshot {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let services = random_names(&mut rng);
    let secrets: Vec<Secret> = (0..3).map(|i| secret(&format!("key-{i}"), &services)).collect();
    let routes = (0..rng.random_range(0..12)).map(|index| random_route(&mut rng, index, &services));
    let bundle = bundle(&services, routes.collect(), secrets);
    join(&in_force(vec![("all", bundle)])).expect("made closed")
}

fn random_names(rng: &mut impl Rng) -> Vec<&'static str> {
    let mut names = vec!["archive", "billing", "solver", "web", "desk", "records"];
    names.remove(rng.random_range(0..names.len()));
    names
}

fn random_route(rng: &mut impl Rng, index: usize, services: &[&str]) -> Route {
    let target = services[rng.random_range(0..services.len())];
    let caller = services[rng.random_range(0..services.len())];
    let second = services[rng.random_range(0..services.len())];
    let mut route = route(&format!("route-{index}"), target, &[caller, second], &format!("/path-{index}"));
    route.idempotent = rng.random_bool(0.5);
    if rng.random_bool(0.5) {
        return with_credential(route, &format!("key-{}", rng.random_range(0..3)));
    }
    route
}

/// Generates a scope of one or two of the services that [`random_snapshot`] uses.
pub fn random_scope(seed: u64) -> Scope {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let names = random_names(&mut rng);
    let callers: BTreeSet<ServiceName> =
        (0..2).map(|_| name(names[rng.random_range(0..names.len())])).collect();
    Scope::Callers(callers)
}
