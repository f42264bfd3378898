//! Tests that each check of the demo fails on a report that breaks its invariant.

use umberpond_standins::caller::{Latencies, Outcome};
use umberpond_standins::{Finding, FindingKind, Reconciliation};

use super::checks::{BrokenInvariant, broken_invariants};
use super::figures::{
    AppliedVersion, DemoReport, DrainFigures, KillFigures, PhaseFigures, PhaseKind, StopFigures,
};

const KINDS: [PhaseKind; 5] =
    [PhaseKind::Direct, PhaseKind::Steady, PhaseKind::Drain, PhaseKind::Kill, PhaseKind::Apply];

fn phase(kind: PhaseKind) -> PhaseFigures {
    let reconciliation = Reconciliation { calls: 10, answered: 10, ..Reconciliation::default() };
    PhaseFigures { kind, reconciliation, latencies: Latencies::default(), services_answered: 3 }
}

fn stop(exit_code: Option<i32>) -> StopFigures {
    StopFigures { name: "web-1".to_owned(), millis: 100, exit_code }
}

fn version(version: u64, everywhere_millis: Option<u64>) -> AppliedVersion {
    AppliedVersion { version, command_millis: 200, everywhere_millis }
}

fn passing_report() -> DemoReport {
    DemoReport {
        nodes: 13,
        phases: KINDS.into_iter().map(phase).collect(),
        versions: vec![version(1, Some(300)), version(2, Some(400))],
        second_version_calls: 5,
        second_version_answered: 5,
        drain: Some(DrainFigures {
            node: "solver-2".to_owned(),
            runs_before: 5,
            runs_after_grace: 0,
            stop: stop(Some(0)),
        }),
        kill: Some(KillFigures { node: "archive-2".to_owned(), runs_before: 5, late_failures: 0 }),
        stops: vec![stop(Some(0))],
        ..DemoReport::default()
    }
}

/// Applies `change` to a passing report and returns the single invariant that it breaks.
fn broken_by(change: impl FnOnce(&mut DemoReport)) -> BrokenInvariant {
    let mut report = passing_report();
    change(&mut report);
    let mut broken = broken_invariants(&report);
    assert_eq!(broken.len(), 1, "{broken:?}");
    broken.remove(0)
}

#[test]
fn a_passing_run_breaks_nothing_and_a_kill_may_leave_calls_unknown() {
    assert_eq!(broken_invariants(&passing_report()), []);
    let mut report = passing_report();
    report.phases[3].reconciliation.unknown = 2;
    report.phases[3].reconciliation.truncated = 1;
    assert_eq!(broken_invariants(&report), []);
}

#[test]
fn forbidden_findings_are_reported_in_every_phase() {
    let kinds = [
        FindingKind::RanTwice,
        FindingKind::RejectedButRan,
        FindingKind::AnsweredButNotRun,
        FindingKind::WrongAnswer,
    ];
    for kind in kinds {
        for (index, phase_kind) in KINDS.iter().enumerate() {
            let finding = Finding { kind, path: "/renewals/1".to_owned() };
            let broken = broken_by(|report| report.phases[index].reconciliation.findings.push(finding));
            let expected = BrokenInvariant::Finding {
                phase: phase_kind.name(),
                what: kind,
                count: 1,
                first: "/renewals/1".to_owned(),
            };
            assert_eq!(broken, expected);
        }
    }
}

#[test]
fn unanswered_calls_during_a_graceful_stop_are_reported() {
    let broken = broken_by(|report| report.phases[2].reconciliation.rejected = 1);
    let outcome = Outcome::Rejected;
    assert_eq!(broken, BrokenInvariant::NotAnswered { phase: "drain", outcome, count: 1, calls: 10 });
    let broken = broken_by(|report| report.phases[2].reconciliation.truncated = 1);
    assert!(matches!(broken, BrokenInvariant::NotAnswered { outcome: Outcome::Truncated, .. }));
    let broken = broken_by(|report| report.phases[2].reconciliation.unknown = 1);
    assert!(matches!(broken, BrokenInvariant::NotAnswered { outcome: Outcome::Unknown, .. }));
}

#[test]
fn requests_after_a_stop_and_stops_without_prior_requests_are_reported() {
    let broken = broken_by(|report| report.drain.as_mut().unwrap().runs_after_grace = 1);
    assert_eq!(broken, BrokenInvariant::RequestsAfterDrain { node: "solver-2".to_owned(), count: 1 });
    let broken = broken_by(|report| report.drain.as_mut().unwrap().runs_before = 0);
    assert_eq!(broken, BrokenInvariant::NoRequestsBefore { node: "solver-2".to_owned() });
    let broken = broken_by(|report| report.kill.as_mut().unwrap().late_failures = 1);
    assert_eq!(broken, BrokenInvariant::LateFailures { node: "archive-2".to_owned(), count: 1 });
    let broken = broken_by(|report| report.kill.as_mut().unwrap().runs_before = 0);
    assert_eq!(broken, BrokenInvariant::NoRequestsBefore { node: "archive-2".to_owned() });
}

#[test]
fn late_unordered_and_unserved_versions_are_reported() {
    let broken = broken_by(|report| report.versions[1].everywhere_millis = None);
    assert_eq!(broken, BrokenInvariant::NotInForce { version: 2 });
    let broken = broken_by(|report| report.versions[0].everywhere_millis = Some(10_001));
    assert_eq!(broken, BrokenInvariant::NotInForce { version: 1 });
    let broken = broken_by(|report| report.versions[1].version = 1);
    assert_eq!(broken, BrokenInvariant::VersionsOutOfOrder { earlier: 1, later: 1 });
    let broken = broken_by(|report| report.second_version_answered = 4);
    assert_eq!(broken, BrokenInvariant::SecondVersionNotServed { calls: 5, answered: 4 });
}

#[test]
fn disallowed_localities_failed_stops_excess_readers_and_missing_steps_are_reported() {
    let broken = broken_by(|report| report.disallowed_runs = 1);
    assert_eq!(broken, BrokenInvariant::DisallowedLocality { count: 1 });
    let broken = broken_by(|report| report.stops.push(stop(None)));
    assert!(matches!(broken, BrokenInvariant::UncleanStop { exit_code: None, .. }));
    let broken = broken_by(|report| report.platform.greatest_readers = 41);
    assert_eq!(broken, BrokenInvariant::TooManyReaders { readers: 41 });
    let broken = broken_by(|report| report.phases[1].services_answered = 2);
    assert_eq!(broken, BrokenInvariant::UnansweredService { phase: "steady", answered: 2 });
    let broken = broken_by(|report| report.kill = None);
    assert_eq!(broken, BrokenInvariant::MissingStep { step: "a killed node" });
}
