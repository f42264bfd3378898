//! Rate limit of a back end that is or may be cold.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_model::RequestRate;
use umberpond_scheduling::{ColdStartLimiter, Decision, WorkItem, WorkQueue};

const LIMIT: usize = 13;
const WINDOW: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rate() -> RequestRate {
    RequestRate::per_second(13.0).expect("a rate")
}

/// A limiter whose first window has passed and whose back end was found warm.
fn warm_limiter(start: Instant) -> ColdStartLimiter {
    let mut cold_start_limiter = ColdStartLimiter::default();
    cold_start_limiter
        .set_rate(start.checked_sub(WINDOW).expect("the clock started more than a second ago"), Some(rate()));
    cold_start_limiter.on_warmth_probe_sent();
    cold_start_limiter.on_warmth_probe_succeeded();
    cold_start_limiter
}

fn started(cold_start_limiter: &mut ColdStartLimiter, now: Instant, offered: usize) -> usize {
    let mut started = 0;
    while started < offered && cold_start_limiter.may_start(now) {
        cold_start_limiter.on_start(now);
        started += 1;
    }
    started
}

#[test]
fn service_without_a_cold_rate_is_not_limited() {
    let now = Instant::now();
    let mut cold_start_limiter = ColdStartLimiter::default();
    cold_start_limiter.on_cold(now, millis(3_000));
    assert_eq!(started(&mut cold_start_limiter, now, 1_000), 1_000);
    assert!(!cold_start_limiter.needs_warmth_probe(now));
}

#[test]
fn cold_back_end_gets_its_rate_in_each_second() {
    let now = Instant::now();
    let mut cold_start_limiter = warm_limiter(now);
    cold_start_limiter.on_cold(now, millis(3_000));
    assert_eq!(started(&mut cold_start_limiter, now, 100), LIMIT);
    assert_eq!(cold_start_limiter.next_start(now), Some(now + WINDOW));
    assert_eq!(started(&mut cold_start_limiter, now + millis(999), 100), 0);
    assert_eq!(started(&mut cold_start_limiter, now + WINDOW, 100), LIMIT);
}

#[test]
fn warm_back_end_is_not_limited_while_probes_confirm_it() {
    let start = Instant::now();
    let mut cold_start_limiter = warm_limiter(start);
    for step in 0..200 {
        let now = start + millis(10 * step);
        assert_eq!(started(&mut cold_start_limiter, now, 1), 1);
        if cold_start_limiter.needs_warmth_probe(now) {
            cold_start_limiter.on_warmth_probe_sent();
            cold_start_limiter.on_warmth_probe_succeeded();
        }
    }
}

#[test]
fn back_end_without_probe_results_gets_the_cold_rate() {
    let now = Instant::now();
    let mut cold_start_limiter = warm_limiter(now);
    assert_eq!(started(&mut cold_start_limiter, now, 100), LIMIT);
    assert!(cold_start_limiter.needs_warmth_probe(now));
    cold_start_limiter.on_warmth_probe_sent();
    cold_start_limiter.on_warmth_probe_failed();
    assert_eq!(started(&mut cold_start_limiter, now + millis(500), 100), 0);
    assert_eq!(started(&mut cold_start_limiter, now + WINDOW, 100), LIMIT);
}

#[test]
fn new_process_counts_requests_that_its_predecessor_may_have_started() {
    let now = Instant::now();
    let mut cold_start_limiter = ColdStartLimiter::default();
    cold_start_limiter.set_rate(now, Some(rate()));
    cold_start_limiter.on_cold(now, millis(3_000));
    assert_eq!(started(&mut cold_start_limiter, now + millis(900), 100), 0);
    assert_eq!(started(&mut cold_start_limiter, now + WINDOW, 100), LIMIT);
}

#[test]
fn older_probe_result_does_not_override_a_cold_report() {
    let now = Instant::now();
    let mut cold_start_limiter = warm_limiter(now);
    cold_start_limiter.on_warmth_probe_sent();
    cold_start_limiter.on_cold(now, millis(3_000));
    cold_start_limiter.on_warmth_probe_succeeded();
    assert_eq!(started(&mut cold_start_limiter, now, 100), LIMIT);
    assert_eq!(started(&mut cold_start_limiter, now + millis(10), 100), 0);
}

#[test]
fn queue_applies_the_limiter_to_starts_waits_and_reported_slots() {
    let now = Instant::now();
    let mut queue = WorkQueue::new();
    queue.set_slots(40);
    queue.open();
    queue.cold_start_limiter().set_rate(now - WINDOW, Some(rate()));
    queue.cold_start_limiter().on_cold(now, millis(3_000));
    let item = WorkItem {
        priority: 1,
        objective_at: now + millis(5_000),
        deadline: now + millis(5_000),
        queue_deadline: now + millis(5_000),
        max_queue_wait: millis(1_500),
        service: millis(100),
        is_caller_retry: false,
        tenant: None,
        call: None,
    };
    let decisions: Vec<Decision> = (0..100).map(|_| queue.offer(now, item)).collect();
    let count = |wanted: fn(&Decision) -> bool| decisions.iter().filter(|decision| wanted(decision)).count();
    assert_eq!(count(|decision| *decision == Decision::Start), LIMIT);
    assert_eq!(count(|decision| matches!(decision, Decision::Wait(_))), LIMIT);
    assert_eq!(queue.rate_limited_until(now), Some(now + WINDOW));
    assert!(queue.start_next(now + millis(999)).is_none());
    assert!(queue.start_next(now + WINDOW).is_some());
    assert!(queue.report(now).slots < 5);
    assert_eq!(queue.report(now + millis(3_000) + WINDOW).number, 2);
}

/// A back end that turns cold at arbitrary times and answers probes late.
struct SimulatedBackEnd {
    cold_until: Option<Instant>,
    /// Arrival times since it turned cold.
    arrivals: Vec<Instant>,
    probe_result: Option<(Instant, Option<Duration>)>,
}

quickcheck! {
    /// A cold back end never gets more than its rate in any second, whenever it turns cold and however late
    /// or incomplete the probe results are.
    fn cold_back_end_never_exceeds_its_rate_in_any_second(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut cold_start_limiter = warm_limiter(now);
        let mut back_end = SimulatedBackEnd { cold_until: None, arrivals: Vec::new(), probe_result: None };
        for (action, pause, detail) in steps {
            now += millis(u64::from(pause % 40) * 5);
            if back_end.cold_until.is_some_and(|until| until <= now) {
                back_end.cold_until = None;
                back_end.arrivals.clear();
            }
            if let Some((at, result)) = back_end.probe_result.filter(|(at, _)| *at <= now) {
                back_end.probe_result = None;
                match result {
                    _ if detail % 5 == 0 => cold_start_limiter.on_warmth_probe_failed(),
                    Some(cold_for) => cold_start_limiter.on_cold(now, cold_for.saturating_sub(now - at)),
                    None => cold_start_limiter.on_warmth_probe_succeeded(),
                }
            }
            match action % 4 {
                0 => back_end.cold_until = Some(now + millis(u64::from(detail) * 20)),
                1 if back_end.probe_result.is_none() && cold_start_limiter.needs_warmth_probe(now) => {
                    cold_start_limiter.on_warmth_probe_sent();
                    // The result reflects the state when the probe arrives. The back end may turn cold
                    // afterwards.
                    let result = back_end.cold_until.map(|until| until - now);
                    back_end.probe_result = Some((now + millis(u64::from(detail)), result));
                }
                _ => {
                    let started_count = started(&mut cold_start_limiter, now, usize::from(detail % 16));
                    if back_end.cold_until.is_some() {
                        back_end.arrivals.extend(std::iter::repeat_n(now, started_count));
                    }
                }
            }
            let recent_arrivals = back_end.arrivals.iter().filter(|at| now - **at < WINDOW).count();
            if recent_arrivals > LIMIT {
                return false;
            }
        }
        true
    }
}
