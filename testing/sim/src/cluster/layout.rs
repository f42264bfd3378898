//! Layout of the cluster: three zones of one region, three services, one edge node, and the bundles.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberpond_config::{
    Bundle, HeaderCredential, Origin, RequestClass, Route, RouteAccess, RoutePolicy, SealKeyPair, Secret,
    SecretValue, Service, Sourced, seal,
};
use umberpond_model::{
    BundleName, Locality, LocalityRule, Millis, NodeName, RegionName, RouteName, SecretName, ServiceName,
    ZoneName,
};

/// Number of zones.
pub const ZONES: usize = 3;
/// Services with back ends; each has one node in every zone.
pub const SERVICES: [&str; 3] = ["archive", "billing", "solver"];
/// Service of the callers, which send their requests through the edge node.
pub const CALLER_SERVICE: &str = "web";
/// The service that is not allowed in the last zone although it has a back end there.
pub const RESTRICTED_SERVICE: &str = "billing";
/// Name of the first bundle, which holds the initial configuration.
pub const BASE_BUNDLE: &str = "base";
/// Number of slots of a back end.
pub const SLOTS: u32 = 20;

const REGION: &str = "eu-north";
const ZONE_NAMES: [&str; ZONES] = ["hall-a", "hall-b", "hall-c"];
const CONTROL_PORT: u16 = 7_000;
const INBOUND_PORT: u16 = 7_001;
const OUTBOUND_PORT: u16 = 7_002;
const ADMIN_PORT: u16 = 7_003;
const BACK_END_PORT: u16 = 8_080;
const PLATFORM_PORT: u16 = 9_000;
const SECRET: &str = "billing-token";
const SECRET_VALUE: &str = "a-value-that-appears-nowhere";
/// Connection limit of a back end.
const CONNECTIONS: u32 = 130;

/// Name, service and location of one node.
#[derive(Debug, Clone)]
pub struct NodePlacement {
    /// Index of the node in the layout.
    pub index: usize,
    /// Name of the node.
    pub node: NodeName,
    /// Service of the node's back end, or of the callers on the edge node.
    pub service: ServiceName,
    /// Index of the zone.
    pub zone: usize,
    /// Whether this is the edge node.
    pub is_edge: bool,
}

/// Returns all nodes: one of each service in every zone, and the edge node in the first zone.
#[must_use]
pub fn placements() -> Vec<NodePlacement> {
    let mut placements = Vec::new();
    for (zone, zone_name) in ZONE_NAMES.into_iter().enumerate() {
        for service in SERVICES {
            let index = placements.len();
            let node = name(NodeName::new(&format!("{service}-{zone_name}")));
            placements.push(NodePlacement {
                index,
                node,
                service: name(ServiceName::new(service)),
                zone,
                is_edge: false,
            });
        }
    }
    let index = placements.len();
    let service = name(ServiceName::new(CALLER_SERVICE));
    placements.push(NodePlacement {
        index,
        node: name(NodeName::new("edge")),
        service,
        zone: 0,
        is_edge: true,
    });
    placements
}

/// Unwraps a checked name. All names of the layout are constants that follow the naming rule.
fn name<T, E: std::fmt::Debug>(checked: Result<T, E>) -> T {
    checked.expect("the layout's names follow the naming rule")
}

impl NodePlacement {
    /// Region and zone of the node.
    #[must_use]
    pub fn locality(&self) -> Locality {
        locality(self.zone)
    }

    /// Host of the node's process.
    #[must_use]
    pub fn host(&self) -> IpAddr {
        address(self.zone, self.index, 1)
    }

    /// Host of the node's back end.
    #[must_use]
    pub fn back_end_host(&self) -> IpAddr {
        address(self.zone, self.index, 2)
    }

    /// Address of the control listener.
    #[must_use]
    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.host(), CONTROL_PORT)
    }

    /// Address of the inbound proxy.
    #[must_use]
    pub fn inbound(&self) -> SocketAddr {
        SocketAddr::new(self.host(), INBOUND_PORT)
    }

    /// Address of the outbound proxy.
    #[must_use]
    pub fn outbound(&self) -> SocketAddr {
        SocketAddr::new(self.host(), OUTBOUND_PORT)
    }

    /// Address of the admin listener.
    #[must_use]
    pub fn admin(&self) -> SocketAddr {
        SocketAddr::new(self.host(), ADMIN_PORT)
    }

    /// Address of the back end.
    #[must_use]
    pub fn back_end(&self) -> SocketAddr {
        SocketAddr::new(self.back_end_host(), BACK_END_PORT)
    }
}

/// Returns the region and zone with the index `zone`.
#[must_use]
pub fn locality(zone: usize) -> Locality {
    Locality { region: name(RegionName::new(REGION)), zone: name(ZoneName::new(ZONE_NAMES[zone])) }
}

/// Returns the address `10.zone.node.process`. Zones from 200 on are hosts outside the cluster.
const fn address(zone: usize, node: usize, process: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, zone as u8, node as u8, process))
}

/// Host of the platform.
pub const PLATFORM_HOST: IpAddr = address(200, 0, 1);
/// Host of the operators.
pub const OPERATOR_HOST: IpAddr = address(201, 0, 1);
/// Host of the callers.
pub const CALLER_HOST: IpAddr = address(202, 0, 1);

/// Address of the platform's object API.
pub const PLATFORM: SocketAddr = SocketAddr::new(PLATFORM_HOST, PLATFORM_PORT);

/// One-way delay between two hosts: none within a machine, 1 ms otherwise.
#[must_use]
pub fn delay_between(one: IpAddr, other: IpAddr) -> Millis {
    let (IpAddr::V4(one), IpAddr::V4(other)) = (one, other) else { return Millis(1) };
    let is_same_machine = one.octets()[..3] == other.octets()[..3];
    Millis(u64::from(!is_same_machine))
}

/// The seal key pair of the calling service.
#[must_use]
pub fn caller_key() -> SealKeyPair {
    SealKeyPair::generate(&mut ChaCha8Rng::seed_from_u64(0))
}

/// Localities in which `service` is allowed, in every version of every run.
#[must_use]
pub fn allowed_localities(service: &str) -> Vec<LocalityRule> {
    let zones = if service == RESTRICTED_SERVICE { 0..ZONES - 1 } else { 0..ZONES };
    zones
        .map(|zone| {
            let Locality { region, zone } = locality(zone);
            LocalityRule { region, zone: Some(zone) }
        })
        .collect()
}

/// The first bundle, with all zones and services, the initial routes and the secret.
#[must_use]
pub fn base_bundle() -> Bundle {
    let mut bundle = Bundle::default();
    let zones: BTreeSet<ZoneName> = (0..ZONES).map(|zone| locality(zone).zone).collect();
    bundle.topology.insert(name(RegionName::new(REGION)), sourced(zones));
    let key = caller_key();
    for service in SERVICES.into_iter().chain([CALLER_SERVICE]) {
        let seal_key = (service == CALLER_SERVICE).then(|| key.public());
        let name = name(ServiceName::new(service));
        let allowed = allowed_localities(service);
        let service = Service {
            name: name.clone(),
            allowed,
            slots: SLOTS,
            connections: CONNECTIONS,
            seal_key,
            health_path: None,
            cold_rate: None,
        };
        bundle.services.insert(name, sourced(service));
    }
    for route in [
        route("archive", "archive", "/", true, RequestClass::Status, 2_000),
        route("billing", "billing", "/", false, RequestClass::Transaction, 3_000),
        route("solver", "solver", "/", true, RequestClass::Internal, 5_000),
    ] {
        bundle.routes.insert(route.name.clone(), sourced(route));
    }
    let secret_name = name(SecretName::new(SECRET));
    let value = SecretValue::new(SECRET_VALUE.as_bytes().to_vec());
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let sealed = seal(&secret_name, &value, &key.public(), &mut rng).expect("a short value can be sealed");
    let readers = BTreeMap::from([(name(ServiceName::new(CALLER_SERVICE)), sealed)]);
    bundle.secrets.insert(secret_name.clone(), sourced(Secret { name: secret_name, readers }));
    bundle
}

/// A bundle with one additional route, whose timeout differs between versions.
#[must_use]
pub fn extra_bundle(number: u64) -> Bundle {
    let mut bundle = Bundle::default();
    let route_name = format!("archive-extra-{}", number % 4);
    let prefix = format!("/extra-{}", number % 4);
    let route = route(&route_name, "archive", &prefix, true, RequestClass::Reporting, 1_000 + number);
    bundle.routes.insert(route.name.clone(), sourced(route));
    bundle
}

/// Name under which [`extra_bundle`] is submitted.
#[must_use]
pub fn extra_bundle_name(number: u64) -> BundleName {
    name(BundleName::new(&format!("extra-{}", number % 4)))
}

/// Typed name of the first bundle.
#[must_use]
pub fn base_bundle_name() -> BundleName {
    name(BundleName::new(BASE_BUNDLE))
}

fn route(
    route_name: &str,
    service: &str,
    prefix: &str,
    idempotent: bool,
    class: RequestClass,
    timeout: u64,
) -> Route {
    let credentials = if service == RESTRICTED_SERVICE {
        vec![HeaderCredential { header: "authorization".to_owned(), secret: name(SecretName::new(SECRET)) }]
    } else {
        Vec::new()
    };
    Route {
        name: name(RouteName::new(route_name)),
        service: name(ServiceName::new(service)),
        callers: BTreeSet::from([name(ServiceName::new(CALLER_SERVICE))]),
        path_prefix: prefix.to_owned(),
        methods: BTreeSet::new(),
        idempotent,
        class,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: Millis(timeout),
        credentials,
        access: RouteAccess::default(),
    }
}

fn sourced<T>(value: T) -> Sourced<T> {
    Sourced { origin: Origin { file: "simulation.toml".to_owned(), line: 0 }, value }
}
