//! Runs that would fail since the service that they call is full are refused before they run.

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
    outlook: CallFailureEstimator,
    calls: Vec<(ServiceName, f64)>,
}

impl Node {
    fn new(count: f64) -> Self {
        let mut outlook = CallFailureEstimator::default();
        outlook.record_run(ROUTE, true);
        Self { now: Instant::now(), outlook, calls: vec![(ledger(), count)] }
    }

    /// Calls that end one after the other, 10 ms apart; of ten so many are refused.
    fn treat(&mut self, calls: usize, refused_of_ten: usize, how: CallOutcome) {
        for number in 0..calls {
            self.now += Duration::from_millis(10);
            let end = if number % 10 < refused_of_ten { how } else { CallOutcome::Run };
            self.outlook.record_call(self.now, &ledger(), RANK, LEVEL, end);
        }
    }

    fn begins(&mut self, rank: u8) -> bool {
        let plan = PendingRun { route: ROUTE, rank, level: LEVEL, calls: &self.calls };
        self.outlook.begin_run(self.now, &plan).is_ok()
    }

    /// Of a thousand runs that come at once, those that begin.
    fn begun_of_thousand(&mut self) -> usize {
        (0..1_000).filter(|_| self.begins(RANK)).count()
    }
}

#[test]
fn runs_are_refused_in_the_measure_in_which_they_would_fail() {
    for (refused, begun) in [(0, 990..=1_000), (3, 450..=560), (5, 230..=330), (10, 95..=105)] {
        let mut node = Node::new(2.0);
        node.treat(300, refused, CallOutcome::NoRoom);
        let found = node.begun_of_thousand();
        assert!(begun.contains(&found), "{refused} of ten calls refused, {found} begun");
    }
}

#[test]
fn a_refusal_names_the_called_service_and_when_there_is_better_hope() {
    let mut node = Node::new(1.0);
    node.treat(300, 10, CallOutcome::NoRoom);
    let plan = PendingRun { route: ROUTE, rank: RANK, level: LEVEL, calls: &node.calls };
    let refusal = (0..9).find_map(|_| node.outlook.begin_run(node.now, &plan).err()).unwrap();
    assert_eq!(refusal.called, ledger());
    assert!(refusal.failing > 0.9);
    assert!((Duration::from_millis(500)..=Duration::from_secs(1)).contains(&refusal.come_back));
}

#[test]
fn runs_of_another_rank_or_level_and_of_routes_without_calls_begin() {
    let mut node = Node::new(2.0);
    node.treat(300, 10, CallOutcome::NoRoom);
    assert!((0..100).all(|_| node.begins(0)), "calls of rank 0 were not refused");
    let last_level = CallLevel::from_hash(31);
    let other = PendingRun { route: ROUTE, rank: RANK, level: last_level, calls: &node.calls };
    assert!(
        (0..100).all(|_| node.outlook.begin_run(node.now, &other).is_ok()),
        "nothing is known of its level"
    );
    let quiet = PendingRun { route: ROUTE + 1, rank: RANK, level: LEVEL, calls: &[] };
    assert!((0..100).all(|_| node.outlook.begin_run(node.now, &quiet).is_ok()));
}

#[test]
fn runs_that_mostly_make_no_calls_begin() {
    let mut node = Node::new(2.0);
    for number in 0..200 {
        node.outlook.record_run(ROUTE, number % 20 == 0);
    }
    node.treat(300, 10, CallOutcome::NoRoom);
    assert!(node.begun_of_thousand() > 900);
}

/// Back ends of the called service turned half of all calls away with free slots, of which two were made by seven of ten runs: nearly half of
/// the runs got their answers, and nothing would have gone better with fewer.
#[test]
fn runs_whose_calls_are_turned_away_for_a_fault_begin_unless_they_can_hardly_succeed() {
    let mut node = Node::new(1.0);
    node.treat(300, 5, CallOutcome::Refused);
    assert_eq!(node.begun_of_thousand(), 1_000);
    let mut node = Node::new(2.0);
    node.treat(300, 5, CallOutcome::Refused);
    let found = node.begun_of_thousand();
    assert!((230..=330).contains(&found), "a quarter would succeed, {found} were begun");
}

/// The called service has ended, or nothing is heard of it: nothing holds its callers back for long.
#[test]
fn without_news_all_runs_begin_again_within_five_seconds() {
    let mut node = Node::new(2.0);
    node.treat(300, 10, CallOutcome::NoRoom);
    assert!(node.begun_of_thousand() <= 105);
    node.now += Duration::from_secs(2);
    let half_way = node.begun_of_thousand();
    assert!((400..900).contains(&half_way), "{half_way} begun after two seconds");
    node.now += Duration::from_secs(3);
    assert_eq!(node.begun_of_thousand(), 1_000);
}

/// Forty seconds in which runs come that make two calls each, of which the called service serves so many a second.
struct Loop {
    runs_per_second: u64,
    served_per_second: f64,
    /// Age of the news of a call, in steps of 10 ms.
    news_age: usize,
}

impl Loop {
    /// Runs that got both calls, in each second.
    fn good_runs(&self) -> Vec<u64> {
        let mut node = Node::new(2.0);
        let mut news: VecDeque<Vec<CallOutcome>> = (0..self.news_age).map(|_| Vec::new()).collect();
        let (mut room, mut due) = (0.0_f64, 0);
        let mut good = vec![0; 40];
        for step in 0..4_000 {
            node.now += Duration::from_millis(10);
            // What is not used is lost after a short while.
            room = (room + self.served_per_second / 100.0).min(self.served_per_second / 20.0);
            due += self.runs_per_second;
            let mut ends = Vec::new();
            let begun = (0..due / 100).filter(|_| node.begins(RANK)).count();
            due %= 100;
            for _ in 0..begun {
                let calls = [(); 2].map(|()| take(&mut room));
                good[step / 100] += u64::from(calls == [CallOutcome::Run; 2]);
                ends.extend(calls);
            }
            news.push_back(ends);
            for end in news.pop_front().unwrap_or_default() {
                node.outlook.record_call(node.now, &ledger(), RANK, LEVEL, end);
            }
        }
        good
    }
}

fn take(room: &mut f64) -> CallOutcome {
    if *room < 1.0 {
        return CallOutcome::NoRoom;
    }
    *room -= 1.0;
    CallOutcome::Run
}

/// At two and three times the runs whose calls are served, with news that are 300 ms old.
#[test]
fn refusals_do_not_swing_with_old_news() {
    for runs_per_second in [200, 300] {
        let good = Loop { runs_per_second, served_per_second: 200.0, news_age: 30 }.good_runs();
        let settled = &good[5..];
        let (least, most) = (settled.iter().min().unwrap(), settled.iter().max().unwrap());
        println!("{runs_per_second} runs a second, good runs by second: {good:?}");
        assert!(most - least <= 20, "{least} to {most} of 100 good runs a second");
    }
}
