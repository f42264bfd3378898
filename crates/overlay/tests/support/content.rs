//! Configurations for tests: a ring of services, each called by its two neighbours.

use std::collections::BTreeSet;

use umberpond_config::{Entry, RequestClass, Route, RoutePolicy, Service, Snapshot};
use umberpond_model::{
    ContentHash, Locality, LocalityRule, Millis, NodeName, RegionName, RouteName, ServiceName, SubmissionId,
    Version, VersionRecord, ZoneName,
};

pub fn service_name(number: usize) -> ServiceName {
    ServiceName::new(&format!("service-{number:03}")).unwrap()
}

pub fn locality(zone: usize) -> Locality {
    Locality {
        region: RegionName::new(&format!("region-{}", zone / 3)).unwrap(),
        zone: ZoneName::new(&format!("zone-{zone}")).unwrap(),
    }
}

fn service(number: usize, slots: u32, zones: usize) -> Service {
    let allowed = (0..zones.div_ceil(3))
        .map(|region| LocalityRule { region: locality(region * 3).region, zone: None })
        .collect();
    Service {
        name: service_name(number),
        allowed,
        slots,
        connections: 100,
        seal_key: None,
        health_path: None,
    }
}

fn route(number: usize, services: usize) -> Route {
    let callers = BTreeSet::from([
        service_name((number + 1) % services),
        service_name((number + services - 1) % services),
    ]);
    Route {
        name: RouteName::new(&format!("route-{number:03}")).unwrap(),
        service: service_name(number),
        callers,
        path_prefix: format!("/{number}"),
        methods: BTreeSet::new(),
        idempotent: true,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(1_000),
        credentials: Vec::new(),
    }
}

/// The configuration of version 1.
pub fn first_snapshot(services: usize, zones: usize) -> Snapshot {
    let mut snapshot = Snapshot::default();
    for zone in 0..zones {
        let locality = locality(zone);
        snapshot.topology.entry(locality.region).or_default().insert(locality.zone);
    }
    for number in 0..services {
        snapshot.services.insert(service_name(number), Entry::new(service(number, 20, zones)));
        let route = route(number, services);
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
    snapshot
}

/// The configuration that follows: one service gets other slots.
pub fn next_snapshot(before: &Snapshot, version: Version, zones: usize) -> Snapshot {
    let mut after = before.clone();
    let number = (version.0 as usize * 7) % before.services.len();
    after.services.insert(service_name(number), Entry::new(service(number, 20 + version.0 as u32, zones)));
    after
}

/// The record that follows `before`.
pub fn record(before: Option<&VersionRecord>, snapshot: &Snapshot, witnesses: &[NodeName]) -> VersionRecord {
    let version = before.map_or(Version(1), |record| record.version.next());
    let (witnesses_since, previous_witnesses) = match before {
        Some(last) if last.witnesses == witnesses => (last.witnesses_since, last.previous_witnesses.clone()),
        Some(last) => (version, last.witnesses.clone()),
        None => (version, Vec::new()),
    };
    let placeholder = ContentHash::of(&version.0.to_le_bytes());
    VersionRecord {
        version,
        previous: None,
        submission: SubmissionId(u128::from(version.0)),
        manifest: placeholder,
        delta: placeholder,
        snapshot: snapshot.content_hash(),
        witnesses: witnesses.to_vec(),
        witnesses_since,
        previous_witnesses,
        accepted_at_unix_millis: 0,
    }
}
