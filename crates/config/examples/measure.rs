//! Benchmark of checks, hashes, deltas and restriction with 420 services and 2,000 routes.
//!
//! Run with `cargo run --release -p umberpond-config --example measure`.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Instant;

use rand::SeedableRng;
use rand_chacha::ChaCha20Rng;
use umberpond_config::{
    Bundle, BundleSource, ChangedScopes, CheckReport, Delta, HeaderCredential, Origin, Plan, RequestClass,
    Route, RouteAccess, RoutePolicy, Scope, SealKey, Secret, SecretValue, Service, Snapshot, Sourced, join,
    seal,
};
use umberpond_model::{BundleName, LocalityRule, Millis, ServiceName};

const SERVICES: usize = 420;
const ROUTES: usize = 2_000;
const SECRETS: usize = 100;
const REGIONS: usize = 6;
const BUNDLES: usize = 30;
const CALLERS_PER_ROUTE: usize = 3;
const ROUNDS: usize = 200;

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("valid")
}

fn service_name(index: usize) -> ServiceName {
    name(&format!("service-{index:03}"))
}

fn sourced<T>(line: usize, value: T) -> Sourced<T> {
    Sourced {
        origin: Origin { file: "all.toml".to_owned(), line: u32::try_from(line).expect("small") },
        value,
    }
}

/// Callers of route `index`, which are also the readers of its secret.
fn callers(index: usize) -> BTreeSet<ServiceName> {
    (0..CALLERS_PER_ROUTE).map(|step| service_name((index * 7 + step * 131) % SERVICES)).collect()
}

fn service(index: usize) -> Service {
    let allowed = vec![LocalityRule { region: name(&format!("region-{}", index % REGIONS)), zone: None }];
    let seal_key = Some(SealKey([u8::try_from(index % 200).expect("small"); 32]));
    Service {
        name: service_name(index),
        allowed,
        slots: 24,
        connections: 120,
        seal_key,
        health_path: None,
        cold_rate: None,
    }
}

fn route(index: usize) -> Route {
    let secret = (index < SECRETS).then(|| name(&format!("secret-{index:03}")));
    let credential = secret.map(|secret| HeaderCredential { header: "authorization".to_owned(), secret });
    Route {
        name: name(&format!("route-{index:04}")),
        service: service_name(index % SERVICES),
        callers: callers(index),
        path_prefix: format!("/api/resource-{index:04}"),
        methods: ["GET".to_owned(), "HEAD".to_owned()].into(),
        idempotent: true,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(2_000),
        credentials: credential.into_iter().collect(),
        access: RouteAccess::default(),
    }
}

fn secret(index: usize, rng: &mut ChaCha20Rng) -> Secret {
    let secret_name = name(&format!("secret-{index:03}"));
    let value = SecretValue::new(b"Bearer 0123456789abcdef0123456789abcdef".to_vec());
    let mut readers = BTreeMap::new();
    for reader in callers(index) {
        let position: usize = reader.as_str()[8..].parse().expect("a number");
        let key = service(position).seal_key.expect("has one");
        readers.insert(reader, seal(&secret_name, &value, &key, rng).expect("seals"));
    }
    Secret { name: secret_name, readers }
}

fn bundles() -> BTreeMap<BundleName, Arc<Bundle>> {
    let mut rng = ChaCha20Rng::seed_from_u64(1);
    let mut bundles = vec![Bundle::default(); BUNDLES];
    for region in 0..REGIONS {
        let zones = (0..3).map(|zone| name(&format!("zone-{zone}"))).collect();
        bundles[0].topology.insert(name(&format!("region-{region}")), sourced(region, zones));
    }
    for index in 0..SERVICES {
        bundles[index % BUNDLES].services.insert(service_name(index), sourced(index, service(index)));
    }
    for index in 0..ROUTES {
        let route = route(index);
        bundles[index % BUNDLES].routes.insert(route.name.clone(), sourced(index, route));
    }
    for index in 0..SECRETS {
        let secret = secret(index, &mut rng);
        bundles[index % BUNDLES].secrets.insert(secret.name.clone(), sourced(index, secret));
    }
    bundles
        .into_iter()
        .enumerate()
        .map(|(i, bundle)| (name(&format!("bundle-{i}")), Arc::new(bundle)))
        .collect()
}

fn measure<T>(what: &str, mut run: impl FnMut() -> T) {
    let mut micros: Vec<u128> = (0..ROUNDS)
        .map(|_| {
            let start = Instant::now();
            black_box(run());
            start.elapsed().as_micros()
        })
        .collect();
    micros.sort_unstable();
    println!("{what:<46} median {:>7} us   p99 {:>7} us", micros[ROUNDS / 2], micros[ROUNDS * 99 / 100]);
}

fn changed(bundles: &BTreeMap<BundleName, Arc<Bundle>>, change: impl FnOnce(&mut Bundle)) -> Snapshot {
    let mut after = bundles.clone();
    change(Arc::make_mut(after.get_mut("bundle-0").expect("is there")));
    join(&after).expect("closed")
}

fn bytes(what: &str, before: &Snapshot, after: &Snapshot, scope: &Scope) {
    let full = Delta::between(before, after).to_bytes().len();
    let scoped = Delta::between(&before.restrict(scope), &after.restrict(scope)).to_bytes().len();
    println!("{what:<46} relay {full:>7} B    one caller {scoped:>7} B");
}

fn main() -> Result<(), CheckReport> {
    let bundles = bundles();
    let before = join(&bundles)?;
    let after = changed(&bundles, |bundle| {
        bundle.routes.values_mut().next().expect("has routes").value.timeout = Millis(2_500);
    });
    let caller = callers(0).into_iter().next().expect("has callers");
    let scope = Scope::Callers([caller].into());
    let part = before.restrict(&scope);
    let delta = Delta::between(&before, &after);
    let scoped = Delta::between(&part, &after.restrict(&scope));

    println!("{SERVICES} services, {ROUTES} routes, {SECRETS} secrets, {BUNDLES} bundles, {ROUNDS} rounds");
    measure("join (checks everything, compiles)", || join(&bundles));
    measure_first_hash(&join(&bundles)?);
    measure("content hash, full snapshot, cached", || before.content_hash());
    measure("delta between two full snapshots", || Delta::between(&before, &after));
    measure("acceptance: join, hash, delta", || {
        let joined = join(&bundles).expect("closed");
        (joined.content_hash(), Delta::between(&before, &joined))
    });
    measure("restrict to one caller", || before.restrict(&scope));
    measure("restrict to one caller, hash", || before.restrict(&scope).content_hash());
    measure("scopes that a delta changes", || ChangedScopes::of(&delta, &before, &after));
    measure("closure check of the full snapshot", || after.check_closed_for(&Scope::Full));
    measure("full node: apply, hash, closure check", || activate(&delta, &before, &Scope::Full));
    measure("scoped node: apply, hash, closure check", || activate(&scoped, &part, &scope));
    measure("encode full snapshot", || before.to_bytes());
    let encoded = before.to_bytes();
    measure("decode full snapshot", || Snapshot::from_bytes(&encoded));
    measure_plan(&before, &after);

    bytes("full transfer", &Snapshot::default(), &before, &scope);
    bytes("timeout of a route", &before, &after, &scope);
    let resealed = changed(&bundles, |bundle| {
        let secret = bundle.secrets.values_mut().next().expect("has secrets");
        secret.value = self::secret(0, &mut ChaCha20Rng::seed_from_u64(2));
    });
    bytes("a secret sealed again", &before, &resealed, &scope);
    let slots = changed(&bundles, |bundle| {
        bundle.services.values_mut().next().expect("has services").value.slots = 25;
    });
    bytes("slots of a service", &before, &slots, &scope);
    measure_examples()
}

/// The steps with which a node activates a delta to a base that it has already checked.
fn activate(delta: &Delta, held: &Snapshot, scope: &Scope) -> Snapshot {
    let after = delta.apply(held);
    black_box(after.content_hash());
    after.check_delta(delta, scope).expect("closed");
    after
}

fn measure_first_hash(snapshot: &Snapshot) {
    let start = Instant::now();
    black_box(snapshot.content_hash());
    println!("content hash, full snapshot, from scratch: {} us, one round", start.elapsed().as_micros());
}

fn measure_plan(before: &Snapshot, after: &Snapshot) {
    let start = Instant::now();
    let plan = Plan::between(before, after);
    println!(
        "plan over all scopes: {} us, {} scopes affected",
        start.elapsed().as_micros(),
        plan.scopes.len()
    );
}

fn measure_examples() -> Result<(), CheckReport> {
    for example in ["gridwell", "tasmania"] {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(example);
        BundleSource::load_whole(&path)?;
        measure(&format!("load and check examples/{example}"), || BundleSource::load_whole(&path));
    }
    Ok(())
}
