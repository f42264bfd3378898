//! Rate limit that a back end advertises.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_model::RequestRate;
use umberpond_scheduling::{
    Decision, Dequeued, LimitReport, Refusal, RequestLimiter, Ticket, WorkItem, WorkQueue,
};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::per_second(per_second).unwrap()
}

fn limited(now: Instant, per_second: f64) -> RequestLimiter {
    let mut limiter = RequestLimiter::default();
    assert!(limiter.on_response(now, now, LimitReport::Limited(rate(per_second))));
    limiter
}

/// Starts as many requests as the limiter allows, up to `offered`.
fn started(limiter: &mut RequestLimiter, now: Instant, offered: usize) -> usize {
    let mut started = 0;
    while started < offered && limiter.may_start(now) {
        limiter.on_start(now);
        started += 1;
    }
    started
}

/// Starts requests in steps of 10 ms and returns their number.
fn started_in(limiter: &mut RequestLimiter, from: Instant, period: Duration) -> usize {
    let steps = u32::try_from(period.as_millis() / 10).unwrap();
    (1..=steps).map(|step| started(limiter, from + millis(10) * step, 100)).sum()
}

#[test]
fn back_end_without_a_limit_gets_all_requests() {
    let now = Instant::now();
    assert_eq!(started(&mut RequestLimiter::default(), now, 1_000), 1_000);
}

#[test]
fn full_limit_is_used_for_small_and_large_fractions() {
    for per_second in [0.4, 0.9, 4.0, 12.3, 80.5] {
        let now = Instant::now();
        let mut limiter = limited(now, per_second);
        let expected = per_second * 20.0;
        let count = started_in(&mut limiter, now, millis(20_000)) as f64;
        assert!((count - expected).abs() <= 1.0, "{count} at {per_second}/s");
    }
}

#[test]
fn nothing_starts_at_once_when_the_limit_becomes_known() {
    let now = Instant::now();
    let mut limiter = limited(now, 8.0);
    assert_eq!(started(&mut limiter, now, 10), 0);
    assert_eq!(limiter.next_start(now), Some(now + millis(125)));
    assert_eq!(limiter.expected_wait(now, 3), millis(500));
    assert_eq!(started(&mut limiter, now + millis(125), 10), 1);
}

#[test]
fn requests_saved_up_in_a_pause_are_bounded() {
    let now = Instant::now();
    let mut limiter = limited(now, 40.0);
    assert_eq!(started(&mut limiter, now + millis(60_000), 1_000), 10);
    let mut limiter = limited(now, 0.4);
    assert_eq!(started(&mut limiter, now + millis(60_000), 1_000), 1);
}

#[test]
fn remembered_limit_applies_only_until_a_response_arrives() {
    let now = Instant::now();
    let mut limiter = RequestLimiter::default();
    assert!(limiter.on_remembered(now, rate(8.0)));
    assert!(!limiter.on_remembered(now, rate(9.0)));
    assert!(limiter.on_remembered(now, rate(4.0)));
    assert!(limiter.on_response(now + millis(300), now + millis(250), LimitReport::Unlimited));
    assert!(!limiter.on_remembered(now + millis(400), rate(8.0)));
    assert_eq!(limiter.rate(), None);
}

#[test]
fn one_request_finds_out_whether_a_remembered_limit_has_ended() {
    let now = Instant::now();
    let mut limiter = RequestLimiter::default();
    limiter.on_remembered(now, rate(0.4));
    assert_eq!(started(&mut limiter, now, 10), 1);
    limiter.on_remembered(now + millis(1), rate(0.3));
    assert_eq!(started(&mut limiter, now + millis(1), 10), 0);
    assert!(limiter.on_response(now + millis(50), now, LimitReport::Unlimited));
    assert_eq!(started(&mut limiter, now + millis(50), 10), 10);
}

/// A request that waits for at most `wait`.
fn item(now: Instant, wait: Duration) -> WorkItem {
    WorkItem {
        priority: 1,
        objective_at: now + millis(5_000),
        deadline: now + millis(5_000),
        queue_deadline: now + wait,
        max_queue_wait: wait,
        service: millis(50),
        is_caller_retry: false,
        tenant: None,
        call: None,
    }
}

fn limited_queue(now: Instant, per_second: f64) -> WorkQueue {
    let mut queue = WorkQueue::new();
    queue.set_slots(12);
    queue.open();
    queue.request_limiter().on_response(now, now, LimitReport::Limited(rate(per_second)));
    queue
}

#[test]
fn request_that_can_not_start_in_time_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = limited_queue(now, 10.0);
    for _request in 0..3 {
        assert!(matches!(queue.offer(now, item(now, millis(300))), Decision::Wait(_)));
    }
    let refused = queue.offer(now, item(now, millis(300)));
    let Decision::Refuse(Refusal::RequestLimit { expected }) = refused else { panic!("{refused:?}") };
    assert!(expected >= millis(400), "{expected:?}");
    assert_eq!(queue.rate_limited_until(now), Some(now + millis(100)));
    assert!(matches!(queue.start_next(now + millis(100)), Some(Dequeued::Run(_))));
    assert_eq!(queue.start_next(now + millis(100)), None);
}

#[test]
fn waiting_requests_that_a_new_limit_does_not_let_start_in_time_are_removed() {
    let now = Instant::now();
    let mut queue = limited_queue(now, 100.0);
    let mut tickets: Vec<Ticket> = Vec::new();
    for _request in 0..10 {
        let decision = queue.offer(now, item(now, millis(1_000)));
        let Decision::Wait(ticket) = decision else { panic!("{decision:?}") };
        tickets.push(ticket);
    }
    queue.request_limiter().on_response(now, now, LimitReport::Limited(rate(4.0)));
    let removed: Vec<Ticket> = queue.take_unservable(now).iter().map(|displaced| displaced.ticket).collect();
    assert_eq!(removed, tickets[4..]);
}

#[test]
fn requests_wait_until_a_remembered_limit_is_confirmed() {
    let now = Instant::now();
    let mut queue = WorkQueue::new();
    queue.set_slots(12);
    queue.open();
    queue.request_limiter().on_remembered(now, rate(0.4));
    assert_eq!(queue.offer(now, item(now, millis(300))), Decision::Start);
    let Decision::Wait(waiting) = queue.offer(now, item(now, millis(300))) else { panic!("it waits") };
    assert!(queue.take_unservable(now).is_empty());
    let later = now + millis(50);
    assert!(queue.request_limiter().on_response(later, now, LimitReport::Limited(rate(0.4))));
    assert_eq!(
        queue.take_unservable(later).iter().map(|removed| removed.ticket).collect::<Vec<_>>(),
        [waiting]
    );
    assert!(matches!(
        queue.offer(later, item(later, millis(300))),
        Decision::Refuse(Refusal::RequestLimit { .. })
    ));
}

#[test]
fn requests_are_refused_at_once_if_no_response_confirms_a_remembered_limit() {
    let now = Instant::now();
    let mut queue = WorkQueue::new();
    queue.set_slots(12);
    queue.open();
    queue.request_limiter().on_remembered(now, rate(0.1));
    assert_eq!(queue.offer(now, item(now, millis(300))), Decision::Start);
    let later = now + millis(1_000);
    assert!(matches!(
        queue.offer(later, item(later, millis(300))),
        Decision::Refuse(Refusal::RequestLimit { .. })
    ));
}

#[derive(Debug, Clone, Copy)]
enum Step {
    Wait { millis: u64 },
    Offer { count: usize },
    Limit { per_second: f64 },
    Restart,
}

fn steps(encoded: &[(u8, u8)]) -> Vec<Step> {
    let step = |&(kind, value): &(u8, u8)| match kind % 8 {
        0..=3 => Step::Wait { millis: u64::from(value) * 4 },
        4 | 5 => Step::Offer { count: usize::from(value) },
        6 => Step::Limit { per_second: 0.1 + f64::from(value) / 4.0 },
        _ => Step::Restart,
    };
    encoded.iter().map(step).collect()
}

/// What happened in a sequence of steps.
struct Played {
    /// Start times of requests.
    starts: Vec<Instant>,
    restarts: Vec<Instant>,
    /// The highest limit that was in effect.
    highest: f64,
}

/// Applies `steps`. A restarted node learns the limit from the first request of a node that remembers it.
fn play(begin: Instant, steps: &[Step]) -> Played {
    let (mut now, mut per_second) = (begin, 12.3);
    let mut limiter = limited(now, per_second);
    let (mut starts, mut restarts, mut highest) = (Vec::new(), Vec::new(), per_second);
    for step in steps {
        match *step {
            Step::Wait { millis: waited } => now += millis(waited),
            Step::Offer { count } => {
                let count = started(&mut limiter, now, count);
                starts.extend(std::iter::repeat_n(now, count));
            }
            Step::Limit { per_second: changed } => {
                per_second = changed;
                highest = changed.max(highest);
                limiter.on_response(now, now, LimitReport::Limited(rate(changed)));
            }
            Step::Restart => {
                restarts.push(now);
                limiter = RequestLimiter::default();
                limiter.on_remembered(now, rate(per_second));
            }
        }
    }
    Played { starts, restarts, highest }
}

impl Played {
    /// Whether the requests that started from `from` to `until` stay within the bound.
    fn keeps_bound(&self, from: Instant, until: Instant, count: usize) -> bool {
        let restarts = self.restarts.iter().filter(|at| (from..=until).contains(at)).count();
        let burst = (self.highest / 4.0).max(1.0);
        let most = self.highest * (until - from).as_secs_f64() + burst + restarts as f64;
        count as f64 <= most + 1e-3
    }
}

quickcheck! {
    fn limit_holds_in_any_period_over_changes_and_restarts(encoded: Vec<(u8, u8)>) -> bool {
        let played = play(Instant::now(), &steps(&encoded));
        let starts = played.starts.iter().enumerate();
        starts.clone().all(|(first, from)| {
            let later = starts.clone().skip(first);
            later.into_iter().all(|(last, until)| played.keeps_bound(*from, *until, last - first + 1))
        })
    }
}
