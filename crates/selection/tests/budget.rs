//! Tests that the retry budget is a single limit over all nodes in every window, regardless of restarts,
//! partitions and shifting load.

use std::time::{Duration, Instant};

use quickcheck::{QuickCheck, quickcheck};
use umberpond_selection::{OtherCalls, RetryBudget, RetryBudgetSettings, RetryDemand, RetryInitiator};

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, extra: 12.0, window: Duration::from_secs(10) };

fn take_all(budget: &mut RetryBudget, now: Instant, nodes: Option<usize>) -> usize {
    let taken = (0..1_000).filter(|_| budget.take(now, nodes, &SETTINGS)).count();
    (0..taken).for_each(|_| budget.confirm_arrival());
    taken
}

#[test]
fn savings_discarded_after_a_suspension_cannot_be_spent() {
    let now = Instant::now();
    let settings = RetryBudgetSettings { ratio: 0.2, extra: 0.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    for _request in 0..100 {
        budget.count_request(now, Some(4), &settings);
    }
    assert!(budget.available(now, Some(4), &settings) >= 9.0);
    budget.discard_savings();
    assert!(!budget.take(now, Some(4), &settings));
}

#[test]
fn each_request_earns_half_of_the_ratio() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(now, None, &SETTINGS);
    }
    assert_eq!(take_all(&mut budget, now, None), 10);
}

#[test]
fn steady_load_spends_the_whole_ratio_in_a_window_that_starts_with_full_savings() {
    let began = Instant::now();
    let mut budget = RetryBudget::default();
    let mut taken = 0;
    for second in 0..20 {
        let now = began + Duration::from_secs(second);
        for _ in 0..100 {
            budget.count_request(now, None, &SETTINGS);
        }
        if second >= 10 {
            taken += take_all(&mut budget, now, None);
        }
    }
    assert!((190..=200).contains(&taken), "{taken} retries for 1000 requests");
}

#[test]
fn savings_expire_with_the_requests_that_earned_them() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(now, None, &SETTINGS);
    }
    assert_eq!(take_all(&mut budget, now + Duration::from_secs(11), None), 0);
}

#[test]
fn node_part_of_the_extra_accrues_over_time() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    assert_eq!(take_all(&mut budget, now, Some(2)), 0, "a process that has just started has saved nothing");
    let later = now + Duration::from_secs(60);
    assert_eq!(take_all(&mut budget, later, Some(2)), 3);
    let taken = (1..=10).map(|second| take_all(&mut budget, later + Duration::from_secs(second), Some(2)));
    assert_eq!(taken.sum::<usize>(), 3);
}

#[test]
fn node_gets_no_extra_while_the_node_count_is_unknown() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    assert_eq!(take_all(&mut budget, now, None), 0);
    assert_eq!(take_all(&mut budget, now + Duration::from_secs(60), None), 0);
}

#[test]
fn retries_that_did_not_arrive_are_returned_to_the_budget() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    for _ in 0..10 {
        budget.count_request(now, None, &SETTINGS);
    }
    for _ in 0..5 {
        assert!(budget.take(now, None, &SETTINGS));
        assert!(!budget.take(now, None, &SETTINGS));
        budget.give_back();
    }
}

#[test]
fn retries_in_transit_count_against_the_savings_bound() {
    let began = Instant::now();
    let mut budget = RetryBudget::default();
    let load = |budget: &mut RetryBudget, seconds: std::ops::Range<u64>| {
        for second in seconds {
            let now = began + Duration::from_secs(second);
            (0..100).for_each(|_| budget.count_request(now, None, &SETTINGS));
        }
    };
    load(&mut budget, 0..10);
    let taken = (0..60).filter(|_| budget.take(began + Duration::from_secs(9), None, &SETTINGS)).count();
    assert_eq!(taken, 60);
    load(&mut budget, 10..20);
    let available = budget.available(began + Duration::from_millis(19_500), None, &SETTINGS);
    assert!((39.0..41.0).contains(&available), "{available} available: 60 of 100 are in transit");
}

const NODES: usize = 3;
/// Time between two requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);
/// Number of requests of one test case, which last 50 s.
const REQUESTS: usize = 2_500;
/// Number of requests after which every retry that the budget allows is sent: by then all nodes have saved as
/// much as they may.
const WARM_UP_REQUESTS: usize = 1_000;

/// Number of `times` within the window that begins at `from`.
fn count(times: &[Duration], from: Duration) -> u32 {
    let is_inside = |at: &&Duration| **at >= from && **at < from + SETTINGS.window;
    u32::try_from(times.iter().filter(is_inside).count()).unwrap()
}

/// Retries in the window that begins at `from` beyond the limit. The limit is computed from the maximum of
/// the requests in that window, in the window before it, and in the one half a window before it.
fn excess(requests: &[Duration], repeats: &[Duration], from: Duration) -> f64 {
    let earlier = [Duration::ZERO, SETTINGS.window / 2, SETTINGS.window];
    let most = earlier.map(|earlier| count(requests, from - earlier)).into_iter().max().unwrap();
    f64::from(count(repeats, from)) - SETTINGS.ratio * f64::from(most) - SETTINGS.extra
}

/// The largest excess of any window if each node sends every retry that it may once [`WARM_UP_REQUESTS`] have
/// been sent. Each of `turns` contains the node that receives the next requests, whether the process of that
/// node restarts first, and the transit time of its retries.
fn worst_excess(turns: &[(u8, u8, u8)]) -> f64 {
    worst_excess_by_priority(turns, &[])
}

/// Like [`worst_excess`], with retries for each of `initiators` in turn; without owners, retries are taken
/// regardless of priority.
fn worst_excess_by_priority(turns: &[(u8, u8, u8)], initiators: &[RetryInitiator]) -> f64 {
    let started = Instant::now();
    // Starts two windows after zero, so that the windows before the first one are valid.
    let mut at = SETTINGS.window * 2;
    let mut budgets: [RetryBudget; NODES] = Default::default();
    let mut demand: [RetryDemand; NODES] = Default::default();
    let mut in_transit: Vec<(Duration, usize)> = Vec::new();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for number in 0..REQUESTS {
        at += REQUEST_INTERVAL;
        let now = started + at;
        let (node, restart, delay) = turns[number / 10 % turns.len()];
        let node = usize::from(node) % NODES;
        if number % 10 == 0 && number >= WARM_UP_REQUESTS && restart % 32 == 0 {
            in_transit.retain(|(_, sender)| *sender != node);
            budgets[node] = RetryBudget::default();
            demand[node] = RetryDemand::default();
        }
        let mut retry_requests = 0;
        budgets[node].count_request(now, Some(NODES), &SETTINGS);
        requests.push(at);
        for (index, budget) in budgets.iter_mut().enumerate() {
            let mut take = |budget: &mut RetryBudget| {
                if initiators.is_empty() {
                    return budget.take(now, Some(NODES), &SETTINGS);
                }
                // Each owner requests a retry, even if that of the previous one was denied.
                (0..initiators.len()).any(|_| {
                    let initiator = initiators[retry_requests % initiators.len()];
                    retry_requests += 1;
                    let Some(priority) = demand[index].record(now, initiator) else { return false };
                    let max_savings = budget.max_savings(now, Some(NODES), &SETTINGS);
                    let reserved = demand[index].reserved(now, priority, max_savings);
                    budget.take_above(now, Some(NODES), &SETTINGS, reserved)
                })
            };
            while number >= WARM_UP_REQUESTS && take(budget) {
                in_transit.push((at + Duration::from_millis(u64::from(delay) * 4), index));
            }
        }
        for (_, sender) in in_transit.extract_if(.., |(due, _)| *due <= at) {
            budgets[sender].confirm_arrival();
            repeats.push(at);
        }
    }
    repeats.iter().map(|from| excess(&requests, &repeats, *from)).fold(f64::MIN, f64::max)
}

#[test]
fn steady_load_does_not_exceed_the_limit() {
    let turns: Vec<(u8, u8, u8)> = (0..3).map(|node| (node, 1, 0)).collect();
    let excess = worst_excess(&turns);
    assert!((-12.0..=0.0).contains(&excess), "{excess} retries beyond the limit");
}

#[test]
fn restarting_process_saves_no_retries() {
    assert!(worst_excess(&[(0, 0, 1)]) <= 0.0);
}

/// Returns a caller with some priority rank, or a run with any combination of other calls.
fn initiator(is_run: bool, number: u8) -> RetryInitiator {
    let bit = |place: u8| u32::from(number >> place & 1);
    let others = OtherCalls { open: bit(0), rejected: bit(1), lost: bit(2) };
    if is_run { RetryInitiator::Run(others) } else { RetryInitiator::Caller { rank: number % 4 } }
}

quickcheck! {
    /// Whichever nodes receive the requests, however long retries are in transit and whichever processes
    /// restart, no window of all nodes together has more retries than are allowed.
    fn no_window_exceeds_the_limit(turns: Vec<(u8, u8, u8)>) -> bool {
        turns.is_empty() || worst_excess(&turns) <= 0.0
    }
}

/// Number of test cases with priorities; each takes as long as one of those above.
const PRIORITY_CASES: u64 = 30;

/// The same with priorities: what is reserved does not add to the limit, and a restarted process has nothing
/// reserved.
#[test]
fn no_window_exceeds_the_limit_with_priorities() {
    fn is_within_limit(turns: Vec<(u8, u8, u8)>, initiators: Vec<(bool, u8)>) -> bool {
        let initiators: Vec<RetryInitiator> =
            initiators.iter().map(|(is_run, number)| initiator(*is_run, *number)).collect();
        turns.is_empty() || worst_excess_by_priority(&turns, &initiators) <= 0.0
    }
    QuickCheck::new()
        .tests(PRIORITY_CASES)
        .quickcheck(is_within_limit as fn(Vec<(u8, u8, u8)>, Vec<(bool, u8)>) -> bool);
}
