//! The queue before one back end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::admitted_work::AdmittedWork;
use crate::fair_shares::{FairShares, TenantUsage, WaitingTurns};
use crate::kept_slots::KeptSlots;
use crate::load::permille;
use crate::place::Place;
use crate::{
    ColdStartLimiter, Decision, Dequeued, DisplacedRequest, LoadReport, Refusal, ServiceTime, Slowdown,
    Ticket, WorkItem,
};

/// Assumed service time while nothing is known.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Most of the slots that more urgent requests are reckoned to take from one that waits.
const MOST_OVERTAKING_SHARE: f64 = 0.8;
/// How long a queue counts as contended after it refused a request that could still have met its objective, in times in which one slot
/// becomes free. Meanwhile those that can't any more get no free slot: the next one that can comes within about that time.
const CONTENDED_TURNS: f64 = 1.0;
/// For how long others are told of a refused request, in times that the back end takes for one: until each slot has become free once.
const TOLD_REFUSAL_TURNS: f64 = 1.0;
/// What a tenant may be ahead of its share before others go first, in mean service times: requests come in bursts, and a tenant that
/// sends less than its share on the whole is to be found within it.
const QUANTUM_REQUESTS: u32 = 8;
/// What a request above its tenant's share reckons with of the work of the others, as a multiple of their present one. It waits for all of
/// that, and the work varies while it does.
const OTHERS_MARGIN: f64 = 1.15;
/// Weight of one request in the share of failed ones.
const FAILURE_WEIGHT: f64 = 0.03;

/// The queue before one back end, and what is known of its speed.
#[derive(Debug)]
pub struct WorkQueue {
    slots: u32,
    is_open: bool,
    running: u32,
    waiting: BTreeMap<Place, WorkItem>,
    places: BTreeMap<Ticket, Place>,
    next_ticket: u64,
    service_time: ServiceTime,
    failed_share: f64,
    reports: u64,
    /// Work of tenants within their shares, and of none.
    admitted: AdmittedWork,
    /// Work of tenants above their shares.
    admitted_above: AdmittedWork,
    shares: FairShares,
    displaced: Vec<DisplacedRequest>,
    kept: KeptSlots,
    /// When a request that could still have met its objective was refused last, by rank.
    refused_at: BTreeMap<u8, Instant>,
    /// When a request was admitted last, by rank.
    admitted_at: BTreeMap<u8, Instant>,
    cold_start_limiter: ColdStartLimiter,
    slowdown: Slowdown,
}

impl WorkQueue {
    /// An empty queue that takes no work yet.
    #[must_use]
    pub fn new() -> Self {
        Self {
            slots: 0,
            is_open: false,
            running: 0,
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            next_ticket: 0,
            service_time: ServiceTime::default(),
            failed_share: 0.0,
            reports: 0,
            admitted: AdmittedWork::default(),
            admitted_above: AdmittedWork::default(),
            shares: FairShares::default(),
            displaced: Vec::new(),
            kept: KeptSlots::default(),
            refused_at: BTreeMap::new(),
            admitted_at: BTreeMap::new(),
            cold_start_limiter: ColdStartLimiter::default(),
            slowdown: Slowdown::default(),
        }
    }

    /// Sets how many requests the back end works on at once. Call [`WorkQueue::start_next`] afterwards.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets whether new requests leave slots to calls, in the measure in which calls have come; they don't unless this is set.
    pub const fn reserve_slots_for_calls(&mut self, is_on: bool) {
        self.kept.switch(is_on);
    }

    /// Takes new work from now on.
    pub fn open(&mut self) {
        self.is_open = true;
    }

    /// Takes no new work from now on, and gives up what waits; returns the tickets.
    pub fn close(&mut self) -> Vec<Ticket> {
        self.is_open = false;
        self.cancel_waiting()
    }

    /// Gives up what waits; returns the tickets.
    pub fn cancel_waiting(&mut self) -> Vec<Ticket> {
        self.waiting.clear();
        self.shares.clear();
        std::mem::take(&mut self.places).into_keys().collect()
    }

    /// The pace of the back end while it is cold. Call [`WorkQueue::start_next`] after a change.
    pub const fn cold_start_limiter(&mut self) -> &mut ColdStartLimiter {
        &mut self.cold_start_limiter
    }

    /// When the pace lets a waiting request start, if nothing but the pace holds it up.
    #[must_use]
    pub fn rate_limited_until(&self, now: Instant) -> Option<Instant> {
        let may_run = !self.waiting.is_empty() && self.running < self.slots;
        if may_run { self.cold_start_limiter.next_start(now) } else { None }
    }

    /// Whether new work is taken.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Forgets what is known of the back end's speed: another one stands in its place.
    pub fn reset_statistics(&mut self) {
        self.service_time = ServiceTime::default();
        self.slowdown = Slowdown::default();
        self.failed_share = 0.0;
    }

    /// How long work takes at the back end, by its last word.
    pub const fn slowdown(&mut self) -> &mut Slowdown {
        &mut self.slowdown
    }

    /// Offers a request.
    pub fn offer(&mut self, now: Instant, item: WorkItem) -> Decision {
        if !self.is_open {
            return Decision::Refuse(Refusal::Closed);
        }
        if item.is_hopeless(now) {
            return Decision::Refuse(Refusal::Expired);
        }
        if item.is_call() {
            self.kept.on_call_offered(now, item.priority, item.service);
        }
        let has_missed = item.has_missed(now);
        if has_missed && self.is_contended(now, item.priority) {
            return Decision::Refuse(Refusal::WaitTooLong { expected: self.mean_service_time() });
        }
        if let Some(expected) = self.slowed_end(now, item) {
            return Decision::Refuse(Refusal::BackEndSlow { expected });
        }
        if self.has_slot_for(now, &item) && self.is_first(&item) && self.cold_start_limiter.may_start(now) {
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
        if expected > item.longest_wait() && !self.is_before_admitted(now, &item, expected) {
            if !has_missed && !is_over_share {
                self.refused_at.insert(item.priority, now);
            }
            return Decision::Refuse(Refusal::WaitTooLong { expected });
        }
        let is_full = self.waiting.len() >= item.waiting_per_slot() * self.slots.max(1) as usize;
        if is_full && !self.displace_for(item) {
            return Decision::Refuse(Refusal::QueueFull);
        }
        self.on_admitted(now, &item, is_over_share);
        Decision::Wait(self.enqueue(now, item))
    }

    /// Takes a waiting request that can start, or one that has expired. Call it until nothing comes.
    pub fn start_next(&mut self, now: Instant) -> Option<Dequeued> {
        let (place, item) = self.first_waiting(now)?;
        if item.is_hopeless(now) {
            self.remove(place);
            return Some(Dequeued::Expire(place.ticket));
        }
        let (place, item) = self.first_with_slot(now, place, item)?;
        if !self.cold_start_limiter.may_start(now) {
            return None;
        }
        self.remove(place);
        self.start(now, &item);
        if let Some(tenant) = item.tenant {
            self.shares.advance(now, self.running);
            self.shares.on_start(now, tenant, item.service, self.quantum());
        }
        Some(Dequeued::Run(place.ticket))
    }

    /// The waiting requests that had to make room for others since this was called last.
    pub fn take_displaced(&mut self) -> Vec<DisplacedRequest> {
        std::mem::take(&mut self.displaced)
    }

    /// Takes in that a request of `tenant` held its slot for `held`; zero if it was given up before it ran. [`WorkQueue::finish`] follows.
    pub fn settle(&mut self, tenant: TenantId, held: Duration) {
        self.shares.settle(tenant, held);
    }

    /// How a tenant stands; absent if none of its requests has waited of late.
    #[must_use]
    pub fn standing(&self, now: Instant, tenant: TenantId) -> Option<TenantUsage> {
        self.shares.standing(now, tenant, self.quantum())
    }

    /// The `count` tenants that took most slot time of late while others waited, the greatest first.
    #[must_use]
    pub fn top_tenants(&self, now: Instant, count: usize) -> Vec<TenantUsage> {
        self.shares.greatest(now, count, self.quantum())
    }

    /// Number of tenants of which something is kept.
    #[must_use]
    pub fn tenant_count(&self) -> usize {
        self.shares.tenant_count()
    }

    /// Gives up a waiting request, because its sender is gone. `false` if it does not wait any more.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.places.get(&ticket).copied() else { return false };
        self.remove(place);
        true
    }

    /// Takes in that a new request has left its slot. `served` is the time the back end took, if it answered, or would have taken at its usual
    /// speed.
    pub fn finish(&mut self, served: Option<Duration>) {
        self.kept.on_new_finished();
        self.leave_slot(served);
    }

    /// As [`WorkQueue::finish`], of a call.
    pub fn finish_call(&mut self, served: Option<Duration>) {
        self.leave_slot(served);
    }

    fn leave_slot(&mut self, served: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(taken) = served {
            self.service_time.record(taken);
        }
    }

    /// Takes in whether the answer of a request that ran came back sound.
    pub fn record_response(&mut self, is_sound: bool) {
        let sample = if is_sound { 0.0 } else { 1.0 };
        self.failed_share += (sample - self.failed_share) * FAILURE_WEIGHT;
    }

    /// Expected wait of a request like `item`, if it were offered now: until the requests before it and those that
    /// will overtake it have run, and a slot is free.
    #[must_use]
    pub fn expected_wait(&mut self, now: Instant, item: WorkItem) -> Duration {
        let (ahead, count) = self.work_ahead(&item);
        let pace_wait = self.cold_start_limiter.expected_wait(now, count);
        let is_free = self.has_slot_for(now, &item) && ahead.is_zero();
        if is_free {
            return pace_wait;
        }
        let slots = self.slots.max(1);
        let overtaking = self.overtaking_rate(now, &item) / f64::from(slots);
        let left_share = 1.0 - overtaking.min(MOST_OVERTAKING_SHARE);
        ((ahead + self.mean_service_time()) / slots).div_f64(left_share).max(pace_wait)
    }

    /// Time that the waiting requests before `item` take, and how many they are.
    fn work_ahead(&self, item: &WorkItem) -> (Duration, usize) {
        if !self.shares.is_unused() {
            return self.turns(item).ahead();
        }
        let place = Place::of(item, Ticket(self.next_ticket));
        let before = self.waiting.range(..place);
        before.fold((Duration::ZERO, 0), |(time, count), (_, waiting)| (time + waiting.service, count + 1))
    }

    /// The order in which `item` and those that wait get slots.
    fn turns(&self, item: &WorkItem) -> WaitingTurns<'_> {
        let place = Place::of(item, Ticket(self.next_ticket));
        self.shares.turns(self.waiting.iter(), place, item, self.quantum())
    }

    /// Seconds of service a second that go to requests which overtake `item`.
    fn overtaking_rate(&mut self, now: Instant, item: &WorkItem) -> f64 {
        let (rank, left) = (item.priority, item.urgency(now));
        if !self.shares.is_over_share(item, self.quantum()) {
            return self.admitted.overtaking_rate(now, rank, left);
        }
        OTHERS_MARGIN * self.admitted.rate(now, rank) + self.admitted_above.overtaking_rate(now, rank, left)
    }

    /// Makes room for `item` in a full queue; `false` if nobody who waits is further above its share.
    fn displace_for(&mut self, item: WorkItem) -> bool {
        let Some(place) = self.turns(&item).displaced() else { return false };
        let work: Duration = self.waiting.values().map(|waiting| waiting.service).sum();
        self.remove(place);
        self.displaced.push(DisplacedRequest { ticket: place.ticket, expected: work / self.slots.max(1) });
        true
    }

    /// Slot time that a tenant may be ahead of its share before others go first.
    fn quantum(&self) -> Duration {
        self.mean_service_time() * QUANTUM_REQUESTS
    }

    /// What others are told.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.reports += 1;
        self.shares.advance(now, self.running);
        let slots = self.cold_start_limiter.usable_slots(now, self.slots, self.mean_service_time());
        LoadReport {
            number: self.reports,
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots,
            service_micros: self.service_time.mean_micros(),
            failed_permille: permille(self.failed_share),
            slowdown_percent: self.slowdown.percent(now).unwrap_or(0),
            refused_priority: self.refused_priority(now),
        }
    }

    /// Whether requests wait for a slot, or were refused one a moment ago.
    #[must_use]
    pub fn is_slot_wanted(&self, now: Instant) -> bool {
        !self.waiting.is_empty() || self.refused_priority(now).is_some()
    }

    /// Whether requests of this rank or a more urgent one that could still meet their objective were refused a moment ago.
    fn is_contended(&self, now: Instant, priority: u8) -> bool {
        let turn = self.mean_service_time() / self.slots.max(1);
        let moment = turn.mul_f64(CONTENDED_TURNS);
        let mut refused = self.refused_at.range(..=priority);
        refused.any(|(_, at)| now.saturating_duration_since(*at) < moment)
    }

    /// The most urgent rank of which requests that could still have met their objective were refused a moment ago.
    fn refused_priority(&self, now: Instant) -> Option<u8> {
        let moment = self.mean_service_time().mul_f64(TOLD_REFUSAL_TURNS);
        let mut refused = self.refused_at.iter();
        let (rank, _) = refused.find(|(_, at)| now.saturating_duration_since(**at) < moment)?;
        Some(*rank)
    }

    /// Time until the answer to `item`, if the present slowness of the back end alone makes it late and another one may still answer in
    /// time.
    fn slowed_end(&mut self, now: Instant, item: WorkItem) -> Option<Duration> {
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

    /// Whether less urgent requests were admitted a moment ago, and the item meets its objective if it goes before them. What takes long by itself
    /// would be refused sooner than they are otherwise, however urgent it is.
    fn is_before_admitted(&self, now: Instant, item: &WorkItem, expected: Duration) -> bool {
        let moment = self.mean_service_time();
        let mut less_urgent = self.admitted_at.range(item.priority.saturating_add(1)..);
        let is_urgent = less_urgent.any(|(_, at)| now.saturating_duration_since(*at) < moment);
        is_urgent && !item.has_missed(now) && expected + item.service <= item.left(now)
    }

    fn on_admitted(&mut self, now: Instant, item: &WorkItem, is_over_share: bool) {
        let admitted = if is_over_share { &mut self.admitted_above } else { &mut self.admitted };
        admitted.record(now, item.priority, item.urgency(now), item.service);
        self.admitted_at.insert(item.priority, now);
    }

    /// Whether a slot is free that `item` may take.
    fn has_slot_for(&self, now: Instant, item: &WorkItem) -> bool {
        let may_take = || item.is_call() || self.kept.may_start_new(now, item.priority, self.slots);
        self.running < self.slots && may_take()
    }

    /// Whether nothing waits before `item`, if a slot is free for it. Calls don't wait while a slot is free, but new requests do if it is kept.
    fn is_first(&self, item: &WorkItem) -> bool {
        self.waiting.is_empty() || item.is_call()
    }

    /// The first that may take a free slot: `item`, which waits at `place` before all others, or the first call if the free slots are kept for calls.
    fn first_with_slot(&self, now: Instant, place: Place, item: WorkItem) -> Option<(Place, WorkItem)> {
        if self.running >= self.slots {
            return None;
        }
        if self.has_slot_for(now, &item) {
            return Some((place, item));
        }
        let call = self.waiting.iter().find(|(place, _)| !place.is_new);
        call.map(|(place, item)| (*place, *item))
    }

    fn start(&mut self, now: Instant, item: &WorkItem) {
        self.running += 1;
        if !item.is_call() {
            self.kept.on_new_started();
        }
        self.cold_start_limiter.on_start(now);
    }

    fn mean_service_time(&self) -> Duration {
        self.service_time.mean().unwrap_or(UNKNOWN_SERVICE_TIME)
    }

    /// The first in the queue. Those found unable to meet their objective are put behind the others of their priority.
    fn first_waiting(&mut self, now: Instant) -> Option<(Place, WorkItem)> {
        loop {
            let (place, item) = self.first_in_order()?;
            if place.is_late || !place.is_new || !item.is_late(now) {
                return Some((place, item));
            }
            self.waiting.remove(&place);
            self.insert(Place { is_late: true, ..place }, item);
        }
    }

    /// The first in the queue: by class, then by the shares of tenants, then by the rest of the place.
    fn first_in_order(&self) -> Option<(Place, WorkItem)> {
        let (first, item) = self.waiting.first_key_value()?;
        if self.shares.is_unused() {
            return Some((*first, *item));
        }
        let same_class = self.waiting.iter().take_while(|(place, _)| place.class() == first.class());
        self.shares.first(same_class, self.quantum())
    }

    fn enqueue(&mut self, now: Instant, item: WorkItem) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let place = Place::of(&item, ticket);
        self.insert(place, item);
        if let Some(tenant) = item.tenant {
            self.shares.on_wait(now, tenant);
        }
        ticket
    }

    fn insert(&mut self, place: Place, item: WorkItem) {
        self.waiting.insert(place, item);
        self.places.insert(place.ticket, place);
    }

    /// Takes out a request that waits no more.
    fn remove(&mut self, place: Place) {
        let item = self.waiting.remove(&place);
        self.places.remove(&place.ticket);
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
