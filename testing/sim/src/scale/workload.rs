//! The configuration at the planned size, and the ordinary day's changes to it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use rand::{Rng, RngExt};
use umberpond_config::{
    Delta, Entry, HeaderCredential, RequestClass, Route, RoutePolicy, SealKey, SealedValue, Secret, Service,
    Snapshot,
};
use umberpond_model::{
    ContentHash, LocalityRule, Millis, NodeName, RegionName, RouteName, SecretName, ServiceName,
    SubmissionId, Version, VersionRecord, ZoneName,
};
use umberpond_overlay::interface::AcceptedVersion;

/// Services that each service calls.
pub const CALLED_SERVICES: usize = 5;
/// One route in this many uses a secret.
const ROUTES_PER_SECRET: usize = 4;
/// Bytes of a sealed secret: a 32-byte value and 48 bytes of sealing.
const SEALED_BYTES: usize = 80;

/// Regions and zones of a run.
#[derive(Debug, Clone)]
pub struct Places {
    /// Zones in the order of their numbers: region and zone.
    pub zones: Vec<(RegionName, ZoneName)>,
}

impl Places {
    /// `zones` zones spread evenly over `regions` regions.
    ///
    /// # Panics
    /// Never: the made names follow the naming rule.
    #[must_use]
    pub fn new(regions: usize, zones: usize) -> Self {
        let name_of = |zone: usize| {
            let region = RegionName::new(&format!("region-{}", zone % regions)).expect("a valid name");
            (region, ZoneName::new(&format!("zone-{zone}")).expect("a valid name"))
        };
        Self { zones: (0..zones).map(name_of).collect() }
    }
}

/// Name of service `number`.
///
/// # Panics
/// Never: the made name follows the naming rule.
#[must_use]
pub fn service_name(number: usize) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).expect("a valid name")
}

/// The chain of versions of a run.
#[derive(Debug)]
pub struct Workload {
    /// Newest snapshot.
    pub snapshot: Arc<Snapshot>,
    /// Newest record, if any.
    pub record: Option<VersionRecord>,
    routes: Vec<RouteName>,
}

impl Workload {
    /// The configuration of `services` services, not yet accepted.
    #[must_use]
    pub fn new(services: usize, places: &Places) -> Self {
        let mut snapshot = Snapshot::default();
        for (region, zone) in &places.zones {
            snapshot.topology.entry(region.clone()).or_default().insert(zone.clone());
        }
        let allowed: Vec<LocalityRule> = snapshot
            .topology
            .keys()
            .map(|region| LocalityRule { region: region.clone(), zone: None })
            .collect();
        for number in 0..services {
            add_service(&mut snapshot, number, services, &allowed);
        }
        let routes = snapshot.routes.keys().cloned().collect();
        Self { snapshot: Arc::new(snapshot), record: None, routes }
    }

    /// The version that changed the witness set last.
    #[must_use]
    pub fn witnesses_since(&self) -> Version {
        self.record.as_ref().map_or(Version::GENESIS, |record| record.witnesses_since)
    }

    /// Accepts the next version: the first one brings everything, each later one changes one route.
    pub fn accept(
        &mut self,
        rng: &mut impl Rng,
        now: Millis,
        witnesses: Vec<NodeName>,
    ) -> Arc<AcceptedVersion> {
        let before = match &self.record {
            None => Arc::new(Snapshot::default()),
            Some(_) => Arc::clone(&self.snapshot),
        };
        if self.record.is_some() {
            self.change_one_route(rng);
        }
        let delta = Delta::between(&before, &self.snapshot);
        let version = self.record.as_ref().map_or(Version(1), |record| record.version.next());
        let (witnesses_since, previous_witnesses) = match &self.record {
            None => (version, Vec::new()),
            Some(last) if last.witnesses == witnesses => {
                (last.witnesses_since, last.previous_witnesses.clone())
            }
            Some(last) => (version, last.witnesses.clone()),
        };
        let record = VersionRecord {
            version,
            previous: None,
            submission: SubmissionId(u128::from(version.0)),
            manifest: ContentHash::of(b"manifest"),
            delta: ContentHash::of(b"delta"),
            snapshot: self.snapshot.content_hash(),
            witnesses,
            witnesses_since,
            previous_witnesses,
            accepted_at_unix_millis: now.0,
        };
        self.record = Some(record.clone());
        Arc::new(AcceptedVersion { record, delta })
    }

    fn change_one_route(&mut self, rng: &mut impl Rng) {
        let name = &self.routes[rng.random_range(0..self.routes.len())];
        let mut snapshot = Snapshot::clone(&self.snapshot);
        if let Some(entry) = snapshot.routes.get(name) {
            let mut route = Route::clone(entry);
            route.timeout = Millis(rng.random_range(500..5_000));
            snapshot.routes.insert(name.clone(), Entry::new(route));
        }
        self.snapshot = Arc::new(snapshot);
    }
}

fn add_service(snapshot: &mut Snapshot, number: usize, services: usize, allowed: &[LocalityRule]) {
    let name = service_name(number);
    let service = Service {
        name: name.clone(),
        allowed: allowed.to_vec(),
        slots: 20,
        connections: 130,
        seal_key: Some(SealKey([number.to_le_bytes()[0]; 32])),
        health_path: None,
    };
    snapshot.services.insert(name.clone(), Entry::new(service));
    for call in 0..CALLED_SERVICES {
        // A stride that has no common divisor with the count spreads the calls evenly.
        let target = service_name((number + 1 + call * 83) % services);
        let route_name = format!("{name}-calls-{call}");
        let route = route(&route_name, &name, target, call);
        for credential in &route.credentials {
            let sealed = SealedValue(vec![number.to_le_bytes()[0]; SEALED_BYTES]);
            let readers = BTreeMap::from([(name.clone(), sealed)]);
            let secret = Secret { name: credential.secret.clone(), readers };
            snapshot.secrets.insert(credential.secret.clone(), Entry::new(secret));
        }
        snapshot.routes.insert(route.name.clone(), Entry::new(route));
    }
}

fn route(name: &str, caller: &ServiceName, target: ServiceName, call: usize) -> Route {
    let secret = SecretName::new(&format!("{name}-token")).expect("a valid name");
    let credentials = if call.is_multiple_of(ROUTES_PER_SECRET) {
        vec![HeaderCredential { header: "authorization".to_owned(), secret }]
    } else {
        Vec::new()
    };
    Route {
        name: RouteName::new(name).expect("a valid name"),
        service: target,
        callers: BTreeSet::from([caller.clone()]),
        path_prefix: format!("/{call}"),
        methods: BTreeSet::from(["GET".to_owned()]),
        idempotent: call != 0,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(1_000),
        credentials,
    }
}
