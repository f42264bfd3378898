//! What stands before a back end in a replay.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_model::TenantId;
use umberpond_scheduling::{Decision, Dequeued, Ticket, WorkItem, WorkQueue};

use super::Numbers;

/// What becomes of a request that a gate is offered.
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
    InVain(usize),
}

/// Decides which requests a back end gets, by their indices.
pub trait Gate {
    fn offer(&mut self, now: Instant, item: WorkItem, request: usize) -> Offered;
    /// The next request that starts or is turned away.
    fn next(&mut self, now: Instant) -> Option<Leaving>;
    /// Gives up a request; `false` if it does not wait any more.
    fn withdraw(&mut self, request: usize) -> bool;
    fn finish(&mut self, tenant: Option<TenantId>, held: Duration);
    /// Tenants of which something is kept.
    fn tenant_count(&self) -> usize;
}

/// The queue of the product.
#[derive(Default)]
pub struct QueueGate {
    queue: WorkQueue,
    waiting: BTreeMap<Ticket, usize>,
    tickets: BTreeMap<usize, Ticket>,
    turned_away: VecDeque<usize>,
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
                    self.turned_away.push_back(request);
                }
                Offered::Waits
            }
        }
    }

    fn next(&mut self, now: Instant) -> Option<Leaving> {
        if let Some(request) = self.turned_away.pop_front() {
            return Some(Leaving::InVain(request));
        }
        Some(match self.queue.start_next(now)? {
            Dequeued::Run(ticket) => Leaving::Starts(self.forget(ticket)),
            Dequeued::Expire(ticket) => Leaving::InVain(self.forget(ticket)),
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

/// Queues of a gate with shuffle sharding.
const QUEUES: usize = 64;
/// Queues among which the requests of one tenant go to the shortest.
const HAND: usize = 6;
/// Most requests in one queue.
const QUEUE_LENGTH: usize = 50;

#[derive(Debug, Clone, Default)]
struct Shard {
    requests: VecDeque<(usize, Duration)>,
    virtual_start: Duration,
}

/// The way weighed against: a fixed number of queues that share the slots fairly, each tenant dealt a hand of them.
pub struct ShardedGate {
    slots: u32,
    running: u32,
    virtual_time: Duration,
    shards: Vec<Shard>,
}

impl ShardedGate {
    pub fn new(slots: u32) -> Self {
        Self { slots, running: 0, virtual_time: Duration::ZERO, shards: vec![Shard::default(); QUEUES] }
    }

    fn hand(tenant: Option<TenantId>) -> Vec<usize> {
        let mut numbers = Numbers::new(tenant.map_or(0, |tenant| tenant.0));
        let mut hand = Vec::new();
        while hand.len() < HAND {
            let queue = numbers.below(QUEUES);
            if !hand.contains(&queue) {
                hand.push(queue);
            }
        }
        hand
    }
}

impl Gate for ShardedGate {
    fn offer(&mut self, _now: Instant, item: WorkItem, request: usize) -> Offered {
        let is_empty = self.shards.iter().all(|shard| shard.requests.is_empty());
        if is_empty && self.running < self.slots {
            self.running += 1;
            return Offered::Starts;
        }
        let hand = Self::hand(item.tenant);
        let shortest = hand.into_iter().min_by_key(|index| self.shards[*index].requests.len());
        let shard = &mut self.shards[shortest.expect("a hand of queues")];
        if shard.requests.len() >= QUEUE_LENGTH {
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
