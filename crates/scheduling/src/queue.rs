//! Admission queue of one back end.

mod rate_limits;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::admitted_work::AdmittedWork;
use crate::fair_shares::{FairShares, ServiceOrder, TenantUsage};
use crate::load::{millis_rounded_up, permille};
use crate::queue_key::QueueKey;
use crate::reserved_slots::ReservedSlots;
use crate::start_limits::StartLimits;
use crate::{
    Decision, Dequeued, DisplacedRequest, LoadReport, Refusal, ServiceTime, Slowdown, Ticket, WorkItem,
};

/// Service time assumed until the first measurement.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Upper bound of the fraction of the slots that more urgent requests are expected to take from a waiting
/// request.
const MAX_OVERTAKING_SHARE: f64 = 0.8;
/// How long a queue counts as contended after it refused a request that could still have met its objective,
/// in mean intervals between two released slots. During that time requests that can no longer meet their
/// objective get no free slot, since another one that can is expected to arrive within about that interval.
const CONTENDED_RELEASE_INTERVALS: f64 = 1.0;
/// How long load reports mention a refused request, in mean service times: until each slot has been released
/// once.
const REPORTED_REFUSAL_SERVICE_TIMES: f64 = 1.0;
/// Lead over its fair share, in mean service times, from which a tenant yields to others. It has to absorb
/// the bursts of a tenant that sends less than its share on average.
const QUANTUM_REQUESTS: u32 = 8;
/// Safety factor on the work rate of the tenants within their shares, applied to the expected wait of a
/// request whose tenant exceeds its share. Such a request waits for all of that work, and the rate varies
/// meanwhile.
const OTHER_TENANTS_MARGIN: f64 = 1.15;
/// Weight of one request in the moving average of the failure share.
const FAILURE_WEIGHT: f64 = 0.03;

/// Admission queue of one back end, with statistics of the back end's speed.
#[derive(Debug)]
pub struct WorkQueue {
    slots: u32,
    is_open: bool,
    running: u32,
    waiting: BTreeMap<QueueKey, WorkItem>,
    queue_keys: BTreeMap<Ticket, QueueKey>,
    next_ticket: u64,
    service_time: ServiceTime,
    failed_share: f64,
    reports: u64,
    /// Admitted work of tenants within their shares and of requests without a tenant.
    admitted: AdmittedWork,
    /// Admitted work of tenants above their shares.
    admitted_over_share: AdmittedWork,
    shares: FairShares,
    displaced: Vec<DisplacedRequest>,
    reserved: ReservedSlots,
    /// When a request that could still have met its objective was last refused, by priority.
    refused_at: BTreeMap<u8, Instant>,
    /// When a request was last admitted, by priority.
    admitted_at: BTreeMap<u8, Instant>,
    start_limits: StartLimits,
    slowdown: Slowdown,
}

impl WorkQueue {
    /// Creates an empty, closed queue.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: 0,
            is_open: false,
            running: 0,
            waiting: BTreeMap::new(),
            queue_keys: BTreeMap::new(),
            next_ticket: 0,
            service_time: ServiceTime::default(),
            failed_share: 0.0,
            reports: 0,
            admitted: AdmittedWork::default(),
            admitted_over_share: AdmittedWork::default(),
            shares: FairShares::default(),
            displaced: Vec::new(),
            reserved: ReservedSlots::default(),
            refused_at: BTreeMap::new(),
            admitted_at: BTreeMap::new(),
            start_limits: StartLimits::default(),
            slowdown: Slowdown::default(),
        }
    }

    /// Sets the maximum number of requests that run concurrently. Call [`WorkQueue::start_next`] afterwards.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets whether slots are reserved for calls in proportion to the recently offered call work. Disabled by
    /// default.
    pub const fn reserve_slots_for_calls(&mut self, is_enabled: bool) {
        self.reserved.set_enabled(is_enabled);
    }

    /// Starts to accept requests.
    pub fn open(&mut self) {
        self.is_open = true;
    }

    /// Stops accepting requests and removes all waiting ones. Returns their tickets.
    pub fn close(&mut self) -> Vec<Ticket> {
        self.is_open = false;
        self.cancel_waiting()
    }

    /// Removes all waiting requests. Returns their tickets.
    pub fn cancel_waiting(&mut self) -> Vec<Ticket> {
        self.waiting.clear();
        self.shares.clear();
        std::mem::take(&mut self.queue_keys).into_keys().collect()
    }

    /// Whether requests are accepted.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Resets the statistics because the back end was replaced.
    pub fn reset_statistics(&mut self) {
        self.service_time = ServiceTime::default();
        self.slowdown = Slowdown::default();
        self.failed_share = 0.0;
    }

    /// Slowdown that the back end last reported.
    pub const fn slowdown(&mut self) -> &mut Slowdown {
        &mut self.slowdown
    }

    /// Offers a request for admission.
    pub fn offer(&mut self, now: Instant, item: WorkItem) -> Decision {
        if !self.is_open {
            return Decision::Refuse(Refusal::Closed);
        }
        if item.cannot_finish(now) {
            return Decision::Refuse(Refusal::Expired);
        }
        if item.is_call() {
            self.reserved.on_call_offered(now, item.priority, item.service);
        }
        let has_reduced_value = item.has_reduced_value(now);
        if has_reduced_value && self.is_contended(now, item.priority) {
            return Decision::Refuse(Refusal::WaitTooLong { expected: self.mean_service_time() });
        }
        if let Some(expected) = self.slowed_response_time(now, item) {
            return Decision::Refuse(Refusal::BackEndSlow { expected });
        }
        if self.has_slot_for(now, &item) && self.is_first(&item) && self.start_limits.may_start(now) {
            if self.waiting.is_empty() {
                self.shares.clear();
            }
            self.start(now, &item);
            self.on_admitted(now, &item, false);
            return Decision::Start;
        }
        self.shares.advance(now, self.running);
        let is_over_share = self.shares.is_over_share(&item, self.quantum());
        let expected = self.expected_wait(now, item);
        if expected > item.max_expected_wait() && !self.precedes_admitted(now, &item, expected) {
            if !has_reduced_value && !is_over_share {
                self.refused_at.insert(item.priority, now);
            }
            return Decision::Refuse(self.long_wait_refusal(now, expected));
        }
        let is_full = self.waiting.len() >= item.waiting_per_slot() * self.slots.max(1) as usize;
        if is_full && !self.displace_for(item) {
            return Decision::Refuse(Refusal::QueueFull);
        }
        self.on_admitted(now, &item, is_over_share);
        Decision::Wait(self.enqueue(now, item))
    }

    /// Removes the next waiting request that can start or has expired. Call it until it returns `None`.
    pub fn start_next(&mut self, now: Instant) -> Option<Dequeued> {
        let (queue_key, item) = self.first_waiting(now)?;
        if item.cannot_finish(now) {
            self.remove(queue_key);
            return Some(Dequeued::Expire(queue_key.ticket));
        }
        let (queue_key, item) = self.first_with_slot(now, queue_key, item)?;
        if !self.start_limits.may_start(now) {
            return None;
        }
        self.remove(queue_key);
        self.start(now, &item);
        if let Some(tenant) = item.tenant {
            self.shares.advance(now, self.running);
            self.shares.on_start(now, tenant, item.service, self.quantum());
        }
        Some(Dequeued::Run(queue_key.ticket))
    }

    /// Returns the requests that were evicted in favor of others since the last call.
    pub fn take_displaced(&mut self) -> Vec<DisplacedRequest> {
        std::mem::take(&mut self.displaced)
    }

    /// Corrects the charge of `tenant` for a request that held its slot for `held`; zero if it was abandoned
    /// before it ran. Call [`WorkQueue::finish`] afterwards.
    pub fn settle(&mut self, tenant: TenantId, held: Duration) {
        self.shares.settle(tenant, held);
    }

    /// Usage of a tenant; absent if none of its requests has waited recently.
    #[must_use]
    pub fn tenant_usage(&self, now: Instant, tenant: TenantId) -> Option<TenantUsage> {
        self.shares.usage(now, tenant, self.quantum())
    }

    /// The `count` tenants that recently took the most slot time while others waited, highest first.
    #[must_use]
    pub fn top_tenants(&self, now: Instant, count: usize) -> Vec<TenantUsage> {
        self.shares.top(now, count, self.quantum())
    }

    /// Number of tenants with an entry in the fair-share accounting.
    #[must_use]
    pub fn tenant_count(&self) -> usize {
        self.shares.tenant_count()
    }

    /// Removes a waiting request whose sender is gone. Returns `false` if it no longer waits.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let Some(queue_key) = self.queue_keys.get(&ticket).copied() else { return false };
        self.remove(queue_key);
        true
    }

    /// Releases the slot of a new request. `served` is its service time at average speed, if the back end
    /// responded.
    pub fn finish(&mut self, served: Option<Duration>) {
        self.reserved.on_new_finished();
        self.release_slot(served);
    }

    /// Releases the slot of a call; otherwise like [`WorkQueue::finish`].
    pub fn finish_call(&mut self, served: Option<Duration>) {
        self.release_slot(served);
    }

    fn release_slot(&mut self, served: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(taken) = served {
            self.service_time.record(taken);
        }
    }

    /// Records whether a request that ran got a valid response.
    pub fn record_response(&mut self, is_valid: bool) {
        let sample = if is_valid { 0.0 } else { 1.0 };
        self.failed_share += (sample - self.failed_share) * FAILURE_WEIGHT;
    }

    /// Expected wait of a request like `item` if it were offered now: until the requests ahead of it and
    /// those expected to overtake it have run and a slot is free.
    #[must_use]
    pub fn expected_wait(&mut self, now: Instant, item: WorkItem) -> Duration {
        let (ahead, count) = self.work_ahead(&item);
        let is_free = self.has_slot_for(now, &item) && ahead.is_zero();
        if is_free && self.start_limits.request.may_start(now) {
            return self.start_limits.cold_start.expected_wait(now, count);
        }
        let overtaking = self.overtaking_rate(now, &item) / self.concurrency();
        let remaining_share = 1.0 - overtaking.min(MAX_OVERTAKING_SHARE);
        let limiter_wait =
            self.start_limits.expected_wait(now, count, remaining_share, self.mean_service_time());
        if is_free {
            return limiter_wait;
        }
        let slots = self.slots.max(1);
        ((ahead + self.mean_service_time()) / slots).div_f64(remaining_share).max(limiter_wait)
    }

    /// Total service time and number of the waiting requests ahead of `item`.
    fn work_ahead(&self, item: &WorkItem) -> (Duration, usize) {
        if !self.shares.is_unused() {
            return self.service_order(item).ahead();
        }
        let queue_key = QueueKey::of(item, Ticket(self.next_ticket));
        let before = self.waiting.range(..queue_key);
        before.fold((Duration::ZERO, 0), |(time, count), (_, waiting)| (time + waiting.service, count + 1))
    }

    /// Service order of `item` and the waiting requests.
    fn service_order(&self, item: &WorkItem) -> ServiceOrder<'_> {
        let queue_key = QueueKey::of(item, Ticket(self.next_ticket));
        self.shares.service_order(self.waiting.iter(), queue_key, item, self.quantum())
    }

    /// Seconds of service per second consumed by requests that overtake `item`.
    fn overtaking_rate(&mut self, now: Instant, item: &WorkItem) -> f64 {
        let (priority, left) = (item.priority, item.urgency(now));
        if !self.shares.is_over_share(item, self.quantum()) {
            return self.admitted.overtaking_rate(now, priority, left);
        }
        OTHER_TENANTS_MARGIN * self.admitted.rate(now, priority)
            + self.admitted_over_share.overtaking_rate(now, priority, left)
    }

    /// Evicts a waiting request in favor of `item`. Returns `false` if no waiting request belongs to a tenant
    /// further above its share.
    fn displace_for(&mut self, item: WorkItem) -> bool {
        let Some(queue_key) = self.service_order(&item).displaced() else { return false };
        let work: Duration = self.waiting.values().map(|waiting| waiting.service).sum();
        let expected = work.div_f64(self.concurrency());
        self.remove(queue_key);
        self.displaced.push(DisplacedRequest { ticket: queue_key.ticket, expected });
        true
    }

    /// Slot time by which a tenant may exceed its share before others are served first.
    fn quantum(&self) -> Duration {
        self.mean_service_time() * QUANTUM_REQUESTS
    }

    /// Creates the load report for other nodes.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.reports += 1;
        self.shares.advance(now, self.running);
        let slots = self.start_limits.cold_start.usable_slots(now, self.slots, self.mean_service_time());
        let limit_wait = self.start_limits.request.expected_wait(now, self.waiting.len());
        LoadReport {
            number: self.reports,
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots,
            service_micros: self.service_time.mean_micros(),
            failed_permille: permille(self.failed_share),
            slowdown_percent: self.slowdown.percent(now).unwrap_or(0),
            refused_priority: self.refused_priority(now),
            limit_wait_millis: millis_rounded_up(limit_wait),
        }
    }

    /// Whether requests wait for a slot or were refused a moment ago.
    #[must_use]
    pub fn is_slot_wanted(&self, now: Instant) -> bool {
        !self.waiting.is_empty() || self.refused_priority(now).is_some()
    }

    /// Whether a request of this or a higher priority that could still have met its objective was refused a
    /// moment ago.
    fn is_contended(&self, now: Instant, priority: u8) -> bool {
        let release_interval = self.mean_service_time().div_f64(self.concurrency());
        let window = release_interval.mul_f64(CONTENDED_RELEASE_INTERVALS);
        let mut refused = self.refused_at.range(..=priority);
        refused.any(|(_, at)| now.saturating_duration_since(*at) < window)
    }

    /// Highest priority of the requests that could still have met their objective and were refused a moment
    /// ago.
    fn refused_priority(&self, now: Instant) -> Option<u8> {
        let window = self.mean_service_time().mul_f64(REPORTED_REFUSAL_SERVICE_TIMES);
        let mut refused = self.refused_at.iter();
        let (priority, _) = refused.find(|(_, at)| now.saturating_duration_since(**at) < window)?;
        Some(*priority)
    }

    /// Expected time until the response to `item`, if it would miss its objective only because of the back
    /// end's current slowdown, so that another back end might still meet it.
    fn slowed_response_time(&mut self, now: Instant, item: WorkItem) -> Option<Duration> {
        let factor = self.slowdown.factor(now);
        if factor <= 1.0 || item.is_caller_retry || item.is_call() || item.is_late(now) {
            return None;
        }
        let usual_wait = self.expected_wait(now, item);
        if usual_wait > item.max_queue_wait {
            return None;
        }
        let wait = usual_wait.mul_f64(factor);
        let service = item.service.mul_f64(factor);
        let max_queue_wait = item.max_queue_wait.saturating_sub(service.saturating_sub(item.service));
        let is_refused = wait + service > item.left(now) || wait > max_queue_wait;
        is_refused.then_some(wait + service)
    }

    /// Whether requests of lower priority were admitted a moment ago and `item` meets its objective if it is
    /// served before them. Without this exception a request with a long service time would be refused before
    /// they are, whatever its priority.
    fn precedes_admitted(&self, now: Instant, item: &WorkItem, expected: Duration) -> bool {
        let window = self.mean_service_time();
        let mut less_urgent = self.admitted_at.range(item.priority.saturating_add(1)..);
        let is_urgent = less_urgent.any(|(_, at)| now.saturating_duration_since(*at) < window);
        is_urgent && !item.has_reduced_value(now) && expected + item.service <= item.left(now)
    }

    fn on_admitted(&mut self, now: Instant, item: &WorkItem, is_over_share: bool) {
        let admitted = if is_over_share { &mut self.admitted_over_share } else { &mut self.admitted };
        admitted.record(now, item.priority, item.urgency(now), item.service);
        self.admitted_at.insert(item.priority, now);
    }

    /// Whether a slot is free that `item` may take.
    fn has_slot_for(&self, now: Instant, item: &WorkItem) -> bool {
        let may_take = || item.is_call() || self.reserved.may_start_new(now, item.priority, self.slots);
        self.running < self.slots && may_take()
    }

    /// Whether `item` may take a free slot ahead of the waiting requests. Calls never wait while a slot is
    /// free; new requests do if the slot is reserved for calls.
    fn is_first(&self, item: &WorkItem) -> bool {
        self.waiting.is_empty() || item.is_call()
    }

    /// The next request that may take a free slot: `item` at `queue_key`, the first in the queue, or the first
    /// call if the free slots are reserved for calls.
    fn first_with_slot(
        &self,
        now: Instant,
        queue_key: QueueKey,
        item: WorkItem,
    ) -> Option<(QueueKey, WorkItem)> {
        if self.running >= self.slots {
            return None;
        }
        if self.has_slot_for(now, &item) {
            return Some((queue_key, item));
        }
        let call = self.waiting.iter().find(|(queue_key, _)| !queue_key.is_new);
        call.map(|(queue_key, item)| (*queue_key, *item))
    }

    fn start(&mut self, now: Instant, item: &WorkItem) {
        self.running += 1;
        if !item.is_call() {
            self.reserved.on_new_started();
        }
        self.start_limits.on_start(now);
    }

    fn mean_service_time(&self) -> Duration {
        self.service_time.mean().unwrap_or(DEFAULT_SERVICE_TIME)
    }

    /// The first request in the queue. Moves requests that can no longer meet their objective behind the
    /// others of their priority.
    fn first_waiting(&mut self, now: Instant) -> Option<(QueueKey, WorkItem)> {
        loop {
            let (queue_key, item) = self.first_in_order()?;
            if queue_key.is_late || !queue_key.is_new || !item.is_late(now) {
                return Some((queue_key, item));
            }
            self.waiting.remove(&queue_key);
            self.insert(QueueKey { is_late: true, ..queue_key }, item);
        }
    }

    /// The first request by class, then by the tenants' shares, then by the rest of the key.
    fn first_in_order(&self) -> Option<(QueueKey, WorkItem)> {
        let (first, item) = self.waiting.first_key_value()?;
        if self.shares.is_unused() {
            return Some((*first, *item));
        }
        let same_class = self.waiting.iter().take_while(|(queue_key, _)| queue_key.class() == first.class());
        self.shares.first(same_class, self.quantum())
    }

    fn enqueue(&mut self, now: Instant, item: WorkItem) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let queue_key = QueueKey::of(&item, ticket);
        self.insert(queue_key, item);
        if let Some(tenant) = item.tenant {
            self.shares.on_wait(now, tenant);
        }
        ticket
    }

    fn insert(&mut self, queue_key: QueueKey, item: WorkItem) {
        self.waiting.insert(queue_key, item);
        self.queue_keys.insert(queue_key.ticket, queue_key);
    }

    /// Removes a waiting request.
    fn remove(&mut self, queue_key: QueueKey) {
        let item = self.waiting.remove(&queue_key);
        self.queue_keys.remove(&queue_key.ticket);
        if let Some(tenant) = item.and_then(|item| item.tenant) {
            self.shares.on_leave(tenant);
        }
    }
}

impl Default for WorkQueue {
    fn default() -> Self {
        Self::new()
    }
}
