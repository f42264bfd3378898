//! Submits a bundle with the command line tool and polls the nodes until the version is in force on all of
//! them.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::{Instant, sleep};

use super::node::NodeProcess;
use super::programs::Programs;
use crate::error::XtaskError;
use crate::report::AppliedVersion;
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Value of `--wait`: how long the command waits until the version is in force on all nodes.
const WAIT: &str = "15s";

/// Timeout of the whole command.
const COMMAND_LIMIT: Duration = Duration::from_secs(20);

/// Timeout of polling the nodes, counted from the start of the command.
const WATCH_LIMIT: Duration = Duration::from_secs(15);

/// Interval between polls of the nodes.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// Fields of the command's JSON output that are read here.
#[derive(Deserialize)]
struct ApplyResult {
    version: u64,
}

/// A bundle to submit.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Suffix of the command's log file.
    pub label: &'a str,
    /// Name of the bundle.
    pub bundle: &'a str,
    /// Directory with its files.
    pub directory: &'a Path,
}

/// Submits a bundle to the admin address of `through` and waits until all of `nodes` report it in force.
///
/// # Errors
/// Fails when the command fails.
pub async fn apply(
    programs: &Programs,
    submission: Submission<'_>,
    through: &NodeProcess,
    nodes: &[&NodeProcess],
    scratch: &ScratchDirectory,
) -> Result<AppliedVersion, XtaskError> {
    let started = Instant::now();
    let command = run_command(programs, submission, through, scratch);
    let watch = watch_until_in_force(nodes, started);
    // Nodes may report the new version before the command prints its number, so both run concurrently.
    let (applied, observations) = tokio::join!(command, watch);
    let (version, command_millis) = applied?;
    Ok(AppliedVersion {
        version,
        command_millis,
        everywhere_millis: observations.in_force_everywhere_millis(version),
    })
}

async fn run_command(
    programs: &Programs,
    submission: Submission<'_>,
    through: &NodeProcess,
    scratch: &ScratchDirectory,
) -> Result<(u64, u64), XtaskError> {
    let started = Instant::now();
    let arguments = [
        "apply".to_owned(),
        submission.bundle.to_owned(),
        submission.directory.display().to_string(),
        "--node".to_owned(),
        through.addresses.admin.to_string(),
        "--wait".to_owned(),
        WAIT.to_owned(),
        "--json".to_owned(),
    ];
    let name = format!("apply-{}", submission.label);
    let mut command = ChildProcess::start(&name, &programs.umberpond, &arguments, scratch)?;
    let read = |line: &str| serde_json::from_str::<ApplyResult>(line).ok();
    let result = command.wait_for_line(COMMAND_LIMIT, read).await?;
    command.wait_for_success(COMMAND_LIMIT).await?;
    Ok((result.version, millis_since(started)))
}

/// When each node first reported each version.
struct VersionObservations {
    nodes: usize,
    first_seen: Vec<VersionObservation>,
}

#[derive(Clone, Copy)]
struct VersionObservation {
    node: usize,
    version: u64,
    millis: u64,
}

impl VersionObservations {
    /// Time at which the last node reported `version` or a later one; `None` if a node has not.
    fn in_force_everywhere_millis(&self, version: u64) -> Option<u64> {
        let first = |node: usize| {
            let of_node = self.first_seen.iter().filter(|seen| seen.node == node && seen.version >= version);
            of_node.map(|seen| seen.millis).min()
        };
        let times: Option<Vec<u64>> = (0..self.nodes).map(first).collect();
        times?.into_iter().max()
    }

    fn newest(&self, node: usize) -> Option<u64> {
        self.first_seen.iter().filter(|seen| seen.node == node).map(|seen| seen.version).max()
    }

    /// Returns whether all nodes report the same version, and it is newer than every version of the first
    /// poll.
    fn have_converged(&self, before: Option<u64>) -> bool {
        let newest: Vec<Option<u64>> = (0..self.nodes).map(|node| self.newest(node)).collect();
        newest.windows(2).all(|pair| pair[0] == pair[1])
            && newest.first().is_some_and(|first| *first > before)
    }
}

async fn watch_until_in_force(nodes: &[&NodeProcess], started: Instant) -> VersionObservations {
    let mut observations = VersionObservations { nodes: nodes.len(), first_seen: Vec::new() };
    poll_versions(nodes, started, &mut observations).await;
    let before = observations.first_seen.iter().map(|seen| seen.version).max();
    while started.elapsed() < WATCH_LIMIT && !observations.have_converged(before) {
        sleep(WATCH_INTERVAL).await;
        poll_versions(nodes, started, &mut observations).await;
    }
    observations
}

async fn poll_versions(nodes: &[&NodeProcess], started: Instant, observations: &mut VersionObservations) {
    for (index, node) in nodes.iter().enumerate() {
        // A node that does not respond is polled again later; `WATCH_LIMIT` bounds the wait.
        if let Ok(Some(version)) = node.active_version().await
            && observations.newest(index).is_none_or(|newest| newest < version)
        {
            observations.first_seen.push(VersionObservation {
                node: index,
                version,
                millis: millis_since(started),
            });
        }
    }
}

fn millis_since(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
