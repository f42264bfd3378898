//! A back end that is slow for a moment and says so.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_scheduling::{CallLevel, Decision, InvalidSlowdown, Refusal, Slowdown, WorkItem, WorkQueue};

/// Longer than any word counts.
const LONG: Duration = Duration::from_secs(1);

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
    queue.slowdown().on_word(now, percent).unwrap();
    queue
}

#[test]
fn a_word_counts_at_once_and_for_a_moment() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    assert_eq!(slowdown.percent(now), None);
    slowdown.on_word(now, 250).unwrap();
    assert_eq!(slowdown.percent(now + millis(100)), Some(250));
    slowdown.on_word(now + millis(100), 100).unwrap();
    assert!((95..=100).contains(&slowdown.percent(now + millis(110)).unwrap()));
    assert_eq!(slowdown.percent(now + LONG), None);
}

/// Times are learnt under the same words: a back end that is always told to be slow is not slower than its times say.
#[test]
fn words_count_relative_to_their_mean() {
    let mut now = Instant::now();
    let mut slowdown = Slowdown::default();
    for _ in 0..1_000 {
        now += millis(10);
        slowdown.on_word(now, 200).unwrap();
    }
    assert_eq!(slowdown.percent(now), Some(100));
    slowdown.on_word(now, 500).unwrap();
    assert_eq!(slowdown.percent(now), Some(250));
}

/// A spell lasts for some tens of words.
#[test]
fn a_spell_is_still_one_at_its_end() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    for _ in 0..30 {
        slowdown.on_word(now, 250).unwrap();
    }
    assert!(slowdown.factor(now) > 1.6, "{}", slowdown.factor(now));
}

#[test]
fn a_word_beyond_any_sense_is_ignored() {
    let now = Instant::now();
    let mut slowdown = Slowdown::default();
    slowdown.on_word(now, 250).unwrap();
    for percent in [0, 1, u16::MAX] {
        assert_eq!(slowdown.on_word(now, percent), Err(InvalidSlowdown { percent }));
    }
    assert_eq!(slowdown.percent(now), Some(250));
}

#[test]
fn the_time_of_a_slow_answer_is_learnt_as_that_of_the_usual_speed() {
    let now = Instant::now();
    let mut queue = slow_queue(now, 250);
    let usual = queue.slowdown().normalized_time(now, millis(250));
    queue.finish(Some(usual));
    let report = queue.report(now);
    assert_eq!(report.service_time(), Some(millis(100)));
    assert_eq!(report.slowdown_percent, 250);
    assert_eq!(queue.report(now + LONG).slowdown_percent, 0);
}

#[test]
fn a_request_that_would_be_late_only_here_is_refused_at_once() {
    let now = Instant::now();
    let request = item(now, 250, 110);
    assert_eq!(open_queue(4).offer(now, request), Decision::Start);
    let refused = slow_queue(now, 250).offer(now, request);
    assert_eq!(refused, Decision::Refuse(Refusal::BackEndSlow { expected: millis(275) }));
    assert_eq!(slow_queue(now, 150).offer(now, request), Decision::Start);
    assert_eq!(slow_queue(now, 50).offer(now, request), Decision::Start);
}

/// Where nothing better is to be had for it, a request is treated as if nothing were known.
#[test]
fn a_later_try_and_one_that_is_late_anywhere_are_not_refused_for_slowness() {
    let now = Instant::now();
    let later_try = WorkItem { is_caller_retry: true, ..item(now, 250, 110) };
    assert_eq!(slow_queue(now, 250).offer(now, later_try), Decision::Start);
    assert_eq!(slow_queue(now, 250).offer(now, item(now, 100, 110)), Decision::Start);
}

/// A run whose call is refused has failed, and its time is lost; one whose call is late goes on.
#[test]
fn a_call_for_which_a_run_waits_is_not_refused_for_slowness() {
    let now = Instant::now();
    let call = CallLevel::FIRST;
    let of_a_run = WorkItem { call: Some(call), ..item(now, 60, 28) };
    assert_eq!(slow_queue(now, 250).offer(now, of_a_run), Decision::Start);
    let alone = slow_queue(now, 250).offer(now, item(now, 60, 28));
    assert!(matches!(alone, Decision::Refuse(Refusal::BackEndSlow { .. })), "{alone:?}");
}

#[test]
fn a_wait_is_expected_to_last_longer_while_the_back_end_is_slow() {
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

/// A back end that gets no work tells nothing. Were its last word to count for ever, it would never get work again.
#[test]
fn a_back_end_that_tells_nothing_any_more_gets_work_again() {
    let now = Instant::now();
    let mut queue = slow_queue(now, 600);
    assert!(matches!(queue.offer(now, item(now, 250, 110)), Decision::Refuse(_)));
    let later = now + LONG;
    assert_eq!(queue.offer(later, item(later, 250, 110)), Decision::Start);
}

#[test]
fn another_back_end_in_its_place_starts_without_its_word() {
    let now = Instant::now();
    let mut queue = slow_queue(now, 600);
    queue.reset_statistics();
    assert_eq!(queue.report(now).slowdown_percent, 0);
}

quickcheck! {
    /// Whatever is told, a time is divided by something sensible, and nothing panics.
    fn any_word_leaves_a_sensible_factor(words: Vec<(u16, u16)>) -> bool {
        let mut slowdown = Slowdown::default();
        let mut now = Instant::now();
        words.into_iter().all(|(percent, after)| {
            now += millis(u64::from(after));
            let _ = slowdown.on_word(now, percent);
            let factor = slowdown.factor(now);
            (0.1..=100.0).contains(&factor) && slowdown.normalized_time(now, LONG) <= LONG * 10
        })
    }
}
