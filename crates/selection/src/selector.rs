//! Selects an endpoint among those that a node can call, by service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use umberpond_model::{Locality, NodeName, RouteName, ServiceName};
use umberpond_scheduling::LoadReport;

use crate::choice::{Choice, Query};
use crate::endpoint::{Endpoint, EndpointState, Observation};
use crate::releases::{ReleaseGroup, ReleaseShare, Releases};
use crate::route_times::ServiceTimes;
use crate::sampling::{Candidate, Sampler, SamplingSettings};

/// Service time in seconds that is assumed while no endpoint has reported one.
const UNKNOWN_SERVICE_SECONDS: f64 = 0.1;
/// Assumed ratio of the service time of a cold back end without a report to the mean of the service.
const COLD_FACTOR: f64 = 2.0;
/// Share of occupied slots from which on a back end counts as crowded: its queue may be longer than in the
/// last report.
const CROWDED_SHARE: f64 = 0.75;
/// Shortest objective used in the cost estimate, in seconds.
const SHORTEST_OBJECTIVE_SECONDS: f64 = 0.001;
/// Relative size of the random part of the cost, which keeps nodes with the same information from making the
/// same choice.
const JITTER: f64 = 0.1;

/// Weights of the cost function. The unit of all costs is the cost of a response at the very end of the
/// objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectorSettings {
    /// Cost of an endpoint in another zone while no endpoint has refused the request: traffic between zones
    /// is expensive.
    pub zone_cost: f64,
    /// The same after a refusal: this node's zone may be fuller than others.
    pub zone_cost_after_refusal: f64,
    /// Additional cost of an endpoint in another region.
    pub region_cost: f64,
    /// Cost of a lost response.
    pub failure_cost: f64,
    /// How endpoints are sampled for each selection.
    pub sampling: SamplingSettings,
}

impl Default for SelectorSettings {
    fn default() -> Self {
        Self {
            zone_cost: 0.9,
            zone_cost_after_refusal: 0.3,
            region_cost: 0.5,
            failure_cost: 1.5,
            sampling: SamplingSettings::default(),
        }
    }
}

type Endpoints = BTreeMap<NodeName, EndpointState>;

/// The endpoints of all services, with the load and latency known for each.
#[derive(Debug)]
pub struct Selector {
    own_locality: Locality,
    settings: SelectorSettings,
    services: BTreeMap<ServiceName, Endpoints>,
    releases: BTreeMap<ServiceName, Releases>,
    times: ServiceTimes,
}

impl Selector {
    /// Creates a selector without endpoints for a node in `own_locality`.
    #[must_use]
    pub fn new(own_locality: Locality, settings: SelectorSettings) -> Self {
        Self {
            own_locality,
            settings,
            services: BTreeMap::new(),
            releases: BTreeMap::new(),
            times: ServiceTimes::default(),
        }
    }

    /// Sets the endpoints of `service` that accept new requests; all others are removed.
    pub fn set_endpoints(&mut self, now: Instant, service: &ServiceName, endpoints: Vec<Endpoint>) {
        self.releases.entry(service.clone()).or_default().on_endpoints(now, endpoints.iter());
        let mut before = self.services.remove(service).unwrap_or_default();
        let mut after = Endpoints::new();
        for endpoint in endpoints {
            let node = endpoint.node.clone();
            let state = match before.remove(&node) {
                Some(mut state) => {
                    if state.update(endpoint) {
                        self.times.remove_node(&node);
                    }
                    state
                }
                None => EndpointState::new(endpoint),
            };
            after.insert(node, state);
        }
        if !after.is_empty() {
            self.services.insert(service.clone(), after);
        }
    }

    /// Sets the target release of `service` and its share of the requests.
    pub fn set_release_share(
        &mut self,
        now: Instant,
        random: &mut impl Rng,
        service: &ServiceName,
        share: ReleaseShare,
    ) {
        let releases = self.releases.entry(service.clone()).or_default();
        releases.set_share(share, random);
        let endpoints = self.services.get(service).into_iter().flatten();
        releases.on_endpoints(now, endpoints.map(|(_, state)| &state.endpoint));
    }

    /// Assigns one request of `service` to a release group.
    pub fn assign_release(&mut self, service: &ServiceName) -> ReleaseGroup {
        self.releases.get_mut(service).map_or(ReleaseGroup::Others, Releases::assign)
    }

    /// Services with at least one endpoint.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Number of endpoints of `service`.
    #[must_use]
    pub fn count(&self, service: &ServiceName) -> usize {
        self.services.get(service).map_or(0, BTreeMap::len)
    }

    /// Applies a load report of the back end at `node` whose age is unknown. Its slowdown is ignored, since
    /// that describes only the moment of the report.
    pub fn on_report(&mut self, service: &ServiceName, node: &NodeName, report: LoadReport) {
        if let Some(state) = self.state(service, node) {
            state.on_report(None, report);
        }
    }

    /// Applies a load report that `node` has just sent about its back end.
    pub fn on_fresh_report(
        &mut self,
        now: Instant,
        service: &ServiceName,
        node: &NodeName,
        report: LoadReport,
    ) {
        if let Some(state) = self.state(service, node) {
            state.on_report(Some(now), report);
        }
    }

    /// Samples a few untried endpoints and selects the one with the lowest cost, which is mostly the expected
    /// time to the response plus a preference for near endpoints. Returns `None` if no usable endpoint is
    /// left.
    ///
    /// Load information about other nodes is as old as their last report. If every node selected the best
    /// endpoint of all, all would select the same few until the next report. Random sampling spreads the
    /// requests, and where endpoints are alike two per distance are nearly as good as the best of all
    /// (Mitzenmacher, *The Power of Two Choices in Randomized Load Balancing*). Where some are much faster
    /// than others, both of two may be slow; therefore more are sampled while slots are free, the faster ones
    /// more often.
    pub fn choose(
        &self,
        now: Instant,
        random: &mut impl Rng,
        service: &ServiceName,
        query: Query<'_>,
    ) -> Option<Choice> {
        let endpoints = self.services.get(service)?;
        let typical = typical_service_seconds(endpoints);
        let usable: Vec<&EndpointState> = self.usable(endpoints, now, service, query).collect();
        let candidates =
            if query.tried.is_empty() { thin_out_limited(usable, typical, random) } else { usable };
        let sampled = self.sample(now, candidates.into_iter(), typical, random);
        let costs = sampled.into_iter().map(|state| {
            let estimate = self.estimate(now, state, typical, query);
            let factor = 1.0 + JITTER * random.random::<f64>();
            (estimate.cost * factor, estimate, state)
        });
        let (_cost, estimate, state) = costs.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(self.choice(state, &estimate))
    }

    /// Selects the endpoint for a caller's idempotency key, so that a duplicate of the request reaches the
    /// node that remembers the first one (rendezvous hashing). Returns `None` if no usable endpoint is left.
    pub fn choose_for_key(
        &self,
        now: Instant,
        service: &ServiceName,
        key: &[u8],
        query: Query<'_>,
    ) -> Option<Choice> {
        let endpoints = self.services.get(service)?;
        let typical = typical_service_seconds(endpoints);
        let ranked = self.usable(endpoints, now, service, query);
        let state = ranked.max_by_key(|state| key_weight(key, &state.endpoint.node))?;
        Some(self.choice(state, &self.estimate(now, state, typical, query)))
    }

    /// Records that a request was sent.
    pub fn on_sent(&mut self, service: &ServiceName, node: &NodeName) {
        if let Some(state) = self.state(service, node) {
            state.on_sent();
        }
    }

    /// Records the outcome of a request that was sent.
    pub fn on_ended(
        &mut self,
        now: Instant,
        service: &ServiceName,
        node: &NodeName,
        observation: Observation,
    ) {
        if let Some(state) = self.state(service, node) {
            state.on_ended(now, observation);
        }
    }

    /// Records service time and overhead of a request of `route` that got a response. Must be called after
    /// the load report of the response was applied, which contains the speed of the back end.
    pub fn on_response_times(
        &mut self,
        now: Instant,
        service: &ServiceName,
        route: &RouteName,
        node: &NodeName,
        times: ResponseTimes,
    ) {
        let Some(state) = self.state(service, node) else { return };
        state.on_overhead(times.overhead);
        let usual = times.served.div_f64(state.slowdown_factor(now));
        self.times.record(route, node, usual);
    }

    /// The endpoints that were not tried, are in a region where the request may be served, are reachable, and
    /// belong to a release that may get the request.
    fn usable<'a>(
        &'a self,
        endpoints: &'a Endpoints,
        now: Instant,
        service: &ServiceName,
        query: Query<'a>,
    ) -> impl Iterator<Item = &'a EndpointState> {
        let releases = self.releases.get(service);
        let is_allowed = move |state: &&EndpointState| {
            releases.is_none_or(|releases| releases.allows(now, query.group, &state.endpoint))
        };
        let untried = endpoints.values().filter(move |state| !query.tried.contains(&state.endpoint.node));
        let is_home = move |state: &&EndpointState| query.homes.allow(&state.endpoint.locality.region);
        untried.filter(is_home).filter(move |state| state.is_reachable(now)).filter(is_allowed)
    }

    /// Samples endpoints of each distance.
    fn sample<'a>(
        &self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a EndpointState>,
        typical: f64,
        random: &mut impl Rng,
    ) -> Vec<&'a EndpointState> {
        let settings = &self.settings.sampling;
        if !settings.is_by_speed() {
            let by_distance = self.by_distance(endpoints, |state| state);
            let sampled =
                by_distance.into_iter().flat_map(|near| near.into_iter().sample(random, settings.count));
            return sampled.collect();
        }
        let candidates: Vec<Candidate<&EndpointState>> =
            endpoints.map(|state| candidate(now, state, typical)).collect();
        let sampler = Sampler::for_candidates(&candidates, settings);
        let by_distance = self.by_distance(candidates, |candidate| candidate.endpoint);
        by_distance.into_iter().flat_map(|near| sampler.sample(near, random)).collect()
    }

    /// Groups items by the distance of their endpoints.
    fn by_distance<'a, I>(
        &self,
        items: impl IntoIterator<Item = I>,
        endpoint_of: impl Fn(&I) -> &'a EndpointState,
    ) -> [Vec<I>; Distance::COUNT] {
        let mut by_distance: [Vec<I>; Distance::COUNT] = std::array::from_fn(|_| Vec::new());
        for item in items {
            by_distance[self.distance(&endpoint_of(&item).endpoint.locality) as usize].push(item);
        }
        by_distance
    }

    fn state(&mut self, service: &ServiceName, node: &NodeName) -> Option<&mut EndpointState> {
        self.services.get_mut(service)?.get_mut(node)
    }

    /// Estimates the cost of an endpoint. A response well within the objective costs little even if another
    /// endpoint would be much faster; towards the end of the objective and beyond it the cost grows
    /// quadratically.
    fn estimate(&self, now: Instant, state: &EndpointState, typical: f64, query: Query<'_>) -> Estimate {
        let mean = mean_seconds(state, typical);
        let of_route = self.times.expected(query.route, &state.endpoint.node, mean / typical);
        let service = of_route.unwrap_or(mean);
        let slowdown = state.slowdown_factor(now);
        let slot_wait = expected_wait(state.estimated_load(), state.slots(), mean) * slowdown;
        let limit_wait = state.limit_wait_seconds(now);
        let wait = slot_wait.max(limit_wait);
        let time = wait + service * slowdown + state.overhead_seconds();
        let share = time / query.objective.as_secs_f64().max(SHORTEST_OBJECTIVE_SECONDS);
        let lateness = share.powi(2);
        let failures = state.decayed_failures(now).min(1.0).max(state.failed_share());
        let failing = failures * self.settings.failure_cost;
        let cost = lateness + failing + self.distance_cost(&state.endpoint.locality, query);
        Estimate { cost, wait, service, time, may_start: limit_wait <= 0.0 }
    }

    fn choice(&self, state: &EndpointState, estimate: &Estimate) -> Choice {
        Choice {
            node: state.endpoint.node.clone(),
            address: state.endpoint.address,
            has_free_slot: state.estimated_load() + 1.0 <= state.slots() && estimate.may_start,
            is_same_zone: self.distance(&state.endpoint.locality) == Distance::SameZone,
            instance: state.endpoint.instance.clone(),
            service: Duration::from_secs_f64(estimate.service),
            wait: Duration::from_secs_f64(estimate.wait),
            total: Duration::from_secs_f64(estimate.time),
        }
    }

    fn distance(&self, locality: &Locality) -> Distance {
        if *locality == self.own_locality {
            Distance::SameZone
        } else if locality.region == self.own_locality.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    fn distance_cost(&self, locality: &Locality, query: Query<'_>) -> f64 {
        let is_first = query.tried.is_empty();
        let zone_cost =
            if is_first { self.settings.zone_cost } else { self.settings.zone_cost_after_refusal };
        match self.distance(locality) {
            Distance::SameZone => 0.0,
            Distance::SameRegion => zone_cost,
            Distance::OtherRegion => zone_cost + self.settings.region_cost,
        }
    }
}

/// Distance of an endpoint from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Distance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

impl Distance {
    const COUNT: usize = 3;
}

/// Durations of a request that got a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimes {
    /// Service time in the back end.
    pub served: Duration,
    /// Time outside the back end and its queue.
    pub overhead: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Estimate {
    cost: f64,
    wait: f64,
    service: f64,
    time: f64,
    /// Whether the request limit lets a request start immediately.
    may_start: bool,
}

/// Leaves out endpoints with a request limit at random, so that each gets requests in proportion to the slots that
/// it can use. The limit is shared with other nodes, whose requests this node doesn't know. Keeps all endpoints
/// if none would be left.
fn thin_out_limited<'a>(
    endpoints: Vec<&'a EndpointState>,
    typical: f64,
    random: &mut impl Rng,
) -> Vec<&'a EndpointState> {
    let mut is_kept = |state: &EndpointState| {
        let share = state.usable_share(mean_seconds(state, typical));
        share >= 1.0 || random.random::<f64>() < share
    };
    let kept: Vec<&EndpointState> = endpoints.iter().copied().filter(|state| is_kept(state)).collect();
    if kept.is_empty() { endpoints } else { kept }
}

fn candidate(now: Instant, state: &EndpointState, typical: f64) -> Candidate<&EndpointState> {
    Candidate {
        endpoint: state,
        seconds: mean_seconds(state, typical) * state.slowdown_factor(now),
        free_share: (1.0 - state.estimated_load() / state.slots()).max(0.0),
    }
}

/// Mean service time of an endpoint in seconds; if it has not reported one, a default derived from `typical`,
/// the mean over the others.
fn mean_seconds(state: &EndpointState, typical: f64) -> f64 {
    let cold = if state.endpoint.is_cold { COLD_FACTOR } else { 1.0 };
    state.service_seconds().unwrap_or(typical * cold)
}

/// Mean service time over the endpoints that have reported one, in seconds.
fn typical_service_seconds(endpoints: &Endpoints) -> f64 {
    let known: Vec<f64> = endpoints.values().filter_map(EndpointState::service_seconds).collect();
    if known.is_empty() {
        return UNKNOWN_SERVICE_SECONDS;
    }
    let count = f64::from(u32::try_from(known.len()).unwrap_or(u32::MAX));
    known.iter().sum::<f64>() / count
}

/// Expected wait for a slot in seconds. It increases from an occupancy of [`CROWDED_SHARE`] on, since the
/// reported load is already outdated.
fn expected_wait(held: f64, slots: f64, service: f64) -> f64 {
    let per_slot = service / slots;
    let over = (held + 1.0 - slots).max(0.0);
    let crowded =
        ((held + 1.0) / slots - CROWDED_SHARE).clamp(0.0, 1.0 - CROWDED_SHARE) / (1.0 - CROWDED_SHARE);
    per_slot * (over + crowded)
}

/// Weight of a node for a key; every node computes the same value.
fn key_weight(key: &[u8], node: &NodeName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(node.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
