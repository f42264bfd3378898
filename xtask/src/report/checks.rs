//! The invariants that the figures of a demo must keep.

use thiserror::Error;
use umberpond_standins::FindingKind;
use umberpond_standins::caller::Outcome;

use super::figures::{DemoReport, PhaseFigures, PhaseKind, StopFigures};

/// Longest time until a version is in force everywhere, in milliseconds.
const CONVERGENCE_LIMIT_MILLIS: u64 = 10_000;

/// Most readers that the platform may have at once.
const READER_LIMIT: u64 = 40;

/// Services that the loads call.
const SERVICES: usize = 3;

/// Versions that the demo submits.
const VERSIONS: usize = 2;

/// An invariant that a figure breaks.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BrokenInvariant {
    /// Findings of one kind, which must not exist at all.
    #[error("{count} calls {what} (phase {phase}; first: {first})")]
    Finding {
        /// Phase of the calls.
        phase: &'static str,
        /// What is wrong with them.
        what: FindingKind,
        /// How many there are.
        count: u64,
        /// Path of the first.
        first: String,
    },
    /// Calls that a phase without a death must answer.
    #[error("{count} of {calls} calls were {outcome} in phase {phase}, in which every call must be answered")]
    NotAnswered {
        /// Phase of the calls.
        phase: &'static str,
        /// What became of them.
        outcome: Outcome,
        /// How many there are.
        count: u64,
        /// All calls of the phase.
        calls: u64,
    },
    /// A phase that shows nothing, as nothing was answered.
    #[error("only {answered} of {SERVICES} services answered a call in phase {phase}")]
    NothingShown {
        /// The phase.
        phase: &'static str,
        /// Services that answered.
        answered: usize,
    },
    /// Work in a place where its service is not allowed.
    #[error("{count} requests ran in a locality that their service does not allow")]
    DisallowedLocality {
        /// How many.
        count: u64,
    },
    /// New work for a back end that left.
    #[error("the back end of {node} began {count} requests after its drain")]
    WorkAfterDrain {
        /// The node.
        node: String,
        /// How many.
        count: u64,
    },
    /// A drain or a death that shows nothing.
    #[error("the back end of {node} had no work before its node left, so its leaving shows nothing")]
    NoWorkBefore {
        /// The node.
        node: String,
    },
    /// Calls that failed although a death was long past.
    #[error("{count} calls failed long after {node} was killed")]
    LateFailures {
        /// The node.
        node: String,
        /// How many.
        count: u64,
    },
    /// A step of the demo that is missing from the figures.
    #[error("the demo did not come to this: {step}")]
    Missing {
        /// The step.
        step: &'static str,
    },
    /// A version that took too long, or never came into force everywhere.
    #[error("version {version} was not in force everywhere within {CONVERGENCE_LIMIT_MILLIS} ms")]
    NotInForce {
        /// The version.
        version: u64,
    },
    /// Versions out of order.
    #[error("version {later} was accepted after version {earlier}")]
    VersionsOutOfOrder {
        /// The one accepted first.
        earlier: u64,
        /// The one accepted then.
        later: u64,
    },
    /// The second version was said to be in force, but its route was not served.
    #[error("{answered} of {calls} calls of the second version's route were answered")]
    SecondVersionNotServed {
        /// Calls.
        calls: u64,
        /// Answered calls.
        answered: u64,
    },
    /// A process that did not end well after SIGTERM.
    #[error("{name} did not end well after SIGTERM: exit code {exit_code:?} after {millis} ms")]
    BadStop {
        /// The process.
        name: String,
        /// Its exit code, if it ended by itself.
        exit_code: Option<i32>,
        /// Time waited, in milliseconds.
        millis: u64,
    },
    /// More readers than the platform bears.
    #[error("the platform had {readers} readers at once; it bears {READER_LIMIT}")]
    TooManyReaders {
        /// How many.
        readers: u64,
    },
}

/// Every invariant that `report` breaks.
#[must_use]
pub fn broken_invariants(report: &DemoReport) -> Vec<BrokenInvariant> {
    let mut broken = Vec::new();
    for kind in [PhaseKind::Direct, PhaseKind::Steady, PhaseKind::Drain, PhaseKind::Kill, PhaseKind::Apply] {
        if !report.phases.iter().any(|phase| phase.kind == kind) {
            broken.push(BrokenInvariant::Missing { step: kind.name() });
        }
    }
    for phase in &report.phases {
        check_findings(phase, &mut broken);
        check_answers(phase, &mut broken);
    }
    if report.disallowed_runs > 0 {
        broken.push(BrokenInvariant::DisallowedLocality { count: report.disallowed_runs });
    }
    check_versions(report, &mut broken);
    check_drain(report, &mut broken);
    check_kill(report, &mut broken);
    report.stops.iter().for_each(|stop| check_stop(stop, &mut broken));
    if report.platform.greatest_readers > READER_LIMIT {
        broken.push(BrokenInvariant::TooManyReaders { readers: report.platform.greatest_readers });
    }
    broken
}

fn check_findings(phase: &PhaseFigures, broken: &mut Vec<BrokenInvariant>) {
    // Truncated answers depend on the phase, and localities are counted once over all phases.
    let never = [
        FindingKind::RanTwice,
        FindingKind::RejectedButRan,
        FindingKind::AnsweredButNotRun,
        FindingKind::WrongAnswer,
    ];
    for what in never {
        let mut findings = phase.findings(what);
        if let Some(first) = findings.next() {
            broken.push(BrokenInvariant::Finding {
                phase: phase.kind.name(),
                what,
                count: 1 + findings.count() as u64,
                first: first.path.clone(),
            });
        }
    }
}

fn check_answers(phase: &PhaseFigures, broken: &mut Vec<BrokenInvariant>) {
    let name = phase.kind.name();
    if phase.services_answered < SERVICES {
        broken.push(BrokenInvariant::NothingShown { phase: name, answered: phase.services_answered });
    }
    if phase.kind == PhaseKind::Kill {
        return;
    }
    for outcome in [Outcome::Rejected, Outcome::Unknown, Outcome::Truncated] {
        let count = phase.count(outcome);
        if count > 0 {
            let calls = phase.reconciliation.calls;
            broken.push(BrokenInvariant::NotAnswered { phase: name, outcome, count, calls });
        }
    }
}

fn check_versions(report: &DemoReport, broken: &mut Vec<BrokenInvariant>) {
    if report.versions.len() < VERSIONS {
        broken.push(BrokenInvariant::Missing { step: "two accepted versions" });
    }
    for version in &report.versions {
        let is_in_time = version.everywhere_millis.is_some_and(|millis| millis <= CONVERGENCE_LIMIT_MILLIS);
        if !is_in_time {
            broken.push(BrokenInvariant::NotInForce { version: version.version });
        }
    }
    for pair in report.versions.windows(2) {
        let (earlier, later) = (pair[0].version, pair[1].version);
        if later <= earlier {
            broken.push(BrokenInvariant::VersionsOutOfOrder { earlier, later });
        }
    }
    let (calls, answered) = (report.second_version_calls, report.second_version_answered);
    if calls == 0 || answered < calls {
        broken.push(BrokenInvariant::SecondVersionNotServed { calls, answered });
    }
}

fn check_drain(report: &DemoReport, broken: &mut Vec<BrokenInvariant>) {
    let Some(drain) = &report.drain else {
        broken.push(BrokenInvariant::Missing { step: "a planned stop" });
        return;
    };
    if drain.runs_before == 0 {
        broken.push(BrokenInvariant::NoWorkBefore { node: drain.node.clone() });
    }
    if drain.runs_after_grace > 0 {
        let count = drain.runs_after_grace;
        broken.push(BrokenInvariant::WorkAfterDrain { node: drain.node.clone(), count });
    }
    check_stop(&drain.stop, broken);
}

fn check_kill(report: &DemoReport, broken: &mut Vec<BrokenInvariant>) {
    let Some(kill) = &report.kill else {
        broken.push(BrokenInvariant::Missing { step: "a killed node" });
        return;
    };
    if kill.runs_before == 0 {
        broken.push(BrokenInvariant::NoWorkBefore { node: kill.node.clone() });
    }
    if kill.late_failures > 0 {
        let count = kill.late_failures;
        broken.push(BrokenInvariant::LateFailures { node: kill.node.clone(), count });
    }
}

fn check_stop(stop: &StopFigures, broken: &mut Vec<BrokenInvariant>) {
    if stop.exit_code != Some(0) {
        broken.push(BrokenInvariant::BadStop {
            name: stop.name.clone(),
            exit_code: stop.exit_code,
            millis: stop.millis,
        });
    }
}
