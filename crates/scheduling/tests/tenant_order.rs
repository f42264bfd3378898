//! Service order between tenants, eviction from a full queue, and the lifetime of per-tenant state.

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

fn expect_wait(decision: Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

/// A queue whose slots are taken and in which `count` requests of the greedy tenant wait.
fn greedy_queue(now: Instant, count: u64) -> (WorkQueue, Vec<Ticket>) {
    let mut queue = open_queue();
    for _ in 0..SLOTS {
        assert_eq!(queue.offer(now, item(now, GREEDY)), Decision::Start);
    }
    let tickets = (0..count).map(|_| expect_wait(queue.offer(now, item(now, GREEDY)))).collect();
    (queue, tickets)
}

/// Ends one run of `tenant` and starts the next request.
fn next(queue: &mut WorkQueue, now: Instant, tenant: u64) -> Option<Dequeued> {
    queue.settle(TenantId(tenant), SERVICE);
    queue.finish(Some(SERVICE));
    queue.start_next(now)
}

/// Lets the greedy tenant take `runs` slots while others wait.
fn run_greedy_requests(queue: &mut WorkQueue, now: Instant, runs: u64) {
    for _ in 0..runs {
        next(queue, now, GREEDY).expect("a waiting request");
    }
}

#[test]
fn tenant_within_its_share_precedes_one_above_it() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 60);
    run_greedy_requests(&mut queue, now, 30);
    let other = expect_wait(queue.offer(now, item(now, 1)));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(other)));
}

#[test]
fn priority_takes_precedence_over_shares() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 60);
    run_greedy_requests(&mut queue, now, 30);
    let _ = expect_wait(queue.offer(now, item(now, 1)));
    let urgent = expect_wait(queue.offer(now, WorkItem { priority: 0, ..item(now, GREEDY) }));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(urgent)));
}

/// The run that waits for a call holds a slot elsewhere, so delaying the call would cost other tenants more
/// than its own service time.
#[test]
fn call_is_not_delayed_by_the_share_of_its_tenant() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 60);
    run_greedy_requests(&mut queue, now, 30);
    let objective_at = now + millis(400);
    let _ = expect_wait(queue.offer(now, WorkItem { objective_at: now + millis(800), ..item(now, 1) }));
    let call = Some(CallLevel::FIRST);
    let call = expect_wait(queue.offer(now, WorkItem { objective_at, call, ..item(now, GREEDY) }));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(call)));
}

/// A retry can meet its objective only in part.
#[test]
fn first_attempt_above_its_share_precedes_a_retry_within_it() {
    let now = Instant::now();
    let (mut queue, tickets) = greedy_queue(now, 60);
    run_greedy_requests(&mut queue, now, 30);
    let _ = expect_wait(queue.offer(now, WorkItem { is_caller_retry: true, ..item(now, 1) }));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(tickets[30])));
}

#[test]
fn tenants_within_their_shares_are_served_by_objective() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 0);
    let ends_at = |tenant, objective| WorkItem { objective_at: now + millis(objective), ..item(now, tenant) };
    let late = expect_wait(queue.offer(now, ends_at(1, 900)));
    let soon = expect_wait(queue.offer(now, ends_at(2, 300)));
    let middle = expect_wait(queue.offer(now, ends_at(GREEDY, 600)));
    let order: Vec<_> = (0..3).map(|_| next(&mut queue, now, GREEDY)).collect();
    assert_eq!(order, [soon, middle, late].map(|ticket| Some(Dequeued::Run(ticket))));
}

/// Unused share isn't saved up while a tenant is idle: afterwards it gets at most one burst ahead of the
/// others.
#[test]
fn idle_tenant_accumulates_no_credit() {
    let mut now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 100);
    let _ = expect_wait(queue.offer(now, item(now, 1)));
    for _ in 0..60 {
        now += millis(6);
        let _ = queue.offer(now, item(now, GREEDY));
        next(&mut queue, now, GREEDY).expect("a waiting request");
    }
    let back: Vec<Ticket> = (0..60).map(|_| expect_wait(queue.offer(now, item(now, 1)))).collect();
    let starts: Vec<_> = (0..60).map(|_| next(&mut queue, now, GREEDY)).collect();
    let is_back =
        |started: &&Option<Dequeued>| matches!(started, Some(Dequeued::Run(ticket)) if back.contains(ticket));
    let own_starts = starts.iter().filter(is_back).count();
    assert!((25..=40).contains(&own_starts), "{own_starts} of 60 slots");
}

#[test]
fn expected_wait_is_short_within_a_share_and_long_above_it() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 100);
    run_greedy_requests(&mut queue, now, 40);
    let _ = expect_wait(queue.offer(now, item(now, 1)));
    let within = queue.expected_wait(now, item(now, 2));
    let above = queue.expected_wait(now, item(now, GREEDY));
    assert!(within <= SERVICE * 2 / SLOTS, "{within:?} includes requests that are served later");
    assert!(above >= SERVICE * 61 / SLOTS, "{above:?} ignores requests that are served first");
}

#[test]
fn full_queue_evicts_the_last_request_of_the_tenant_furthest_above_its_share() {
    let now = Instant::now();
    let (mut queue, tickets) = greedy_queue(now, FULL);
    let other = expect_wait(queue.offer(now, item(now, 1)));
    let displaced = queue.take_displaced();
    assert_eq!(displaced.len(), 1);
    assert_eq!(displaced[0].ticket, *tickets.last().expect("a ticket"));
    assert!(!queue.withdraw(displaced[0].ticket), "an evicted request no longer waits");
    assert_eq!(queue.offer(now, item(now, GREEDY)), Decision::Refuse(Refusal::QueueFull));
    assert!(queue.take_displaced().is_empty());
    assert!(queue.withdraw(other));
}

#[test]
fn more_urgent_request_is_never_displaced() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 0);
    for _ in 0..FULL {
        let _ = expect_wait(queue.offer(now, WorkItem { priority: 0, ..item(now, GREEDY) }));
    }
    assert_eq!(queue.offer(now, item(now, 1)), Decision::Refuse(Refusal::QueueFull));
}

/// Guards against treating a queue as contended because of refusals that only a tenant above its share gets.
#[test]
fn refusals_above_a_share_do_not_block_retries_of_other_tenants() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 30);
    let _ = expect_wait(queue.offer(now, item(now, 1)));
    run_greedy_requests(&mut queue, now, 20);
    let impatient = WorkItem { max_queue_wait: Duration::ZERO, ..item(now, GREEDY) };
    assert!(matches!(queue.offer(now, impatient), Decision::Refuse(Refusal::WaitTooLong { .. })));
    let later = WorkItem { is_caller_retry: true, ..item(now, 2) };
    assert!(matches!(queue.offer(now, later), Decision::Wait(_)));
}

/// A tenant whose requests take longer than expected is charged the difference once it is known.
#[test]
fn measured_slot_time_replaces_the_expected_charge() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 20);
    let other_tickets: Vec<Ticket> = (0..20).map(|_| expect_wait(queue.offer(now, item(now, 1)))).collect();
    let first = next(&mut queue, now, 2);
    assert!(matches!(first, Some(Dequeued::Run(ticket)) if !other_tickets.contains(&ticket)));
    queue.settle(TenantId(GREEDY), SERVICE * 40);
    queue.finish(Some(SERVICE));
    let Some(Dequeued::Run(second)) = queue.start_next(now) else { panic!("no request started") };
    assert!(other_tickets.contains(&second), "the greedy tenant took forty times the expected service time");
}

#[test]
fn usage_reports_share_and_use() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 40);
    let _ = expect_wait(queue.offer(now, item(now, 1)));
    run_greedy_requests(&mut queue, now, 20);
    let greedy = queue.tenant_usage(now, TenantId(GREEDY)).expect("it waits");
    assert_eq!(greedy.share_permille, 500);
    assert!(greedy.use_permille > 900, "{greedy:?}");
    assert_eq!(queue.top_tenants(now, 1), [greedy]);
    assert_eq!(queue.tenant_usage(now, TenantId(7)), None);
}

/// A back end with a constant service time, and its waiting requests.
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

    /// Advances the time, ends the runs that are due and starts waiting requests.
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

    /// Number of a tenant's requests that have started since the last call.
    fn take_started(&mut self, tenant: u64) -> u32 {
        self.started.remove(&tenant).unwrap_or(0)
    }
}

/// Guards against charging a tenant for slot time that no other tenant wanted.
#[test]
fn uncontended_slot_time_is_not_charged() {
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
    assert!((25..=40).contains(&started), "{started} of 60 slots");
}

/// Guards against starvation by one-time tenants, which are always within their shares.
#[test]
fn endless_new_tenants_do_not_starve_a_lasting_one() {
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
    assert!(back_end.take_started(GREEDY) > 0, "the greedy tenant is starved for a minute");
}

/// State is kept only for tenants that wait or were recently served, whatever 10,000 tenants send.
fn is_tenant_state_bounded(seed: u64, gap_micros: u16) -> bool {
    let gap = Duration::from_micros(u64::from(gap_micros % 2_000) + 3_000);
    let epoch = Instant::now();
    let mut now = epoch;
    let mut queue = open_queue();
    let mut numbers = seed;
    let mut ends = VecDeque::new();
    let served_meanwhile = 9 * 5_100 / 50;
    let bound = usize::try_from(FULL).expect("a number") + served_meanwhile;
    while now < epoch + millis(12_000) {
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
fn tenant_state_is_bounded() {
    QuickCheck::new().tests(8).quickcheck(is_tenant_state_bounded as fn(u64, u16) -> bool);
}

#[test]
fn idle_tenant_state_expires() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 20);
    run_greedy_requests(&mut queue, now, 20);
    let other = expect_wait(queue.offer(now, item(now, 1)));
    assert_eq!(queue.tenant_count(), 2);
    let later = now + millis(6_000);
    let _ = queue.report(now);
    let _ = queue.report(later);
    assert_eq!(queue.tenant_usage(later, TenantId(GREEDY)), None);
    assert!(queue.tenant_usage(later, TenantId(1)).is_some(), "tenant 1 still waits");
    assert!(queue.withdraw(other));
}

#[test]
fn accounting_resets_once_a_slot_is_free_and_no_request_waits() {
    let now = Instant::now();
    let (mut queue, _) = greedy_queue(now, 20);
    run_greedy_requests(&mut queue, now, 20);
    assert_eq!(queue.tenant_count(), 1);
    queue.finish(Some(SERVICE));
    assert_eq!(queue.offer(now, item(now, GREEDY)), Decision::Start);
    assert_eq!(queue.tenant_count(), 0);
}

/// Time without any waiting tenant must not advance the virtual time and thereby give a tenant credit.
#[test]
fn pause_without_waiting_tenants_gives_no_credit() {
    let epoch = Instant::now();
    let (mut queue, tickets) = greedy_queue(epoch, 20);
    let _ = queue.report(epoch);
    for ticket in tickets {
        assert!(queue.withdraw(ticket));
    }
    let _ = queue.report(epoch + millis(10_000));
    assert_eq!(queue.tenant_count(), 0);
    let now = epoch + millis(60_000);
    for _ in 0..60 {
        let _ = expect_wait(queue.offer(now, item(now, GREEDY)));
    }
    run_greedy_requests(&mut queue, now, 30);
    let other = expect_wait(queue.offer(now, item(now, 1)));
    assert_eq!(next(&mut queue, now, GREEDY), Some(Dequeued::Run(other)));
}

/// A cold back end has less capacity than its slots suggest; equal shares refer to that capacity.
#[test]
fn shares_hold_at_the_rate_of_a_cold_back_end() {
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
    assert!(other >= 60, "tenant 1 got {other} of 80 requests served, the greedy tenant {greedy}");
}
