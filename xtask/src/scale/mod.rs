//! `cargo xtask scale`: real nodes and hollow ones on loopback, measured from outside.

mod bundles;
mod changes;
mod course;
mod figures;
mod fleet;
mod mesh;
mod programs;
mod real_node;
mod report;
mod settings;
mod size;
mod standin;
#[cfg(test)]
mod tests;

use std::process::ExitCode;
use std::time::Duration;

use tokio::time::{Instant, timeout};

use crate::demo::wait_for_interrupt;
use crate::error::XtaskError;
use crate::flags::Scale;
use crate::supervise::ScratchDirectory;
use mesh::Mesh;
use programs::ScalePrograms;
use report::ScaleReport;
use size::Size;

/// Longest time of a run after the build, beyond the measured time.
const OTHER_TIME: Duration = Duration::from_secs(240);

/// Builds the programs, runs the course and prints its figures.
///
/// # Errors
/// Fails when a step can't be carried out. A version that is missing on a node is no error but a failing exit code.
pub async fn run(options: &Scale) -> Result<ExitCode, XtaskError> {
    let size = Size::from(options);
    let programs = ScalePrograms::build().await?;
    let mut scratch = ScratchDirectory::create("scale")?;
    let limit = size.measured() + OTHER_TIME;
    let began = Instant::now();
    let result = tokio::select! {
        biased;
        interrupted = wait_for_interrupt() => Err(interrupted),
        result = timeout(limit, play(&programs, size, limit, &scratch)) => {
            result.unwrap_or(Err(XtaskError::TimedOut { condition: "the scale run ends" }))
        }
    };
    let mut report = match result {
        Ok(report) => report,
        Err(error) => {
            keep(&mut scratch);
            return Err(error);
        }
    };
    report.total_millis = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    println!("{report}");
    if let Some(path) = &options.json {
        std::fs::write(path, serde_json::to_vec_pretty(&report)?).map_err(XtaskError::file(path))?;
    }
    let holds = report.holds();
    if !holds || options.keep_logs {
        keep(&mut scratch);
    }
    Ok(if holds { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

async fn play(
    programs: &ScalePrograms,
    size: Size,
    lifetime: Duration,
    scratch: &ScratchDirectory,
) -> Result<ScaleReport, XtaskError> {
    eprintln!("scale: starting {} real and {} hollow nodes", size.real, size.hollow);
    let mesh = Mesh::start(programs, size, lifetime, scratch).await?;
    eprintln!("scale: {} nodes listen", mesh.node_count());
    course::run(mesh, size).await
}

fn keep(scratch: &mut ScratchDirectory) {
    scratch.keep();
    eprintln!("scale: settings and logs are kept in {}", scratch.path().display());
}
