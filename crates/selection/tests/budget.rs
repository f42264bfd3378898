//! The retry budget: one allowance over all nodes, in every window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use umberpond_selection::{RetryBudget, RetryBudgetSettings};

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, extra: 12.0, window: Duration::from_secs(10), spent_share: 1.0 };

#[test]
fn without_requests_a_node_has_its_share_of_the_extra() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    let taken = (0..100).filter(|_| budget.take(now, 4, &SETTINGS)).count();
    assert_eq!(taken, 3);
}

#[test]
fn requests_add_their_ratio_and_leave_with_the_window() {
    let now = Instant::now();
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(now, &SETTINGS);
    }
    let taken = (0..100).filter(|_| budget.take(now, 12, &SETTINGS)).count();
    assert_eq!(taken, 21);
    let later = now + Duration::from_secs(11);
    let taken = (0..100).filter(|_| budget.take(later, 12, &SETTINGS)).count();
    assert_eq!(taken, 1);
}

#[test]
fn only_a_part_is_spent_if_the_settings_say_so() {
    let now = Instant::now();
    let half = RetryBudgetSettings { spent_share: 0.5, ..SETTINGS };
    let mut budget = RetryBudget::default();
    for _ in 0..100 {
        budget.count_request(now, &half);
    }
    let taken = (0..100).filter(|_| budget.take(now, 12, &half)).count();
    assert_eq!(taken, 10);
}

quickcheck! {
    /// However requests and repeats come, the window that ends with a repeat holds no more repeats than the requests
    /// in it allow; a slice of the window's length is granted, since the budget counts in slices. (A window that ends
    /// later may have lost requests that allowed a repeat in it; the users' rule counts those too.)
    fn no_window_is_overspent(steps: Vec<(u8, bool)>) -> bool {
        let mut now = Instant::now();
        let mut budget = RetryBudget::default();
        let mut requests: VecDeque<Instant> = VecDeque::new();
        let mut repeats: VecDeque<Instant> = VecDeque::new();
        for (pause, is_request) in steps {
            now += Duration::from_millis(u64::from(pause) * 4);
            if is_request {
                budget.count_request(now, &SETTINGS);
                requests.push_back(now);
            } else if budget.take(now, 3, &SETTINGS) {
                repeats.push_back(now);
            }
            if repeats.back() != Some(&now) {
                continue;
            }
            let since = |length: Duration| move |at: &&Instant| now.saturating_duration_since(**at) <= length;
            let slice = SETTINGS.window / 20;
            let asked = requests.iter().filter(since(SETTINGS.window + slice)).count();
            let sent = repeats.iter().filter(since(SETTINGS.window - slice)).count();
            let allowed = 0.2 * f64::from(u32::try_from(asked).unwrap()) + 4.0;
            if f64::from(u32::try_from(sent).unwrap()) > allowed {
                return false;
            }
        }
        true
    }
}
