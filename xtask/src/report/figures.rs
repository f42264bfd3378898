//! The figures of a demo.

use serde::Serialize;
use umberpond_standins::caller::{Latencies, Outcome};
use umberpond_standins::{Finding, FindingKind, Reconciliation};

/// What happens while a load runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PhaseKind {
    /// Calls go to the back ends directly; the baseline.
    Direct,
    /// Calls go through the mesh and nothing happens.
    Steady,
    /// A node is stopped as planned.
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

/// One load, compared with the ledgers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PhaseFigures {
    /// What happened meanwhile.
    pub kind: PhaseKind,
    /// Calls and what became of them. Its locality count covers the whole demo.
    pub reconciliation: Reconciliation,
    /// Latencies of the answered calls.
    pub latencies: Latencies,
    /// Services with at least one answered call.
    pub services_answered: usize,
}

impl PhaseFigures {
    /// Calls with that outcome.
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

/// What the mesh adds to the latency of a call, in microseconds.
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
    /// The version, as the command line told it.
    pub version: u64,
    /// Time from the start of the command until it said that the version is in force everywhere, in milliseconds.
    pub command_millis: u64,
    /// Time from the start of the command until the last node showed it in force, seen from outside; `None` if a
    /// node never did.
    pub everywhere_millis: Option<u64>,
}

/// The planned stop of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DrainFigures {
    /// The node.
    pub node: String,
    /// Requests that its back end began before the stop.
    pub runs_before: u64,
    /// Requests that its back end began later than the time allowed after the signal.
    pub runs_after_grace: u64,
    /// How it ended.
    pub stop: StopFigures,
}

/// The death of one node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct KillFigures {
    /// The node.
    pub node: String,
    /// Requests that its back end began before the death.
    pub runs_before: u64,
    /// Calls due later than the time allowed after the death that were not answered.
    pub late_failures: u64,
}

/// How a process ended after SIGTERM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StopFigures {
    /// The process.
    pub name: String,
    /// Time until it ended, in milliseconds.
    pub millis: u64,
    /// Its exit code; `None` if it did not end in time or ended by a signal.
    pub exit_code: Option<i32>,
}

/// Control traffic of all nodes, from their metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ControlFigures {
    /// Nodes whose metrics were read.
    pub nodes: usize,
    /// Bytes a node and second, received and sent, on average over the nodes.
    pub mean_bytes_per_second: f64,
    /// The same of the busiest node.
    pub max_bytes_per_second: f64,
    /// Bytes a node, on average over the whole run.
    pub mean_bytes: f64,
}

/// What the platform bore.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PlatformFigures {
    /// Greatest number of distinct readers in a window of ten seconds, as the platform could tell them apart.
    pub greatest_readers: u64,
    /// Nodes that ever sent a request to the platform, by their own metrics.
    pub nodes_with_requests: u64,
    /// All requests.
    pub requests: u64,
}

/// Every figure of a demo.
#[derive(Debug, Clone, Default, Serialize)]
pub struct DemoReport {
    /// Nodes started, the edge included.
    pub nodes: usize,
    /// The loads in order.
    pub phases: Vec<PhaseFigures>,
    /// Added latency.
    pub latency: LatencyFigures,
    /// The versions submitted, in order.
    pub versions: Vec<AppliedVersion>,
    /// Calls of the route that only the second version has, and those of them that were answered.
    pub second_version_calls: u64,
    /// See above.
    pub second_version_answered: u64,
    /// Requests that ran in a locality which their service does not allow.
    pub disallowed_runs: u64,
    /// The planned stop.
    pub drain: Option<DrainFigures>,
    /// The death.
    pub kill: Option<KillFigures>,
    /// Control traffic.
    pub control: ControlFigures,
    /// What the platform bore.
    pub platform: PlatformFigures,
    /// The stops at the end.
    pub stops: Vec<StopFigures>,
    /// Time of the whole demo after the build, in milliseconds.
    pub total_millis: u64,
    /// Invariants that did not hold.
    pub broken: Vec<String>,
}
