//! `cargo xtask rounds`: compares two sets of measured runs, run by run, with the mean difference and its spread.
//!
//! A set is a folder of reports that the users' bench wrote; reports of the same file name are of the same day and seed.

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

/// Reads both sets and prints what differs.
pub fn run(options: &Rounds) -> Result<ExitCode, XtaskError> {
    let before = ReportSet::read(&options.before)?;
    let after = ReportSet::read(&options.after)?;
    let comparison = Comparison::of(&before, &after);
    table::print(&comparison);
    Ok(if comparison.runs.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
}
