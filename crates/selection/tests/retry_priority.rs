//! Simulates back ends of one service that reject 55 of 100 requests for eight seconds although slots are
//! free. Runs of another service make two parallel calls each and fail if one of them fails; callers send
//! requests of two priority ranks. Retries are limited to a fifth of the requests, which is less than half of
//! the demand. Each of 83 nodes decides on its own, by its own part of the budget.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use umberpond_selection::{
    OtherCalls, RetryBudget, RetryBudgetSettings, RetryDemand, RetryInitiator, RetryPriority,
};

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, extra: 208.0, window: Duration::from_secs(10) };
const NODES: usize = 83;
const REJECTED_SHARE: f64 = 0.55;
/// Time in which the back ends reject requests, in ms.
const REJECTION_PERIOD: std::ops::Range<u64> = 12_000..20_000;
/// Runs that make calls, and requests of callers, per node.
const RUNS_PER_SECOND: u64 = 3;
const REQUESTS_PER_SECOND: u64 = 4;
const CALLS: usize = 2;
const MAX_ARRIVALS: u32 = 4;
/// Priority rank of the runs and of half of the requests of callers.
const URGENT: u8 = 1;
/// Priority rank of the other half.
const LESS_URGENT: u8 = 3;
/// How long a rejected call waits for the outcome of the others, in ms.
const OTHER_CALLS_TIME: u64 = 10;
const SEEDS: u64 = 5;
/// Three standard errors of the difference of two shares of 10,000 runs, which is about the number that start
/// during the rejections over all seeds.
const SIGNIFICANT: f64 = 0.021;

/// How the budget is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spending {
    FirstComeFirstServed,
    ByRank,
    ByPriority,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    Open,
    Rejected,
    Completed,
    Lost,
}

/// A request of a caller, or the calls of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Work {
    node: usize,
    rank: u8,
    is_run: bool,
}

/// An event of a request, which is identified by the index of its work item and of the call in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrived(Work),
    Completed(usize, usize),
    Rejected(usize, usize, u32),
    /// The outcomes of the other calls are known.
    OthersKnown(usize, usize, u32),
}

#[derive(Debug, Default)]
struct Node {
    budget: RetryBudget,
    demand: RetryDemand,
}

/// Number of served requests, and of all.
#[derive(Debug, Default, Clone, Copy)]
struct Served {
    served: u32,
    all: u32,
}

impl Served {
    fn count(&mut self, is_served: bool) {
        self.all += 1;
        self.served += u32::from(is_served);
    }

    fn share(self) -> f64 {
        f64::from(self.served) / f64::from(self.all)
    }
}

#[derive(Debug, Default, Clone, Copy)]
struct Outcome {
    runs: Served,
    urgent: Served,
    less_urgent: Served,
}

impl Outcome {
    fn all(self) -> Served {
        let kinds = [self.runs, self.urgent, self.less_urgent];
        let served = kinds.iter().map(|kind| kind.served).sum();
        Served { served, all: kinds.iter().map(|kind| kind.all).sum() }
    }
}

struct Simulation {
    spending: Spending,
    random: SmallRng,
    start: Instant,
    nodes: Vec<Node>,
    work_items: Vec<(u64, Work, Vec<CallState>)>,
    events: BinaryHeap<Reverse<(u64, Event)>>,
}

impl Simulation {
    fn simulate(spending: Spending, seed: u64, outcome: &mut Outcome) {
        let mut simulation = Self {
            spending,
            random: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            work_items: Vec::new(),
            events: BinaryHeap::new(),
        };
        simulation.schedule_arrivals();
        while let Some(Reverse((at, event))) = simulation.events.pop() {
            simulation.handle(at, event);
        }
        simulation.count(outcome);
    }

    fn schedule_arrivals(&mut self) {
        let per_second = RUNS_PER_SECOND + REQUESTS_PER_SECOND;
        for number in 0..REJECTION_PERIOD.end / 1_000 * per_second {
            for node in 0..NODES {
                let at = number / per_second * 1_000 + self.random.random_range(0..1_000);
                let is_run = number % per_second < RUNS_PER_SECOND;
                let rank = if is_run || number % 2 == 0 { URGENT } else { LESS_URGENT };
                self.events.push(Reverse((at, Event::Arrived(Work { node, rank, is_run }))));
            }
        }
    }

    fn handle(&mut self, at: u64, event: Event) {
        match event {
            Event::Arrived(work) => self.begin(at, work),
            Event::Completed(work, call) => self.work_items[work].2[call] = CallState::Completed,
            Event::Rejected(work, call, arrivals) => {
                self.work_items[work].2[call] = CallState::Rejected;
                let waits = self.spending == Spending::ByPriority && arrivals == 1;
                if waits && self.others(work, call).open > 0 {
                    let others_known = Event::OthersKnown(work, call, arrivals);
                    self.events.push(Reverse((at + OTHER_CALLS_TIME, others_known)));
                } else {
                    self.retry_or_fail(at, work, call, arrivals);
                }
            }
            Event::OthersKnown(work, call, arrivals) => self.retry_or_fail(at, work, call, arrivals),
        }
    }

    fn begin(&mut self, at: u64, work: Work) {
        let calls = if work.is_run { CALLS } else { 1 };
        let number = self.work_items.len();
        self.work_items.push((at, work, vec![CallState::Open; calls]));
        for call in 0..calls {
            let now = self.time(at);
            self.nodes[work.node].budget.count_request(now, Some(NODES), &SETTINGS);
            self.send(at, number, call, 1);
        }
    }

    fn send(&mut self, at: u64, work: usize, call: usize, arrivals: u32) {
        let is_rejected = REJECTION_PERIOD.contains(&at) && self.random.random_bool(REJECTED_SHARE);
        let (after, event) = if is_rejected {
            (self.random.random_range(2..6), Event::Rejected(work, call, arrivals))
        } else {
            (self.random.random_range(20..80), Event::Completed(work, call))
        };
        self.events.push(Reverse((at + after, event)));
    }

    fn retry_or_fail(&mut self, at: u64, work: usize, call: usize, arrivals: u32) {
        if arrivals < MAX_ARRIVALS && self.may_retry(at, work, call) {
            let node = self.work_items[work].1.node;
            self.nodes[node].budget.confirm_arrival();
            self.send(at, work, call, arrivals + 1);
        } else {
            self.work_items[work].2[call] = CallState::Lost;
        }
    }

    fn may_retry(&mut self, at: u64, work: usize, call: usize) -> bool {
        let now = self.time(at);
        let others = self.others(work, call);
        let Work { node, rank, is_run } = self.work_items[work].1;
        let Node { budget, demand } = &mut self.nodes[node];
        let initiator = match self.spending {
            Spending::FirstComeFirstServed => return budget.take(now, Some(NODES), &SETTINGS),
            Spending::ByPriority if is_run => RetryInitiator::Run(others),
            Spending::ByRank | Spending::ByPriority => RetryInitiator::Caller { rank },
        };
        let Some(priority) = demand.record(now, initiator) else { return false };
        let reserved = demand.reserved(now, priority, budget.max_savings(now, Some(NODES), &SETTINGS));
        budget.take_above(now, Some(NODES), &SETTINGS, reserved)
    }

    fn others(&self, work: usize, call: usize) -> OtherCalls {
        let mut others = OtherCalls::default();
        for (number, state) in self.work_items[work].2.iter().enumerate() {
            match state {
                _ if number == call => {}
                CallState::Open => others.open += 1,
                CallState::Rejected => others.rejected += 1,
                CallState::Completed => {}
                CallState::Lost => others.lost += 1,
            }
        }
        others
    }

    fn count(&self, outcome: &mut Outcome) {
        for (at, work, states) in &self.work_items {
            if !REJECTION_PERIOD.contains(at) {
                continue;
            }
            let is_served = states.iter().all(|state| *state == CallState::Completed);
            match work {
                Work { is_run: true, .. } => outcome.runs.count(is_served),
                Work { rank: URGENT, .. } => outcome.urgent.count(is_served),
                Work { .. } => outcome.less_urgent.count(is_served),
            }
        }
    }

    fn time(&self, at: u64) -> Instant {
        self.start + Duration::from_millis(at)
    }
}

fn simulate(spending: Spending) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..SEEDS {
        Simulation::simulate(spending, seed, &mut outcome);
    }
    println!(
        "{spending:?}: served {:.3} of the runs, {:.3} of the urgent requests, {:.3} of the others, {:.3} of all",
        outcome.runs.share(),
        outcome.urgent.share(),
        outcome.less_urgent.share(),
        outcome.all().share()
    );
    outcome
}

#[test]
fn retries_by_priority_save_runs_without_starving_other_requests() {
    let first_come = simulate(Spending::FirstComeFirstServed);
    let by_rank = simulate(Spending::ByRank);
    let by_priority = simulate(Spending::ByPriority);
    assert!(by_priority.runs.share() > first_come.runs.share() + SIGNIFICANT);
    assert!(by_priority.runs.share() > by_rank.runs.share() + SIGNIFICANT);
    assert!(by_priority.all().share() > first_come.all().share());
    // Requests that are not rejected on their first arrival are served without a retry.
    for kind in [by_priority.urgent, by_priority.less_urgent] {
        assert!(kind.share() >= 1.0 - REJECTED_SHARE);
    }
    assert!(by_priority.urgent.share() >= by_priority.less_urgent.share());
}

const LACKS_ONE: OtherCalls = OtherCalls { open: 1, rejected: 0, lost: 0 };

#[test]
fn run_that_has_lost_a_call_gets_no_retry_of_another() {
    let now = Instant::now();
    let mut demand = RetryDemand::default();
    let others = OtherCalls { open: 0, rejected: 1, lost: 1 };
    assert_eq!(demand.record(now, RetryInitiator::Run(others)), None);
    assert_eq!(demand.record(now, RetryInitiator::Run(LACKS_ONE)), Some(RetryPriority::RunLacksOneCall));
    let lacks_several = OtherCalls { open: 1, rejected: 1, lost: 0 };
    assert_eq!(
        demand.record(now, RetryInitiator::Run(lacks_several)),
        Some(RetryPriority::RunLacksSeveralCalls)
    );
}

/// Savings bound in the tests of reserved retries.
const MOST_SAVED: f64 = 20.0;

#[test]
fn reservation_does_not_exceed_the_demand_of_higher_priority() {
    let now = Instant::now();
    let mut demand = RetryDemand::default();
    for rank in [5, 4, 3] {
        let priority = demand.record(now, RetryInitiator::Caller { rank }).unwrap();
        let reserved = demand.reserved(now, priority, MOST_SAVED);
        assert_eq!(priority, RetryPriority::Request);
        assert!(reserved <= 0.0, "{reserved} reserved without demand");
    }
    let less = demand.record(now, RetryInitiator::Caller { rank: 4 }).unwrap();
    assert_eq!(less, RetryPriority::LessUrgentRequest);
    assert!(
        (0.9..=1.1).contains(&demand.reserved(now, less, MOST_SAVED)),
        "reserved for one more urgent request"
    );
    for _ in 0..3 {
        demand.record(now, RetryInitiator::Run(LACKS_ONE));
    }
    assert!((2.9..=3.1).contains(&demand.reserved(now, RetryPriority::Request, MOST_SAVED)));
    assert!(demand.reserved(now, RetryPriority::RunLacksOneCall, MOST_SAVED) <= 0.0);
    for _ in 0..100 {
        demand.record(now, RetryInitiator::Run(LACKS_ONE));
    }
    let reserved_shares =
        [RetryPriority::Request, RetryPriority::LessUrgentRequest, RetryPriority::RunLacksSeveralCalls]
            .map(|priority| demand.reserved(now, priority, MOST_SAVED));
    assert!(
        reserved_shares.is_sorted()
            && reserved_shares[0] < reserved_shares[2]
            && reserved_shares[2] < MOST_SAVED,
        "{reserved_shares:?}"
    );
    let later = now + Duration::from_secs(60);
    let request = demand.record(later, RetryInitiator::Caller { rank: 4 }).unwrap();
    assert_eq!(request, RetryPriority::Request);
    assert!(demand.reserved(later, request, MOST_SAVED) < 0.01);
}

#[test]
fn highest_priority_takes_the_last_retry_and_a_single_retry_is_not_reserved() {
    let now = Instant::now();
    let settings = RetryBudgetSettings { extra: 0.0, ..SETTINGS };
    let mut budget = RetryBudget::default();
    (0..80).for_each(|_| budget.count_request(now, None, &settings));
    let taken = |budget: &mut RetryBudget, reserved: f64| {
        (0..100).take_while(|_| budget.take_above(now, None, &settings, reserved)).count()
    };
    // Eight retries may be saved.
    let above = taken(&mut budget, 4.0);
    (0..above).for_each(|_| budget.confirm_arrival());
    assert_eq!(above, 5, "from eight down to four");
    assert_eq!(taken(&mut budget, 0.0), 3);
    let mut small = RetryBudget::default();
    (0..10).for_each(|_| small.count_request(now, None, &settings));
    assert!(small.take_above(now, None, &settings, 0.75));
}
