//! The retry budget: one allowance over all nodes, in every window, whatever restarts, is cut off or moves.

use std::time::{Duration, Instant};

use quickcheck::{QuickCheck, quickcheck};
use umberpond_selection::{OtherCalls, RetryBudget, RetryBudgetSettings, RetryInitiator, RetryStakes};

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, extra: 12.0, window: Duration::from_secs(10) };

fn take_all(budget: &mut RetryBudget, now: Instant, nodes: Option<usize>) -> usize {
    let taken = (0..1_000).filter(|_| budget.take(now, nodes, &SETTINGS)).count();
    (0..taken).for_each(|_| budget.on_arrived());
    taken
}

#[test]
fn what_was_saved_before_a_suspension_is_not_spent_after_it() {
    let now = Instant::now();
    let settings = RetryBudgetSettings { ratio: 0.2, extra: 0.0, window: Duration::from_secs(10) };
    let mut budget = RetryBudget::default();
    for _request in 0..100 {
        budget.count_request(now, Some(4), &settings);
    }
    assert!(budget.left(now, Some(4), &settings) >= 9.0);
    budget.discard_savings();
    assert!(!budget.take(now, Some(4), &settings));
}

#[test]
fn requests_earn_a_half_of_the_ratio_each() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(now, None, &SETTINGS);
    }
    assert_eq!(take_all(&mut budget, now, None), 10);
}

#[test]
fn an_even_load_may_repeat_the_whole_ratio_in_a_window_that_finds_all_saved() {
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
    assert!((190..=200).contains(&taken), "{taken} repeats for 1000 requests");
}

#[test]
fn what_was_saved_leaves_with_the_requests_that_earned_it() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(now, None, &SETTINGS);
    }
    assert_eq!(take_all(&mut budget, now + Duration::from_secs(11), None), 0);
}

#[test]
fn a_nodes_part_of_the_extra_comes_in_by_and_by() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    assert_eq!(take_all(&mut budget, now, Some(2)), 0, "a process that has just started has saved nothing");
    let later = now + Duration::from_secs(60);
    assert_eq!(take_all(&mut budget, later, Some(2)), 3);
    let taken = (1..=10).map(|second| take_all(&mut budget, later + Duration::from_secs(second), Some(2)));
    assert_eq!(taken.sum::<usize>(), 3);
}

#[test]
fn a_node_that_does_not_know_who_shares_the_extra_has_no_part_of_it() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    assert_eq!(take_all(&mut budget, now, None), 0);
    assert_eq!(take_all(&mut budget, now + Duration::from_secs(60), None), 0);
}

#[test]
fn what_did_not_arrive_is_given_back() {
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
fn repeats_on_the_way_count_as_saved() {
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
    let left = budget.left(began + Duration::from_millis(19_500), None, &SETTINGS);
    assert!((39.0..41.0).contains(&left), "{left} left: 60 of 100 are on the way");
}

const NODES: usize = 3;
/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(20);
/// Requests of one case: 50 s.
const REQUESTS: usize = 2_500;
/// Requests after which everything that the budget allows is sent again: all nodes have saved what they may by then.
const CALM_REQUESTS: usize = 1_000;

/// Count of `times` in the window that begins at `from`.
fn count(times: &[Duration], from: Duration) -> u32 {
    let is_inside = |at: &&Duration| **at >= from && **at < from + SETTINGS.window;
    u32::try_from(times.iter().filter(is_inside).count()).unwrap()
}

/// Repeats of the window that begins at `from` beyond those that its requests allow, or those of the window before it or of the one half a
/// window before it.
fn excess(requests: &[Duration], repeats: &[Duration], from: Duration) -> f64 {
    let earlier = [Duration::ZERO, SETTINGS.window / 2, SETTINGS.window];
    let most = earlier.map(|earlier| count(requests, from - earlier)).into_iter().max().unwrap();
    f64::from(count(repeats, from)) - SETTINGS.ratio * f64::from(most) - SETTINGS.extra
}

/// The greatest excess of any window if each node sends again whatever it may once the calm is over. Each of `turns` says at which node
/// the next requests arrive, whether that node's process starts again first, and how long its repeats are on the way.
fn worst_excess(turns: &[(u8, u8, u8)]) -> f64 {
    worst_excess_by_stake(turns, &[])
}

/// As [`worst_excess`], with repeats for each of `owners` in turn; for nobody in particular if there are none.
fn worst_excess_by_stake(turns: &[(u8, u8, u8)], owners: &[RetryInitiator]) -> f64 {
    let started = Instant::now();
    // Two windows later than zero, so that the windows before the first one have a beginning.
    let mut at = SETTINGS.window * 2;
    let mut budgets: [RetryBudget; NODES] = Default::default();
    let mut stakes: [RetryStakes; NODES] = Default::default();
    let mut on_the_way: Vec<(Duration, usize)> = Vec::new();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for number in 0..REQUESTS {
        at += PAUSE;
        let now = started + at;
        let (node, restart, delay) = turns[number / 10 % turns.len()];
        let node = usize::from(node) % NODES;
        if number % 10 == 0 && number >= CALM_REQUESTS && restart % 32 == 0 {
            on_the_way.retain(|(_, of)| *of != node);
            budgets[node] = RetryBudget::default();
            stakes[node] = RetryStakes::default();
        }
        let mut asked = 0;
        budgets[node].count_request(now, Some(NODES), &SETTINGS);
        requests.push(at);
        for (index, budget) in budgets.iter_mut().enumerate() {
            let mut take = |budget: &mut RetryBudget| {
                if owners.is_empty() {
                    return budget.take(now, Some(NODES), &SETTINGS);
                }
                // Each owner asks, whatever the one before it was told.
                (0..owners.len()).any(|_| {
                    let owner = owners[asked % owners.len()];
                    asked += 1;
                    let Some(stake) = stakes[index].claim(now, owner) else { return false };
                    let most_saved = budget.most_saved(now, Some(NODES), &SETTINGS);
                    let reserved = stakes[index].reserved(now, stake, most_saved);
                    budget.take_above(now, Some(NODES), &SETTINGS, reserved)
                })
            };
            while number >= CALM_REQUESTS && take(budget) {
                on_the_way.push((at + Duration::from_millis(u64::from(delay) * 4), index));
            }
        }
        for (_, of) in on_the_way.extract_if(.., |(due, _)| *due <= at) {
            budgets[of].on_arrived();
            repeats.push(at);
        }
    }
    repeats.iter().map(|from| excess(&requests, &repeats, *from)).fold(f64::MIN, f64::max)
}

#[test]
fn an_even_load_spends_what_is_allowed_and_no_more() {
    let turns: Vec<(u8, u8, u8)> = (0..3).map(|node| (node, 1, 0)).collect();
    let excess = worst_excess(&turns);
    assert!((-12.0..=0.0).contains(&excess), "{excess} beyond what is allowed");
}

#[test]
fn a_process_that_starts_again_all_the_time_saves_nothing() {
    assert!(worst_excess(&[(0, 0, 1)]) <= 0.0);
}

/// A caller whose request has some rank, or a run with other calls of all kinds.
fn owner(is_run: bool, number: u8) -> RetryInitiator {
    let bit = |place: u8| u32::from(number >> place & 1);
    let others = OtherCalls { open: bit(0), rejected: bit(1), lost: bit(2) };
    if is_run { RetryInitiator::Run(others) } else { RetryInitiator::Caller { rank: number % 4 } }
}

quickcheck! {
    /// Wherever requests move, however long repeats are on the way and whichever processes start again, no window of all nodes together
    /// has more repeats than are allowed.
    fn no_window_is_overspent(turns: Vec<(u8, u8, u8)>) -> bool {
        turns.is_empty() || worst_excess(&turns) <= 0.0
    }
}

/// Cases of repeats by stake; each plays as long as one of those above.
const STAKE_CASES: u64 = 30;

/// Nor if repeats are spent by stake: what is kept for some is no allowance on top, and a process that starts again keeps nothing.
#[test]
fn no_window_is_overspent_by_stake() {
    fn is_kept(turns: Vec<(u8, u8, u8)>, owners: Vec<(bool, u8)>) -> bool {
        let owners: Vec<RetryInitiator> =
            owners.iter().map(|(is_run, number)| owner(*is_run, *number)).collect();
        turns.is_empty() || worst_excess_by_stake(&turns, &owners) <= 0.0
    }
    QuickCheck::new()
        .tests(STAKE_CASES)
        .quickcheck(is_kept as fn(Vec<(u8, u8, u8)>, Vec<(bool, u8)>) -> bool);
}
