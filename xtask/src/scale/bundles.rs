//! The bundles of a scale run: localities and services in one, the routes in groups; a change sets one route's
//! timeout.

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, RngExt};
use umberpond_config::{Bundle, Origin, RequestClass, Route, RoutePolicy, Service, Sourced};
use umberpond_hollow::Places;
use umberpond_model::{BundleName, LocalityRule, Millis, RouteName};

use crate::error::XtaskError;

/// Services that each service calls.
const CALLED_SERVICES: usize = 5;

/// Step from one called service to the next; prime, so that the calls spread.
const CALL_STRIDE: usize = 83;

/// Bundles that the routes are spread over.
const ROUTE_BUNDLES: usize = 16;

const SLOTS: u32 = 20;
const CONNECTIONS: u32 = 130;
const FIRST_TIMEOUT: Millis = Millis(1_000);

/// Timeouts that a change picks from, in milliseconds.
const CHANGED_TIMEOUTS: std::ops::Range<u64> = 500..5_000;

/// The bundles as they should be in force.
#[derive(Debug)]
pub struct BundleSet {
    bundles: BTreeMap<BundleName, Bundle>,
    changeable: Vec<BundleName>,
}

impl BundleSet {
    /// The first bundles of a run.
    ///
    /// # Errors
    /// Never: the made names follow the naming rule.
    pub fn new(places: &Places) -> Result<Self, XtaskError> {
        let mut bundles = BTreeMap::from([(BundleName::new("services")?, services(places)?)]);
        let mut changeable = Vec::new();
        for group in 0..ROUTE_BUNDLES.min(places.services) {
            let name = BundleName::new(&format!("routes-{group}"))?;
            bundles.insert(name.clone(), routes(places, group)?);
            changeable.push(name);
        }
        Ok(Self { bundles, changeable })
    }

    /// Names and bytes in the order in which they have to be submitted: the routes name the services.
    pub fn first_submissions(&self) -> Vec<(&BundleName, Vec<u8>)> {
        let is_route_bundle = |name: &BundleName| self.changeable.contains(name);
        let mut submissions: Vec<_> = self.bundles.iter().collect();
        submissions.sort_by_key(|(name, _)| is_route_bundle(name));
        submissions.into_iter().map(|(name, bundle)| (name, bundle.to_bytes())).collect()
    }

    /// Changes one route; tells the bundle to submit.
    pub fn change(&mut self, rng: &mut impl Rng) -> Option<(&BundleName, Vec<u8>)> {
        let name = self.changeable.get(rng.random_range(0..self.changeable.len()))?;
        let bundle = self.bundles.get_mut(name)?;
        let chosen = rng.random_range(0..bundle.routes.len());
        let route = bundle.routes.values_mut().nth(chosen)?;
        route.value.timeout = Millis(rng.random_range(CHANGED_TIMEOUTS));
        Some((name, bundle.to_bytes()))
    }
}

fn services(places: &Places) -> Result<Bundle, XtaskError> {
    let mut bundle = Bundle::default();
    let topology = places.topology()?;
    let allowed: Vec<LocalityRule> =
        topology.keys().map(|region| LocalityRule { region: region.clone(), zone: None }).collect();
    for (region, zones) in topology {
        bundle.topology.insert(region, sourced("localities", zones));
    }
    for number in 0..places.services {
        let name = Places::service(number)?;
        let service = Service {
            name: name.clone(),
            allowed: allowed.clone(),
            slots: SLOTS,
            connections: CONNECTIONS,
            seal_key: None,
            health_path: None,
        };
        bundle.services.insert(name, sourced("services", service));
    }
    Ok(bundle)
}

fn routes(places: &Places, group: usize) -> Result<Bundle, XtaskError> {
    let mut bundle = Bundle::default();
    for number in (group..places.services).step_by(ROUTE_BUNDLES) {
        for call in 0..CALLED_SERVICES {
            let route = route(places, number, call)?;
            bundle.routes.insert(route.name.clone(), sourced("routes", route));
        }
    }
    Ok(bundle)
}

fn route(places: &Places, number: usize, call: usize) -> Result<Route, XtaskError> {
    let caller = Places::service(number)?;
    Ok(Route {
        name: RouteName::new(&format!("{caller}-calls-{call}"))?,
        service: Places::service((number + 1 + call * CALL_STRIDE) % places.services)?,
        callers: BTreeSet::from([caller]),
        path_prefix: format!("/{call}"),
        methods: BTreeSet::from(["GET".to_owned()]),
        idempotent: call != 0,
        class: RequestClass::Status,
        host: None,
        split: Vec::new(),
        policy: RoutePolicy::default(),
        timeout: FIRST_TIMEOUT,
        credentials: Vec::new(),
    })
}

fn sourced<T>(file: &str, value: T) -> Sourced<T> {
    Sourced { origin: Origin { file: file.to_owned(), line: 0 }, value }
}
