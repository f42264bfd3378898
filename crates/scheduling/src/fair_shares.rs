//! Fair shares of a back end's slots between tenants.
//!
//! Start-time fair queueing over slot time: each tenant has a virtual start, the slot time it has taken while others waited.
//! The virtual time follows what a tenant with exactly its share has taken. A tenant counts as above its share once it is
//! more than a quantum ahead of that; all others are alike, so that the order by objectives holds among them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::WorkItem;
use crate::load::permille;
use crate::place::{Place, PlaceClass};

/// Time without a request after which nothing is kept of a tenant.
const IDLE_LIFE: Duration = Duration::from_secs(5);
/// Shortest time between two searches for tenants of which nothing need be kept.
const PRUNE_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest quantum of slot time.
const LEAST_QUANTUM: Duration = Duration::from_millis(1);
/// Time after which the use that is told to operators is half forgotten.
const USE_HALF_LIFE: Duration = Duration::from_secs(2);

/// How one tenant stands at one back end, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantId,
    /// Its part of the slot time that tenants took lately while others waited, in thousandths.
    pub use_permille: u16,
    /// An equal part for each tenant that was active lately, in thousandths.
    pub share_permille: u16,
    /// Slot time by which it is ahead of a tenant with exactly its share.
    pub ahead: Duration,
    /// Whether that is more than a quantum, so that others go first.
    pub is_over_share: bool,
}

#[derive(Debug, Clone, Copy)]
struct TenantUse {
    virtual_start: Duration,
    waiting: u32,
    /// Its requests that run and were charged with what they were expected to take.
    running: u32,
    /// What those were charged with.
    charged: Duration,
    active_at: Instant,
    /// Seconds of slot time, each counted less with time.
    recent_seconds: f64,
    recent_at: Instant,
}

impl TenantUse {
    fn new(now: Instant, virtual_start: Duration) -> Self {
        Self {
            virtual_start,
            waiting: 0,
            running: 0,
            charged: Duration::ZERO,
            active_at: now,
            recent_seconds: 0.0,
            recent_at: now,
        }
    }

    fn recent_seconds(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.recent_at);
        self.recent_seconds * 0.5_f64.powf(age.as_secs_f64() / USE_HALF_LIFE.as_secs_f64())
    }

    fn charge(&mut self, now: Instant, service: Duration) {
        self.virtual_start += service;
        self.charged += service;
        self.running += 1;
        self.recent_seconds = self.recent_seconds(now) + service.as_secs_f64();
        self.recent_at = now;
    }

    /// Puts what a run has held in place of what it was expected to take.
    fn settle(&mut self, held: Duration) {
        if self.running == 0 {
            return;
        }
        let expected = self.charged / self.running;
        self.charged = self.charged.saturating_sub(expected);
        self.running -= 1;
        self.virtual_start = (self.virtual_start + held).saturating_sub(expected);
        self.recent_seconds = (self.recent_seconds + held.as_secs_f64() - expected.as_secs_f64()).max(0.0);
    }

    fn is_needed(&self, now: Instant, virtual_time: Duration) -> bool {
        if self.waiting > 0 {
            return true;
        }
        let is_idle = now.saturating_duration_since(self.active_at) >= IDLE_LIFE;
        !is_idle && (self.running > 0 || self.virtual_start > virtual_time)
    }
}

/// What the tenants of one back end have taken since nobody had to wait last.
#[derive(Debug, Default)]
pub(crate) struct FairShares {
    tenants: BTreeMap<TenantId, TenantUse>,
    virtual_time: Duration,
    advanced_at: Option<Instant>,
    pruned_at: Option<Instant>,
}

impl FairShares {
    /// Whether there is nothing to divide: no tenant has waited of late.
    pub(crate) fn is_unused(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Number of tenants of which something is kept.
    pub(crate) fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Takes in that a slot was free and nobody waited: what was taken before was taken from nobody.
    pub(crate) fn clear(&mut self) {
        if !self.tenants.is_empty() {
            *self = Self::default();
        }
    }

    /// Moves the virtual time on: each active tenant has at least an equal part of the `held` slots.
    pub(crate) fn advance(&mut self, now: Instant, held: u32) {
        if self.tenants.is_empty() {
            self.advanced_at = None;
            return;
        }
        let since = *self.advanced_at.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        let count = u32::try_from(self.tenants.len()).unwrap_or(u32::MAX);
        self.virtual_time += passed * held / count;
        self.advanced_at = Some(now);
        self.prune(now);
    }

    /// Takes in that a request of `tenant` waits.
    pub(crate) fn on_wait(&mut self, now: Instant, tenant: TenantId) {
        let virtual_time = self.virtual_time;
        let entry = self.tenants.entry(tenant).or_insert_with(|| TenantUse::new(now, virtual_time));
        if entry.waiting == 0 {
            entry.virtual_start = entry.virtual_start.max(virtual_time);
        }
        entry.waiting += 1;
        entry.active_at = now;
    }

    /// Takes in that a request of `tenant` waits no more.
    pub(crate) fn on_leave(&mut self, tenant: TenantId) {
        if let Some(entry) = self.tenants.get_mut(&tenant) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Takes in that a request of `tenant` that has waited starts and is expected to take `service`.
    pub(crate) fn on_start(&mut self, now: Instant, tenant: TenantId, service: Duration, quantum: Duration) {
        // Nobody who is less far ahead waits, so less than a quantum is left of its lead.
        let lead = self.lead(tenant, Duration::ZERO);
        let quanta = quanta(lead, quantum).saturating_sub(1);
        self.virtual_time += quantum.max(LEAST_QUANTUM) * u32::try_from(quanta).unwrap_or(u32::MAX);
        if let Some(entry) = self.tenants.get_mut(&tenant) {
            entry.charge(now, service);
            entry.active_at = now;
        }
    }

    /// Takes in that a request of `tenant` has left its slot after `held`.
    pub(crate) fn settle(&mut self, tenant: TenantId, held: Duration) {
        if let Some(entry) = self.tenants.get_mut(&tenant) {
            entry.settle(held);
        }
    }

    /// The first of `waiting`, which are of one class and in their usual order: of those least far ahead the first.
    pub(crate) fn first<'a>(
        &self,
        waiting: impl Iterator<Item = (&'a Place, &'a WorkItem)>,
        quantum: Duration,
    ) -> Option<(Place, WorkItem)> {
        let mut first: Option<(u64, Place, WorkItem)> = None;
        for (place, item) in waiting {
            let ahead = self.quanta_ahead(item, Duration::ZERO, quantum);
            if ahead == 0 {
                return Some((*place, *item));
            }
            if first.is_none_or(|(least, ..)| ahead < least) {
                first = Some((ahead, *place, *item));
            }
        }
        first.map(|(_, place, item)| (place, item))
    }

    /// How all of `waiting`, which are in their usual order, and one more at `place` follow one another.
    pub(crate) fn turns<'a>(
        &self,
        waiting: impl Iterator<Item = (&'a Place, &'a WorkItem)>,
        place: Place,
        item: &WorkItem,
        quantum: Duration,
    ) -> WaitingTurns<'a> {
        let mut before = BTreeMap::new();
        let mut own_before = Duration::ZERO;
        let mut others = Vec::new();
        for (other, waiting) in waiting {
            let Some(tenant) = waiting.tenant else {
                others.push((Turn { class: other.class(), ahead: 0, place: *other }, waiting));
                continue;
            };
            let taken = before.entry(tenant).or_insert(Duration::ZERO);
            let ahead = self.quanta_ahead(waiting, *taken, quantum);
            others.push((Turn { class: other.class(), ahead, place: *other }, waiting));
            *taken += waiting.service;
            if *other < place && item.tenant == waiting.tenant {
                own_before = *taken;
            }
        }
        let ahead = self.quanta_ahead(item, own_before, quantum);
        WaitingTurns { own: Turn { class: place.class(), ahead, place }, others }
    }

    /// Whether `item` goes behind others because its tenant is more than a quantum ahead of its share. The share of one that is alone is
    /// everything.
    pub(crate) fn is_over_share(&self, item: &WorkItem, quantum: Duration) -> bool {
        self.tenants.len() > 1 && self.quanta_ahead(item, Duration::ZERO, quantum) > 0
    }

    /// How a tenant stands; absent if it has not waited of late.
    pub(crate) fn standing(&self, now: Instant, tenant: TenantId, quantum: Duration) -> Option<TenantUsage> {
        let entry = self.tenants.get(&tenant)?;
        let total: f64 = self.tenants.values().map(|entry| entry.recent_seconds(now)).sum();
        Some(self.standing_of(now, tenant, entry, total, quantum))
    }

    /// The `count` tenants that took most lately, the greatest first.
    pub(crate) fn greatest(&self, now: Instant, count: usize, quantum: Duration) -> Vec<TenantUsage> {
        let total: f64 = self.tenants.values().map(|entry| entry.recent_seconds(now)).sum();
        let tenants = self.tenants.iter();
        let mut standings: Vec<TenantUsage> =
            tenants.map(|(tenant, entry)| self.standing_of(now, *tenant, entry, total, quantum)).collect();
        standings.sort_by_key(|standing| (std::cmp::Reverse(standing.use_permille), standing.tenant));
        standings.truncate(count);
        standings
    }

    fn standing_of(
        &self,
        now: Instant,
        tenant: TenantId,
        entry: &TenantUse,
        total: f64,
        quantum: Duration,
    ) -> TenantUsage {
        let used = if total > 0.0 { entry.recent_seconds(now) / total } else { 0.0 };
        let ahead = entry.virtual_start.saturating_sub(self.virtual_time);
        TenantUsage {
            tenant,
            use_permille: permille(used),
            share_permille: u16::try_from(1000 / self.tenants.len().max(1)).unwrap_or(u16::MAX),
            ahead,
            is_over_share: self.tenants.len() > 1 && quanta(ahead, quantum) > 0,
        }
    }

    /// Slot time by which a tenant is ahead of its share once it has taken `more`.
    fn lead(&self, tenant: TenantId, more: Duration) -> Duration {
        let start = self.tenants.get(&tenant).map_or(self.virtual_time, |entry| entry.virtual_start);
        (start.max(self.virtual_time) + more).saturating_sub(self.virtual_time)
    }

    /// Quanta by which the tenant of `item` is ahead once it has taken `more`. A call is charged but held back for no share: the run that
    /// waits for it holds a slot elsewhere.
    fn quanta_ahead(&self, item: &WorkItem, more: Duration, quantum: Duration) -> u64 {
        let tenant = item.tenant.filter(|_| !item.is_call());
        tenant.map_or(0, |tenant| quanta(self.lead(tenant, more), quantum))
    }

    fn prune(&mut self, now: Instant) {
        let since = *self.pruned_at.get_or_insert(now);
        if now.saturating_duration_since(since) < PRUNE_INTERVAL {
            return;
        }
        let virtual_time = self.virtual_time;
        self.tenants.retain(|_, entry| entry.is_needed(now, virtual_time));
        self.pruned_at = Some(now);
    }
}

/// When a waiting request gets its slot, compared with others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    class: PlaceClass,
    /// Quanta by which its tenant will be ahead once those of it have run that go first.
    ahead: u64,
    place: Place,
}

/// The order in which one request and those that wait get slots.
pub(crate) struct WaitingTurns<'a> {
    own: Turn,
    others: Vec<(Turn, &'a WorkItem)>,
}

impl WaitingTurns<'_> {
    /// Time that those before the request take, and how many they are.
    pub(crate) fn ahead(&self) -> (Duration, usize) {
        let before = self.others.iter().filter(|(turn, _)| *turn < self.own);
        before.fold((Duration::ZERO, 0), |(time, count), (_, item)| (time + item.service, count + 1))
    }

    /// The request that has to make room for the one asked for: of those of tenants above their share the last one, if it goes later.
    pub(crate) fn displaced(&self) -> Option<Place> {
        let later = self.others.iter().map(|(turn, _)| turn);
        let later = later.filter(|turn| turn.class >= self.own.class && turn.ahead > self.own.ahead);
        later.max_by_key(|turn| (turn.ahead, turn.place)).map(|turn| turn.place)
    }
}

fn quanta(lead: Duration, quantum: Duration) -> u64 {
    let quanta = lead.as_nanos() / quantum.max(LEAST_QUANTUM).as_nanos();
    u64::try_from(quanta).unwrap_or(u64::MAX)
}
