//! The pace at which a back end is handed requests while it is cold, or may be.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_model::RequestRate;
use umberpond_scheduling::{ColdStartLimiter, Decision, WorkItem, WorkQueue};

const LIMIT: usize = 13;
const SPAN: Duration = Duration::from_secs(1);

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rate() -> RequestRate {
    RequestRate::per_second(13.0).expect("a rate")
}

/// A pace whose first second is over and whose back end has said that it is warm.
fn warm_pace(start: Instant) -> ColdStartLimiter {
    let mut cold_start_limiter = ColdStartLimiter::default();
    cold_start_limiter.set_rate(start.checked_sub(SPAN).expect("the clock is older"), Some(rate()));
    cold_start_limiter.on_warmth_probe_sent();
    cold_start_limiter.on_warm();
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
fn a_service_without_a_rate_has_no_pace() {
    let now = Instant::now();
    let mut cold_start_limiter = ColdStartLimiter::default();
    cold_start_limiter.on_cold(now, millis(3_000));
    assert_eq!(started(&mut cold_start_limiter, now, 1_000), 1_000);
    assert!(!cold_start_limiter.needs_warmth_probe(now));
}

#[test]
fn a_cold_back_end_gets_its_rate_in_each_second() {
    let now = Instant::now();
    let mut cold_start_limiter = warm_pace(now);
    cold_start_limiter.on_cold(now, millis(3_000));
    assert_eq!(started(&mut cold_start_limiter, now, 100), LIMIT);
    assert_eq!(cold_start_limiter.next_start(now), Some(now + SPAN));
    assert_eq!(started(&mut cold_start_limiter, now + millis(999), 100), 0);
    assert_eq!(started(&mut cold_start_limiter, now + SPAN, 100), LIMIT);
}

#[test]
fn a_warm_back_end_gets_whatever_comes_as_long_as_it_says_that_it_is_warm() {
    let start = Instant::now();
    let mut cold_start_limiter = warm_pace(start);
    for step in 0..200 {
        let now = start + millis(10 * step);
        assert_eq!(started(&mut cold_start_limiter, now, 1), 1);
        if cold_start_limiter.needs_warmth_probe(now) {
            cold_start_limiter.on_warmth_probe_sent();
            cold_start_limiter.on_warm();
        }
    }
}

#[test]
fn without_a_word_it_gets_no_more_than_a_cold_one() {
    let now = Instant::now();
    let mut cold_start_limiter = warm_pace(now);
    assert_eq!(started(&mut cold_start_limiter, now, 100), LIMIT);
    assert!(cold_start_limiter.needs_warmth_probe(now));
    cold_start_limiter.on_warmth_probe_sent();
    cold_start_limiter.on_warmth_probe_failed();
    assert_eq!(started(&mut cold_start_limiter, now + millis(500), 100), 0);
    assert_eq!(started(&mut cold_start_limiter, now + SPAN, 100), LIMIT);
}

#[test]
fn a_process_that_starts_does_not_know_what_the_one_before_has_handed_over() {
    let now = Instant::now();
    let mut cold_start_limiter = ColdStartLimiter::default();
    cold_start_limiter.set_rate(now, Some(rate()));
    cold_start_limiter.on_cold(now, millis(3_000));
    assert_eq!(started(&mut cold_start_limiter, now + millis(900), 100), 0);
    assert_eq!(started(&mut cold_start_limiter, now + SPAN, 100), LIMIT);
}

#[test]
fn a_word_of_cold_is_not_undone_by_the_answer_to_an_older_question() {
    let now = Instant::now();
    let mut cold_start_limiter = warm_pace(now);
    cold_start_limiter.on_warmth_probe_sent();
    cold_start_limiter.on_cold(now, millis(3_000));
    cold_start_limiter.on_warm();
    assert_eq!(started(&mut cold_start_limiter, now, 100), LIMIT);
    assert_eq!(started(&mut cold_start_limiter, now + millis(10), 100), 0);
}

#[test]
fn a_queue_holds_the_pace_and_says_how_long_a_wait_is_and_how_many_slots_work() {
    let now = Instant::now();
    let mut queue = WorkQueue::new();
    queue.set_slots(40);
    queue.open();
    queue.cold_start_limiter().set_rate(now - SPAN, Some(rate()));
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
    assert_eq!(queue.rate_limited_until(now), Some(now + SPAN));
    assert!(queue.start_next(now + millis(999)).is_none());
    assert!(queue.start_next(now + SPAN).is_some());
    assert!(queue.report(now).slots < 5);
    assert_eq!(queue.report(now + millis(3_000) + SPAN).number, 2);
}

/// A back end that turns cold when it likes, and answers questions late.
struct Back {
    cold_until: Option<Instant>,
    /// Arrivals since it turned cold.
    arrivals: Vec<Instant>,
    answer: Option<(Instant, Option<Duration>)>,
}

quickcheck! {
    /// Whenever it turns cold, however late its answers are and whether they come at all, a cold back end gets its rate in any second.
    fn no_second_of_a_cold_back_end_has_more_than_its_rate(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut now = Instant::now();
        let mut cold_start_limiter = warm_pace(now);
        let mut back = Back { cold_until: None, arrivals: Vec::new(), answer: None };
        for (action, pause, detail) in steps {
            now += millis(u64::from(pause % 40) * 5);
            if back.cold_until.is_some_and(|until| until <= now) {
                back.cold_until = None;
                back.arrivals.clear();
            }
            if let Some((at, told)) = back.answer.filter(|(at, _)| *at <= now) {
                back.answer = None;
                match told {
                    _ if detail % 5 == 0 => cold_start_limiter.on_warmth_probe_failed(),
                    Some(cold_for) => cold_start_limiter.on_cold(now, cold_for.saturating_sub(now - at)),
                    None => cold_start_limiter.on_warm(),
                }
            }
            match action % 4 {
                0 => back.cold_until = Some(now + millis(u64::from(detail) * 20)),
                1 if back.answer.is_none() && cold_start_limiter.needs_warmth_probe(now) => {
                    cold_start_limiter.on_warmth_probe_sent();
                    // It answers as it is when it gives the answer; asked before it turns cold it may say that it is warm.
                    let told = back.cold_until.map(|until| until - now);
                    back.answer = Some((now + millis(u64::from(detail)), told));
                }
                _ => {
                    let begun = started(&mut cold_start_limiter, now, usize::from(detail % 16));
                    if back.cold_until.is_some() {
                        back.arrivals.extend(std::iter::repeat_n(now, begun));
                    }
                }
            }
            let lately = back.arrivals.iter().filter(|at| now - **at < SPAN).count();
            if lately > LIMIT {
                return false;
            }
        }
        true
    }
}
