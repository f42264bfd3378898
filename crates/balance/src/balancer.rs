//! The balancer of one target service: members, the list that picks are made from, and ejection.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use parking_lot::{Mutex, RwLock};
use rand::Rng;
use thiserror::Error;
use umberpond_model::{Locality, NodeName, Timestamp};

use crate::choice::{Candidate, Choice};
use crate::endpoint::{Availability, Change, Endpoint};
use crate::key_ring::{KeyedEndpoints, hash_bytes};
use crate::load::TypicalLoad;
use crate::spill::{SpillState, Tier};
use crate::{AllowedEndpoint, BalancerSettings, EndpointReport, Observation, Picked};

/// Why no endpoint could be picked. Nothing was sent, so the request was rejected before execution.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoEndpoint {
    /// No endpoint in an allowed locality is ready.
    #[error("no endpoint in an allowed locality is ready")]
    NoneReady,
    /// Every ready endpoint was excluded or is just being probed.
    #[error("every ready endpoint was tried already or is being probed")]
    AllExcluded,
}

/// One endpoint's state, for status pages and tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// The node beside the endpoint.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Requests of this node that it holds.
    pub outstanding: u32,
    /// Whether it is among the endpoints that picks are made from.
    pub pickable: bool,
    /// End of its ejection, if it is ejected.
    pub ejected_until: Option<Timestamp>,
}

/// Chooses endpoints of one service for one calling node. Cloning shares the state.
#[derive(Debug, Clone)]
pub struct Balancer {
    shared: Arc<Shared>,
}

/// State behind a balancer. Lock order: `members`, then one endpoint's own lock, then `pick_set`.
#[derive(Debug)]
pub(crate) struct Shared {
    own: Locality,
    settings: BalancerSettings,
    members: Mutex<Members>,
    pick_set: RwLock<Arc<PickSet>>,
    spill: [SpillState; Tier::COUNT],
    typical: TypicalLoad,
    cursor: AtomicUsize,
    next_rebuild: AtomicU64,
    next_latency_check: AtomicU64,
}

#[derive(Debug, Default)]
struct Members {
    by_node: BTreeMap<NodeName, Arc<Endpoint>>,
    has_been_filled: bool,
}

/// Immutable lists that picks are made from, replaced as a whole.
#[derive(Debug, Default)]
struct PickSet {
    /// Ready endpoints that are not ejected, by distance.
    tiers: [Vec<Arc<Endpoint>>; Tier::COUNT],
    /// Ready endpoints of the own region (of all if it has none), ejected ones included, for keyed picks.
    keyed: KeyedEndpoints,
}

impl Balancer {
    /// A balancer without endpoints for a node that runs in `own`.
    #[must_use]
    pub fn new(own: Locality, settings: BalancerSettings) -> Self {
        let shared = Shared {
            own,
            settings,
            members: Mutex::default(),
            pick_set: RwLock::default(),
            spill: Default::default(),
            typical: TypicalLoad::default(),
            cursor: AtomicUsize::new(0),
            next_rebuild: AtomicU64::new(u64::MAX),
            next_latency_check: AtomicU64::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Replaces the endpoints. Those that stay (same node, incarnation and address) keep their state; an older
    /// record of a known process changes nothing; a process that joins later starts cold.
    ///
    /// When the allowed localities shrink, call this before the routing table that relies on it is put in force.
    pub fn update(&self, now: Timestamp, endpoints: Vec<AllowedEndpoint>) {
        self.shared.update(now, &endpoints);
    }

    /// Picks an endpoint for one attempt. `excluded` names the nodes that earlier attempts have tried.
    ///
    /// # Errors
    /// Returns [`NoEndpoint`] when no allowed endpoint can take the request; never a disallowed one.
    pub fn pick<R: Rng + ?Sized>(
        &self,
        now: Timestamp,
        rng: &mut R,
        excluded: &[NodeName],
    ) -> Result<Picked, NoEndpoint> {
        self.shared.rebuild_if_due(now);
        let set = self.shared.current();
        let endpoint = self.shared.choose(&set, now, rng, excluded).ok_or_else(|| set.reason())?;
        Ok(Picked::new(Arc::clone(&self.shared), endpoint))
    }

    /// Picks the endpoint that `key` belongs to (consistent hashing over the ready endpoints of the own region, or
    /// of all allowed regions if it has none), so that a repeated idempotency key meets the same inbound gate
    /// while the membership stays. Load, ejection and slow start don't move a key; `excluded` does.
    ///
    /// # Errors
    /// Returns [`NoEndpoint`] when no allowed endpoint can take the request.
    pub fn pick_for_key(
        &self,
        now: Timestamp,
        key: &[u8],
        excluded: &[NodeName],
    ) -> Result<Picked, NoEndpoint> {
        self.shared.rebuild_if_due(now);
        let set = self.shared.current();
        let endpoint = set.keyed.choose(hash_bytes(key), excluded).ok_or_else(|| set.reason())?;
        Ok(Picked::new(Arc::clone(&self.shared), Arc::clone(endpoint)))
    }

    /// State of every endpoint, by node name.
    #[must_use]
    pub fn endpoints(&self, now: Timestamp) -> Vec<EndpointView> {
        let members = self.shared.members.lock();
        members.by_node.values().map(|endpoint| view(endpoint, now)).collect()
    }
}

fn view(endpoint: &Endpoint, now: Timestamp) -> EndpointView {
    let availability = endpoint.availability(now);
    EndpointView {
        node: endpoint.node.clone(),
        locality: endpoint.locality.clone(),
        outstanding: endpoint.outstanding(),
        pickable: availability == Availability::Ready,
        ejected_until: match availability {
            Availability::Ejected(until) => Some(until),
            Availability::Ready | Availability::NotReady => None,
        },
    }
}

impl PickSet {
    fn reason(&self) -> NoEndpoint {
        if self.keyed.is_empty() { NoEndpoint::NoneReady } else { NoEndpoint::AllExcluded }
    }
}

impl Shared {
    fn current(&self) -> Arc<PickSet> {
        Arc::clone(&self.pick_set.read())
    }

    /// Nearest tier first. A tier that spills is compared with the next, which wins only by a clear margin.
    fn choose<R: Rng + ?Sized>(
        &self,
        set: &PickSet,
        now: Timestamp,
        rng: &mut R,
        excluded: &[NodeName],
    ) -> Option<Arc<Endpoint>> {
        let Self { settings, typical, cursor, .. } = self;
        let choice = Choice { now, excluded, settings, typical, cursor };
        let mut best: Option<Candidate<'_>> = None;
        for (tier, spill) in set.tiers.iter().zip(&self.spill) {
            let Some(candidate) = choice.among(tier, rng) else { continue };
            let is_better = best.is_none_or(|best| {
                candidate.score.utilisation + self.settings.spill_margin <= best.score.utilisation
            });
            if is_better {
                best = Some(candidate);
            }
            if !spill.on_pick(candidate.score.utilisation, &self.settings) {
                break;
            }
        }
        best.map(|best| Arc::clone(best.endpoint))
    }

    fn update(&self, now: Timestamp, endpoints: &[AllowedEndpoint]) {
        let mut members = self.members.lock();
        let cold_since = members.has_been_filled.then_some(now);
        let mut next = BTreeMap::new();
        for allowed in endpoints {
            let record = allowed.record();
            let known = members.by_node.get(&record.node);
            if let Some(endpoint) = merge(known, allowed, now, cold_since) {
                endpoint.set_configured_slots(allowed.slots());
                next.insert(record.node.clone(), endpoint);
            }
        }
        members.has_been_filled |= !next.is_empty();
        members.by_node = next;
        self.rebuild(now, &members);
    }

    /// Replaces the lists of choices. Ejections beyond the cap end here, those nearest to their end first.
    fn rebuild(&self, now: Timestamp, members: &Members) {
        let mut ready = Vec::with_capacity(members.by_node.len());
        let mut ejected = Vec::new();
        for endpoint in members.by_node.values() {
            match endpoint.availability(now) {
                Availability::NotReady => {}
                Availability::Ready => ready.push(endpoint),
                Availability::Ejected(until) => ejected.push((until, endpoint)),
            }
        }
        ejected.sort_by_key(|(until, _)| *until);
        let most = self.most_ejected(ready.len() + ejected.len());
        let surplus = ejected.len().saturating_sub(most);
        for (_, endpoint) in ejected.drain(..surplus) {
            endpoint.end_ejection();
            ready.push(endpoint);
        }
        let next_rebuild = ejected.first().map_or(u64::MAX, |(until, _)| until.0);
        self.next_rebuild.store(next_rebuild, Ordering::Relaxed);
        let set = self.pick_set_of(&ready, ejected.iter().map(|(_, endpoint)| *endpoint));
        *self.pick_set.write() = Arc::new(set);
    }

    fn pick_set_of<'a>(
        &self,
        ready: &[&'a Arc<Endpoint>],
        ejected: impl Iterator<Item = &'a Arc<Endpoint>>,
    ) -> PickSet {
        let mut set = PickSet::default();
        for endpoint in ready {
            let tier = Tier::between(&self.own, &endpoint.locality);
            set.tiers[tier as usize].push(Arc::clone(endpoint));
        }
        let all: Vec<_> = ready.iter().copied().chain(ejected).collect();
        let is_near = |endpoint: &Endpoint| endpoint.locality.region == self.own.region;
        let has_near = all.iter().any(|endpoint| is_near(endpoint));
        let keyed = all.into_iter().filter(|endpoint| !has_near || is_near(endpoint));
        set.keyed = KeyedEndpoints::new(keyed.cloned().collect(), &self.current().keyed);
        set
    }

    /// How many of `ready` endpoints may be ejected at once: never all of them.
    #[allow(clippy::cast_precision_loss, clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn most_ejected(&self, ready: usize) -> usize {
        let share = (ready as f64 * self.settings.ejection_share) as usize;
        share.max(1).min(ready.saturating_sub(1))
    }

    fn rebuild_if_due(&self, now: Timestamp) {
        if now.0 >= self.next_rebuild.load(Ordering::Relaxed) {
            self.rebuild(now, &self.members.lock());
        }
    }

    pub(crate) fn on_report(&self, now: Timestamp, endpoint: &Endpoint, report: &EndpointReport) {
        if endpoint.on_report(now, report, &self.typical, &self.settings) == Change::Readiness {
            self.rebuild(now, &self.members.lock());
        }
    }

    pub(crate) fn on_result(&self, now: Timestamp, endpoint: &Arc<Endpoint>, observation: &Observation) {
        if endpoint.on_result(now, observation, &self.typical, &self.settings) == Change::WantsEjection {
            self.eject(now, &[Arc::clone(endpoint)]);
        }
        self.check_latencies_if_due(now);
    }

    /// Ejects `endpoints` as far as the cap lets it.
    fn eject(&self, now: Timestamp, endpoints: &[Arc<Endpoint>]) {
        let members = self.members.lock();
        let is_counted = |availability| availability != Availability::NotReady;
        let availabilities = members.by_node.values().map(|endpoint| endpoint.availability(now));
        let ready: Vec<_> = availabilities.filter(|availability| is_counted(*availability)).collect();
        let already = ready.iter().filter(|availability| **availability != Availability::Ready).count();
        let room = self.most_ejected(ready.len()).saturating_sub(already);
        for endpoint in endpoints.iter().take(room) {
            endpoint.eject(now, &self.settings);
        }
        self.rebuild(now, &members);
    }

    fn check_latencies_if_due(&self, now: Timestamp) {
        let due = self.next_latency_check.load(Ordering::Relaxed);
        if now.0 < due {
            return;
        }
        let next = (now + self.settings.latency_window).0;
        let order = Ordering::Relaxed;
        if self.next_latency_check.compare_exchange(due, next, order, order).is_err() {
            return; // another thread does it
        }
        let outliers = self.latency_outliers();
        if !outliers.is_empty() {
            self.eject(now, &outliers);
        }
    }

    /// Endpoints far slower than the median, slowest first. Judged only where at least three can be compared.
    fn latency_outliers(&self) -> Vec<Arc<Endpoint>> {
        const FEWEST_COMPARED: usize = 3;
        let members = self.members.lock();
        let window = |endpoint: &Arc<Endpoint>| {
            endpoint.take_latency_window(&self.settings).map(|latency| (latency, Arc::clone(endpoint)))
        };
        let mut latencies: Vec<_> = members.by_node.values().filter_map(window).collect();
        if latencies.len() < FEWEST_COMPARED {
            return Vec::new();
        }
        latencies.sort_by(|left, right| right.0.total_cmp(&left.0));
        let limit = latencies[latencies.len() / 2].0 * self.settings.latency_outlier_factor;
        let outliers = latencies.into_iter().take_while(|(latency, _)| *latency > limit);
        outliers.map(|(_, endpoint)| endpoint).collect()
    }
}

/// The endpoint for a record: the known one if it is the same process, else a new one.
///
/// A record of an earlier process is stale. The later process is kept only if it runs in the same locality, since
/// only the record has passed the filter now in force; otherwise the node is left out.
fn merge(
    known: Option<&Arc<Endpoint>>,
    allowed: &AllowedEndpoint,
    now: Timestamp,
    cold_since: Option<Timestamp>,
) -> Option<Arc<Endpoint>> {
    let record = allowed.record();
    match known {
        Some(endpoint) if endpoint.is_same_process(record) => {
            endpoint.on_record(now, record);
            Some(Arc::clone(endpoint))
        }
        Some(endpoint) if endpoint.is_newer_than(record) => {
            (endpoint.locality == record.locality).then(|| Arc::clone(endpoint))
        }
        _ => Some(Arc::new(Endpoint::new(allowed, cold_since))),
    }
}
