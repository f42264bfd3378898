//! `cargo xtask demo`: a small mesh of processes on loopback, from the first bundle to the last planned stop.

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

/// Longest time of the demo after the build.
const DEMO_LIMIT: Duration = Duration::from_secs(90);

/// Builds the programs, runs the demo and checks its figures.
///
/// # Errors
/// Fails when a step can't be carried out. Broken invariants are no error but a failing exit code.
pub async fn run(options: &Demo) -> Result<ExitCode, XtaskError> {
    let programs = Programs::build().await?;
    let mut scratch = ScratchDirectory::create("demo")?;
    let started = Instant::now();
    let result = tokio::select! {
        biased;
        interrupted = wait_for_interrupt() => Err(interrupted),
        result = timeout(DEMO_LIMIT, play(&programs, &scratch)) => {
            result.unwrap_or(Err(XtaskError::TimedOut { condition: "the demo ends" }))
        }
    };
    let mut report = match result {
        Ok(report) => report,
        Err(error) => {
            keep(&mut scratch);
            return Err(error);
        }
    };
    report.total_millis = u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX);
    let is_whole = conclude(&mut report, options)?;
    if !is_whole || options.keep_logs {
        keep(&mut scratch);
    }
    Ok(if is_whole { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn play(programs: &Programs, scratch: &ScratchDirectory) -> Result<DemoReport, XtaskError> {
    eprintln!("demo: starting platform, back ends and nodes");
    Scenario::start(programs, scratch).await?.run().await
}

/// Prints the table and every broken invariant; tells whether all hold.
fn conclude(report: &mut DemoReport, options: &Demo) -> Result<bool, XtaskError> {
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

fn keep(scratch: &mut ScratchDirectory) {
    scratch.keep();
    eprintln!("demo: settings and logs are kept in {}", scratch.path().display());
}

/// Ends with an error at SIGINT or SIGTERM; dropping the demo then ends every child.
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
