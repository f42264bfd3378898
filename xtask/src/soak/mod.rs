//! `cargo xtask soak`: real processes on loopback under random faults from outside, checked by what callers and back
//! ends see. A seed names the faults; time is real, so a seed does not repeat a run exactly.

mod budget;
mod mesh;
mod proxy;
mod schedule;

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
use mesh::{DEFAULT_NODES, MOST_NODES, SoakMesh};
use schedule::FaultKind;

/// Length of the faults if none is given, in seconds.
const DEFAULT_SECONDS: u64 = 60;
/// Longest time after the last fault until everything must be as before it.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);
/// Length of the load after that, in which every call must be answered, in seconds.
const CALM_SECONDS: u64 = 5;
/// Time between two changes of the configuration.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);
/// Longest time of one submission.
const SUBMISSION_LIMIT: Duration = Duration::from_secs(20);
/// Longest time until the first version is in force.
const FIRST_LIMIT: Duration = Duration::from_secs(20);
/// Number of the event that tells of a version in force.
const ACTIVATED_EVENT: u64 = 2003;

/// What a soak found.
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
    /// Runs beyond the first of each request.
    repeats: usize,
    processes: usize,
    /// Promises that were broken; empty if all held.
    broken: Vec<String>,
}

/// Runs one soak; fails with an exit code if a promise was broken.
///
/// # Errors
/// Fails when a process can't be started or controlled.
pub async fn run(options: &Soak) -> Result<ExitCode, XtaskError> {
    let programs = Programs::build().await?;
    let mut scratch = ScratchDirectory::create("soak")?;
    let seed = options.seed.unwrap_or_else(rand::random);
    let length = Duration::from_secs(options.seconds.unwrap_or(DEFAULT_SECONDS));
    let nodes = options.nodes.unwrap_or(DEFAULT_NODES).clamp(DEFAULT_NODES, MOST_NODES);
    eprintln!("soak: seed {seed}, {nodes} nodes, {} s of faults", length.as_secs());
    let result = tokio::select! {
        biased;
        interrupted = wait_for_interrupt() => Err(interrupted),
        result = play(&programs, &scratch, nodes, seed, length) => result,
    };
    let is_whole = result.as_ref().is_ok_and(|report| report.broken.is_empty());
    if !is_whole || options.keep_logs {
        scratch.keep();
        eprintln!("soak: settings and logs are kept in {}", scratch.path().display());
    }
    println!("{}", serde_json::to_string_pretty(&result?)?);
    Ok(if is_whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn play(
    programs: &Programs,
    scratch: &ScratchDirectory,
    nodes: usize,
    seed: u64,
    length: Duration,
) -> Result<SoakReport, XtaskError> {
    let began = Instant::now();
    let mesh = SoakMesh::start(programs, nodes, scratch).await?;
    let mut report = SoakReport { seed, ..SoakReport::default() };
    submit(programs, &mesh, 0, scratch).await?;
    let behind = mesh.wait_until_converged(FIRST_LIMIT).await;
    if !behind.is_empty() {
        return Err(XtaskError::TimedOut { condition: "the first version is in force everywhere" });
    }
    let mut faults = schedule::draw(&mut ChaCha8Rng::seed_from_u64(seed), length, nodes);
    // The series hit the second edge too.
    faults.extend(schedule::draw_series(&mut ChaCha8Rng::seed_from_u64(!seed), length, nodes + 1));
    for fault in &faults {
        *report.faults.entry(FaultKind::to_string(&fault.kind)).or_default() += 1;
    }
    let entrances = [
        ("edge", Targets::edge(mesh.edge()?.addresses.outbound)),
        ("second-edge", Targets::edge(mesh.second_edge().await?)),
    ];
    let callers = start_callers(programs, &entrances, "soak", length.as_secs(), scratch).await?;
    let playing = try_join_all(faults.into_iter().map(|fault| mesh.play(fault)));
    let (played, versions) = tokio::join!(playing, submit_regularly(programs, &mesh, length, scratch));
    played?;
    report.versions = versions;
    let mut record = RetryRecord::new(began);
    let during = finish_callers(callers, &mut record).await?;
    let faults_over = Instant::now();
    let behind = mesh.wait_until_converged(RECOVERY_LIMIT).await;
    report
        .broken
        .extend(behind.into_iter().map(|node| format!("{node} lacks the newest version after 10 s")));
    sleep(RECOVERY_LIMIT.saturating_sub(faults_over.elapsed())).await;

    let callers = start_callers(programs, &entrances, "calm", CALM_SECONDS, scratch).await?;
    let calm = finish_callers(callers, &mut record).await?;
    let timed_ledgers = mesh.ledgers().await?;
    record.add_runs(&timed_ledgers);
    report.repeats = record.repeats();
    report.broken.extend(record.overspent());
    let ledgers: Vec<Ledger> = timed_ledgers.into_iter().map(|(_started_at, ledger)| ledger).collect();
    let allowed = allowed_localities()?;
    for (phase, answers) in [("under faults", &during), ("after them", &calm)] {
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
    let failed = calm.iter().filter(|answer| answer.outcome != Outcome::Answered);
    report
        .broken
        .extend(failed.map(|answer| format!("after the faults {}: {}", answer.outcome, answer.path)));
    let logs = mesh.logs().await;
    report.processes = logs.len();
    for log in logs {
        report.broken.extend(steps_back(&log)?);
    }
    Ok(report)
}

/// Starts one caller for each entrance. Callers keep their connections from call to call, until the process behind them is gone.
async fn start_callers(
    programs: &Programs,
    entrances: &[(&str, Targets)],
    phase: &str,
    seconds: u64,
    scratch: &ScratchDirectory,
) -> Result<Vec<RunningCaller>, XtaskError> {
    let mut callers = Vec::new();
    for (entrance, targets) in entrances {
        let plan = load::mixed_calls(&format!("{phase}-{entrance}"), targets, seconds)?;
        callers.push(RunningCaller::start(programs, &plan, scratch).await?);
    }
    Ok(callers)
}

/// Waits for all callers; tells what each call got.
async fn finish_callers(
    callers: Vec<RunningCaller>,
    record: &mut RetryRecord,
) -> Result<Vec<Answer>, XtaskError> {
    let mut answers = Vec::new();
    for caller in callers {
        let started_at = caller.started_at;
        let report = caller.finish().await?;
        record.add_calls(started_at, &report.answers);
        answers.extend(report.answers);
    }
    Ok(answers)
}

/// Submits changes until `length` has passed; tells how many were accepted. Under faults a submission may fail.
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
    let folder = numbered_version(number, scratch)?;
    let arguments = [
        "apply".to_owned(),
        BUNDLE.to_owned(),
        folder.display().to_string(),
        "--node".to_owned(),
        mesh.edge()?.addresses.admin.to_string(),
    ];
    let name = format!("apply-{number}");
    let mut command = ChildProcess::start(&name, &programs.umberpond, &arguments, scratch)?;
    command.wait_for_success(SUBMISSION_LIMIT).await
}

/// Versions that came in force in one process after a higher one, by its log.
fn steps_back(log: &Path) -> Result<Vec<String>, XtaskError> {
    let text = std::fs::read_to_string(log).map_err(XtaskError::file(log))?;
    let activated = text.lines().filter_map(node_log::parse).filter(|line| line.event == ACTIVATED_EVENT);
    let versions: Vec<u64> = activated.map(|line| line.version).collect();
    let back = versions.windows(2).filter(|pair| pair[1] <= pair[0]);
    let name = log.file_stem().unwrap_or_default().to_string_lossy();
    Ok(back.map(|pair| format!("{name} went from version {} to {}", pair[0], pair[1])).collect())
}
