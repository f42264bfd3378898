//! A fixed set of seeds, the same on every machine: no invariant breaks, and the runs are not empty.

use umberpond_sim::cluster::{RunOptions, RunReport, run};
use umberpond_sim::history::{CallerOutcome, Event};
use umberpond_sim::schedule::{FaultKind, Schedule};

/// Seeds run with all kinds of fault mixed.
const MIXED_SEEDS: std::ops::Range<u64> = 0..24;
/// Seeds run for each kind of fault alone.
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

fn count(report: &RunReport, wanted: impl Fn(&Event) -> bool) -> usize {
    report.history.events().filter(|recorded| wanted(&recorded.event)).count()
}

#[test]
fn mixed_faults_break_no_invariant() {
    for seed in MIXED_SEEDS {
        assert_holds(seed, &FaultKind::ALL);
    }
}

#[test]
fn each_kind_of_fault_alone_breaks_no_invariant() {
    for kind in FaultKind::ALL {
        for seed in SEEDS_FOR_EACH_KIND {
            assert_holds(seed, &[kind]);
        }
    }
}

#[test]
fn a_run_without_faults_answers_nearly_everything_and_brings_versions_in_force() {
    let report = run(&RunOptions { seed: 1, schedule: Schedule::default() });
    assert!(report.violations.is_empty(), "{:?}", report.violations);
    let sent = count(&report, |event| matches!(event, Event::Sent { .. }));
    let answered = count(&report, |event| {
        matches!(event, Event::Finished { outcome: CallerOutcome::Answered { whole: true, own: true }, .. })
    });
    let activated = count(&report, |event| matches!(event, Event::Activated { .. }));
    assert!(sent > 100, "{sent} requests are too few to prove anything");
    assert!(answered * 100 >= sent * 99, "{answered} of {sent} requests were answered");
    assert!(activated >= 40, "{activated} activations are too few to prove anything");
}
