//! The report of a demo.

use serde::Serialize;
use umberpond_standins::caller::{Latencies, Outcome};
use umberpond_standins::{Finding, FindingKind, Reconciliation};

/// What is done to the mesh while a load runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PhaseKind {
    /// Calls go directly to the back ends, as the baseline.
    Direct,
    /// Calls go through the mesh, and nothing is done to it.
    Steady,
    /// A node is stopped gracefully.
    Drain,
    /// A node is killed.
    Kill,
    /// A second version is submitted.
    Apply,
}

impl PhaseKind {
    /// Name in the table.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Direct => "direct",
            Self::Steady => "steady",
            Self::Drain => "drain",
            Self::Kill => "kill",
            Self::Apply => "apply",
        }
    }
}

/// Results of one load, reconciled with the back ends' ledgers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PhaseFigures {
    /// What was done to the mesh during the load.
    pub kind: PhaseKind,
    /// Outcomes of the calls. Its count of disallowed localities covers the whole demo.
    pub reconciliation: Reconciliation,
    /// Latencies of the answered calls.
    pub latencies: Latencies,
    /// Number of services with at least one answered call.
    pub services_answered: usize,
}

impl PhaseFigures {
    /// Number of calls with `outcome`.
    #[must_use]
    pub const fn count(&self, outcome: Outcome) -> u64 {
        match outcome {
            Outcome::Answered => self.reconciliation.answered,
            Outcome::Rejected => self.reconciliation.rejected,
            Outcome::Unknown => self.reconciliation.unknown,
            Outcome::Truncated => self.reconciliation.truncated,
            Outcome::WrongAnswer => self.reconciliation.wrong_answers,
        }
    }

    /// The findings of one kind.
    pub fn findings(&self, kind: FindingKind) -> impl Iterator<Item = &Finding> {
        self.reconciliation.findings.iter().filter(move |finding| finding.kind == kind)
    }
}

/// Latency that the mesh adds to a call, in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct LatencyFigures {
    /// At the median.
    pub added_p50_micros: i64,
    /// At the 99th percentile.
    pub added_p99_micros: i64,
}

impl LatencyFigures {
    /// The difference between calls through the mesh and direct ones.
    #[must_use]
    pub fn between(direct: &Latencies, steady: &Latencies) -> Self {
        let difference = |steady: u64, direct: u64| steady.cast_signed() - direct.cast_signed();
        Self {
            added_p50_micros: difference(steady.p50_micros, direct.p50_micros),
            added_p99_micros: difference(steady.p99_micros, direct.p99_micros),
        }
    }
}

/// A version that was submitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct AppliedVersion {
    /// The version number that the command printed.
    pub version: u64,
    /// Time from the start of the command until it exited, in milliseconds. It waits until the version is in
    /// force on all nodes.
    pub command_millis: u64,
    /// Time from the start of the command until the last node reported the version in force, in milliseconds;
    /// `None` if a node never did.
    pub everywhere_millis: Option<u64>,
}

/// The graceful stop of one node under load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DrainFigures {
    /// The node.
    pub node: String,
    /// Requests that its back end started to run before the stop.
    pub runs_before: u64,
    /// Requests that its back end started to run after the grace period that follows the signal.
    pub runs_after_grace: u64,
    /// How the process exited.
    pub stop: StopFigures,
}

/// The kill of one node under load.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KillFigures {
    /// The node.
    pub node: String,
    /// Requests that its back end started to run before the kill.
    pub runs_before: u64,
    /// Unanswered calls that were due after the grace period that follows the kill.
    pub late_failures: u64,
}

/// How a process exited after SIGTERM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StopFigures {
    /// The process.
    pub name: String,
    /// Time until it exited, in milliseconds.
    pub millis: u64,
    /// Its exit code; `None` if it did not exit in time or was killed by a signal.
    pub exit_code: Option<i32>,
}

/// Control traffic of the nodes, from their metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ControlFigures {
    /// Number of nodes whose metrics were read.
    pub nodes: usize,
    /// Bytes per second and node, received and sent, averaged over the nodes.
    pub mean_bytes_per_second: f64,
    /// Bytes per second of the node with the most control traffic.
    pub max_bytes_per_second: f64,
    /// Bytes per node over the whole run, averaged over the nodes.
    pub mean_bytes: f64,
}

/// Load on the platform.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformFigures {
    /// Maximum number of distinct readers in a window of ten seconds, as far as the platform can distinguish
    /// them.
    pub greatest_readers: u64,
    /// Number of nodes that sent any request to the platform, by their own metrics.
    pub nodes_with_requests: u64,
    /// Number of requests to the platform.
    pub requests: u64,
}

/// The full report of a demo.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DemoReport {
    /// Number of nodes started, including the edge node.
    pub nodes: usize,
    /// Results of the loads, in order.
    pub phases: Vec<PhaseFigures>,
    /// Latency added by the mesh.
    pub latency: LatencyFigures,
    /// The versions submitted, in order.
    pub versions: Vec<AppliedVersion>,
    /// Number of calls to the route that only the second version has.
    pub second_version_calls: u64,
    /// Number of those calls that were answered.
    pub second_version_answered: u64,
    /// Requests that ran in a locality which their service does not allow.
    pub disallowed_runs: u64,
    /// The graceful stop of a node.
    pub drain: Option<DrainFigures>,
    /// The kill of a node.
    pub kill: Option<KillFigures>,
    /// Control traffic.
    pub control: ControlFigures,
    /// Load on the platform.
    pub platform: PlatformFigures,
    /// How the processes exited at the end.
    pub stops: Vec<StopFigures>,
    /// Duration of the demo without the build, in milliseconds.
    pub total_millis: u64,
    /// Messages of the broken invariants.
    pub broken: Vec<String>,
}
