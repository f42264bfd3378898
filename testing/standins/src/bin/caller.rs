//! The caller stand-in as a process: reads a plan, makes the calls, writes the record of all answers.

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use serde::Serialize;
use umberpond_net::TcpNetwork;
use umberpond_standins::caller::{Caller, Latencies, LoadPlan, Outcome};
use umberpond_standins::program::{
    DEFAULT_SECONDS, ProgramError, check_loopback, exit_code, print_line, wait_for_end,
};

/// The line printed when the calls start.
#[derive(Serialize)]
struct StartedLine {
    started: bool,
}

/// The line printed at the end.
#[derive(Serialize)]
struct SummaryLine {
    calls: usize,
    answered: u64,
    rejected: u64,
    unknown: u64,
    truncated: u64,
    wrong_answers: u64,
    latencies: Latencies,
}

#[tokio::main]
async fn main() -> ExitCode {
    let flags = xflags::parse_or_exit! {
        /// JSON file with the load to make.
        required --plan file: PathBuf
        /// File to which the record of all answers is written, as JSON.
        required --report file: PathBuf
        /// End after so many seconds, without a report.
        optional --seconds seconds: u64
    };
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
    let result = tokio::select! {
        biased;
        result = make_calls(&flags.plan, &flags.report) => result,
        ended = wait_for_end(seconds) => ended,
    };
    exit_code(result)
}

async fn make_calls(plan: &Path, report_file: &Path) -> Result<(), ProgramError> {
    let text = std::fs::read(plan).map_err(|source| file_error(plan, source))?;
    let plan: LoadPlan = serde_json::from_slice(&text)?;
    for target in plan.mix.iter().flat_map(|kind| &kind.targets) {
        check_loopback(*target)?;
    }
    let caller = Caller::new(Arc::new(TcpNetwork), plan)?;
    print_line(&StartedLine { started: true })?;
    let report = caller.run().await;
    let json = serde_json::to_vec(&report)?;
    std::fs::write(report_file, json).map_err(|source| file_error(report_file, source))?;
    print_line(&SummaryLine {
        calls: report.answers.len(),
        answered: report.count(Outcome::Answered),
        rejected: report.count(Outcome::Rejected),
        unknown: report.count(Outcome::Unknown),
        truncated: report.count(Outcome::Truncated),
        wrong_answers: report.count(Outcome::WrongAnswer),
        latencies: report.latencies(),
    })
}

fn file_error(path: &Path, source: std::io::Error) -> ProgramError {
    ProgramError::File { path: path.to_owned(), source }
}
