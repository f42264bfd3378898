//! A more urgent kind of request is served no worse than a less urgent one of the same service.

use std::time::{Duration, Instant};

use umberpond_scheduling::{Decision, Refusal, WorkItem, WorkQueue};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// An order, which leaves time to wait.
fn order(now: Instant) -> WorkItem {
    WorkItem {
        priority: 1,
        objective_at: now + millis(400),
        deadline: now + millis(1_000),
        queue_deadline: now + millis(400),
        max_queue_wait: millis(80),
        service: millis(140),
        is_caller_retry: false,
        tenant: None,
        call: None,
    }
}

/// A lookup, which takes so long by itself that its sender has no patience left.
fn lookup(now: Instant) -> WorkItem {
    WorkItem { priority: 0, max_queue_wait: Duration::ZERO, service: millis(270), ..order(now) }
}

/// A queue before two slots, which orders have taken.
fn queue_with_orders(now: Instant) -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.set_slots(2);
    queue.open();
    for _ in 0..2 {
        assert_eq!(queue.offer(now, order(now)), Decision::Start);
    }
    queue
}

/// Lookups of rank 0 took 270 ms with their calls, of an objective of 400 ms, and orders of rank 1 took 140 ms at the same back ends. Two of 3,317 lookups were answered in
/// time and 7,272 of 9,297 orders: whoever was expected beyond about a half of its objective was refused unless a slot was free, and orders waited for each slot.
#[test]
fn a_request_is_not_refused_while_less_urgent_ones_are_admitted() {
    let now = Instant::now();
    let mut queue = queue_with_orders(now);
    assert!(matches!(queue.offer(now, lookup(now)), Decision::Wait(_)));
}

#[test]
fn it_is_refused_where_it_would_be_late_all_the_same_or_less_urgent_ones_were_admitted_long_ago() {
    let now = Instant::now();
    let mut queue = queue_with_orders(now);
    let late = WorkItem { service: millis(390), ..lookup(now) };
    assert!(matches!(queue.offer(now, late), Decision::Refuse(Refusal::WaitTooLong { .. })));
    let later = now + millis(200);
    assert!(matches!(queue.offer(later, lookup(later)), Decision::Refuse(Refusal::WaitTooLong { .. })));
    let mut queue = queue_with_orders(now);
    let equal = WorkItem { priority: 1, ..lookup(now) };
    assert!(matches!(queue.offer(now, equal), Decision::Refuse(Refusal::WaitTooLong { .. })));
}

/// Browsing of rank 2 has 250 ms and payments of rank 1 have 400 ms, at the same back ends. Those with less time left go first within a rank only.
#[test]
fn the_wait_expected_of_an_urgent_request_does_not_reckon_with_less_urgent_ones_that_come_later() {
    let now = Instant::now();
    let browsing = |now| WorkItem { priority: 2, objective_at: now + millis(250), ..order(now) };
    let mut queue = queue_with_orders(now);
    let before = queue.expected_wait(now, order(now));
    let mut later = now;
    for _ in 0..40 {
        later += millis(10);
        queue.finish(None);
        assert_eq!(queue.offer(later, browsing(later)), Decision::Start);
    }
    assert_eq!(queue.expected_wait(later, order(later)), before);
    assert!(queue.expected_wait(later, WorkItem { priority: 2, ..order(later) }) > before);
}
