//! Back ends that are temporarily slow and report it.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_scheduling::{CallLevel, Decision, InvalidSlowdown, Refusal, Slowdown, WorkItem, WorkQueue};

/// Longer than the lifetime of a report.
const AFTER_EXPIRY: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn item(now: Instant, objective: u64, service: u64) -> WorkItem {
    WorkItem {
        priority: 1,
        objective_at: now + millis(objective),
        deadline: now + millis(2_000),
        queue_deadline: now + millis(2_000),
        max_queue_wait: millis(objective / 2).saturating_sub(millis(service)),
        service: millis(service),
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

fn slow_queue(now: Instant, percent: u16) -> WorkQueue {
    let mut queue = open_queue(4);
    queue.slowdown().on_report(now, percent).unwrap();
    queue
}

#[test]
fn report_takes_effect_immediately_and_expires() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    assert_eq!(slowdown.percent(now), None);
    slowdown.on_report(now, 250).unwrap();
    assert_eq!(slowdown.percent(now + millis(100)), Some(250));
    slowdown.on_report(now + millis(100), 100).unwrap();
    assert!((95..=100).contains(&slowdown.percent(now + millis(110)).unwrap()));
    assert_eq!(slowdown.percent(now + AFTER_EXPIRY), None);
}

/// Service times are measured under the same reports, so a back end that always reports a slowdown is not
/// slower than its measured times.
#[test]
fn reports_are_relative_to_their_average() {
    let mut now = Instant::now();
    let mut slowdown = Slowdown::default();
    for _ in 0..1_000 {
        now += millis(10);
        slowdown.on_report(now, 200).unwrap();
    }
    assert_eq!(slowdown.percent(now), Some(100));
    slowdown.on_report(now, 500).unwrap();
    assert_eq!(slowdown.percent(now), Some(250));
}

/// A slow phase spans some tens of reports and must not pass for the usual speed before it ends.
#[test]
fn slow_phase_is_detected_until_its_end() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    for _ in 0..30 {
        slowdown.on_report(now, 250).unwrap();
    }
    assert!(slowdown.factor(now) > 1.6, "{}", slowdown.factor(now));
}

#[test]
fn out_of_range_report_is_ignored() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    slowdown.on_report(now, 250).unwrap();
    for percent in [0, 1, u16::MAX] {
        assert_eq!(slowdown.on_report(now, percent), Err(InvalidSlowdown { percent }));
    }
    assert_eq!(slowdown.percent(now), Some(250));
}

#[test]
fn slow_response_time_is_recorded_at_average_speed() {
    let now = Instant::now();
    let mut queue = slow_queue(now, 250);
    let usual = queue.slowdown().normalized_time(now, millis(250));
    queue.finish(Some(usual));
    let report = queue.report(now);
    assert_eq!(report.service_time(), Some(millis(100)));
    assert_eq!(report.slowdown_percent, 250);
    assert_eq!(queue.report(now + AFTER_EXPIRY).slowdown_percent, 0);
}

#[test]
fn request_late_only_at_this_back_end_is_refused_immediately() {
    let now = Instant::now();
    let request = item(now, 250, 110);
    assert_eq!(open_queue(4).offer(now, request), Decision::Start);
    let refused = slow_queue(now, 250).offer(now, request);
    assert_eq!(refused, Decision::Refuse(Refusal::BackEndSlow { expected: millis(275) }));
    assert_eq!(slow_queue(now, 150).offer(now, request), Decision::Start);
    assert_eq!(slow_queue(now, 50).offer(now, request), Decision::Start);
}

/// A request that can't do better at another back end is treated as if no slowdown were reported.
#[test]
fn retries_and_requests_late_anywhere_are_not_refused_for_slowness() {
    let now = Instant::now();
    let later_try = WorkItem { is_caller_retry: true, ..item(now, 250, 110) };
    assert_eq!(slow_queue(now, 250).offer(now, later_try), Decision::Start);
    assert_eq!(slow_queue(now, 250).offer(now, item(now, 100, 110)), Decision::Start);
}

/// A run fails if its call is refused, and its time is wasted; it continues if the call is late.
#[test]
fn call_of_a_run_is_not_refused_for_slowness() {
    let now = Instant::now();
    let call = CallLevel::FIRST;
    let of_a_run = WorkItem { call: Some(call), ..item(now, 60, 28) };
    assert_eq!(slow_queue(now, 250).offer(now, of_a_run), Decision::Start);
    let alone = slow_queue(now, 250).offer(now, item(now, 60, 28));
    assert!(matches!(alone, Decision::Refuse(Refusal::BackEndSlow { .. })), "{alone:?}");
}

#[test]
fn expected_wait_grows_with_the_slowdown() {
    let now = Instant::now();
    let request = WorkItem { max_queue_wait: millis(60), ..item(now, 250, 40) };
    let offer_to_full = |queue: &mut WorkQueue| {
        for _ in 0..4 {
            assert_eq!(queue.offer(now, request), Decision::Start);
        }
        queue.offer(now, request)
    };
    assert!(matches!(offer_to_full(&mut open_queue(4)), Decision::Wait(_)));
    let slowed = offer_to_full(&mut slow_queue(now, 250));
    assert!(matches!(slowed, Decision::Refuse(Refusal::BackEndSlow { .. })), "{slowed:?}");
}

/// Guards against starving a back end: it sends no reports without requests, so a report that never expired
/// would keep requests away forever.
#[test]
fn back_end_without_reports_gets_requests_again() {
    let now = Instant::now();
    let mut queue = slow_queue(now, 600);
    assert!(matches!(queue.offer(now, item(now, 250, 110)), Decision::Refuse(_)));
    let later = now + AFTER_EXPIRY;
    assert_eq!(queue.offer(later, item(later, 250, 110)), Decision::Start);
}

#[test]
fn replaced_back_end_starts_without_a_slowdown() {
    let now = Instant::now();
    let mut queue = slow_queue(now, 600);
    queue.reset_statistics();
    assert_eq!(queue.report(now).slowdown_percent, 0);
}

quickcheck! {
    /// Any report yields a factor within the valid range, and nothing panics.
    fn any_report_yields_a_factor_in_range(reports: Vec<(u16, u16)>) -> bool {
        let mut slowdown = Slowdown::default();
        let mut now = Instant::now();
        reports.into_iter().all(|(percent, after)| {
            now += millis(u64::from(after));
            let _ = slowdown.on_report(now, percent);
            let factor = slowdown.factor(now);
            (0.1..=100.0).contains(&factor) && slowdown.normalized_time(now, AFTER_EXPIRY) <= AFTER_EXPIRY * 10
        })
    }
}
