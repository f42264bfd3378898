//! No invariant is violated over a fixed set of seeds, and a run without faults does enough work to be
//! meaningful.

use std::collections::BTreeSet;
use std::num::NonZero;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use umberpond_sim::cluster::{RunOptions, RunReport, run};
use umberpond_sim::history::{CallerOutcome, Event, RequestKey};
use umberpond_sim::schedule::{FaultKind, Schedule};

/// Seeds that are run with all kinds of fault.
const MIXED_SEEDS: std::ops::Range<u64> = 0..24;
/// Seeds that are run with all kinds of fault, signals of back ends included.
const SIGNAL_SEEDS: std::ops::Range<u64> = 0..24;
/// Faults that are combined with signals of back ends: those under which nodes forget what they know.
const FAULTS_WITH_SIGNALS: [FaultKind; 7] = [
    FaultKind::LimitedBackEnd,
    FaultKind::LeavingBackEnd,
    FaultKind::Kill,
    FaultKind::PlannedStop,
    FaultKind::Freeze,
    FaultKind::DoubledRequests,
    FaultKind::SlowBackEnd,
];
/// Seeds that are run with each kind of fault alone.
const SEEDS_FOR_EACH_KIND: std::ops::Range<u64> = 0..3;

fn run_seed(seed: u64, kinds: &[FaultKind]) -> RunReport {
    run(&RunOptions { seed, schedule: Schedule::from_seed(seed, kinds) })
}

#[track_caller]
fn assert_holds(seed: u64, kinds: &[FaultKind]) {
    let report = run_seed(seed, kinds);
    let violations: Vec<_> = report.violations.values().flatten().take(3).collect();
    assert!(violations.is_empty(), "seed {seed}, faults {kinds:?}: {violations:#?}");
}

/// Runs all cases on several threads. Each run has its own runtime, so parallel runs don't affect each other.
fn assert_all_hold(cases: &[(u64, &[FaultKind])]) {
    let next = AtomicUsize::new(0);
    let threads = thread::available_parallelism().map_or(1, NonZero::get);
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((seed, kinds)) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    assert_holds(*seed, kinds);
                }
            });
        }
    });
}

fn count(report: &RunReport, wanted: impl Fn(&Event) -> bool) -> usize {
    report.history.events().filter(|recorded| wanted(&recorded.event)).count()
}

#[test]
fn mixed_faults_violate_no_invariant() {
    let (other_kinds, _signals) = FaultKind::ALL.split_at(FaultKind::ALL.len() - FaultKind::SIGNALS.len());
    let cases: Vec<(u64, &[FaultKind])> = MIXED_SEEDS.map(|seed| (seed, other_kinds)).collect();
    assert_all_hold(&cases);
}

#[test]
fn mixed_faults_and_signals_of_back_ends_violate_no_invariant() {
    let all = SIGNAL_SEEDS.map(|seed| (seed, &FaultKind::ALL[..]));
    let selected = SIGNAL_SEEDS.map(|seed| (seed, &FAULTS_WITH_SIGNALS[..]));
    let cases: Vec<(u64, &[FaultKind])> = all.chain(selected).collect();
    assert_all_hold(&cases);
}

#[test]
fn each_kind_of_fault_alone_violates_no_invariant() {
    let alone = |kind| SEEDS_FOR_EACH_KIND.map(move |seed| (seed, std::slice::from_ref(kind)));
    let cases: Vec<(u64, &[FaultKind])> = FaultKind::ALL.iter().flat_map(alone).collect();
    assert_all_hold(&cases);
}

#[test]
fn a_run_without_faults_answers_nearly_all_requests_and_activates_versions() {
    let report = run(&RunOptions { seed: 1, schedule: Schedule::default() });
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    let first_requests: BTreeSet<RequestKey> = report
        .history
        .events()
        .filter_map(|recorded| match &recorded.event {
            Event::Sent { request, repeats: false, .. } => Some(*request),
            _ => None,
        })
        .collect();
    let sent = first_requests.len();
    let good = CallerOutcome::Answered { whole: true, own: true };
    let answered = count(&report, |event| match event {
        Event::Finished { request, outcome } => *outcome == good && first_requests.contains(request),
        _ => false,
    });
    let activated = count(&report, |event| matches!(event, Event::Activated { .. }));
    assert!(sent > 100, "{sent} requests are too few for a meaningful run");
    assert!(answered * 100 >= sent * 99, "{answered} of {sent} requests were answered");
    assert!(activated >= 40, "{activated} activations are too few for a meaningful run");
}
