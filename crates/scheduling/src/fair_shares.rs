//! Fair shares of a back end's slots between tenants.
//!
//! Start-time fair queueing over slot time. Each tenant has a virtual start time, which advances by the slot
//! time it takes while others wait. The virtual time advances like that of a tenant that takes exactly its
//! share. A tenant exceeds its share once it is more than a quantum ahead of the virtual time. All other
//! tenants rank equally, so that requests are ordered by their objectives among them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::WorkItem;
use crate::load::permille;
use crate::queue_key::{QueueClass, QueueKey};

/// Time without a request after which a tenant's entry is dropped.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Shortest interval between two scans for entries to drop.
const PRUNE_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum quantum of slot time.
const MIN_QUANTUM: Duration = Duration::from_millis(1);
/// Half-life of the use that is reported to operators.
const USE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Slot use and fair share of one tenant at one back end, for logs and metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TenantUsage {
    /// The tenant.
    pub tenant: TenantId,
    /// Its fraction of the slot time that tenants recently took while others waited, in thousandths.
    pub use_permille: u16,
    /// Equal share of each recently active tenant, in thousandths.
    pub share_permille: u16,
    /// Slot time by which the tenant is ahead of its share.
    pub ahead: Duration,
    /// Whether it is more than a quantum ahead, so that other tenants are served first.
    pub is_over_share: bool,
}

#[derive(Debug, Clone, Copy)]
struct TenantAccount {
    virtual_start: Duration,
    waiting: u32,
    /// Running requests that were charged their expected service time.
    running: u32,
    /// Sum of the expected service times charged for the running requests.
    charged: Duration,
    active_at: Instant,
    /// Seconds of slot time, exponentially decayed.
    recent_seconds: f64,
    recent_at: Instant,
}

impl TenantAccount {
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

    /// Replaces the expected service time of a finished request by its measured slot time.
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
        let is_idle = now.saturating_duration_since(self.active_at) >= IDLE_TIMEOUT;
        !is_idle && (self.running > 0 || self.virtual_start > virtual_time)
    }
}

/// Slot time taken by the tenants of one back end since a slot was last free with an empty queue.
#[derive(Debug, Default)]
pub(crate) struct FairShares {
    tenants: BTreeMap<TenantId, TenantAccount>,
    virtual_time: Duration,
    advanced_at: Option<Instant>,
    pruned_at: Option<Instant>,
}

impl FairShares {
    /// Whether no tenant has waited recently, so that there is nothing to divide.
    pub(crate) fn is_unused(&self) -> bool {
        self.tenants.is_empty()
    }

    /// Number of tenants with an entry.
    pub(crate) fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Drops all entries. Called when a slot is free and no request waits: slot time taken before was not
    /// contended.
    pub(crate) fn clear(&mut self) {
        if !self.tenants.is_empty() {
            *self = Self::default();
        }
    }

    /// Advances the virtual time: each active tenant gets at least an equal part of the `held` slots.
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

    /// Records that a request of `tenant` starts to wait.
    pub(crate) fn on_wait(&mut self, now: Instant, tenant: TenantId) {
        let virtual_time = self.virtual_time;
        let entry = self.tenants.entry(tenant).or_insert_with(|| TenantAccount::new(now, virtual_time));
        if entry.waiting == 0 {
            entry.virtual_start = entry.virtual_start.max(virtual_time);
        }
        entry.waiting += 1;
        entry.active_at = now;
    }

    /// Records that a request of `tenant` stops waiting.
    pub(crate) fn on_leave(&mut self, tenant: TenantId) {
        if let Some(entry) = self.tenants.get_mut(&tenant) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Records that a waiting request of `tenant` starts, and charges its expected service time `service`.
    pub(crate) fn on_start(&mut self, now: Instant, tenant: TenantId, service: Duration, quantum: Duration) {
        // No waiting tenant has a smaller lead, so the virtual time skips forward until fewer than two quanta
        // of this lead remain.
        let lead = self.lead(tenant, Duration::ZERO);
        let quanta = quanta(lead, quantum).saturating_sub(1);
        self.virtual_time += quantum.max(MIN_QUANTUM) * u32::try_from(quanta).unwrap_or(u32::MAX);
        if let Some(entry) = self.tenants.get_mut(&tenant) {
            entry.charge(now, service);
            entry.active_at = now;
        }
    }

    /// Corrects the charge of `tenant` for a request that held its slot for `held`.
    pub(crate) fn settle(&mut self, tenant: TenantId, held: Duration) {
        if let Some(entry) = self.tenants.get_mut(&tenant) {
            entry.settle(held);
        }
    }

    /// The request to serve first out of `waiting`, which has a single class and is in queue order: the first
    /// one of the tenants with the smallest lead.
    pub(crate) fn first<'a>(
        &self,
        waiting: impl Iterator<Item = (&'a QueueKey, &'a WorkItem)>,
        quantum: Duration,
    ) -> Option<(QueueKey, WorkItem)> {
        let mut first: Option<(u64, QueueKey, WorkItem)> = None;
        for (queue_key, item) in waiting {
            let ahead = self.quanta_ahead(item, Duration::ZERO, quantum);
            if ahead == 0 {
                return Some((*queue_key, *item));
            }
            if first.is_none_or(|(smallest, ..)| ahead < smallest) {
                first = Some((ahead, *queue_key, *item));
            }
        }
        first.map(|(_, queue_key, item)| (queue_key, item))
    }

    /// Service order of `waiting`, which is in queue order, and of `item` at `queue_key`.
    pub(crate) fn service_order<'a>(
        &self,
        waiting: impl Iterator<Item = (&'a QueueKey, &'a WorkItem)>,
        queue_key: QueueKey,
        item: &WorkItem,
        quantum: Duration,
    ) -> ServiceOrder<'a> {
        let mut before = BTreeMap::new();
        let mut own_before = Duration::ZERO;
        let mut others = Vec::new();
        for (other, waiting) in waiting {
            let Some(tenant) = waiting.tenant else {
                others.push((ServicePosition { class: other.class(), ahead: 0, queue_key: *other }, waiting));
                continue;
            };
            let taken = before.entry(tenant).or_insert(Duration::ZERO);
            let ahead = self.quanta_ahead(waiting, *taken, quantum);
            others.push((ServicePosition { class: other.class(), ahead, queue_key: *other }, waiting));
            *taken += waiting.service;
            if *other < queue_key && item.tenant == waiting.tenant {
                own_before = *taken;
            }
        }
        let ahead = self.quanta_ahead(item, own_before, quantum);
        ServiceOrder { own: ServicePosition { class: queue_key.class(), ahead, queue_key }, others }
    }

    /// Whether `item` yields to others because its tenant is more than a quantum ahead of its share. A tenant
    /// on its own is entitled to all slots.
    pub(crate) fn is_over_share(&self, item: &WorkItem, quantum: Duration) -> bool {
        self.tenants.len() > 1 && self.quanta_ahead(item, Duration::ZERO, quantum) > 0
    }

    /// Usage of a tenant; absent if it has not waited recently.
    pub(crate) fn usage(&self, now: Instant, tenant: TenantId, quantum: Duration) -> Option<TenantUsage> {
        let entry = self.tenants.get(&tenant)?;
        let total: f64 = self.tenants.values().map(|entry| entry.recent_seconds(now)).sum();
        Some(self.usage_of(now, tenant, entry, total, quantum))
    }

    /// The `count` tenants with the highest recent use, highest first.
    pub(crate) fn top(&self, now: Instant, count: usize, quantum: Duration) -> Vec<TenantUsage> {
        let total: f64 = self.tenants.values().map(|entry| entry.recent_seconds(now)).sum();
        let tenants = self.tenants.iter();
        let mut usages: Vec<TenantUsage> =
            tenants.map(|(tenant, entry)| self.usage_of(now, *tenant, entry, total, quantum)).collect();
        usages.sort_by_key(|usage| (std::cmp::Reverse(usage.use_permille), usage.tenant));
        usages.truncate(count);
        usages
    }

    fn usage_of(
        &self,
        now: Instant,
        tenant: TenantId,
        entry: &TenantAccount,
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

    /// Lead of the tenant of `item` in quanta once it has taken `more`. A call is charged but never delayed
    /// for fairness, because the run that waits for it holds a slot elsewhere.
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

/// Sort key of a waiting request in service order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ServicePosition {
    class: QueueClass,
    /// Lead of the tenant in quanta once its earlier requests have run.
    ahead: u64,
    queue_key: QueueKey,
}

/// Service order of one request relative to the waiting ones.
pub(crate) struct ServiceOrder<'a> {
    own: ServicePosition,
    others: Vec<(ServicePosition, &'a WorkItem)>,
}

impl ServiceOrder<'_> {
    /// Total service time and number of the requests served before this one.
    pub(crate) fn ahead(&self) -> (Duration, usize) {
        let before = self.others.iter().filter(|(position, _)| *position < self.own);
        before.fold((Duration::ZERO, 0), |(time, count), (_, item)| (time + item.service, count + 1))
    }

    /// The waiting request to evict for this one: the last one of the tenant furthest above its share, if it
    /// would be served later.
    pub(crate) fn displaced(&self) -> Option<QueueKey> {
        let later = self.others.iter().map(|(position, _)| position);
        let later =
            later.filter(|position| position.class >= self.own.class && position.ahead > self.own.ahead);
        later.max_by_key(|position| (position.ahead, position.queue_key)).map(|position| position.queue_key)
    }
}

fn quanta(lead: Duration, quantum: Duration) -> u64 {
    let quanta = lead.as_nanos() / quantum.max(MIN_QUANTUM).as_nanos();
    u64::try_from(quanta).unwrap_or(u64::MAX)
}
