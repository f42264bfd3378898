//! Checks the invariants on the report of a demo.

use thiserror::Error;
use umberpond_standins::FindingKind;
use umberpond_standins::caller::Outcome;

use super::figures::{DemoReport, PhaseFigures, PhaseKind, StopFigures};

/// Maximum time until a version is in force on all nodes, in milliseconds.
const CONVERGENCE_LIMIT_MILLIS: u64 = 10_000;

/// Maximum number of concurrent readers of the platform.
const READER_LIMIT: u64 = 40;

/// Number of services that the loads call.
const SERVICES: usize = 3;

/// Number of versions that the demo submits.
const VERSIONS: usize = 2;

/// A broken invariant.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum BrokenInvariant {
    /// Findings of a kind that must never occur.
    #[error("{count} calls {what} (phase {phase}; first: {first})")]
    Finding {
        /// Phase of the calls.
        phase: &'static str,
        /// Kind of the findings.
        what: FindingKind,
        /// Number of calls.
        count: u64,
        /// Request path of the first.
        first: String,
    },
    /// Unanswered calls in a phase in which no node is killed.
    #[error("{count} of {calls} calls were {outcome} in phase {phase}, in which every call must be answered")]
    NotAnswered {
        /// Phase of the calls.
        phase: &'static str,
        /// Outcome of the calls.
        outcome: Outcome,
        /// Number of calls.
        count: u64,
        /// Number of all calls of the phase.
        calls: u64,
    },
    /// A phase in which a service answered no call, so that its checks prove nothing.
    #[error("only {answered} of {SERVICES} services answered a call in phase {phase}")]
    UnansweredService {
        /// The phase.
        phase: &'static str,
        /// Number of services that answered a call.
        answered: usize,
    },
    /// Requests that ran in a locality where their service is not allowed.
    #[error("{count} requests ran in a locality that their service does not allow")]
    DisallowedLocality {
        /// Number of requests.
        count: u64,
    },
    /// Requests that a drained node's back end received after the grace period.
    #[error("the back end of {node} started {count} requests after it was drained")]
    RequestsAfterDrain {
        /// The node.
        node: String,
        /// Number of requests.
        count: u64,
    },
    /// A drain or kill of a node whose back end had run no requests, so that the step proves nothing.
    #[error("the back end of {node} ran no requests before the node was stopped, so the step proves nothing")]
    NoRequestsBefore {
        /// The node.
        node: String,
    },
    /// Calls that failed after the grace period of a killed node.
    #[error("{count} calls failed after the grace period of the killed node {node}")]
    LateFailures {
        /// The node.
        node: String,
        /// Number of calls.
        count: u64,
    },
    /// A step of the demo that is missing from the report.
    #[error("the report lacks a step: {step}")]
    MissingStep {
        /// The step.
        step: &'static str,
    },
    /// A version that took too long to be in force on all nodes, or never was.
    #[error("version {version} was not in force everywhere within {CONVERGENCE_LIMIT_MILLIS} ms")]
    NotInForce {
        /// The version.
        version: u64,
    },
    /// Versions that do not increase in order of submission.
    #[error("version {later} was accepted after version {earlier}")]
    VersionsOutOfOrder {
        /// The version accepted first.
        earlier: u64,
        /// The version accepted next.
        later: u64,
    },
    /// The second version was reported in force, but calls to its route failed or none were sent.
    #[error("{answered} of {calls} calls of the second version's route were answered")]
    SecondVersionNotServed {
        /// Number of calls.
        calls: u64,
        /// Number of answered calls.
        answered: u64,
    },
    /// A process that did not exit successfully after SIGTERM.
    #[error("{name} did not exit successfully after SIGTERM: exit code {exit_code:?} after {millis} ms")]
    UncleanStop {
        /// The process.
        name: String,
        /// Its exit code; `None` if it did not exit in time or was killed by a signal.
        exit_code: Option<i32>,
        /// Time waited, in milliseconds.
        millis: u64,
    },
    /// More concurrent readers of the platform than allowed.
    #[error("the platform had {readers} concurrent readers; at most {READER_LIMIT} are allowed")]
    TooManyReaders {
        /// Number of readers.
        readers: u64,
    },
}

/// Returns every invariant that `report` breaks.
#[must_use]
pub fn broken_invariants(report: &DemoReport) -> Vec<BrokenInvariant> {
    let mut broken = Vec::new();
    for kind in [PhaseKind::Direct, PhaseKind::Steady, PhaseKind::Drain, PhaseKind::Kill, PhaseKind::Apply] {
        if !report.phases.iter().any(|phase| phase.kind == kind) {
            broken.push(BrokenInvariant::MissingStep { step: kind.name() });
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
    // Truncated responses are allowed in some phases, and disallowed localities are counted once over all
    // phases.
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
        broken.push(BrokenInvariant::UnansweredService { phase: name, answered: phase.services_answered });
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
        broken.push(BrokenInvariant::MissingStep { step: "two accepted versions" });
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
        broken.push(BrokenInvariant::MissingStep { step: "a graceful stop" });
        return;
    };
    if drain.runs_before == 0 {
        broken.push(BrokenInvariant::NoRequestsBefore { node: drain.node.clone() });
    }
    if drain.runs_after_grace > 0 {
        let count = drain.runs_after_grace;
        broken.push(BrokenInvariant::RequestsAfterDrain { node: drain.node.clone(), count });
    }
    check_stop(&drain.stop, broken);
}

fn check_kill(report: &DemoReport, broken: &mut Vec<BrokenInvariant>) {
    let Some(kill) = &report.kill else {
        broken.push(BrokenInvariant::MissingStep { step: "a killed node" });
        return;
    };
    if kill.runs_before == 0 {
        broken.push(BrokenInvariant::NoRequestsBefore { node: kill.node.clone() });
    }
    if kill.late_failures > 0 {
        let count = kill.late_failures;
        broken.push(BrokenInvariant::LateFailures { node: kill.node.clone(), count });
    }
}

fn check_stop(stop: &StopFigures, broken: &mut Vec<BrokenInvariant>) {
    if stop.exit_code != Some(0) {
        broken.push(BrokenInvariant::UncleanStop {
            name: stop.name.clone(),
            exit_code: stop.exit_code,
            millis: stop.millis,
        });
    }
}
