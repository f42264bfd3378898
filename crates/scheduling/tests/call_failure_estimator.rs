//! Refusal of runs that would fail because the service that they call is overloaded.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use umberpond_model::ServiceName;
use umberpond_scheduling::{CallFailureEstimator, CallLevel, CallOutcome, PendingRun};

const ROUTE: u32 = 7;
const RANK: u8 = 1;
const LEVEL: CallLevel = CallLevel::FIRST;

fn ledger() -> ServiceName {
    ServiceName::new("ledger").unwrap()
}

/// A node whose runs make `count` calls each to one service.
struct Node {
    now: Instant,
    estimator: CallFailureEstimator,
    calls: Vec<(ServiceName, f64)>,
}

impl Node {
    fn new(count: f64) -> Self {
        let mut estimator = CallFailureEstimator::default();
        estimator.record_run(ROUTE, true);
        Self { now: Instant::now(), estimator, calls: vec![(ledger(), count)] }
    }

    /// Records `calls` calls, 10 ms apart, of which `refused_of_ten` out of ten end with `refusal`.
    fn record_calls(&mut self, calls: usize, refused_of_ten: usize, refusal: CallOutcome) {
        for number in 0..calls {
            self.now += Duration::from_millis(10);
            let outcome = if number % 10 < refused_of_ten { refusal } else { CallOutcome::Run };
            self.estimator.record_call(self.now, &ledger(), RANK, LEVEL, outcome);
        }
    }

    fn may_begin(&mut self, priority: u8) -> bool {
        let run = PendingRun { route: ROUTE, priority, level: LEVEL, calls: &self.calls };
        self.estimator.begin_run(self.now, &run).is_ok()
    }

    /// Offers a thousand runs at once and counts those that begin.
    fn count_begun(&mut self) -> usize {
        (0..1_000).filter(|_| self.may_begin(RANK)).count()
    }
}

#[test]
fn runs_are_refused_in_proportion_to_their_expected_failures() {
    for (refused, begun) in [(0, 990..=1_000), (3, 450..=560), (5, 230..=330), (10, 95..=105)] {
        let mut node = Node::new(2.0);
        node.record_calls(300, refused, CallOutcome::Overloaded);
        let found = node.count_begun();
        assert!(begun.contains(&found), "{refused} of ten calls refused, {found} runs begun");
    }
}

#[test]
fn run_refusal_names_the_called_service_and_the_retry_delay() {
    let mut node = Node::new(1.0);
    node.record_calls(300, 10, CallOutcome::Overloaded);
    let run = PendingRun { route: ROUTE, priority: RANK, level: LEVEL, calls: &node.calls };
    let refusal = (0..9).find_map(|_| node.estimator.begin_run(node.now, &run).err()).unwrap();
    assert_eq!(refusal.called, ledger());
    assert!(refusal.failure_share > 0.9);
    assert!((Duration::from_millis(500)..=Duration::from_secs(1)).contains(&refusal.retry_after));
}

#[test]
fn refused_calls_do_not_affect_other_priorities_levels_and_routes_without_calls() {
    let mut node = Node::new(2.0);
    node.record_calls(300, 10, CallOutcome::Overloaded);
    assert!((0..100).all(|_| node.may_begin(0)), "calls of priority 0 were not refused");
    let last_level = CallLevel::from_hash(31);
    let other = PendingRun { route: ROUTE, priority: RANK, level: last_level, calls: &node.calls };
    assert!(
        (0..100).all(|_| node.estimator.begin_run(node.now, &other).is_ok()),
        "no call results are known for this level"
    );
    let without_calls = PendingRun { route: ROUTE + 1, priority: RANK, level: LEVEL, calls: &[] };
    assert!((0..100).all(|_| node.estimator.begin_run(node.now, &without_calls).is_ok()));
}

#[test]
fn runs_that_rarely_make_calls_are_not_refused() {
    let mut node = Node::new(2.0);
    for number in 0..200 {
        node.estimator.record_run(ROUTE, number % 20 == 0);
    }
    node.record_calls(300, 10, CallOutcome::Overloaded);
    assert!(node.count_begun() > 900);
}

/// Guards against refusing runs because called back ends reject half of all calls although they have free
/// slots. With seven of ten runs making two calls, nearly half of the runs still succeed, and fewer runs
/// wouldn't improve that.
#[test]
fn calls_refused_despite_free_slots_do_not_stop_runs_that_may_succeed() {
    let mut node = Node::new(1.0);
    node.record_calls(300, 5, CallOutcome::Refused);
    assert_eq!(node.count_begun(), 1_000);
    let mut node = Node::new(2.0);
    node.record_calls(300, 5, CallOutcome::Refused);
    let found = node.count_begun();
    assert!((230..=330).contains(&found), "a quarter of the runs would succeed, {found} of 1,000 began");
}

/// Guards against refusing runs for long after the called service has ended or no results arrive anymore.
#[test]
fn refusals_end_within_five_seconds_without_call_results() {
    let mut node = Node::new(2.0);
    node.record_calls(300, 10, CallOutcome::Overloaded);
    assert!(node.count_begun() <= 105);
    node.now += Duration::from_secs(2);
    let half_way = node.count_begun();
    assert!((400..900).contains(&half_way), "{half_way} of 1,000 runs began after two seconds");
    node.now += Duration::from_secs(3);
    assert_eq!(node.count_begun(), 1_000);
}

/// Forty seconds of runs with two calls each, of which the called service can serve `served_per_second`.
struct Simulation {
    runs_per_second: u64,
    served_per_second: f64,
    /// Delay of a call's result, in steps of 10 ms.
    result_delay: usize,
}

impl Simulation {
    /// Number of runs that got both calls, per second.
    fn successful_runs(&self) -> Vec<u64> {
        let mut node = Node::new(2.0);
        let mut delayed_results: VecDeque<Vec<CallOutcome>> =
            (0..self.result_delay).map(|_| Vec::new()).collect();
        let (mut capacity, mut due) = (0.0_f64, 0);
        let mut successful = vec![0; 40];
        for step in 0..4_000 {
            node.now += Duration::from_millis(10);
            // Unused capacity is lost after a short while.
            capacity = (capacity + self.served_per_second / 100.0).min(self.served_per_second / 20.0);
            due += self.runs_per_second;
            let mut ends = Vec::new();
            let begun = (0..due / 100).filter(|_| node.may_begin(RANK)).count();
            due %= 100;
            for _ in 0..begun {
                let calls = [(); 2].map(|()| call(&mut capacity));
                successful[step / 100] += u64::from(calls == [CallOutcome::Run; 2]);
                ends.extend(calls);
            }
            delayed_results.push_back(ends);
            for outcome in delayed_results.pop_front().unwrap_or_default() {
                node.estimator.record_call(node.now, &ledger(), RANK, LEVEL, outcome);
            }
        }
        successful
    }
}

fn call(capacity: &mut f64) -> CallOutcome {
    if *capacity < 1.0 {
        return CallOutcome::Overloaded;
    }
    *capacity -= 1.0;
    CallOutcome::Run
}

/// Guards against oscillation caused by delayed results: runs arrive at two and three times the rate whose
/// calls can be served, and results are 300 ms old.
#[test]
fn refusals_do_not_oscillate_with_delayed_results() {
    for runs_per_second in [200, 300] {
        let successful =
            Simulation { runs_per_second, served_per_second: 200.0, result_delay: 30 }.successful_runs();
        let settled = &successful[5..];
        let (smallest, largest) = (settled.iter().min().unwrap(), settled.iter().max().unwrap());
        println!("{runs_per_second} runs per second, successful runs in each second: {successful:?}");
        assert!(
            largest - smallest <= 20,
            "{smallest} to {largest} successful runs per second, of 100 possible"
        );
    }
}
