//! `cargo xtask soak`: runs real processes on loopback, injects random faults from outside, and checks the
//! records of callers and back ends. The seed determines the faults; the runs use real time, so a seed does
//! not reproduce a run exactly.

mod budget;
mod mesh;
mod proxy;
mod schedule;
mod signals;

use std::collections::BTreeMap;
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use futures_util::future::try_join_all;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::{Instant, sleep};
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::{Answer, Outcome};
use umberpond_standins::reconcile;

use crate::demo::bundle::{BUNDLE, numbered_version};
use crate::demo::layout::allowed_localities;
use crate::demo::load::{self, Targets};
use crate::demo::programs::Programs;
use crate::demo::standins::RunningCaller;
use crate::demo::wait_for_interrupt;
use crate::error::XtaskError;
use crate::flags::Soak;
use crate::node_log;
use crate::supervise::{ChildProcess, ScratchDirectory};
use budget::RetryRecord;
use mesh::{DEFAULT_NODES, MAX_NODES, SoakMesh};
use schedule::FaultKind;
use signals::EdgeCalls;

/// Default duration of the fault phase, in seconds.
const DEFAULT_SECONDS: u64 = 60;
/// Time after the last fault within which the mesh must have recovered.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
/// Duration of the load after the recovery, in which every call must be answered, in seconds.
const FINAL_LOAD_SECONDS: u64 = 5;
/// Pause between two submissions of a configuration change.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);
/// Timeout of one submission.
const SUBMISSION_LIMIT: Duration = Duration::from_secs(20);
/// Timeout for the first version to be in force on all nodes.
const FIRST_LIMIT: Duration = Duration::from_secs(20);
/// Number of the `version-activated` event in the daemon's event catalogue.
const ACTIVATED_EVENT: u64 = 2003;

/// The results of a soak.
#[derive(Debug, Default, Serialize)]
struct SoakReport {
    seed: u64,
    faults: BTreeMap<String, usize>,
    versions: u64,
    calls: u64,
    answered: u64,
    rejected: u64,
    unknown: u64,
    truncated: u64,
    /// Number of runs beyond the first of each request.
    repeats: usize,
    processes: usize,
    /// Number of request limits and leaves that back ends have advertised.
    signals: usize,
    /// Descriptions of the broken invariants; empty if all held.
    broken: Vec<String>,
}

/// Runs one soak and prints its report; the exit code reports a failure if an invariant was broken.
///
/// # Errors
/// Fails when a process can't be started, signalled or queried.
pub async fn run(options: &Soak) -> Result<ExitCode, XtaskError> {
    let programs = Programs::build().await?;
    let mut scratch = ScratchDirectory::create("soak")?;
    let seed = options.seed.unwrap_or_else(rand::random);
    let length = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let nodes = options.nodes.unwrap_or(DEFAULT_NODES).clamp(DEFAULT_NODES, MAX_NODES);
    eprintln!("soak: seed {seed}, {nodes} nodes, {} s of faults", length.as_secs());
    let result = tokio::select! {
        biased;
        interrupted = wait_for_interrupt() => Err(interrupted),
        result = run_phases(&programs, &scratch, nodes, seed, length) => result,
    };
    let is_success = result.as_ref().is_ok_and(|report| report.broken.is_empty());
    if !is_success || options.keep_logs {
        scratch.keep();
        eprintln!("soak: settings and logs are kept in {}", scratch.path().display());
    }
    println!("{}", serde_json::to_string_pretty(&result?)?);
    Ok(if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run_phases(
    programs: &Programs,
    scratch: &ScratchDirectory,
    nodes: usize,
    seed: u64,
    length: Duration,
) -> Result<SoakReport, XtaskError> {
    let epoch = Instant::now();
    let mesh = SoakMesh::start(programs, nodes, scratch).await?;
    let mut report = SoakReport { seed, ..SoakReport::default() };
    submit(programs, &mesh, 0, scratch).await?;
    let behind = mesh.wait_until_converged(FIRST_LIMIT).await;
    if !behind.is_empty() {
        return Err(XtaskError::TimedOut { condition: "the first version is in force everywhere" });
    }
    let mut faults = schedule::random_faults(&mut ChaCha8Rng::seed_from_u64(seed), length, nodes);
    // Series also hit the second edge node.
    faults.extend(schedule::random_series(&mut ChaCha8Rng::seed_from_u64(!seed), length, nodes + 1));
    for fault in &faults {
        *report.faults.entry(FaultKind::to_string(&fault.kind)).or_default() += 1;
    }
    let signals =
        schedule::random_signals(&mut ChaCha8Rng::seed_from_u64(seed.rotate_left(32)), length, nodes);
    report.signals = signals.values().map(Vec::len).sum();
    let entry_points = [
        ("edge", Targets::edge(mesh.edge()?.addresses.outbound)),
        ("second-edge", Targets::edge(mesh.second_edge().await?)),
    ];
    let callers = start_callers(programs, &entry_points, "soak", length.as_secs(), scratch).await?;
    let injections = try_join_all(faults.into_iter().map(|fault| mesh.inject(fault)));
    let signals = try_join_all(signals.iter().map(|(node, signals)| mesh.send_signals(*node, signals)));
    let changes = submit_regularly(programs, &mesh, length, scratch);
    let (injected, signalled, versions) = tokio::join!(injections, signals, changes);
    injected?;
    signalled?;
    report.versions = versions;
    let mut record = RetryRecord::new(epoch);
    let mut edge_calls = EdgeCalls::default();
    let during = finish_callers(callers, &mut record, &mut edge_calls).await?;
    let faults_over = Instant::now();
    let behind = mesh.wait_until_converged(RECOVERY_LIMIT).await;
    report.broken.extend(
        behind.into_iter().map(|node| format!("{node} lacks the newest version 10 s after the last fault")),
    );
    sleep(RECOVERY_LIMIT.saturating_sub(faults_over.elapsed())).await;

    let callers = start_callers(programs, &entry_points, "calm", FINAL_LOAD_SECONDS, scratch).await?;
    let after = finish_callers(callers, &mut record, &mut edge_calls).await?;
    let timed_ledgers = mesh.ledgers().await?;
    record.add_runs(&timed_ledgers);
    report.repeats = record.repeats();
    report.broken.extend(record.violations());
    report.broken.extend(edge_calls.violations(&mesh.signals(), &timed_ledgers));
    let ledgers: Vec<Ledger> = timed_ledgers.into_iter().map(|(_started_at, ledger)| ledger).collect();
    let allowed = allowed_localities()?;
    for (phase, answers) in [("under faults", &during), ("after the faults", &after)] {
        let compared = reconcile(answers, &ledgers, &allowed);
        let findings = compared.findings.iter();
        report.broken.extend(
            findings
                .filter(|finding| finding.kind != umberpond_standins::FindingKind::Truncated)
                .map(|finding| format!("{phase}: {} {}", finding.kind, finding.path)),
        );
        report.calls += compared.calls;
        report.answered += compared.answered;
        report.rejected += compared.rejected;
        report.unknown += compared.unknown;
        report.truncated += compared.truncated;
    }
    let failed = after.iter().filter(|answer| answer.outcome != Outcome::Answered);
    report
        .broken
        .extend(failed.map(|answer| format!("after the faults {}: {}", answer.outcome, answer.path)));
    let logs = mesh.logs().await;
    report.processes = logs.len();
    for log in logs {
        report.broken.extend(version_regressions(&log)?);
    }
    Ok(report)
}

/// Starts one caller for each edge node. Callers keep their connections open between calls until the process
/// behind the connection is gone.
async fn start_callers(
    programs: &Programs,
    entry_points: &[(&str, Targets)],
    phase: &str,
    seconds: u64,
    scratch: &ScratchDirectory,
) -> Result<Vec<RunningCaller>, XtaskError> {
    let mut callers = Vec::new();
    for (entry_point, targets) in entry_points {
        let plan = load::mixed_calls(&format!("{phase}-{entry_point}"), targets, seconds)?;
        callers.push(RunningCaller::start(programs, &plan, scratch).await?);
    }
    Ok(callers)
}

/// Waits for all callers, the first of which sends to the edge node, and returns the outcomes of their calls.
async fn finish_callers(
    callers: Vec<RunningCaller>,
    record: &mut RetryRecord,
    edge_calls: &mut EdgeCalls,
) -> Result<Vec<Answer>, XtaskError> {
    let mut answers = Vec::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let started_at = caller.started_at;
        let report = caller.finish().await?;
        record.add_calls(started_at, &report.answers);
        if number == 0 {
            edge_calls.add(started_at, &report.answers);
        }
        answers.extend(report.answers);
    }
    Ok(answers)
}

/// Submits changes until `length` has passed and returns how many were accepted. A submission may fail under
/// faults.
async fn submit_regularly(
    programs: &Programs,
    mesh: &SoakMesh<'_>,
    length: Duration,
    scratch: &ScratchDirectory,
) -> u64 {
    let until = Instant::now() + length;
    let mut accepted = 0;
    let mut number = 0;
    while Instant::now() + CHANGE_INTERVAL < until {
        number += 1;
        accepted += u64::from(submit(programs, mesh, number, scratch).await.is_ok());
        sleep(CHANGE_INTERVAL).await;
    }
    accepted
}

async fn submit(
    programs: &Programs,
    mesh: &SoakMesh<'_>,
    number: u64,
    scratch: &ScratchDirectory,
) -> Result<(), XtaskError> {
    let directory = numbered_version(number, scratch)?;
    let arguments = [
        "apply".to_owned(),
        BUNDLE.to_owned(),
        directory.display().to_string(),
        "--node".to_owned(),
        mesh.edge()?.addresses.admin.to_string(),
    ];
    let name = format!("apply-{number}");
    let mut command = ChildProcess::start(&name, &programs.umberpond, &arguments, scratch)?;
    command.wait_for_success(SUBMISSION_LIMIT).await
}

/// Reads a process's log and describes each version that was activated after an equal or higher one.
fn version_regressions(log: &Path) -> Result<Vec<String>, XtaskError> {
    let text = std::fs::read_to_string(log).map_err(XtaskError::file(log))?;
    let activated = text.lines().filter_map(node_log::parse).filter(|line| line.event == ACTIVATED_EVENT);
    let versions: Vec<u64> = activated.map(|line| line.version).collect();
    let regressions = versions.windows(2).filter(|pair| pair[1] <= pair[0]);
    let name = log.file_stem().unwrap_or_default().to_string_lossy();
    Ok(regressions.map(|pair| format!("{name} went from version {} to {}", pair[0], pair[1])).collect())
}
