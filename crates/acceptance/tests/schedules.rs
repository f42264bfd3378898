//! Property test with random schedules of operators and faults, and tests of the history checker.

mod support;

use std::time::Duration;

use futures_util::future::join_all;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use support::history::{History, Link, Outcome, Violation, check, read_chain};
use support::{acceptor, is_swap, name, platform_with_mesh, reader, service};
use tokio::time::Instant;
use umberpond_acceptance::{AbandonError, Abandonment, Change, SubmitError};
use umberpond_model::{ContentHash, SubmissionId, Version};
use umberpond_store::memory::{Fault, MemoryPlatform, MemoryStore, RequestInfo};

const SCHEDULES: u64 = 400;
const SEED: u64 = 20_261_202;

/// What an operator does after an unknown outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Next {
    Nothing,
    SubmitAgain,
    Abandon,
}

#[derive(Debug, Clone)]
struct Operator {
    starts_after_millis: u64,
    bundle: u8,
    withdraws: bool,
    next: Next,
    /// Faults of the swaps of the head, in order.
    swaps: Vec<u8>,
    /// Faults of all other requests, in order.
    others: Vec<u8>,
}

#[derive(Debug, Clone)]
struct Schedule {
    operators: Vec<Operator>,
    /// Intervals after which delayed requests arrive.
    arrivals_millis: Vec<u64>,
}

impl Arbitrary for Operator {
    fn arbitrary(random: &mut Gen) -> Self {
        Self {
            starts_after_millis: u64::from(u8::arbitrary(random)),
            bundle: u8::arbitrary(random) % 3,
            withdraws: u8::arbitrary(random).is_multiple_of(4),
            next: *random.choose(&[Next::Nothing, Next::SubmitAgain, Next::Abandon]).expect("not empty"),
            swaps: Vec::arbitrary(random),
            others: Vec::arbitrary(random),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let operator = self.clone();
        let faults = (self.swaps.clone(), self.others.clone()).shrink();
        Box::new(faults.map(move |(swaps, others)| Self { swaps, others, ..operator.clone() }))
    }
}

impl Arbitrary for Schedule {
    fn arbitrary(random: &mut Gen) -> Self {
        let count = 1 + usize::arbitrary(random) % 6;
        let operators = (0..count).map(|_| Operator::arbitrary(random)).collect();
        let arrivals = Vec::<u16>::arbitrary(random);
        Self { operators, arrivals_millis: arrivals.into_iter().map(u64::from).collect() }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let arrivals_millis = self.arrivals_millis.clone();
        let shrunk = self.operators.shrink().filter(|operators| !operators.is_empty());
        Box::new(shrunk.map(move |operators| Self { operators, arrivals_millis: arrivals_millis.clone() }))
    }
}

/// The fault plan of one operator's requests.
struct Faults {
    id: u64,
    swaps: std::vec::IntoIter<u8>,
    others: std::vec::IntoIter<u8>,
    /// The platform is unreachable for the operator until this time.
    down_until: Instant,
}

impl Faults {
    fn meet(&mut self, info: &RequestInfo) -> Fault {
        let now = Instant::now();
        if now < self.down_until {
            return Fault::NotSent;
        }
        // Every request takes some time, so that the operators' requests interleave.
        let slow = Fault::Slow(Duration::from_millis(1 + (self.id * 7 + info.index * 3) % 17));
        if !is_swap(info) {
            return match self.others.next().unwrap_or(u8::MAX) % 16 {
                0 => Fault::LostResponse,
                1 => Fault::LostRequest,
                2 => Fault::Refused { retry_after: Some(Duration::from_secs(1)) },
                _ => slow,
            };
        }
        let Some(byte) = self.swaps.next() else { return slow };
        if byte >= 128 {
            self.down_until = now + OUTAGE;
        }
        match byte % 8 {
            0 | 1 => Fault::Delayed,
            2 | 3 => Fault::LostResponse,
            4 => Fault::LostRequest,
            5 => Fault::NotSent,
            6 => Fault::Slow(OUTAGE),
            _ => slow,
        }
    }
}

/// Longer than the deadline of a submission.
const OUTAGE: Duration = Duration::from_secs(11);

fn submission_outcome(result: Result<Version, SubmitError>) -> Outcome {
    match result {
        Ok(version) => Outcome::Accepted(version),
        Err(SubmitError::Abandoned { version }) => Outcome::Abandoned(version),
        Err(SubmitError::Unknown { .. }) => Outcome::Unknown,
        Err(_) => Outcome::Refused,
    }
}

fn abandonment_outcome(result: Result<Abandonment, AbandonError>) -> Outcome {
    match result {
        Ok(Abandonment::Abandoned(version)) => Outcome::Abandoned(version),
        Ok(Abandonment::AlreadyAccepted(version)) => Outcome::Accepted(version),
        // A failed abandonment implies nothing about the submission.
        Err(_) => Outcome::Unknown,
    }
}

async fn run_operator(store: MemoryStore, id: u64, operator: Operator) -> Vec<(SubmissionId, Outcome)> {
    tokio::time::sleep(Duration::from_millis(operator.starts_after_millis)).await;
    let swaps = operator.swaps.clone().into_iter();
    let others = operator.others.clone().into_iter();
    let mut faults = Faults { id, swaps, others, down_until: Instant::now() };
    store.set_faults(move |info| faults.meet(info));
    let submission = SubmissionId(id.into());
    let bundle = format!("bundle-{}", operator.bundle);
    let slots = u32::try_from(id).expect("small") + 1;
    let change = match operator.withdraws {
        true => Change::Withdraw,
        false => Change::Put(service(&bundle, slots)),
    };
    let acceptor_of = |seed| acceptor(store.clone(), seed);
    let submit = async |seed| {
        let result = acceptor_of(seed).submit(submission, name(&bundle), change.clone()).await;
        submission_outcome(result.map(|accepted| accepted.version))
    };
    let mut outcomes = vec![submit(id).await];
    if outcomes[0] == Outcome::Unknown {
        tokio::time::sleep(OUTAGE).await;
        match operator.next {
            Next::Nothing => {}
            Next::SubmitAgain => outcomes.push(submit(id + 100).await),
            Next::Abandon => {
                outcomes.push(abandonment_outcome(acceptor_of(id + 200).abandon(submission).await))
            }
        }
    }
    outcomes.into_iter().map(|outcome| (submission, outcome)).collect()
}

async fn release_delayed_requests(platform: MemoryPlatform, times_millis: Vec<u64>) {
    for millis in times_millis {
        tokio::time::sleep(Duration::from_millis(millis % 9_000)).await;
        platform.release_delayed();
    }
}

async fn run(schedule: Schedule) -> History {
    let platform = platform_with_mesh().await;
    let operators = schedule.operators.into_iter().zip(0..);
    let operators = operators.map(|(operator, id)| run_operator(platform.client(), id, operator));
    let releases = release_delayed_requests(platform.clone(), schedule.arrivals_millis);
    let (calls, ()) = tokio::join!(join_all(operators), releases);
    platform.release_delayed();
    History { calls: calls.concat(), chain: read_chain(&reader(&platform)).await }
}

fn satisfies_the_invariants(schedule: Schedule) -> TestResult {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("a runtime starts");
    match check(&runtime.block_on(run(schedule))) {
        Ok(()) => TestResult::passed(),
        Err(violation) => TestResult::error(format!("{violation:?}")),
    }
}

#[test]
fn no_result_contradicts_the_chain_under_random_faults() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, SEED))
        .tests(SCHEDULES)
        .quickcheck(satisfies_the_invariants as fn(Schedule) -> TestResult);
}

/// A valid history: two versions and the calls that created them.
fn valid_history() -> History {
    let hash = |number: u64| ContentHash::of(&number.to_be_bytes());
    let link = |number: u64| Link {
        version: Version(number),
        hash: hash(number),
        previous: (number > 1).then(|| hash(number - 1)),
        submission: SubmissionId(number.into()),
        abandons: false,
        leads_to_snapshot: true,
    };
    let calls = vec![
        (SubmissionId(1), Outcome::Accepted(Version(1))),
        (SubmissionId(2), Outcome::Unknown),
        (SubmissionId(2), Outcome::Refused),
        (SubmissionId(3), Outcome::Refused),
    ];
    History { calls, chain: vec![link(1), link(2)] }
}

#[test]
fn the_checker_detects_each_violation() {
    assert_eq!(check(&valid_history()), Ok(()));
    let broken = |change: fn(&mut History)| {
        let mut history = valid_history();
        change(&mut history);
        check(&history)
    };
    let id = SubmissionId(1);
    assert_eq!(broken(|history| history.chain[1].previous = None), Err(Violation::BrokenChain(Version(2))));
    assert_eq!(
        broken(|history| history.chain[1].leads_to_snapshot = false),
        Err(Violation::SnapshotNotReached(Version(2)))
    );
    assert_eq!(
        broken(|history| history.chain[1].submission = SubmissionId(1)),
        Err(Violation::SubmissionTwice(id))
    );
    assert_eq!(
        broken(|history| history.calls[0].1 = Outcome::Accepted(Version(2))),
        Err(Violation::AcceptedElsewhere(id))
    );
    assert_eq!(
        broken(|history| history.calls[0].1 = Outcome::Refused),
        Err(Violation::RefusedButAccepted(id))
    );
    assert_eq!(
        broken(|history| history.calls[0].1 = Outcome::Abandoned(Version(1))),
        Err(Violation::AbandonedElsewhere(id))
    );
}
