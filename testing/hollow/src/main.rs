//! `hollow-nodes`: runs the hollow nodes of a plan for a set time and reports what they measured.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use tokio::time::{MissedTickBehavior, interval};
use umberpond_hollow::{Fleet, FleetPlan, HollowError};
use umberpond_standins::program::{DEFAULT_SECONDS, print_line, wait_for_end};

/// Threads unless told otherwise.
const DEFAULT_THREADS: usize = 2;

/// Time between two lines of progress.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// Lines of progress between two samples.
const LINES_PER_SAMPLE: u64 = 5;

fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// JSON file that tells which nodes to run.
        required --plan file: PathBuf
        /// File that the report is written to, as JSON.
        required --report file: PathBuf
        /// End after so many seconds.
        optional --seconds seconds: u64
        /// Threads of the runtime.
        optional --threads count: usize
    };
    let threads = flags.threads.unwrap_or(DEFAULT_THREADS).max(1);
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(threads).enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("error: the runtime can't be started: {error}");
            return ExitCode::FAILURE;
        }
    };
    let result = runtime.block_on(run(&flags.plan, &flags.report, flags.seconds.unwrap_or(DEFAULT_SECONDS)));
    runtime.shutdown_background();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            print_error(&error);
            ExitCode::FAILURE
        }
    }
}

async fn run(plan: &Path, report: &Path, seconds: u64) -> Result<(), HollowError> {
    let text = fs::read(plan).map_err(|source| HollowError::File { path: plan.to_owned(), source })?;
    let plan: FleetPlan = serde_json::from_slice(&text)?;
    let mut fleet = Fleet::start(&plan).await?;
    print_line(&fleet.started())?;
    tokio::select! {
        biased;
        ended = wait_for_end(seconds) => ended?,
        failed = watch(&mut fleet) => failed?,
    }
    fleet.take_sample()?;
    let json = serde_json::to_vec(&fleet.finish())?;
    fs::write(report, json).map_err(|source| HollowError::File { path: report.to_owned(), source })
}

/// Prints progress and takes samples until it is dropped.
async fn watch(fleet: &mut Fleet) -> Result<(), HollowError> {
    let mut ticks = interval(PROGRESS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut line = 0_u64;
    loop {
        ticks.tick().await;
        if line.is_multiple_of(LINES_PER_SAMPLE) {
            fleet.take_sample()?;
        }
        line += 1;
        print_line(&fleet.progress())?;
    }
}

fn print_error(error: &HollowError) {
    eprintln!("error: {error}");
    let mut cause = std::error::Error::source(error);
    while let Some(inner) = cause {
        eprintln!("  caused by: {inner}");
        cause = inner.source();
    }
}
