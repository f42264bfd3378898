//! The course of a run: first bundles, changes, kills, the end.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};
use umberpond_hollow::{Sample, unix_millis};

use super::bundles::BundleSet;
use super::changes::{AcceptedChange, Submitter};
use super::figures::{Convergence, Cost, Percentiles, requests_between};
use super::mesh::Mesh;
use super::report::ScaleReport;
use super::size::Size;
use crate::error::XtaskError;

/// Seed of the changes.
const SEED: u64 = 1;

/// Longest time until the first bundles are in force everywhere.
const FIRST_LIMIT: Duration = Duration::from_secs(60);

/// Time after the first bundles in which the overlay settles before anything is measured.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time after the last change in which it must be in force everywhere.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(10);

/// Parts of the measured time; real nodes are killed after the first, a hollow process after the second.
const PARTS: u32 = 3;

type RealSamples = BTreeMap<usize, Vec<Sample>>;

/// Runs the course on a mesh that has just started, and ends the mesh.
///
/// # Errors
/// Fails when a process does not do what it should; what a node should show but does not is no error.
pub async fn run(mut mesh: Mesh, size: Size) -> Result<ScaleReport, XtaskError> {
    let mut submitter = Submitter::new(BundleSet::new(&size.places)?, ChaCha8Rng::seed_from_u64(SEED));
    let first_in_force_millis = submit_first(&mesh, &mut submitter).await?;
    sleep(SETTLE_TIME).await;
    let configured_at_begin = mesh.configured();

    let mut samples = RealSamples::new();
    let requests_before = mesh.platform_counters().await?.requests;
    let from = unix_millis();
    let mut changes = Vec::new();
    let mut killed = Killed::default();
    for part in 0..PARTS {
        changes.extend(change_and_sample(&mesh, &mut submitter, size, &mut samples).await?);
        match part {
            0 => killed.real = kill_real(&mut mesh, size).await?,
            1 => killed.hollow = mesh.kill_fleet().await?,
            _ => {}
        }
    }
    let until = unix_millis();
    let counters = mesh.platform_counters().await?;
    if let Some(last) = changes.last() {
        mesh.wait_until_in_force(last.version, CONVERGENCE_LIMIT).await;
    }

    let real: Vec<_> = mesh.real.iter().map(super::real_node::RealNode::activations).collect();
    samples.retain(|number, _| mesh.real.iter().any(|node| node.number == *number));
    let real_samples: Vec<Vec<Sample>> = samples.into_values().collect();
    let reports = mesh.stop().await?;
    let nodes = || reports.iter().flat_map(|report| &report.nodes);
    let hollow: Vec<_> = nodes().map(|node| node.activations.clone()).collect();
    let hollow_samples: Vec<Vec<Sample>> = reports.iter().map(|report| report.samples.clone()).collect();
    Ok(ScaleReport {
        size,
        configured_at_begin,
        first_in_force_millis,
        versions: changes.len(),
        retries: submitter.retries,
        submission: Percentiles::of(changes.iter().map(answer_time).collect()),
        real: Convergence::of(&real, &changes),
        hollow: Convergence::of(&hollow, &changes),
        real_cost: Cost::of(&real_samples, from, until),
        hollow_cost: Cost::of(&hollow_samples, from, until),
        activation_failures: nodes().map(|node| node.failures).sum(),
        killed_real: killed.real,
        killed_hollow: killed.hollow,
        open_watches: counters.open_watches,
        greatest_readers: counters.greatest_readers,
        platform_requests: requests_between(&requests_before, &counters.requests),
        total_millis: 0,
    })
}

#[derive(Default)]
struct Killed {
    real: usize,
    hollow: usize,
}

/// Submits the first bundles; tells how long the last one took to be in force everywhere.
async fn submit_first(mesh: &Mesh, submitter: &mut Submitter) -> Result<Option<u64>, XtaskError> {
    let version = submitter.submit_first(&mesh.real).await?;
    let accepted = Instant::now();
    let lacking = mesh.wait_until_in_force(version, FIRST_LIMIT).await;
    let millis = u64::try_from(accepted.elapsed().as_millis()).unwrap_or(u64::MAX);
    Ok((lacking == 0).then_some(millis))
}

/// One part of the measured time: changes, with a sample of the real nodes at its begin and end.
async fn change_and_sample(
    mesh: &Mesh,
    submitter: &mut Submitter,
    size: Size,
    samples: &mut RealSamples,
) -> Result<Vec<AcceptedChange>, XtaskError> {
    let deadline = Instant::now() + size.measured() / PARTS;
    take_samples(mesh, samples).await?;
    let changes = submitter.submit_until(&mesh.real, size.changes_per_second, deadline).await?;
    take_samples(mesh, samples).await?;
    Ok(changes)
}

async fn take_samples(mesh: &Mesh, samples: &mut RealSamples) -> Result<(), XtaskError> {
    for (number, sample) in mesh.sample_real().await? {
        samples.entry(number).or_default().push(sample);
    }
    Ok(())
}

async fn kill_real(mesh: &mut Mesh, size: Size) -> Result<usize, XtaskError> {
    let count = size.kills();
    mesh.kill_real(count).await?;
    Ok(count)
}

const fn answer_time(change: &AcceptedChange) -> u64 {
    change.answered_unix_millis.saturating_sub(change.sent_unix_millis)
}
