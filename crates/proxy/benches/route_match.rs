//! Cost of finding the route of a request at the planned size: 420 services with 24 routes each.

use std::collections::{BTreeMap, BTreeSet};
use std::hint::black_box;

use criterion::{Criterion, criterion_group, criterion_main};
use http::Method;
use umberpond_config::{Entry, RequestClass, Route, RoutePolicy, Service, Snapshot};
use umberpond_model::{LocalityRule, Millis, Version};
use umberpond_proxy::RoutingTable;

const SERVICES: usize = 420;
const ROUTES_EACH: usize = 24;

fn snapshot() -> Snapshot {
    let mut snapshot = Snapshot::default();
    for service in 0..SERVICES {
        let name = format!("service-{service}").parse().expect("a valid name");
        let value = Service {
            name,
            allowed: vec![LocalityRule { region: "north".parse().expect("a valid name"), zone: None }],
            slots: 20,
            connections: 130,
            seal_key: None,
            health_path: None,
        };
        for route in 0..ROUTES_EACH {
            let value = Route {
                name: format!("service-{service}-route-{route}").parse().expect("a valid name"),
                service: value.name.clone(),
                callers: BTreeSet::from(["edge".parse().expect("a valid name")]),
                path_prefix: format!("/api/v1/collection-{route}/items"),
                methods: BTreeSet::from(["GET".to_owned(), "POST".to_owned()]),
                idempotent: false,
                class: RequestClass::Status,
                host: None,
                split: Vec::new(),
                policy: RoutePolicy::default(),
                timeout: Millis(1_000),
                credentials: Vec::new(),
            };
            snapshot.routes.insert(value.name.clone(), Entry::new(value));
        }
        snapshot.services.insert(value.name.clone(), Entry::new(value));
    }
    snapshot
}

fn route_match(criterion: &mut Criterion) {
    let callers = BTreeSet::from(["edge".parse().expect("a valid name")]);
    let table = RoutingTable::compile(Version(1), &snapshot(), &BTreeMap::new(), &callers).expect("closed");
    let path = "/api/v1/collection-17/items/4711/parts/3";
    criterion.bench_function("route match", |bencher| {
        bencher.iter(|| table.find(black_box("service-317"), &Method::POST, black_box(path)).is_ok());
    });
    let deep = "/api/v1/nothing".to_owned() + &"/x".repeat(4_000);
    criterion.bench_function("no route, path of 4,000 segments", |bencher| {
        bencher.iter(|| table.find(black_box("service-317"), &Method::POST, black_box(&deep)).is_err());
    });
    criterion.bench_function("unknown host", |bencher| {
        bencher.iter(|| table.find(black_box("nobody"), &Method::POST, black_box(path)).is_err());
    });
}

criterion_group!(benches, route_match);
criterion_main!(benches);
