//! Admission queue of a back end.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_scheduling::{Decision, Dequeued, Refusal, Ticket, WorkItem, WorkQueue};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn item(now: Instant, priority: u8, objective: u64) -> WorkItem {
    WorkItem {
        priority,
        objective_at: now + millis(objective),
        deadline: now + millis(10_000),
        queue_deadline: now + millis(10_000),
        max_queue_wait: millis(10_000),
        service: millis(50),
        is_caller_retry: false,
        tenant: None,
        call: None,
    }
}

fn open_queue(slots: u32) -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.set_slots(slots);
    queue.open();
    queue
}

fn expect_wait(decision: Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

#[test]
fn requests_wait_without_a_free_slot_and_start_once_one_is_released() {
    let now = Instant::now();
    let mut queue = open_queue(2);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let third = expect_wait(queue.offer(now, item(now, 1, 500)));
    assert_eq!(queue.start_next(now), None);
    queue.finish(Some(millis(20)));
    assert_eq!(queue.start_next(now), Some(Dequeued::Run(third)));
    assert_eq!(queue.start_next(now), None);
}

#[test]
fn requests_start_by_priority_then_by_objective() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let low = expect_wait(queue.offer(now, item(now, 2, 300)));
    let late = expect_wait(queue.offer(now, item(now, 1, 900)));
    let soon = expect_wait(queue.offer(now, item(now, 1, 400)));
    let mut order = Vec::new();
    for _ in 0..3 {
        queue.finish(Some(millis(10)));
        let Some(Dequeued::Run(ticket)) = queue.start_next(now) else { panic!("no request waits") };
        order.push(ticket);
    }
    assert_eq!(order, [soon, late, low]);
}

#[test]
fn request_past_its_objective_yields_to_requests_in_time() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    queue.finish(Some(millis(100)));
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let slow = |objective| WorkItem { service: millis(100), ..item(now, 1, objective) };
    let hopeless = expect_wait(queue.offer(now, slow(150)));
    let in_time = expect_wait(queue.offer(now, slow(800)));
    let later = now + millis(120);
    queue.finish(Some(millis(100)));
    assert_eq!(queue.start_next(later), Some(Dequeued::Run(in_time)));
    queue.finish(Some(millis(100)));
    assert_eq!(queue.start_next(later), Some(Dequeued::Run(hopeless)));
}

#[test]
fn too_long_wait_is_refused_with_the_expected_wait() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    queue.finish(Some(millis(100)));
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let impatient = WorkItem { max_queue_wait: millis(50), ..item(now, 1, 500) };
    let refusal = Refusal::WaitTooLong { expected: millis(100) };
    assert_eq!(queue.offer(now, impatient), Decision::Refuse(refusal));
}

#[test]
fn closed_queue_refuses_waiting_and_new_requests_but_not_running_ones() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let waiting = expect_wait(queue.offer(now, item(now, 1, 500)));
    assert_eq!(queue.close(), [waiting]);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Refuse(Refusal::Closed));
    queue.finish(Some(millis(10)));
    assert_eq!(queue.start_next(now), None);
    assert_eq!(queue.report(Instant::now()).running, 0);
}

#[test]
fn request_past_its_deadline_never_runs() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let short = WorkItem { deadline: now + millis(30), service: millis(10), ..item(now, 1, 20) };
    let ticket = expect_wait(queue.offer(now, short));
    queue.finish(Some(millis(50)));
    assert_eq!(queue.start_next(now + millis(50)), Some(Dequeued::Expire(ticket)));
    assert_eq!(queue.offer(now + millis(50), short), Decision::Refuse(Refusal::Expired));
}

#[test]
fn request_that_cannot_finish_before_its_deadline_never_runs() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let long = WorkItem { deadline: now + millis(150), service: millis(120), ..item(now, 1, 140) };
    let ticket = expect_wait(queue.offer(now, long));
    queue.finish(Some(millis(80)));
    assert_eq!(queue.start_next(now + millis(80)), Some(Dequeued::Expire(ticket)));
    assert_eq!(queue.offer(now + millis(80), long), Decision::Refuse(Refusal::Expired));
}

#[test]
fn report_reflects_the_queue_state() {
    let now = Instant::now();
    let mut queue = open_queue(2);
    for _ in 0..5 {
        let _ = queue.offer(now, item(now, 1, 500));
    }
    queue.finish(Some(millis(40)));
    queue.record_response(true);
    let first = queue.report(Instant::now());
    assert_eq!((first.running, first.waiting, first.slots), (1, 3, 2));
    assert_eq!(first.service_time(), Some(millis(40)));
    assert!(queue.report(Instant::now()).number > first.number);
    for _ in 0..30 {
        queue.record_response(false);
    }
    assert!(queue.report(Instant::now()).failed_permille > 500);
}

quickcheck! {
    /// For any sequence of events, no more requests run than there are slots, and no waiting request is lost
    /// or left idle.
    fn running_requests_never_exceed_the_slots(steps: Vec<(u8, u8, u8)>, slots: u8) -> bool {
        let slots = u32::from(slots % 5 + 1);
        let start = Instant::now();
        let mut now = start;
        let mut queue = open_queue(slots);
        let (mut running, mut waiting) = (0_u32, 0_u32);
        for (action, priority, objective) in steps {
            now += millis(u64::from(objective));
            match action % 3 {
                0 => match queue.offer(now, item(now, priority % 4, u64::from(objective))) {
                    Decision::Start => running += 1,
                    Decision::Wait(_) => waiting += 1,
                    Decision::Refuse(_) => {}
                },
                1 if running > 0 => {
                    queue.finish(Some(millis(u64::from(priority))));
                    running -= 1;
                }
                _ => {}
            }
            while let Some(started) = queue.start_next(now) {
                waiting -= 1;
                running += u32::from(matches!(started, Dequeued::Run(_)));
            }
            let report = queue.report(Instant::now());
            let is_idle_with_work = running < slots && waiting > 0;
            if running > slots || report.running != running || report.waiting != waiting || is_idle_with_work {
                return false;
            }
        }
        true
    }
}

#[test]
fn expected_wait_includes_overtaking_requests() {
    let mut now = Instant::now();
    let mut queue = open_queue(2);
    // For one second, more urgent requests arrive one after another and keep half of the slots busy.
    for _ in 0..20 {
        assert_eq!(queue.offer(now, item(now, 1, 100)), Decision::Start);
        queue.finish(Some(millis(50)));
        now += millis(50);
    }
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let patient = queue.expected_wait(now, item(now, 1, 500));
    let urgent = queue.expected_wait(now, item(now, 1, 100));
    assert_eq!(urgent, millis(25), "one of two slots with a service time of 50 ms is released");
    assert!(patient >= millis(35), "{patient:?} ignores the requests that arrive meanwhile");
    now += millis(5_000);
    assert!(
        queue.expected_wait(now, item(now, 1, 500)) < millis(26),
        "no overtaking request arrived recently"
    );
}

#[test]
fn first_attempts_precede_retries_of_the_same_priority() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let later = expect_wait(queue.offer(now, WorkItem { is_caller_retry: true, ..item(now, 1, 400) }));
    let first = expect_wait(queue.offer(now, item(now, 1, 600)));
    let less_urgent = expect_wait(queue.offer(now, item(now, 2, 300)));
    let order: Vec<Option<Dequeued>> = (0..3)
        .map(|_| {
            queue.finish(Some(millis(10)));
            queue.start_next(now)
        })
        .collect();
    assert_eq!(order, [first, later, less_urgent].map(|ticket| Some(Dequeued::Run(ticket))));
}

/// A request that can no longer meet its objective must not take a free slot that a request in time is about
/// to claim.
#[test]
fn late_request_takes_no_free_slot_while_the_queue_is_contended() {
    let epoch = Instant::now();
    let mut queue = WorkQueue::new();
    queue.set_slots(1);
    queue.open();
    let in_time = item(epoch, 1, 1_000);
    assert_eq!(queue.offer(epoch, in_time), Decision::Start);
    queue.finish(Some(Duration::from_millis(100)));
    assert_eq!(queue.offer(epoch, in_time), Decision::Start);
    let impatient = WorkItem { max_queue_wait: Duration::ZERO, ..in_time };
    assert!(matches!(queue.offer(epoch, impatient), Decision::Refuse(_)));
    queue.finish(Some(Duration::from_millis(100)));
    let later = WorkItem { is_caller_retry: true, ..in_time };
    let soon = epoch + Duration::from_millis(40);
    assert!(matches!(queue.offer(soon, later), Decision::Refuse(Refusal::WaitTooLong { .. })));
    let more_urgent = WorkItem { priority: 0, ..later };
    assert_eq!(queue.offer(soon, more_urgent), Decision::Start, "no request of its priority was refused");
    queue.finish(Some(Duration::from_millis(100)));
    assert_eq!(queue.offer(epoch + Duration::from_millis(110), later), Decision::Start);
}
