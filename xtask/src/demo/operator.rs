//! Submitting a bundle with the command line, and watching from outside when it is in force everywhere.

use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use tokio::time::{Instant, sleep};

use super::node::NodeProcess;
use super::programs::Programs;
use crate::error::XtaskError;
use crate::report::AppliedVersion;
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Longest time that the command waits until the version is in force everywhere.
const WAIT: &str = "15s";

/// Longest time for the whole command.
const COMMAND_LIMIT: Duration = Duration::from_secs(20);

/// Longest time for which the nodes are watched after the command.
const WATCH_LIMIT: Duration = Duration::from_secs(15);

/// Time between two looks at the nodes.
const WATCH_INTERVAL: Duration = Duration::from_millis(10);

/// What the command prints as JSON, as far as it matters here.
#[derive(Deserialize)]
struct ApplyResult {
    version: u64,
}

/// A submission to make.
#[derive(Debug, Clone, Copy)]
pub struct Submission<'a> {
    /// Name for the log file.
    pub label: &'a str,
    /// Name of the bundle.
    pub bundle: &'a str,
    /// Folder with its files.
    pub folder: &'a Path,
}

/// Submits a bundle by the admin address of `through` and waits until all of `nodes` show it in force.
///
/// # Errors
/// Fails when the command does.
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
    // Nodes may show the new version before the command has told its number, so the watch runs beside it.
    let (applied, sightings) = tokio::join!(command, watch);
    let (version, command_millis) = applied?;
    Ok(AppliedVersion { version, command_millis, everywhere_millis: sightings.everywhere(version) })
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
        submission.folder.display().to_string(),
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

/// When each node first showed each version.
struct Sightings {
    nodes: usize,
    first_seen: Vec<Sighting>,
}

#[derive(Clone, Copy)]
struct Sighting {
    node: usize,
    version: u64,
    millis: u64,
}

impl Sightings {
    /// When the last node first showed `version` or a later one.
    fn everywhere(&self, version: u64) -> Option<u64> {
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

    /// Whether all nodes show the same version, and one that was not there at the first look.
    fn have_converged(&self, before: Option<u64>) -> bool {
        let newest: Vec<Option<u64>> = (0..self.nodes).map(|node| self.newest(node)).collect();
        newest.windows(2).all(|pair| pair[0] == pair[1])
            && newest.first().is_some_and(|first| *first > before)
    }
}

async fn watch_until_in_force(nodes: &[&NodeProcess], started: Instant) -> Sightings {
    let mut sightings = Sightings { nodes: nodes.len(), first_seen: Vec::new() };
    look(nodes, started, &mut sightings).await;
    let before = sightings.first_seen.iter().map(|seen| seen.version).max();
    while started.elapsed() < WATCH_LIMIT && !sightings.have_converged(before) {
        sleep(WATCH_INTERVAL).await;
        look(nodes, started, &mut sightings).await;
    }
    sightings
}

async fn look(nodes: &[&NodeProcess], started: Instant, sightings: &mut Sightings) {
    for (index, node) in nodes.iter().enumerate() {
        // A node that does not answer shows nothing; the limit of the watch bounds the wait.
        if let Ok(Some(version)) = node.active_version().await
            && sightings.newest(index).is_none_or(|newest| newest < version)
        {
            sightings.first_seen.push(Sighting { node: index, version, millis: millis_since(started) });
        }
    }
}

fn millis_since(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
