//! The queue before a back end.

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

fn waits(decision: Decision) -> Ticket {
    let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
    ticket
}

#[test]
fn slots_are_given_until_there_are_none_and_again_when_one_is_free() {
    let now = Instant::now();
    let mut queue = open_queue(2);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let third = waits(queue.offer(now, item(now, 1, 500)));
    assert_eq!(queue.start_next(now), None);
    queue.finish(Some(millis(20)));
    assert_eq!(queue.start_next(now), Some(Dequeued::Run(third)));
    assert_eq!(queue.start_next(now), None);
}

#[test]
fn the_more_urgent_kind_goes_first_then_the_one_whose_objective_ends_first() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let low = waits(queue.offer(now, item(now, 2, 300)));
    let late = waits(queue.offer(now, item(now, 1, 900)));
    let soon = waits(queue.offer(now, item(now, 1, 400)));
    let mut order = Vec::new();
    for _ in 0..3 {
        queue.finish(Some(millis(10)));
        let Some(Dequeued::Run(ticket)) = queue.start_next(now) else { panic!("nothing waits") };
        order.push(ticket);
    }
    assert_eq!(order, [soon, late, low]);
}

#[test]
fn a_request_that_can_no_longer_meet_its_objective_lets_those_pass_that_can() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    queue.finish(Some(millis(100)));
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let slow = |objective| WorkItem { service: millis(100), ..item(now, 1, objective) };
    let hopeless = waits(queue.offer(now, slow(150)));
    let in_time = waits(queue.offer(now, slow(800)));
    let later = now + millis(120);
    queue.finish(Some(millis(100)));
    assert_eq!(queue.start_next(later), Some(Dequeued::Run(in_time)));
    queue.finish(Some(millis(100)));
    assert_eq!(queue.start_next(later), Some(Dequeued::Run(hopeless)));
}

#[test]
fn a_wait_longer_than_the_sender_allows_is_refused_with_the_wait_expected() {
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
fn a_closed_queue_refuses_what_waits_and_what_comes_and_lets_run_what_runs() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let waiting = waits(queue.offer(now, item(now, 1, 500)));
    assert_eq!(queue.close(), [waiting]);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Refuse(Refusal::Closed));
    queue.finish(Some(millis(10)));
    assert_eq!(queue.start_next(now), None);
    assert_eq!(queue.report(Instant::now()).running, 0);
}

#[test]
fn a_request_whose_deadline_has_passed_never_runs() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let short = WorkItem { deadline: now + millis(30), service: millis(10), ..item(now, 1, 20) };
    let ticket = waits(queue.offer(now, short));
    queue.finish(Some(millis(50)));
    assert_eq!(queue.start_next(now + millis(50)), Some(Dequeued::Expire(ticket)));
    assert_eq!(queue.offer(now + millis(50), short), Decision::Refuse(Refusal::Expired));
}

#[test]
fn a_request_that_could_not_be_finished_in_time_is_not_begun() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let long = WorkItem { deadline: now + millis(150), service: millis(120), ..item(now, 1, 140) };
    let ticket = waits(queue.offer(now, long));
    queue.finish(Some(millis(80)));
    assert_eq!(queue.start_next(now + millis(80)), Some(Dequeued::Expire(ticket)));
    assert_eq!(queue.offer(now + millis(80), long), Decision::Refuse(Refusal::Expired));
}

#[test]
fn the_report_tells_what_was_counted() {
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
    /// Whatever happens in whatever order: never more run than there are slots, and nobody is forgotten.
    fn never_more_run_than_there_are_slots(steps: Vec<(u8, u8, u8)>, slots: u8) -> bool {
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
fn the_expected_wait_reckons_with_those_that_will_overtake() {
    let mut now = Instant::now();
    let mut queue = open_queue(2);
    // For a second, more urgent requests come one after another and keep half of the slots busy.
    for _ in 0..20 {
        assert_eq!(queue.offer(now, item(now, 1, 100)), Decision::Start);
        queue.finish(Some(millis(50)));
        now += millis(50);
    }
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let patient = queue.expected_wait(now, item(now, 1, 500));
    let urgent = queue.expected_wait(now, item(now, 1, 100));
    assert_eq!(urgent, millis(25), "one of two slots of 50 ms gets free");
    assert!(patient >= millis(35), "{patient:?} leaves out those that come meanwhile");
    now += millis(5_000);
    assert!(queue.expected_wait(now, item(now, 1, 500)) < millis(26), "none has come for a while");
}

#[test]
fn first_tries_go_before_later_ones_of_the_same_kind() {
    let now = Instant::now();
    let mut queue = open_queue(1);
    assert_eq!(queue.offer(now, item(now, 1, 500)), Decision::Start);
    let later = waits(queue.offer(now, WorkItem { is_caller_retry: true, ..item(now, 1, 400) }));
    let first = waits(queue.offer(now, item(now, 1, 600)));
    let less_urgent = waits(queue.offer(now, item(now, 2, 300)));
    let order: Vec<Option<Dequeued>> = (0..3)
        .map(|_| {
            queue.finish(Some(millis(10)));
            queue.start_next(now)
        })
        .collect();
    assert_eq!(order, [first, later, less_urgent].map(|ticket| Some(Dequeued::Run(ticket))));
}

/// What can't meet its objective any more takes no slot for which another one is about to come.
#[test]
fn a_late_request_takes_no_free_slot_just_after_one_in_time_was_refused() {
    let begun = Instant::now();
    let mut queue = WorkQueue::new();
    queue.set_slots(1);
    queue.open();
    let in_time = item(begun, 1, 1_000);
    assert_eq!(queue.offer(begun, in_time), Decision::Start);
    queue.finish(Some(Duration::from_millis(100)));
    assert_eq!(queue.offer(begun, in_time), Decision::Start);
    let impatient = WorkItem { max_queue_wait: Duration::ZERO, ..in_time };
    assert!(matches!(queue.offer(begun, impatient), Decision::Refuse(_)));
    queue.finish(Some(Duration::from_millis(100)));
    let later = WorkItem { is_caller_retry: true, ..in_time };
    let soon = begun + Duration::from_millis(40);
    assert!(matches!(queue.offer(soon, later), Decision::Refuse(Refusal::WaitTooLong { .. })));
    let more_urgent = WorkItem { priority: 0, ..later };
    assert_eq!(queue.offer(soon, more_urgent), Decision::Start, "nothing of its own rank was refused");
    queue.finish(Some(Duration::from_millis(100)));
    assert_eq!(queue.offer(begun + Duration::from_millis(110), later), Decision::Start);
}
