//! Calls of runs, whose slots are lost if the calls are refused, in the queue of a service that callers fill too.

use std::time::{Duration, Instant};

use umberpond_scheduling::{CallLevel, Decision, Dequeued, Refusal, Ticket, WorkItem, WorkQueue};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A new request of rank 1.
fn new_work(now: Instant, objective: u64) -> WorkItem {
    WorkItem {
        priority: 1,
        objective_at: now + millis(objective),
        deadline: now + millis(2_000),
        queue_deadline: now + millis(2_000),
        max_queue_wait: millis(2_000),
        service: millis(50),
        is_caller_retry: false,
        tenant: None,
        call: None,
    }
}

fn call(now: Instant, objective: u64) -> WorkItem {
    WorkItem { call: Some(CallLevel::FIRST), ..new_work(now, objective) }
}

/// A queue before one slot, which is taken.
fn busy_queue(now: Instant) -> WorkQueue {
    queue_busy_with(now, new_work(now, 500))
}

fn queue_busy_with(now: Instant, item: WorkItem) -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.reserve_slots_for_calls(true);
    queue.set_slots(1);
    queue.open();
    assert_eq!(queue.offer(now, item), Decision::Start);
    queue
}

fn waits(decision: Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

fn next_run(queue: &mut WorkQueue, now: Instant) -> Ticket {
    queue.finish(Some(millis(50)));
    let Some(Dequeued::Run(ticket)) = queue.start_next(now) else { panic!("nothing runs") };
    ticket
}

#[test]
fn a_call_goes_before_new_requests_of_its_rank_also_when_it_is_late_and_after_more_urgent_ones() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let new = waits(queue.offer(now, new_work(now, 300)));
    let late = waits(queue.offer(now, call(now, 20)));
    let urgent = waits(queue.offer(now, WorkItem { priority: 0, ..new_work(now, 900) }));
    assert_eq!([(); 3].map(|()| next_run(&mut queue, now)), [urgent, late, new]);
}

#[test]
fn a_late_call_is_taken_in_where_a_late_new_request_is_refused() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let impatient = WorkItem { max_queue_wait: Duration::ZERO, ..new_work(now, 500) };
    assert!(matches!(queue.offer(now, impatient), Decision::Refuse(Refusal::WaitTooLong { .. })));
    assert!(matches!(queue.offer(now, new_work(now, 20)), Decision::Refuse(Refusal::WaitTooLong { .. })));
    waits(queue.offer(now, call(now, 20)));
}

#[test]
fn a_queue_full_of_new_requests_takes_calls() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let patient = WorkItem { max_queue_wait: millis(100_000), ..new_work(now, 500) };
    while matches!(queue.offer(now, patient), Decision::Wait(_)) {}
    assert_eq!(queue.offer(now, patient), Decision::Refuse(Refusal::QueueFull));
    let call = waits(queue.offer(now, call(now, 300)));
    assert_eq!(next_run(&mut queue, now), call);
}

/// A new request that is taken in is overtaken by the calls that come while it waits, so that it waits longer than for what lies before it.
#[test]
fn the_wait_expected_of_a_new_request_reckons_with_the_calls_that_will_come() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let new = new_work(now, 10);
    let before = queue.expected_wait(now, new);
    for _ in 0..20 {
        waits(queue.offer(now, call(now, 300)));
        next_run(&mut queue, now);
    }
    assert!(queue.expected_wait(now, new) > before * 2);
}

#[test]
fn the_report_tells_the_most_urgent_rank_refused_until_all_slots_may_have_turned_over() {
    let now = Instant::now();
    let mut queue = queue_busy_with(now, WorkItem { priority: 0, ..new_work(now, 500) });
    assert_eq!(queue.report(now).refused_priority, None);
    let refuse = |queue: &mut WorkQueue, priority, at| {
        let impatient = WorkItem { priority, max_queue_wait: Duration::ZERO, ..new_work(at, 500) };
        assert!(matches!(queue.offer(at, impatient), Decision::Refuse(Refusal::WaitTooLong { .. })));
    };
    refuse(&mut queue, 2, now);
    assert_eq!(queue.report(now).refused_priority, Some(2));
    refuse(&mut queue, 0, now + millis(30));
    assert_eq!(queue.report(now + millis(30)).refused_priority, Some(0));
    refuse(&mut queue, 2, now + millis(70));
    assert_eq!(queue.report(now + millis(70)).refused_priority, Some(0));
    assert_eq!(
        queue.report(now + millis(81)).refused_priority,
        Some(2),
        "nothing is known of a longer service time"
    );
    assert_eq!(queue.report(now + millis(121)).refused_priority, None);
}

/// Two calls of one run meet queues that are as long: both are taken in, or both refused.
#[test]
fn a_call_of_a_low_level_is_taken_in_with_a_wait_with_which_one_of_a_high_level_is_refused() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    queue.offer(now, new_work(now, 500));
    let of_level = |level| {
        let work = CallLevel::from_hash(level);
        WorkItem { call: Some(work), max_queue_wait: millis(80), ..new_work(now, 300) }
    };
    let wait = queue.expected_wait(now, of_level(0));
    assert!(wait > millis(40) && wait < millis(80), "{wait:?} is more than half of the patience");
    assert!(matches!(queue.offer(now, of_level(31)), Decision::Refuse(Refusal::WaitTooLong { .. })));
    waits(queue.offer(now, of_level(0)));
}

/// A queue before four slots, to which calls of `rank` have come that take half of them.
fn queue_with_calls(now: Instant, rank: u8) -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.reserve_slots_for_calls(true);
    queue.set_slots(4);
    queue.open();
    for number in 0..100 {
        let at = now + millis(25 * number);
        let call = WorkItem { priority: rank, ..call(at, 300) };
        assert_eq!(queue.offer(at, call), Decision::Start);
        queue.finish_call(Some(millis(50)));
    }
    queue
}

#[test]
fn new_requests_leave_slots_to_calls_in_the_measure_in_which_calls_have_come() {
    let now = Instant::now();
    let mut queue = queue_with_calls(now, 1);
    let now = now + millis(2_500);
    let free = (0..4).filter(|_| queue.offer(now, new_work(now, 500)) == Decision::Start).count();
    assert_eq!(free, 2);
    assert_eq!(queue.start_next(now), None, "two slots are kept");
    assert_eq!(queue.offer(now, call(now, 300)), Decision::Start);
    assert_eq!(queue.offer(now, call(now, 300)), Decision::Start);
    waits(queue.offer(now, call(now, 300)));
}

#[test]
fn slots_are_kept_for_calls_no_longer_once_they_do_not_come_and_never_from_more_urgent_requests() {
    let now = Instant::now();
    let mut queue = queue_with_calls(now, 1);
    let later = now + millis(6_000);
    assert!((0..4).all(|_| queue.offer(later, new_work(later, 500)) == Decision::Start));
    let mut queue = queue_with_calls(now, 1);
    let now = now + millis(2_500);
    let urgent = WorkItem { priority: 0, ..new_work(now, 500) };
    assert!((0..4).all(|_| queue.offer(now, urgent) == Decision::Start));
}
