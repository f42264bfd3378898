//! All endpoints that a node can call, by service.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use umberpond_model::{Locality, NodeName, RouteName, ServiceName};
use umberpond_scheduling::LoadReport;

use crate::choice::{Choice, Query};
use crate::draw::{Candidate, Draw, SamplingSettings};
use crate::endpoint::{Endpoint, Observation, Tracked};
use crate::releases::{ReleaseGroup, ReleaseShare, Releases};
use crate::route_times::ServiceTimes;

/// Assumed service time in seconds while nothing is known of any endpoint.
const UNKNOWN_SERVICE_SECONDS: f64 = 0.1;
/// How much slower a back end is taken to be that has just started and has told nothing yet.
const COLD_FACTOR: f64 = 2.0;
/// Share of the slots from which on a back end counts as crowded: its queue may be longer than the last report told.
const CROWDED_SHARE: f64 = 0.75;
/// Shortest objective reckoned with, in seconds.
const SHORTEST_OBJECTIVE_SECONDS: f64 = 0.001;
/// Relative size of the random part, which keeps nodes with the same knowledge from choosing alike.
const JITTER: f64 = 0.1;

/// Weights of the choice. The unit of all costs is that of an answer at the very end of the objective.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SelectorSettings {
    /// Cost of an endpoint in another zone, as long as none has refused the request: bytes between zones are dear.
    pub zone_cost: f64,
    /// The same once one has: the own zone may be fuller than others.
    pub zone_cost_after_refusal: f64,
    /// Cost of an endpoint in another region, on top.
    pub region_cost: f64,
    /// Cost of an answer that is lost.
    pub failure_cost: f64,
    /// Which endpoints are drawn at random for one choice.
    pub draw: SamplingSettings,
}

impl Default for SelectorSettings {
    fn default() -> Self {
        Self {
            zone_cost: 0.9,
            zone_cost_after_refusal: 0.3,
            region_cost: 0.5,
            failure_cost: 1.5,
            draw: SamplingSettings::default(),
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
    releases: BTreeMap<ServiceName, Releases>,
    times: ServiceTimes,
}

impl Selector {
    /// A selector of a node at `own` that knows no endpoint.
    #[must_use]
    pub fn new(own: Locality, settings: SelectorSettings) -> Self {
        Self {
            own,
            settings,
            services: BTreeMap::new(),
            releases: BTreeMap::new(),
            times: ServiceTimes::default(),
        }
    }

    /// Sets the endpoints of `service` that take new work; all others of it are forgotten.
    pub fn set_endpoints(&mut self, now: Instant, service: &ServiceName, endpoints: Vec<Endpoint>) {
        self.releases.entry(service.clone()).or_default().on_endpoints(now, endpoints.iter());
        let mut before = self.services.remove(service).unwrap_or_default();
        let mut after = Endpoints::new();
        for endpoint in endpoints {
            let node = endpoint.node.clone();
            let tracked = match before.remove(&node) {
                Some(mut tracked) => {
                    if tracked.update(endpoint) {
                        self.times.forget(&node);
                    }
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

    /// Sets the share of a release in the requests of `service`.
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
        releases.on_endpoints(now, endpoints.map(|(_, tracked)| &tracked.endpoint));
    }

    /// Deals one request of `service` to the releases that may get it.
    pub fn assign_release(&mut self, service: &ServiceName) -> ReleaseGroup {
        self.releases.get_mut(service).map_or(ReleaseGroup::Others, Releases::deal)
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

    /// Takes in what the node `node` told of the load of its back end. How old that is isn't known, so what it tells of this moment's
    /// slowness doesn't count.
    pub fn on_report(&mut self, service: &ServiceName, node: &NodeName, report: LoadReport) {
        if let Some(tracked) = self.tracked(service, node) {
            tracked.on_report(None, report);
        }
    }

    /// Takes in what the node `node` has told just now of the load of its back end.
    pub fn on_fresh_report(
        &mut self,
        now: Instant,
        service: &ServiceName,
        node: &NodeName,
        report: LoadReport,
    ) {
        if let Some(tracked) = self.tracked(service, node) {
            tracked.on_report(Some(now), report);
        }
    }

    /// Of a few endpoints drawn at random the one from which an answer is expected first, a preference for near ones
    /// included; absent if none is left that was not tried.
    ///
    /// What is known of other nodes' load is as old as their last word. If every node took the best of all, all would choose
    /// the same few until the next word; a draw spreads them, and two of each distance are nearly as good as the best
    /// (Mitzenmacher, *The Power of Two Choices in Randomized Load Balancing*) where all are alike. Where some are much faster than others,
    /// two may both be slow: more are drawn while slots are free, the faster ones more often.
    pub fn choose(
        &self,
        now: Instant,
        random: &mut impl Rng,
        service: &ServiceName,
        query: Query<'_>,
    ) -> Option<Choice> {
        let endpoints = self.services.get(service)?;
        let typical = typical_service_seconds(endpoints);
        let usable = self.usable(endpoints, now, service, query);
        let drawn = self.draw(now, usable, typical, random);
        let costs = drawn.into_iter().map(|tracked| {
            let estimate = self.estimate(now, tracked, typical, query);
            let factor = 1.0 + JITTER * random.random::<f64>();
            (estimate.cost * factor, estimate, tracked)
        });
        let (_cost, estimate, tracked) = costs.min_by(|left, right| left.0.total_cmp(&right.0))?;
        Some(self.choice(tracked, &estimate))
    }

    /// The endpoint to which a caller's own key belongs, so that a repetition of the request meets the node that
    /// remembers it (rendezvous hashing); absent if none is left that was not tried.
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
        let tracked = ranked.max_by_key(|tracked| key_weight(key, &tracked.endpoint.node))?;
        Some(self.choice(tracked, &self.estimate(now, tracked, typical, query)))
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

    /// Takes in how long an answered request of `route` took in the back end, and how long outside it and its queue. It comes after the
    /// answer's load report, which tells at which speed the back end worked.
    pub fn on_response_times(
        &mut self,
        now: Instant,
        service: &ServiceName,
        route: &RouteName,
        node: &NodeName,
        times: ResponseTimes,
    ) {
        let Some(tracked) = self.tracked(service, node) else { return };
        tracked.on_overhead(times.overhead);
        let usual = times.served.div_f64(tracked.slowdown_factor(now));
        self.times.record(route, node, usual);
    }

    /// The endpoints that were not tried, are in a region where the request may be served, can be reached, and are of a release that may get the request.
    fn usable<'a>(
        &'a self,
        endpoints: &'a Endpoints,
        now: Instant,
        service: &ServiceName,
        query: Query<'a>,
    ) -> impl Iterator<Item = &'a Tracked> {
        let releases = self.releases.get(service);
        let is_allowed = move |tracked: &&Tracked| {
            releases.is_none_or(|releases| releases.allows(now, query.group, &tracked.endpoint))
        };
        let untried = endpoints.values().filter(move |tracked| !query.tried.contains(&tracked.endpoint.node));
        let is_home = move |tracked: &&Tracked| query.homes.allow(&tracked.endpoint.locality.region);
        untried.filter(is_home).filter(move |tracked| tracked.is_reachable(now)).filter(is_allowed)
    }

    /// Some endpoints of each distance.
    fn draw<'a>(
        &self,
        now: Instant,
        endpoints: impl Iterator<Item = &'a Tracked>,
        typical: f64,
        random: &mut impl Rng,
    ) -> Vec<&'a Tracked> {
        let settings = &self.settings.draw;
        if !settings.is_by_speed() {
            let by_distance = self.by_distance(endpoints, |tracked| tracked);
            let drawn =
                by_distance.into_iter().flat_map(|near| near.into_iter().sample(random, settings.count));
            return drawn.collect();
        }
        let candidates: Vec<Candidate<&Tracked>> =
            endpoints.map(|tracked| candidate(now, tracked, typical)).collect();
        let draw = Draw::among(&candidates, settings);
        let by_distance = self.by_distance(candidates, |candidate| candidate.endpoint);
        by_distance.into_iter().flat_map(|near| draw.draw(near, random)).collect()
    }

    /// The items by the distance of their endpoints.
    fn by_distance<'a, I>(
        &self,
        items: impl IntoIterator<Item = I>,
        endpoint_of: impl Fn(&I) -> &'a Tracked,
    ) -> [Vec<I>; Distance::COUNT] {
        let mut by_distance: [Vec<I>; Distance::COUNT] = std::array::from_fn(|_| Vec::new());
        for item in items {
            by_distance[self.distance(&endpoint_of(&item).endpoint.locality) as usize].push(item);
        }
        by_distance
    }

    fn tracked(&mut self, service: &ServiceName, node: &NodeName) -> Option<&mut Tracked> {
        self.services.get_mut(service)?.get_mut(node)
    }

    /// An answer well inside the objective costs little, however much faster another one would be; towards the end of
    /// the objective and beyond it the cost grows.
    fn estimate(&self, now: Instant, tracked: &Tracked, typical: f64, query: Query<'_>) -> Estimate {
        let mean = mean_seconds(tracked, typical);
        let of_route = self.times.expected(query.route, &tracked.endpoint.node, mean / typical);
        let service = of_route.unwrap_or(mean);
        let slowdown = tracked.slowdown_factor(now);
        let wait = expected_wait(tracked.held(), tracked.slots(), mean) * slowdown;
        let time = wait + service * slowdown + tracked.overhead_seconds();
        let share = time / query.objective.as_secs_f64().max(SHORTEST_OBJECTIVE_SECONDS);
        let lateness = share.powi(2);
        let failures = tracked.failures_now(now).min(1.0).max(tracked.failed_share());
        let failing = failures * self.settings.failure_cost;
        let cost = lateness + failing + self.distance_cost(&tracked.endpoint.locality, query);
        Estimate { cost, wait, service, time }
    }

    fn choice(&self, tracked: &Tracked, estimate: &Estimate) -> Choice {
        Choice {
            node: tracked.endpoint.node.clone(),
            address: tracked.endpoint.address,
            has_free_slot: tracked.held() + 1.0 <= tracked.slots(),
            is_near: self.distance(&tracked.endpoint.locality) == Distance::Zone,
            instance: tracked.endpoint.instance.clone(),
            service: Duration::from_secs_f64(estimate.service),
            wait: Duration::from_secs_f64(estimate.wait),
            total: Duration::from_secs_f64(estimate.time),
        }
    }

    fn distance(&self, locality: &Locality) -> Distance {
        if *locality == self.own {
            Distance::Zone
        } else if locality.region == self.own.region {
            Distance::Region
        } else {
            Distance::Abroad
        }
    }

    fn distance_cost(&self, locality: &Locality, query: Query<'_>) -> f64 {
        let is_first = query.tried.is_empty();
        let zone_cost =
            if is_first { self.settings.zone_cost } else { self.settings.zone_cost_after_refusal };
        match self.distance(locality) {
            Distance::Zone => 0.0,
            Distance::Region => zone_cost,
            Distance::Abroad => zone_cost + self.settings.region_cost,
        }
    }
}

/// How far an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Distance {
    /// In the own zone.
    Zone,
    /// In another zone of the own region.
    Region,
    /// In another region.
    Abroad,
}

impl Distance {
    const COUNT: usize = 3;
}

/// How long an answered request took.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimes {
    /// Time in the back end.
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
}

fn candidate(now: Instant, tracked: &Tracked, typical: f64) -> Candidate<&Tracked> {
    Candidate {
        endpoint: tracked,
        seconds: mean_seconds(tracked, typical) * tracked.slowdown_factor(now),
        free_share: (1.0 - tracked.held() / tracked.slots()).max(0.0),
    }
}

/// Mean service time of an endpoint in seconds, or what is to be assumed of it where the mean of the others is `typical`.
fn mean_seconds(tracked: &Tracked, typical: f64) -> f64 {
    let cold = if tracked.endpoint.is_cold { COLD_FACTOR } else { 1.0 };
    tracked.service_seconds().unwrap_or(typical * cold)
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

/// Weight of a node for a key: the same on every node that asks.
fn key_weight(key: &[u8], node: &NodeName) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(key);
    hasher.update(node.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(first)
}
