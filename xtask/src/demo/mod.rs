//! `cargo xtask demo`: runs a small mesh of processes on loopback, from the first bundle to the final
//! shutdown, and checks its invariants.

pub mod bundle;
pub mod http;
pub mod layout;
pub mod load;
mod mesh;
mod metrics;
pub mod node;
mod operator;
pub mod programs;
mod scenario;
pub mod settings;
pub mod standins;

use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{Instant, timeout};

use crate::error::XtaskError;
use crate::flags::Demo;
use crate::report::{DemoReport, broken_invariants, print_table};
use crate::supervise::ScratchDirectory;
use programs::Programs;
use scenario::Scenario;

/// Timeout of the demo, not counting the build.
const DEMO_LIMIT: Duration = Duration::from_secs(90);

/// Builds the programs, runs the demo and checks the invariants on its report.
///
/// # Errors
/// Fails when a step can't be carried out. Broken invariants are reported by the exit code, not as an error.
pub async fn run(options: &Demo) -> Result<ExitCode, XtaskError> {
    let programs = Programs::build().await?;
    let mut scratch = ScratchDirectory::create("demo")?;
    let started = Instant::now();
    let result = tokio::select! {
        biased;
        interrupted = wait_for_interrupt() => Err(interrupted),
        result = timeout(DEMO_LIMIT, run_scenario(&programs, &scratch)) => {
            result.unwrap_or(Err(XtaskError::TimedOut { condition: "the demo finishes" }))
        }
    };
    let mut report = match result {
        Ok(report) => report,
        Err(error) => {
            keep_scratch(&mut scratch);
            return Err(error);
        }
    };
    report.total_millis = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let is_success = check_and_print(&mut report, options)?;
    if !is_success || options.keep_logs {
        keep_scratch(&mut scratch);
    }
    Ok(if is_success { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn run_scenario(programs: &Programs, scratch: &ScratchDirectory) -> Result<DemoReport, XtaskError> {
    eprintln!("demo: starting the platform, back ends and nodes");
    Scenario::start(programs, scratch).await?.run().await
}

/// Checks the report, prints the table and every broken invariant, and returns whether all invariants hold.
fn check_and_print(report: &mut DemoReport, options: &Demo) -> Result<bool, XtaskError> {
    let broken = broken_invariants(report);
    report.broken = broken.iter().map(ToString::to_string).collect();
    print_table(report);
    for invariant in &broken {
        println!("BROKEN: {invariant}");
    }
    if let Some(path) = &options.json {
        let json = serde_json::to_vec_pretty(report)?;
        std::fs::write(path, json).map_err(XtaskError::file(path))?;
    }
    Ok(broken.is_empty())
}

fn keep_scratch(scratch: &mut ScratchDirectory) {
    scratch.keep();
    eprintln!("demo: settings and logs are kept in {}", scratch.path().display());
}

/// Waits for SIGINT or SIGTERM and returns an error. The caller then drops the running task, which kills
/// every child process.
pub async fn wait_for_interrupt() -> XtaskError {
    let receivers = (signal(SignalKind::interrupt()), signal(SignalKind::terminate()));
    let (Ok(mut interrupt), Ok(mut terminate)) = receivers else {
        return XtaskError::TimedOut { condition: "signals can be received" };
    };
    tokio::select! {
        biased;
        _ = interrupt.recv() => XtaskError::Interrupted,
        _ = terminate.recv() => XtaskError::Interrupted,
    }
}
