//! The order of requests of several tenants, who is turned away for whom, and what is kept of them.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use quickcheck::QuickCheck;
use umberpond_model::{RequestRate, TenantId};
use umberpond_scheduling::{CallLevel, Decision, Dequeued, Refusal, Ticket, WorkItem, WorkQueue};

const SLOTS: u32 = 9;
const FULL: u64 = 20 * SLOTS as u64;
const GREEDY: u64 = 0;
const SERVICE: Duration = Duration::from_millis(50);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn item(now: Instant, tenant: u64) -> WorkItem {
    WorkItem {
        priority: 1,
        objective_at: now + millis(20_000),
        deadline: now + millis(60_000),
        queue_deadline: now + millis(60_000),
        max_queue_wait: millis(60_000),
        service: SERVICE,
        is_caller_retry: false,
        tenant: Some(TenantId(tenant)),
        call: None,
    }
}

fn open_queue() -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.set_slots(SLOTS);
    queue.open();
    queue
}

fn waits(decision: Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

/// A queue whose slots are taken, and in which `count` requests of the greedy tenant wait.
fn greedy_queue(now: Instant, count: u64) -> (WorkQueue, Vec<Ticket>) {
    let mut queue = open_queue();
    for _ in 0..SLOTS {
        assert_eq!(queue.offer(now, item(now, GREEDY)), Decision::Start);
    }
    let tickets = (0..count).map(|_| waits(queue.offer(now, item(now, GREEDY)))).collect();
    (queue, tickets)
}

/// Ends one run of `tenant`, and starts whatever is next.
fn next(queue: &mut WorkQueue, now: Instant, tenant: u64) -> Option<Dequeued> {
    queue.settle(TenantId(tenant), SERVICE);
    queue.finish(Some(SERVICE));
    queue.start_next(now)
}

/// Lets runs of the greedy tenant take slots that others wait for as well.
fn make_greedy(queue: &mut WorkQueue, now: Instant, turns: u64) {
    for _ in 0..turns {
        next(queue, now, GREEDY).expect("a waiting request");
    }
}

#[test]
fn a_tenant_within_its_share_goes_before_one_that_has_taken_more() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 60);
    make_greedy(&mut queue, now, 30);
    let other = waits(queue.offer(now, item(now, 1)));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(other)));
}

#[test]
fn a_more_urgent_rank_goes_before_any_share() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 60);
    make_greedy(&mut queue, now, 30);
    let _ = waits(queue.offer(now, item(now, 1)));
    let urgent = waits(queue.offer(now, WorkItem { priority: 0, ..item(now, GREEDY) }));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(urgent)));
}

/// The run that waits for it holds a slot elsewhere: held back, it would cost others more than its own time.
#[test]
fn a_call_of_a_run_is_held_back_for_no_share() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 60);
    make_greedy(&mut queue, now, 30);
    let objective_at = now + millis(400);
    let _ = waits(queue.offer(now, WorkItem { objective_at: now + millis(800), ..item(now, 1) }));
    let call = Some(CallLevel::FIRST);
    let call = waits(queue.offer(now, WorkItem { objective_at, call, ..item(now, GREEDY) }));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(call)));
}

/// A later try can meet its objective only in part.
#[test]
fn a_first_try_above_its_share_goes_before_a_later_one_within_it() {
    let now = Instant::now();
    let (mut queue, tickets) = greedy_queue(now, 60);
    make_greedy(&mut queue, now, 30);
    let _ = waits(queue.offer(now, WorkItem { is_caller_retry: true, ..item(now, 1) }));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(tickets[30])));
}

#[test]
fn those_within_their_shares_go_by_their_objectives() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 0);
    let ends_at = |tenant, objective| WorkItem { objective_at: now + millis(objective), ..item(now, tenant) };
    let late = waits(queue.offer(now, ends_at(1, 900)));
    let soon = waits(queue.offer(now, ends_at(2, 300)));
    let middle = waits(queue.offer(now, ends_at(GREEDY, 600)));
    let order: Vec<_> = (0..3).map(|_| next(&mut queue, now, GREEDY)).collect();
    assert_eq!(order, [soon, middle, late].map(|ticket| Some(Dequeued::Run(ticket))));
}

/// What it did not use while it was idle is no credit: it gets no more than a burst before the others.
#[test]
fn a_tenant_that_was_idle_begins_with_the_present_share() {
    let mut now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 100);
    let _ = waits(queue.offer(now, item(now, 1)));
    for _ in 0..60 {
        now += millis(6);
        let _ = queue.offer(now, item(now, GREEDY));
        next(&mut queue, now, GREEDY).expect("a waiting request");
    }
    let back: Vec<Ticket> = (0..60).map(|_| waits(queue.offer(now, item(now, 1)))).collect();
    let starts: Vec<_> = (0..60).map(|_| next(&mut queue, now, GREEDY)).collect();
    let is_back =
        |started: &&Option<Dequeued>| matches!(started, Some(Dequeued::Run(ticket)) if back.contains(ticket));
    let of_it = starts.iter().filter(is_back).count();
    assert!((25..=40).contains(&of_it), "{of_it} of 60");
}

#[test]
fn the_expected_wait_is_short_within_a_share_and_long_above_it() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 100);
    make_greedy(&mut queue, now, 40);
    let _ = waits(queue.offer(now, item(now, 1)));
    let within = queue.expected_wait(now, item(now, 2));
    let above = queue.expected_wait(now, item(now, GREEDY));
    assert!(within <= SERVICE * 2 / SLOTS, "{within:?} counts those that go later");
    assert!(above >= SERVICE * 61 / SLOTS, "{above:?} leaves out those that go first");
}

#[test]
fn a_full_queue_turns_away_the_last_of_the_tenant_furthest_above_its_share() {
    let now = Instant::now();
    let (mut queue, tickets) = greedy_queue(now, FULL);
    let other = waits(queue.offer(now, item(now, 1)));
    let displaced = queue.take_displaced();
    assert_eq!(displaced.len(), 1);
    assert_eq!(displaced[0].ticket, *tickets.last().expect("a ticket"));
    assert!(!queue.withdraw(displaced[0].ticket), "it waits no more, and never runs");
    assert_eq!(queue.offer(now, item(now, GREEDY)), Decision::Refuse(Refusal::QueueFull));
    assert!(queue.take_displaced().is_empty());
    assert!(queue.withdraw(other));
}

#[test]
fn a_more_urgent_request_is_never_displaced() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 0);
    for _ in 0..FULL {
        let _ = waits(queue.offer(now, WorkItem { priority: 0, ..item(now, GREEDY) }));
    }
    assert_eq!(queue.offer(now, item(now, 1)), Decision::Refuse(Refusal::QueueFull));
}

/// Refusals of a tenant above its share don't make others wait for better times.
#[test]
fn refusals_above_a_share_don_t_hold_up_later_tries_of_others() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 30);
    let _ = waits(queue.offer(now, item(now, 1)));
    make_greedy(&mut queue, now, 20);
    let impatient = WorkItem { max_queue_wait: Duration::ZERO, ..item(now, GREEDY) };
    assert!(matches!(queue.offer(now, impatient), Decision::Refuse(Refusal::WaitTooLong { .. })));
    let later = WorkItem { is_caller_retry: true, ..item(now, 2) };
    assert!(matches!(queue.offer(now, later), Decision::Wait(_)));
}

/// Ends that cost more than was expected are charged when they are known.
#[test]
fn what_a_run_has_held_counts_in_place_of_what_was_expected() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 20);
    let honest: Vec<Ticket> = (0..20).map(|_| waits(queue.offer(now, item(now, 1)))).collect();
    let first = next(&mut queue, now, 2);
    assert!(matches!(first, Some(Dequeued::Run(ticket)) if !honest.contains(&ticket)));
    queue.settle(TenantId(GREEDY), SERVICE * 40);
    queue.finish(Some(SERVICE));
    let Some(Dequeued::Run(second)) = queue.start_next(now) else { panic!("requests wait") };
    assert!(honest.contains(&second), "the other one has taken forty times as long as it was expected to");
}

#[test]
fn a_standing_tells_share_and_use() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 40);
    let _ = waits(queue.offer(now, item(now, 1)));
    make_greedy(&mut queue, now, 20);
    let greedy = queue.standing(now, TenantId(GREEDY)).expect("it waits");
    assert_eq!(greedy.share_permille, 500);
    assert!(greedy.use_permille > 900, "{greedy:?}");
    assert_eq!(queue.top_tenants(now, 1), [greedy]);
    assert_eq!(queue.standing(now, TenantId(7)), None);
}

/// A back end that takes the same time for each request, and those that wait for it.
struct BusyBackEnd {
    queue: WorkQueue,
    now: Instant,
    tenants: HashMap<Ticket, u64>,
    ends: VecDeque<(Instant, u64)>,
    started: HashMap<u64, u32>,
}

impl BusyBackEnd {
    fn new() -> Self {
        Self {
            queue: open_queue(),
            now: Instant::now(),
            tenants: HashMap::new(),
            ends: VecDeque::new(),
            started: HashMap::new(),
        }
    }

    fn offer(&mut self, tenant: u64) {
        match self.queue.offer(self.now, item(self.now, tenant)) {
            Decision::Start => self.start(tenant),
            Decision::Wait(ticket) => {
                self.tenants.insert(ticket, tenant);
            }
            Decision::Refuse(_) => {}
        }
        let _ = self.queue.take_displaced();
    }

    fn start(&mut self, tenant: u64) {
        self.ends.push_back((self.now + SERVICE, tenant));
        *self.started.entry(tenant).or_default() += 1;
    }

    /// Lets time pass, and ends and starts what ends and starts then.
    fn pass(&mut self, passed: Duration) {
        self.now += passed;
        while self.ends.front().is_some_and(|(end, _)| *end <= self.now) {
            let (_, tenant) = self.ends.pop_front().expect("a run");
            self.queue.settle(TenantId(tenant), SERVICE);
            self.queue.finish(Some(SERVICE));
        }
        while let Some(started) = self.queue.start_next(self.now) {
            if let Dequeued::Run(ticket) = started {
                self.start(self.tenants[&ticket]);
            }
        }
    }

    /// The requests of a tenant that have started since this was called last.
    fn take_started(&mut self, tenant: u64) -> u32 {
        self.started.remove(&tenant).unwrap_or(0)
    }
}

/// What it takes while nobody else wants it is not held against it later.
#[test]
fn a_tenant_that_took_what_others_left_keeps_its_share() {
    let mut back_end = BusyBackEnd::new();
    for turn in 0..4_000 {
        back_end.pass(SERVICE / SLOTS);
        back_end.offer(GREEDY);
        if turn % 10 == 0 {
            back_end.offer(1);
        }
    }
    back_end.take_started(1);
    for _ in 0..60 {
        back_end.pass(SERVICE / SLOTS);
        back_end.offer(GREEDY);
        (0..2).for_each(|_| back_end.offer(1));
    }
    let started = back_end.take_started(1);
    assert!((25..=40).contains(&started), "{started} of 60");
}

/// Tenants that come once each are always within their shares; one that stays is served nevertheless.
#[test]
fn an_endless_row_of_new_tenants_starves_nobody() {
    let mut back_end = BusyBackEnd::new();
    (0..60).for_each(|_| back_end.offer(GREEDY));
    for newcomer in 1..20_000 {
        back_end.pass(SERVICE / SLOTS);
        back_end.offer(newcomer);
        if newcomer % 20 == 0 {
            back_end.offer(GREEDY);
        }
        if newcomer == 10_000 {
            back_end.take_started(GREEDY);
        }
    }
    assert!(back_end.take_started(GREEDY) > 0, "the greedy one is served nothing for a minute");
}

/// Whatever 10,000 tenants send, something is kept only of those that wait or were served within some seconds.
fn is_what_is_kept_bounded(seed: u64, gap_micros: u16) -> bool {
    let gap = Duration::from_micros(u64::from(gap_micros % 2_000) + 3_000);
    let begun = Instant::now();
    let mut now = begun;
    let mut queue = open_queue();
    let mut numbers = seed;
    let mut ends = VecDeque::new();
    let served_meanwhile = 9 * 5_100 / 50;
    let bound = usize::try_from(FULL).expect("a number") + served_meanwhile;
    while now < begun + millis(12_000) {
        now += gap;
        numbers = numbers.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let tenant = (numbers >> 33) % 10_000;
        if queue.offer(now, item(now, tenant)) == Decision::Start {
            ends.push_back(now + SERVICE);
        }
        while ends.front().is_some_and(|end| *end <= now) {
            ends.pop_front();
            queue.finish(Some(SERVICE));
        }
        while matches!(queue.start_next(now), Some(Dequeued::Run(_))) {
            ends.push_back(now + SERVICE);
        }
        let _ = queue.take_displaced();
        if queue.tenant_count() > bound {
            return false;
        }
    }
    let _ = queue.cancel_waiting();
    queue.tenant_count() == 0
}

#[test]
fn what_is_kept_is_bounded() {
    QuickCheck::new().tests(8).quickcheck(is_what_is_kept_bounded as fn(u64, u16) -> bool);
}

#[test]
fn nothing_is_kept_some_seconds_after_a_tenant_was_active_last() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 20);
    make_greedy(&mut queue, now, 20);
    let other = waits(queue.offer(now, item(now, 1)));
    assert_eq!(queue.tenant_count(), 2);
    let later = now + millis(6_000);
    let _ = queue.report(now);
    let _ = queue.report(later);
    assert_eq!(queue.standing(later, TenantId(GREEDY)), None);
    assert!(queue.standing(later, TenantId(1)).is_some(), "it waits still");
    assert!(queue.withdraw(other));
}

#[test]
fn nothing_is_held_against_anybody_once_a_slot_was_free_and_nobody_waited() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 20);
    make_greedy(&mut queue, now, 20);
    assert_eq!(queue.tenant_count(), 1);
    queue.finish(Some(SERVICE));
    assert_eq!(queue.offer(now, item(now, GREEDY)), Decision::Start);
    assert_eq!(queue.tenant_count(), 0);
}

/// Time in which nothing was kept gives nobody a credit.
#[test]
fn a_pause_in_which_no_tenant_waited_is_no_credit() {
    let begun = Instant::now();
    let (mut queue, tickets) = greedy_queue(begun, 20);
    let _ = queue.report(begun);
    for ticket in tickets {
        assert!(queue.withdraw(ticket));
    }
    let _ = queue.report(begun + millis(10_000));
    assert_eq!(queue.tenant_count(), 0);
    let now = begun + millis(60_000);
    for _ in 0..60 {
        let _ = waits(queue.offer(now, item(now, GREEDY)));
    }
    make_greedy(&mut queue, now, 30);
    let other = waits(queue.offer(now, item(now, 1)));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(other)));
}

/// A cold back end bears less than its slots would; equal parts are those of what it bears.
#[test]
fn shares_hold_at_the_pace_of_a_cold_back_end() {
    let mut back_end = BusyBackEnd::new();
    back_end.queue.cold_start_limiter().set_rate(back_end.now, RequestRate::per_second(20.0).ok());
    (0..100).for_each(|_| back_end.offer(GREEDY));
    for step in 0..2_000 {
        back_end.pass(millis(5));
        back_end.offer(GREEDY);
        if step % 25 == 0 {
            back_end.offer(1);
        }
    }
    let (greedy, other) = (back_end.take_started(GREEDY), back_end.take_started(1));
    assert!(other >= 60, "{other} of 80, and {greedy} of the greedy one");
}
