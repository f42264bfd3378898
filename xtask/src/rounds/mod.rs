//! `cargo xtask rounds`: compares two sets of measured runs, run by run, with the mean difference and its
//! standard error.
//!
//! A set is a directory of reports written by the users' bench. Reports with the same file name belong to the
//! same day and seed.

mod comparison;
mod report;
mod table;
#[cfg(test)]
mod tests;

use std::process::ExitCode;

use crate::error::XtaskError;
use crate::flags::Rounds;
use comparison::Comparison;
use report::ReportSet;

/// Reads both sets and prints their comparison; the exit code reports a failure if no run is in both sets.
pub fn run(options: &Rounds) -> Result<ExitCode, XtaskError> {
    let before = ReportSet::read(&options.before)?;
    let after = ReportSet::read(&options.after)?;
    let comparison = Comparison::of(&before, &after);
    table::print(&comparison);
    Ok(if comparison.runs.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
