//! Admission strategies compared in replays.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_model::TenantId;
use umberpond_scheduling::{Decision, Dequeued, Ticket, WorkItem, WorkQueue};

use super::Random;

/// Outcome of offering a request to a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offered {
    Starts,
    Waits,
    Refused,
}

/// A request that leaves a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leaving {
    Starts(usize),
    Dropped(usize),
}

/// Decides which requests a back end gets. Requests are identified by their indices.
pub trait Gate {
    fn offer(&mut self, now: Instant, item: WorkItem, request: usize) -> Offered;
    /// The next request that starts or is dropped.
    fn next(&mut self, now: Instant) -> Option<Leaving>;
    /// Removes a request. Returns `false` if it no longer waits.
    fn withdraw(&mut self, request: usize) -> bool;
    fn finish(&mut self, tenant: Option<TenantId>, held: Duration);
    /// Number of tenants with stored state.
    fn tenant_count(&self) -> usize;
}

/// The production queue.
#[derive(Default)]
pub struct QueueGate {
    queue: WorkQueue,
    waiting: BTreeMap<Ticket, usize>,
    tickets: BTreeMap<usize, Ticket>,
    evicted: VecDeque<usize>,
}

impl QueueGate {
    pub fn new(slots: u32) -> Self {
        let mut gate = Self::default();
        gate.queue.set_slots(slots);
        gate.queue.open();
        gate
    }

    fn forget(&mut self, ticket: Ticket) -> usize {
        let request = self.waiting.remove(&ticket).expect("a waiting request");
        self.tickets.remove(&request);
        request
    }
}

impl Gate for QueueGate {
    fn offer(&mut self, now: Instant, item: WorkItem, request: usize) -> Offered {
        match self.queue.offer(now, item) {
            Decision::Start => Offered::Starts,
            Decision::Refuse(_) => Offered::Refused,
            Decision::Wait(ticket) => {
                self.waiting.insert(ticket, request);
                self.tickets.insert(request, ticket);
                for displaced in self.queue.take_displaced() {
                    let request = self.forget(displaced.ticket);
                    self.evicted.push_back(request);
                }
                Offered::Waits
            }
        }
    }

    fn next(&mut self, now: Instant) -> Option<Leaving> {
        if let Some(request) = self.evicted.pop_front() {
            return Some(Leaving::Dropped(request));
        }
        Some(match self.queue.start_next(now)? {
            Dequeued::Run(ticket) => Leaving::Starts(self.forget(ticket)),
            Dequeued::Expire(ticket) => Leaving::Dropped(self.forget(ticket)),
        })
    }

    fn withdraw(&mut self, request: usize) -> bool {
        let Some(ticket) = self.tickets.get(&request).copied() else { return false };
        self.forget(ticket);
        self.queue.withdraw(ticket)
    }

    fn finish(&mut self, tenant: Option<TenantId>, held: Duration) {
        if let Some(tenant) = tenant {
            self.queue.settle(tenant, held);
        }
        self.queue.finish(Some(held));
    }

    fn tenant_count(&self) -> usize {
        self.queue.tenant_count()
    }
}

/// Number of queues in shuffle sharding.
const SHARD_COUNT: usize = 64;
/// Number of queues assigned to a tenant; a request goes to the shortest of them.
const SHARDS_PER_TENANT: usize = 6;
/// Maximum length of a queue.
const MAX_SHARD_LENGTH: usize = 50;

#[derive(Debug, Clone, Default)]
struct Shard {
    requests: VecDeque<(usize, Duration)>,
    virtual_start: Duration,
}

/// The rejected alternative, shuffle sharding: a fixed number of queues that share the slots fairly, with a
/// random subset of them assigned to each tenant.
pub struct ShardedGate {
    slots: u32,
    running: u32,
    virtual_time: Duration,
    shards: Vec<Shard>,
}

impl ShardedGate {
    pub fn new(slots: u32) -> Self {
        Self { slots, running: 0, virtual_time: Duration::ZERO, shards: vec![Shard::default(); SHARD_COUNT] }
    }

    fn tenant_shards(tenant: Option<TenantId>) -> Vec<usize> {
        let mut random = Random::new(tenant.map_or(0, |tenant| tenant.0));
        let mut tenant_shards = Vec::new();
        while tenant_shards.len() < SHARDS_PER_TENANT {
            let queue = random.below(SHARD_COUNT);
            if !tenant_shards.contains(&queue) {
                tenant_shards.push(queue);
            }
        }
        tenant_shards
    }
}

impl Gate for ShardedGate {
    fn offer(&mut self, _now: Instant, item: WorkItem, request: usize) -> Offered {
        let is_empty = self.shards.iter().all(|shard| shard.requests.is_empty());
        if is_empty && self.running < self.slots {
            self.running += 1;
            return Offered::Starts;
        }
        let tenant_shards = Self::tenant_shards(item.tenant);
        let shortest = tenant_shards.into_iter().min_by_key(|index| self.shards[*index].requests.len());
        let shard = &mut self.shards[shortest.expect("a tenant has several queues")];
        if shard.requests.len() >= MAX_SHARD_LENGTH {
            return Offered::Refused;
        }
        if shard.requests.is_empty() {
            shard.virtual_start = shard.virtual_start.max(self.virtual_time);
        }
        shard.requests.push_back((request, item.service));
        Offered::Waits
    }

    fn next(&mut self, _now: Instant) -> Option<Leaving> {
        if self.running >= self.slots {
            return None;
        }
        let waiting = self.shards.iter_mut().filter(|shard| !shard.requests.is_empty());
        let shard = waiting.min_by_key(|shard| shard.virtual_start)?;
        self.virtual_time = self.virtual_time.max(shard.virtual_start);
        let (request, service) = shard.requests.pop_front()?;
        shard.virtual_start += service;
        self.running += 1;
        Some(Leaving::Starts(request))
    }

    fn withdraw(&mut self, request: usize) -> bool {
        for shard in &mut self.shards {
            let before = shard.requests.len();
            shard.requests.retain(|(waiting, _)| *waiting != request);
            if shard.requests.len() < before {
                return true;
            }
        }
        false
    }

    fn finish(&mut self, _tenant: Option<TenantId>, _held: Duration) {
        self.running -= 1;
    }

    fn tenant_count(&self) -> usize {
        0
    }
}
