//! What a process of hollow nodes tells: lines of JSON on standard output, and one report at the end.

use serde::{Deserialize, Serialize};

use crate::{Activation, ProcessUsage};

/// The first line: every node listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedFleet {
    /// Numbers of the nodes.
    pub started: Vec<usize>,
}

/// A line a second: how far the nodes are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Nodes with a version in force.
    pub configured: usize,
    /// Lowest version in force on any node; 0 while one has none.
    pub lowest_active: u64,
}

/// The report of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetReport {
    /// Its nodes.
    pub nodes: Vec<NodeReport>,
    /// The process at regular times.
    pub samples: Vec<Sample>,
}

/// One node of the process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its number.
    pub number: usize,
    /// Versions that came in force, oldest first.
    pub activations: Vec<Activation>,
    /// Versions that could not be put in force.
    pub failures: u64,
}

/// The process at one time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// When, in milliseconds since the Unix epoch.
    pub at_unix_millis: u64,
    /// Processor time and memory of the process.
    pub usage: ProcessUsage,
    /// Control bytes in and out of each node since its start, in the order of `nodes`.
    pub control_bytes: Vec<u64>,
}
