//! The queue before one back end.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use thiserror::Error;
use umberpond_model::TenantNumber;

use crate::admitted_work::AdmittedWork;
use crate::place::Place;
use crate::{ColdPace, LoadReport, ServiceTime, Slowdown};

/// Most requests that may wait, as a multiple of the slots.
const WAITING_PER_SLOT: usize = 20;
/// Assumed service time while nothing is known.
const UNKNOWN_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Share of its expected time that a request must have left to be started: some take less than expected.
const HOPELESS_SHARE: f64 = 0.7;
/// Most of the slots that more urgent requests are reckoned to take from one that waits.
const MOST_OVERTAKING_SHARE: f64 = 0.8;
/// How long a queue counts as contended after it refused a request that could still have met its objective, in times in which one slot
/// becomes free. Meanwhile those that can't any more get no free slot: the next one that can comes within about that time.
const CONTENDED_TURNS: f64 = 1.0;
/// Rank of the requests on which other requests depend.
const FIRST_RANK: u8 = 0;
/// Weight of one request in the share of failed ones.
const FAILURE_WEIGHT: f64 = 0.03;

/// One request as the queue sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkItem {
    /// Rank among the requests for this back end: 0 is served first.
    pub priority: u8,
    /// End of the time within which an answer is of full use.
    pub objective_at: Instant,
    /// End of the time within which an answer is of any use.
    pub deadline: Instant,
    /// When it is given up if it still waits.
    pub hold_until: Instant,
    /// Longest wait with which it is taken in, as far as can be expected.
    pub patience: Duration,
    /// Time that the back end is expected to take for it at its usual speed.
    pub service: Duration,
    /// Whether its caller has sent it before and was refused: its objective can be met only in part by now.
    pub is_later_try: bool,
    /// Tenant on whose behalf it is sent; absent if it is of none.
    pub tenant: Option<TenantNumber>,
    /// What waits for it elsewhere, if it is a call of a run.
    pub call: Option<CallWork>,
}

/// The run at another back end that has made a call and waits for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallWork {
    /// Time for which the run has held its slot. It is lost if the call is refused.
    pub spent: Duration,
}

impl WorkItem {
    /// Whether it has so little time left that it would be given up while it runs.
    fn is_hopeless(&self, now: Instant) -> bool {
        now + self.service.mul_f64(HOPELESS_SHARE) >= self.deadline
    }

    /// Whether others wait for it, which fail without its answer and not by its being late.
    const fn is_depended_on(&self) -> bool {
        self.call.is_some() || self.priority == FIRST_RANK
    }

    /// Time left until the end of its objective.
    fn left(&self, now: Instant) -> Duration {
        self.objective_at.saturating_duration_since(now)
    }

    /// Whether it can no longer be expected to meet its objective.
    fn is_late(&self, now: Instant) -> bool {
        now + self.service > self.objective_at
    }
}

/// Names one waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Why a request is refused before it ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum Refusal {
    /// The back end takes no new work.
    #[error("the back end takes no new work")]
    Closed,
    /// The wait would be longer than the sender allows.
    #[error("the wait would be too long")]
    WaitTooLong {
        /// The wait expected.
        expected: Duration,
    },
    /// The back end is slow at this moment: the answer would be late, but need not be elsewhere.
    #[error("the back end is slow at this moment")]
    Slowed {
        /// Time until the answer that was expected.
        expected: Duration,
    },
    /// Too many requests wait already.
    #[error("too many requests wait already")]
    QueueFull,
    /// It has waited for as long as its sender lets it.
    #[error("it has waited for as long as it may")]
    HeldTooLong,
    /// The deadline passed while the request waited.
    #[error("the deadline passed in the queue")]
    Expired,
}

/// What becomes of an offered request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It has a slot; the caller sends it now and reports its end.
    Start,
    /// It waits under this ticket.
    Wait(Ticket),
    /// It is refused; it has not run.
    Refuse(Refusal),
}

/// A waiting request that leaves the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Started {
    /// It has a slot now.
    Run(Ticket),
    /// Its deadline has passed; it has not run.
    Expire(Ticket),
}

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
    admitted: AdmittedWork,
    /// When a request that could still have met its objective was refused last, by rank.
    refused_at: BTreeMap<u8, Instant>,
    pace: ColdPace,
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
            refused_at: BTreeMap::new(),
            pace: ColdPace::default(),
            slowdown: Slowdown::default(),
        }
    }

    /// Sets how many requests the back end works on at once. Call [`WorkQueue::start_next`] afterwards.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Takes new work from now on.
    pub fn open(&mut self) {
        self.is_open = true;
    }

    /// Takes no new work from now on, and gives up what waits; returns the tickets.
    pub fn close(&mut self) -> Vec<Ticket> {
        self.is_open = false;
        self.give_up_waiting()
    }

    /// Gives up what waits; returns the tickets.
    pub fn give_up_waiting(&mut self) -> Vec<Ticket> {
        self.waiting.clear();
        std::mem::take(&mut self.places).into_keys().collect()
    }

    /// The pace of the back end while it is cold. Call [`WorkQueue::start_next`] after a change.
    pub const fn pace(&mut self) -> &mut ColdPace {
        &mut self.pace
    }

    /// When the pace lets a waiting request start, if nothing but the pace holds it up.
    #[must_use]
    pub fn paced_until(&self, now: Instant) -> Option<Instant> {
        let may_run = !self.waiting.is_empty() && self.running < self.slots;
        if may_run { self.pace.next_start(now) } else { None }
    }

    /// Whether new work is taken.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.is_open
    }

    /// Forgets what is known of the back end's speed: another one stands in its place.
    pub fn forget_service_time(&mut self) {
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
        let has_missed = item.is_later_try || item.is_late(now);
        if has_missed && self.is_contended(now, item.priority) {
            return Decision::Refuse(Refusal::WaitTooLong { expected: self.mean_service_time() });
        }
        if let Some(expected) = self.slowed_end(now, item) {
            return Decision::Refuse(Refusal::Slowed { expected });
        }
        if self.running < self.slots && self.waiting.is_empty() && self.pace.may_start(now) {
            self.start(now);
            self.admitted.record(now, item.left(now), item.service);
            return Decision::Start;
        }
        let expected = self.expected_wait(now, item);
        if expected > item.patience {
            if !has_missed {
                self.refused_at.insert(item.priority, now);
            }
            return Decision::Refuse(Refusal::WaitTooLong { expected });
        }
        if self.waiting.len() >= WAITING_PER_SLOT * self.slots.max(1) as usize {
            return Decision::Refuse(Refusal::QueueFull);
        }
        self.admitted.record(now, item.left(now), item.service);
        Decision::Wait(self.enqueue(item))
    }

    /// Takes a waiting request that can start, or one that has expired. Call it until nothing comes.
    pub fn start_next(&mut self, now: Instant) -> Option<Started> {
        let (place, item) = self.first_waiting(now)?;
        if item.is_hopeless(now) {
            self.remove(place);
            return Some(Started::Expire(place.ticket));
        }
        if self.running >= self.slots || !self.pace.may_start(now) {
            return None;
        }
        self.remove(place);
        self.start(now);
        Some(Started::Run(place.ticket))
    }

    /// Gives up a waiting request, because its sender is gone. `false` if it does not wait any more.
    pub fn withdraw(&mut self, ticket: Ticket) -> bool {
        let Some(place) = self.places.get(&ticket).copied() else { return false };
        self.remove(place);
        true
    }

    /// Takes in that a request has left its slot. `served` is the time the back end took, if it answered, or would have taken at its usual
    /// speed.
    pub fn finish(&mut self, served: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(taken) = served {
            self.service_time.record(taken);
        }
    }

    /// Takes in whether the answer of a request that ran came back sound.
    pub fn record_answer(&mut self, is_sound: bool) {
        let sample = if is_sound { 0.0 } else { 1.0 };
        self.failed_share += (sample - self.failed_share) * FAILURE_WEIGHT;
    }

    /// Expected wait of a request like `item`, if it were offered now: until the requests before it and those that
    /// will overtake it have run, and a slot is free.
    #[must_use]
    pub fn expected_wait(&mut self, now: Instant, item: WorkItem) -> Duration {
        let place = Place::of(&item, Ticket(self.next_ticket));
        let (mut ahead, mut count) = (Duration::ZERO, 0);
        for (_, waiting) in self.waiting.range(..place) {
            ahead += waiting.service;
            count += 1;
        }
        let pace_wait = self.pace.expected_wait(now, count);
        let is_free = self.running < self.slots && ahead.is_zero();
        if is_free {
            return pace_wait;
        }
        let slots = self.slots.max(1);
        let overtaking = self.admitted.overtaking_rate(now, item.left(now)) / f64::from(slots);
        let left_share = 1.0 - overtaking.min(MOST_OVERTAKING_SHARE);
        ((ahead + self.mean_service_time()) / slots).div_f64(left_share).max(pace_wait)
    }

    /// What others are told.
    pub fn report(&mut self, now: Instant) -> LoadReport {
        self.reports += 1;
        let slots = self.pace.usable_slots(now, self.slots, self.mean_service_time());
        LoadReport {
            number: self.reports,
            running: self.running,
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            slots,
            service_micros: self.service_time.mean_micros(),
            failed_permille: permille(self.failed_share),
            slowdown_percent: self.slowdown.percent(now).unwrap_or(0),
            refused_rank: None,
        }
    }

    /// Whether requests of this rank or a more urgent one that could still meet their objective were refused a moment ago.
    fn is_contended(&self, now: Instant, priority: u8) -> bool {
        let turn = self.mean_service_time() / self.slots.max(1);
        let moment = turn.mul_f64(CONTENDED_TURNS);
        let mut refused = self.refused_at.range(..=priority);
        refused.any(|(_, at)| now.saturating_duration_since(*at) < moment)
    }

    /// Time until the answer to `item`, if the present slowness of the back end alone makes it late and another one may still answer in
    /// time.
    fn slowed_end(&mut self, now: Instant, item: WorkItem) -> Option<Duration> {
        let factor = self.slowdown.factor(now);
        if factor <= 1.0 || item.is_later_try || item.is_depended_on() || item.is_late(now) {
            return None;
        }
        let usual_wait = self.expected_wait(now, item);
        if usual_wait > item.patience {
            return None;
        }
        let wait = usual_wait.mul_f64(factor);
        let service = item.service.mul_f64(factor);
        let patience = item.patience.saturating_sub(service.saturating_sub(item.service));
        let is_refused = wait + service > item.left(now) || wait > patience;
        is_refused.then_some(wait + service)
    }

    fn start(&mut self, now: Instant) {
        self.running += 1;
        self.pace.on_start(now);
    }

    fn mean_service_time(&self) -> Duration {
        self.service_time.mean().unwrap_or(UNKNOWN_SERVICE_TIME)
    }

    /// The first in the queue. Those found unable to meet their objective are put behind the others of their priority.
    fn first_waiting(&mut self, now: Instant) -> Option<(Place, WorkItem)> {
        loop {
            let (place, item) = self.waiting.first_key_value().map(|(place, item)| (*place, *item))?;
            if place.is_late || !item.is_late(now) {
                return Some((place, item));
            }
            self.remove(place);
            self.insert(Place { is_late: true, ..place }, item);
        }
    }

    fn enqueue(&mut self, item: WorkItem) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let place = Place::of(&item, ticket);
        self.insert(place, item);
        ticket
    }

    fn insert(&mut self, place: Place, item: WorkItem) {
        self.waiting.insert(place, item);
        self.places.insert(place.ticket, place);
    }

    fn remove(&mut self, place: Place) {
        self.waiting.remove(&place);
        self.places.remove(&place.ticket);
    }
}

impl Default for WorkQueue {
    fn default() -> Self {
        Self::new()
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn permille(share: f64) -> u16 {
    (share * 1000.0).clamp(0.0, 1000.0) as u16
}
