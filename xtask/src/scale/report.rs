//! The report of a scale run, as a table and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::figures::{Convergence, Cost, Percentiles};
use super::size::Size;

/// Figures of one run.
#[derive(Debug, Clone, Serialize)]
pub struct ScaleReport {
    /// What was run.
    pub size: Size,
    /// Nodes that had a version in force when the measurement began.
    pub configured_at_begin: usize,
    /// Time from the last first bundle until it was in force on every node; absent if it took too long.
    pub first_in_force_millis: Option<u64>,
    /// Versions accepted in the measured time.
    pub versions: usize,
    /// Submissions that had to be sent again.
    pub retries: u64,
    /// From sending a submission to its answer.
    pub submission: Percentiles,
    /// Real nodes that lived to the end.
    pub real: Convergence,
    /// Hollow nodes whose process lived to the end.
    pub hollow: Convergence,
    /// Cost of the real nodes.
    pub real_cost: Cost,
    /// Cost of the hollow nodes.
    pub hollow_cost: Cost,
    /// Versions that hollow nodes could not put in force.
    pub activation_failures: u64,
    /// Real nodes that were killed.
    pub killed_real: usize,
    /// Hollow nodes that were killed, all of one process.
    pub killed_hollow: usize,
    /// Watches open at the store at the end of the measured time; a reader has one.
    pub open_watches: u64,
    /// Most distinct readers of the platform in any ten seconds, start included; told apart by the name that they
    /// give, or else by their address, so that daemons that give no name count as one.
    pub greatest_readers: u64,
    /// Platform requests of the measured time, by kind and verb.
    pub platform_requests: BTreeMap<String, u64>,
    /// Time of the whole run after the build.
    pub total_millis: u64,
}

impl ScaleReport {
    /// Whether every node that lived to the end had every version in force, and none went back.
    pub const fn holds(&self) -> bool {
        let missing = self.real.missing + self.hollow.missing;
        let went_back = self.real.went_back + self.hollow.went_back;
        missing == 0 && went_back == 0 && self.activation_failures == 0
    }
}

impl fmt::Display for ScaleReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Size { real, hollow, seconds, changes_per_second, places, .. } = self.size;
        writeln!(
            formatter,
            "{real} real and {hollow} hollow nodes, {} services, {} zones, {changes_per_second} changes/s for {seconds} s",
            places.services, places.zones
        )?;
        match self.first_in_force_millis {
            Some(millis) => writeln!(formatter, "{:<30} {millis} ms", "first bundles in force")?,
            None => writeln!(
                formatter,
                "{:<30} not everywhere in time; {} nodes had a version",
                "first bundles in force", self.configured_at_begin
            )?,
        }
        let submission = format!("{} versions, {} retries, ", self.versions, self.retries);
        writeln!(formatter, "{:<30} {submission}{}", "submission to answer", self.submission)?;
        writeln!(
            formatter,
            "{:<30} {} real, {} hollow nodes",
            "killed in the run", self.killed_real, self.killed_hollow
        )?;
        for (name, convergence, cost) in
            [("real", &self.real, &self.real_cost), ("hollow", &self.hollow, &self.hollow_cost)]
        {
            write_group(formatter, name, convergence, cost)?;
        }
        let requests: u64 = self.platform_requests.values().sum();
        writeln!(
            formatter,
            "{:<30} {} open watches, {} readers by name or address, {requests} requests",
            "store", self.open_watches, self.greatest_readers
        )?;
        for (name, count) in &self.platform_requests {
            writeln!(formatter, "  {name:<28} {count}")?;
        }
        write!(formatter, "{:<30} {} ms", "whole run", self.total_millis)
    }
}

fn write_group(
    formatter: &mut fmt::Formatter<'_>,
    name: &str,
    convergence: &Convergence,
    cost: &Cost,
) -> fmt::Result {
    const MEBIBYTE: f64 = 1_048_576.0;
    writeln!(formatter, "{name} nodes")?;
    writeln!(formatter, "  {:<28} {}", "in force after submission", convergence.from_submission)?;
    writeln!(formatter, "  {:<28} {}", "in force after the answer", convergence.from_answer)?;
    writeln!(
        formatter,
        "  {:<28} {} missing, {} went back",
        "checks", convergence.missing, convergence.went_back
    )?;
    writeln!(
        formatter,
        "  {:<28} mean {:.0} B/s, highest mean {:.0} B/s, busiest 10 s {:.0} B/s",
        "control bytes of a node",
        cost.mean_bytes_per_second,
        cost.highest_mean_bytes_per_second,
        cost.busiest_bytes_per_second
    )?;
    writeln!(
        formatter,
        "  {:<28} mean {:.2} %, highest {:.2} % of a core",
        "processor time of a node", cost.mean_processor_percent, cost.highest_processor_percent
    )?;
    writeln!(
        formatter,
        "  {:<28} mean {:.1} MiB, highest {:.1} MiB",
        "resident memory of a node",
        cost.mean_resident_bytes / MEBIBYTE,
        cost.highest_resident_bytes / MEBIBYTE
    )
}

impl fmt::Display for Percentiles {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { p50, p99, max, count } = self;
        write!(formatter, "p50 {p50} ms, p99 {p99} ms, max {max} ms ({count} values)")
    }
}
