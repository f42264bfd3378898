//! All endpoints that a node can call, by service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::{Rng, RngExt};
use umberpond_model::{Locality, NodeName, ServiceName};
use umberpond_scheduling::LoadReport;

use crate::choice::{Choice, Query};
use crate::endpoint::{Endpoint, Observation, Tracked};

/// Assumed service time in seconds while nothing is known of any endpoint.
const UNKNOWN_SERVICE_SECONDS: f64 = 0.1;
/// How much slower a back end is taken to be that has just started and has told nothing yet.
const COLD_FACTOR: f64 = 2.0;
/// Share of the slots from which on a back end counts as crowded: its queue may be longer than the last report told.
const CROWDED_SHARE: f64 = 0.75;
/// Relative size of the random part, which keeps nodes with the same knowledge from choosing alike.
const JITTER: f64 = 0.1;

/// Weights of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectorSettings {
    /// Share of the objective by which an endpoint in the caller's own zone may be slower than one elsewhere and is
    /// still preferred: an answer within the objective is as good as an earlier one, and bytes between zones are dear.
    pub zone_preference: f64,
    /// Time by which an endpoint in the caller's own region may be slower than one elsewhere and is still preferred.
    pub region_preference: Duration,
    /// Time that one lost answer costs.
    pub failure_cost: Duration,
}

impl Default for SelectorSettings {
    fn default() -> Self {
        Self {
            zone_preference: 0.25,
            region_preference: Duration::from_millis(30),
            failure_cost: Duration::from_millis(500),
        }
    }
}

type Endpoints = BTreeMap<NodeName, Tracked>;

/// The endpoints by service and node.
#[derive(Debug)]
pub struct Selector {
    own: Locality,
    settings: SelectorSettings,
    services: BTreeMap<ServiceName, Endpoints>,
}

impl Selector {
    /// A selector of a node at `own` that knows no endpoint.
    #[must_use]
    pub const fn new(own: Locality, settings: SelectorSettings) -> Self {
        Self { own, settings, services: BTreeMap::new() }
    }

    /// Sets the endpoints of `service` that take new work; all others of it are forgotten.
    pub fn set_endpoints(&mut self, service: &ServiceName, endpoints: Vec<Endpoint>) {
        let mut before = self.services.remove(service).unwrap_or_default();
        let mut after = Endpoints::new();
        for endpoint in endpoints {
            let node = endpoint.node.clone();
            let tracked = match before.remove(&node) {
                Some(mut tracked) => {
                    tracked.update(endpoint);
                    tracked
                }
                None => Tracked::new(endpoint),
            };
            after.insert(node, tracked);
        }
        if !after.is_empty() {
            self.services.insert(service.clone(), after);
        }
    }

    /// Services with at least one endpoint.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Count of the endpoints of `service`.
    #[must_use]
    pub fn count(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, BTreeMap::len)
    }

    /// Takes in what the node `node` told of the load of its back end.
    pub fn on_report(&mut self, service: &ServiceName, node: &NodeName, report: LoadReport) {
        if let Some(tracked) = self.tracked(service, node) {
            tracked.on_report(report);
        }
    }

    /// The endpoint from which an answer is expected first, a preference for near ones included; absent if none is
    /// left that was not tried.
    pub fn choose(
        &self,
        now: Instant,
        random: &mut impl Rng,
        service: &ServiceName,
        query: Query<'_>,
    ) -> Option<Choice> {
        let endpoints = self.services.get(service)?;
        let typical = typical_service_seconds(endpoints);
        let untried = endpoints.values().filter(|tracked| !query.tried.contains(&tracked.endpoint.node));
        let reachable = untried.filter(|tracked| tracked.is_reachable(now));
        let costs = reachable.map(|tracked| {
            let estimate = self.estimate(now, tracked, typical, query.objective);
            let factor = 1.0 + JITTER * random.random::<f64>();
            (estimate.cost * factor, estimate, tracked)
        });
        let (_cost, estimate, tracked) = costs.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(Choice {
            node: tracked.endpoint.node.clone(),
            address: tracked.endpoint.address,
            instance: tracked.endpoint.instance.clone(),
            expected: Duration::from_secs_f64(estimate.wait + estimate.service),
            expected_wait: Duration::from_secs_f64(estimate.wait),
        })
    }

    /// Takes in that a request was sent.
    pub fn on_sent(&mut self, service: &ServiceName, node: &NodeName) {
        if let Some(tracked) = self.tracked(service, node) {
            tracked.on_sent();
        }
    }

    /// Takes in how a request that was sent has ended.
    pub fn on_ended(
        &mut self,
        now: Instant,
        service: &ServiceName,
        node: &NodeName,
        observation: Observation,
    ) {
        if let Some(tracked) = self.tracked(service, node) {
            tracked.on_ended(now, observation);
        }
    }

    /// Takes in the time that an answered request spent outside the back end and its queue.
    pub fn on_overhead(&mut self, service: &ServiceName, node: &NodeName, overhead: Duration) {
        if let Some(tracked) = self.tracked(service, node) {
            tracked.on_overhead(overhead);
        }
    }

    fn tracked(&mut self, service: &ServiceName, node: &NodeName) -> Option<&mut Tracked> {
        self.services.get_mut(service)?.get_mut(node)
    }

    fn estimate(&self, now: Instant, tracked: &Tracked, typical: f64, objective: Duration) -> Estimate {
        let cold = if tracked.endpoint.is_cold { COLD_FACTOR } else { 1.0 };
        let service = tracked.service_seconds().unwrap_or(typical * cold);
        let wait = expected_wait(tracked.held(), tracked.slots(), service);
        let failures = tracked.failures_now(now).min(1.0).max(tracked.failed_share());
        let failing = failures * self.settings.failure_cost.as_secs_f64();
        let distance = self.distance(&tracked.endpoint.locality, objective);
        let cost = wait + service + tracked.overhead_seconds() + failing + distance;
        Estimate { cost, wait, service }
    }

    fn distance(&self, locality: &Locality, objective: Duration) -> f64 {
        if *locality == self.own {
            return 0.0;
        }
        let zone = objective.as_secs_f64() * self.settings.zone_preference;
        if locality.region == self.own.region {
            zone
        } else {
            zone + self.settings.region_preference.as_secs_f64()
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    cost: f64,
    wait: f64,
    service: f64,
}

/// Mean over the endpoints that have told their service time.
fn typical_service_seconds(endpoints: &Endpoints) -> f64 {
    let known: Vec<f64> = endpoints.values().filter_map(Tracked::service_seconds).collect();
    if known.is_empty() {
        return UNKNOWN_SERVICE_SECONDS;
    }
    let count = f64::from(u32::try_from(known.len()).unwrap_or(u32::MAX));
    known.iter().sum::<f64>() / count
}

/// Expected wait for a slot. It grows from [`CROWDED_SHARE`] on, since the load told is already past.
fn expected_wait(held: f64, slots: f64, service: f64) -> f64 {
    let per_slot = service / slots;
    let over = (held + 1.0 - slots).max(0.0);
    let crowded =
        ((held + 1.0) / slots - CROWDED_SHARE).clamp(0.0, 1.0 - CROWDED_SHARE) / (1.0 - CROWDED_SHARE);
    per_slot * (over + crowded)
}
