//! Priority of calls over new requests in the queue of a called service.

use std::time::{Duration, Instant};

use umberpond_scheduling::{CallLevel, Decision, Dequeued, Refusal, Ticket, WorkItem, WorkQueue};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A new request of priority 1.
fn new_request(now: Instant, objective: u64) -> WorkItem {
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
    WorkItem { call: Some(CallLevel::FIRST), ..new_request(now, objective) }
}

/// A queue with one slot, which is taken.
fn busy_queue(now: Instant) -> WorkQueue {
    queue_busy_with(now, new_request(now, 500))
}

fn queue_busy_with(now: Instant, item: WorkItem) -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.reserve_slots_for_calls(true);
    queue.set_slots(1);
    queue.open();
    assert_eq!(queue.offer(now, item), Decision::Start);
    queue
}

fn expect_wait(decision: Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

fn next_run(queue: &mut WorkQueue, now: Instant) -> Ticket {
    queue.finish(Some(millis(50)));
    let Some(Dequeued::Run(ticket)) = queue.start_next(now) else { panic!("no request started") };
    ticket
}

#[test]
fn late_call_precedes_new_requests_of_its_priority_but_not_more_urgent_ones() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let new = expect_wait(queue.offer(now, new_request(now, 300)));
    let late = expect_wait(queue.offer(now, call(now, 20)));
    let urgent = expect_wait(queue.offer(now, WorkItem { priority: 0, ..new_request(now, 900) }));
    assert_eq!([(); 3].map(|()| next_run(&mut queue, now)), [urgent, late, new]);
}

#[test]
fn late_call_is_admitted_where_a_late_new_request_is_refused() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let impatient = WorkItem { max_queue_wait: Duration::ZERO, ..new_request(now, 500) };
    assert!(matches!(queue.offer(now, impatient), Decision::Refuse(Refusal::WaitTooLong { .. })));
    assert!(matches!(queue.offer(now, new_request(now, 20)), Decision::Refuse(Refusal::WaitTooLong { .. })));
    expect_wait(queue.offer(now, call(now, 20)));
}

#[test]
fn queue_full_of_new_requests_admits_calls() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let patient = WorkItem { max_queue_wait: millis(100_000), ..new_request(now, 500) };
    while matches!(queue.offer(now, patient), Decision::Wait(_)) {}
    assert_eq!(queue.offer(now, patient), Decision::Refuse(Refusal::QueueFull));
    let call = expect_wait(queue.offer(now, call(now, 300)));
    assert_eq!(next_run(&mut queue, now), call);
}

/// Calls that arrive while an admitted new request waits overtake it, so its wait exceeds the work that was
/// ahead of it on arrival.
#[test]
fn expected_wait_of_a_new_request_includes_calls_that_will_overtake_it() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let new = new_request(now, 10);
    let before = queue.expected_wait(now, new);
    for _ in 0..20 {
        expect_wait(queue.offer(now, call(now, 300)));
        next_run(&mut queue, now);
    }
    assert!(queue.expected_wait(now, new) > before * 2);
}

#[test]
fn report_holds_the_most_urgent_refused_priority_for_one_service_time() {
    let now = Instant::now();
    let mut queue = queue_busy_with(now, WorkItem { priority: 0, ..new_request(now, 500) });
    assert_eq!(queue.report(now).refused_priority, None);
    let refuse = |queue: &mut WorkQueue, priority, at| {
        let impatient = WorkItem { priority, max_queue_wait: Duration::ZERO, ..new_request(at, 500) };
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
        "the refusal of priority 0 expires after the assumed service time of 50 ms"
    );
    assert_eq!(queue.report(now + millis(121)).refused_priority, None);
}

/// Two calls of one run that find queues of equal length must both be admitted or both be refused.
#[test]
fn low_level_call_is_admitted_at_a_wait_at_which_a_high_level_call_is_refused() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    queue.offer(now, new_request(now, 500));
    let of_level = |level| {
        let call_level = CallLevel::from_hash(level);
        WorkItem { call: Some(call_level), max_queue_wait: millis(80), ..new_request(now, 300) }
    };
    let wait = queue.expected_wait(now, of_level(0));
    assert!(
        wait > millis(40) && wait < millis(80),
        "{wait:?} is not between half of the maximum wait and all of it"
    );
    assert!(matches!(queue.offer(now, of_level(31)), Decision::Refuse(Refusal::WaitTooLong { .. })));
    expect_wait(queue.offer(now, of_level(0)));
}

/// A queue with four slots, to which calls of `priority` were offered that take half of the slots.
fn queue_with_calls(now: Instant, priority: u8) -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.reserve_slots_for_calls(true);
    queue.set_slots(4);
    queue.open();
    for number in 0..100 {
        let at = now + millis(25 * number);
        let call = WorkItem { priority, ..call(at, 300) };
        assert_eq!(queue.offer(at, call), Decision::Start);
        queue.finish_call(Some(millis(50)));
    }
    queue
}

#[test]
fn slots_are_reserved_for_calls_in_proportion_to_offered_calls() {
    let now = Instant::now();
    let mut queue = queue_with_calls(now, 1);
    let now = now + millis(2_500);
    let free = (0..4).filter(|_| queue.offer(now, new_request(now, 500)) == Decision::Start).count();
    assert_eq!(free, 2);
    assert_eq!(queue.start_next(now), None, "two slots are reserved");
    assert_eq!(queue.offer(now, call(now, 300)), Decision::Start);
    assert_eq!(queue.offer(now, call(now, 300)), Decision::Start);
    expect_wait(queue.offer(now, call(now, 300)));
}

#[test]
fn reservation_ends_without_calls_and_never_blocks_more_urgent_requests() {
    let now = Instant::now();
    let mut queue = queue_with_calls(now, 1);
    let later = now + millis(6_000);
    assert!((0..4).all(|_| queue.offer(later, new_request(later, 500)) == Decision::Start));
    let mut queue = queue_with_calls(now, 1);
    let now = now + millis(2_500);
    let urgent = WorkItem { priority: 0, ..new_request(now, 500) };
    assert!((0..4).all(|_| queue.offer(now, urgent) == Decision::Start));
}
