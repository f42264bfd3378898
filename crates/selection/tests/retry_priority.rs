//! All back ends of a service turn 55 of 100 arrivals away for eight seconds, with slots free. Runs of another service make two calls each to it, together,
//! and fail if one of them does; callers send requests of two ranks. Repeats are bounded to a fifth of the requests: not enough for half of those asked
//! for. 83 nodes decide, each by its own part of the budget.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use umberpond_selection::{
    OtherCalls, RetryBudget, RetryBudgetSettings, RetryInitiator, RetryPriority, RetryStakes,
};

const SETTINGS: RetryBudgetSettings =
    RetryBudgetSettings { ratio: 0.2, extra: 208.0, window: Duration::from_secs(10) };
const NODES: usize = 83;
const REJECTED_SHARE: f64 = 0.55;
/// When the back ends turn requests away, in ms.
const TROUBLE: std::ops::Range<u64> = 12_000..20_000;
/// Runs that make calls, and requests of callers, at each node.
const RUNS_PER_SECOND: u64 = 3;
const REQUESTS_PER_SECOND: u64 = 4;
const CALLS: usize = 2;
const MAX_ARRIVALS: u32 = 4;
/// Rank of the runs and of half of the callers' requests.
const URGENT: u8 = 1;
/// Rank of the other half.
const LESS_URGENT: u8 = 3;
/// How long a call that was turned away waits for the fate of the other ones, in ms.
const OTHER_CALLS_TIME: u64 = 10;
const SEEDS: u64 = 5;
/// Three standard errors of the difference of two shares of 10,000 runs, about as many as begin in the trouble over all seeds.
const SIGNIFICANT: f64 = 0.021;

/// For which repeats the budget is spent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spending {
    FirstComeFirstServed,
    ByRank,
    ByStake,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fate {
    Open,
    Rejected,
    Answered,
    Lost,
}

/// A request of a caller, or the calls of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Work {
    node: usize,
    rank: u8,
    is_run: bool,
}

/// What happens to a request, named by the numbers of its work and of the call in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Happening {
    Begins(Work),
    Answered(usize, usize),
    Rejected(usize, usize, u32),
    /// It is known how other calls have fared.
    Decided(usize, usize, u32),
}

#[derive(Debug, Default)]
struct Node {
    budget: RetryBudget,
    stakes: RetryStakes,
}

/// Served of all.
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

struct Replay {
    spending: Spending,
    random: SmallRng,
    start: Instant,
    nodes: Vec<Node>,
    works: Vec<(u64, Work, Vec<Fate>)>,
    due: BinaryHeap<Reverse<(u64, Happening)>>,
}

impl Replay {
    fn play(spending: Spending, seed: u64, outcome: &mut Outcome) {
        let mut replay = Self {
            spending,
            random: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            nodes: (0..NODES).map(|_| Node::default()).collect(),
            works: Vec::new(),
            due: BinaryHeap::new(),
        };
        replay.plan();
        while let Some(Reverse((at, happening))) = replay.due.pop() {
            replay.happens(at, happening);
        }
        replay.count(outcome);
    }

    fn plan(&mut self) {
        let per_second = RUNS_PER_SECOND + REQUESTS_PER_SECOND;
        for number in 0..TROUBLE.end / 1_000 * per_second {
            for node in 0..NODES {
                let at = number / per_second * 1_000 + self.random.random_range(0..1_000);
                let is_run = number % per_second < RUNS_PER_SECOND;
                let rank = if is_run || number % 2 == 0 { URGENT } else { LESS_URGENT };
                self.due.push(Reverse((at, Happening::Begins(Work { node, rank, is_run }))));
            }
        }
    }

    fn happens(&mut self, at: u64, happening: Happening) {
        match happening {
            Happening::Begins(work) => self.begin(at, work),
            Happening::Answered(work, call) => self.works[work].2[call] = Fate::Answered,
            Happening::Rejected(work, call, arrivals) => {
                self.works[work].2[call] = Fate::Rejected;
                let waits = self.spending == Spending::ByStake && arrivals == 1;
                if waits && self.others(work, call).open > 0 {
                    let decided = Happening::Decided(work, call, arrivals);
                    self.due.push(Reverse((at + OTHER_CALLS_TIME, decided)));
                } else {
                    self.decide(at, work, call, arrivals);
                }
            }
            Happening::Decided(work, call, arrivals) => self.decide(at, work, call, arrivals),
        }
    }

    fn begin(&mut self, at: u64, work: Work) {
        let calls = if work.is_run { CALLS } else { 1 };
        let number = self.works.len();
        self.works.push((at, work, vec![Fate::Open; calls]));
        for call in 0..calls {
            let now = self.time(at);
            self.nodes[work.node].budget.count_request(now, Some(NODES), &SETTINGS);
            self.send(at, number, call, 1);
        }
    }

    fn send(&mut self, at: u64, work: usize, call: usize, arrivals: u32) {
        let is_rejected = TROUBLE.contains(&at) && self.random.random_bool(REJECTED_SHARE);
        let (after, happening) = if is_rejected {
            (self.random.random_range(2..6), Happening::Rejected(work, call, arrivals))
        } else {
            (self.random.random_range(20..80), Happening::Answered(work, call))
        };
        self.due.push(Reverse((at + after, happening)));
    }

    fn decide(&mut self, at: u64, work: usize, call: usize, arrivals: u32) {
        if arrivals < MAX_ARRIVALS && self.may_repeat(at, work, call) {
            let node = self.works[work].1.node;
            self.nodes[node].budget.on_arrived();
            self.send(at, work, call, arrivals + 1);
        } else {
            self.works[work].2[call] = Fate::Lost;
        }
    }

    fn may_repeat(&mut self, at: u64, work: usize, call: usize) -> bool {
        let now = self.time(at);
        let others = self.others(work, call);
        let Work { node, rank, is_run } = self.works[work].1;
        let Node { budget, stakes } = &mut self.nodes[node];
        let owner = match self.spending {
            Spending::FirstComeFirstServed => return budget.take(now, Some(NODES), &SETTINGS),
            Spending::ByStake if is_run => RetryInitiator::Run(others),
            Spending::ByRank | Spending::ByStake => RetryInitiator::Caller { rank },
        };
        let Some(stake) = stakes.claim(now, owner) else { return false };
        let reserved = stakes.reserved(now, stake, budget.most_saved(now, Some(NODES), &SETTINGS));
        budget.take_above(now, Some(NODES), &SETTINGS, reserved)
    }

    fn others(&self, work: usize, call: usize) -> OtherCalls {
        let mut others = OtherCalls::default();
        for (number, fate) in self.works[work].2.iter().enumerate() {
            match fate {
                _ if number == call => {}
                Fate::Open => others.open += 1,
                Fate::Rejected => others.rejected += 1,
                Fate::Answered => {}
                Fate::Lost => others.lost += 1,
            }
        }
        others
    }

    fn count(&self, outcome: &mut Outcome) {
        for (at, work, fates) in &self.works {
            if !TROUBLE.contains(at) {
                continue;
            }
            let is_served = fates.iter().all(|fate| *fate == Fate::Answered);
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

fn play(spending: Spending) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..SEEDS {
        Replay::play(spending, seed, &mut outcome);
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
fn repeats_by_stake_save_runs_and_cost_nobody_else_their_share() {
    let first_come = play(Spending::FirstComeFirstServed);
    let by_rank = play(Spending::ByRank);
    let by_stake = play(Spending::ByStake);
    assert!(by_stake.runs.share() > first_come.runs.share() + SIGNIFICANT);
    assert!(by_stake.runs.share() > by_rank.runs.share() + SIGNIFICANT);
    assert!(by_stake.all().share() > first_come.all().share());
    // What arrives first is served without any repeat.
    for kind in [by_stake.urgent, by_stake.less_urgent] {
        assert!(kind.share() >= 1.0 - REJECTED_SHARE);
    }
    assert!(by_stake.urgent.share() >= by_stake.less_urgent.share());
}

const LAST: OtherCalls = OtherCalls { open: 1, rejected: 0, lost: 0 };

#[test]
fn a_run_that_has_lost_a_call_is_worth_no_repeat_of_another() {
    let now = Instant::now();
    let mut stakes = RetryStakes::default();
    let others = OtherCalls { open: 0, rejected: 1, lost: 1 };
    assert_eq!(stakes.claim(now, RetryInitiator::Run(others)), None);
    assert_eq!(stakes.claim(now, RetryInitiator::Run(LAST)), Some(RetryPriority::LastCall));
    let in_doubt = OtherCalls { open: 1, rejected: 1, lost: 0 };
    assert_eq!(stakes.claim(now, RetryInitiator::Run(in_doubt)), Some(RetryPriority::RunInDoubt));
}

/// Repeats that may be saved in the tests of what is kept.
const MOST_SAVED: f64 = 20.0;

#[test]
fn no_more_is_kept_than_was_asked_for_with_more_at_stake() {
    let now = Instant::now();
    let mut stakes = RetryStakes::default();
    for rank in [5, 4, 3] {
        let stake = stakes.claim(now, RetryInitiator::Caller { rank }).unwrap();
        let reserved = stakes.reserved(now, stake, MOST_SAVED);
        assert_eq!(stake, RetryPriority::Request);
        assert!(reserved <= 0.0, "{reserved} for nobody");
    }
    let less = stakes.claim(now, RetryInitiator::Caller { rank: 4 }).unwrap();
    assert_eq!(less, RetryPriority::LessUrgentRequest);
    assert!((0.9..=1.1).contains(&stakes.reserved(now, less, MOST_SAVED)), "for one more urgent request");
    for _ in 0..3 {
        stakes.claim(now, RetryInitiator::Run(LAST));
    }
    assert!((2.9..=3.1).contains(&stakes.reserved(now, RetryPriority::Request, MOST_SAVED)));
    assert!(stakes.reserved(now, RetryPriority::LastCall, MOST_SAVED) <= 0.0);
    for _ in 0..100 {
        stakes.claim(now, RetryInitiator::Run(LAST));
    }
    let kept = [RetryPriority::Request, RetryPriority::LessUrgentRequest, RetryPriority::RunInDoubt]
        .map(|stake| stakes.reserved(now, stake, MOST_SAVED));
    assert!(kept.is_sorted() && kept[0] < kept[2] && kept[2] < MOST_SAVED, "{kept:?}");
    let later = now + Duration::from_secs(60);
    let request = stakes.claim(later, RetryInitiator::Caller { rank: 4 }).unwrap();
    assert_eq!(request, RetryPriority::Request);
    assert!(stakes.reserved(later, request, MOST_SAVED) < 0.01);
}

#[test]
fn the_greatest_stake_takes_the_last_repeat_and_a_node_with_one_keeps_none() {
    let now = Instant::now();
    let settings = RetryBudgetSettings { extra: 0.0, ..SETTINGS };
    let mut budget = RetryBudget::default();
    (0..80).for_each(|_| budget.count_request(now, None, &settings));
    let taken = |budget: &mut RetryBudget, reserved: f64| {
        (0..100).take_while(|_| budget.take_above(now, None, &settings, reserved)).count()
    };
    // Eight may be saved.
    let above = taken(&mut budget, 4.0);
    (0..above).for_each(|_| budget.on_arrived());
    assert_eq!(above, 5, "from eight down to four");
    assert_eq!(taken(&mut budget, 0.0), 3);
    let mut small = RetryBudget::default();
    (0..10).for_each(|_| small.count_request(now, None, &settings));
    assert!(small.take_above(now, None, &settings, 0.75));
}
