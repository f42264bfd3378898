//! One process of hollow nodes.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use umberpond_hollow::{FleetPlan, FleetReport, Progress, StartedFleet};

use super::real_node::HowToEnd;
use crate::error::XtaskError;
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Longest time until all nodes of a process listen, beyond the time over which they start.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Longest time until the report is written.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Longest time between two lines of progress.
const PROGRESS_LIMIT: Duration = Duration::from_secs(60);

/// A running process of hollow nodes.
#[derive(Debug)]
pub struct FleetProcess {
    /// Its nodes.
    pub nodes: Vec<usize>,
    report: PathBuf,
    progress: Arc<Mutex<Progress>>,
    end: oneshot::Sender<HowToEnd>,
    task: JoinHandle<Result<(), XtaskError>>,
}

impl FleetProcess {
    /// Starts the nodes of `plan` and waits until all listen.
    ///
    /// # Errors
    /// Fails when they don't in time.
    pub async fn start(
        program: &Path,
        plan: &FleetPlan,
        lifetime: Duration,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let name = format!("hollow-{}", plan.first);
        let plan_file = scratch.write(&format!("{name}-plan.json"), serde_json::to_vec(plan)?)?;
        let report = scratch.file(&format!("{name}-report.json"));
        let flags = [
            ("--plan", plan_file.display().to_string()),
            ("--report", report.display().to_string()),
            ("--seconds", lifetime.as_secs().to_string()),
        ];
        let arguments: Vec<String> =
            flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        let mut process = ChildProcess::start(&name, program, &arguments, scratch)?;
        let limit = START_LIMIT + Duration::from_millis(plan.start_millis);
        let read = |line: &str| serde_json::from_str::<StartedFleet>(line).ok();
        let nodes = process.wait_for_line(limit, read).await?.started;
        let progress = Arc::new(Mutex::new(Progress { configured: 0, lowest_active: 0 }));
        let (end, ordered) = oneshot::channel();
        let task = tokio::spawn(watch(process, Arc::clone(&progress), ordered));
        Ok(Self { nodes, report, progress, end, task })
    }

    /// Lowest version in force on any of its nodes; 0 while one has none.
    pub fn lowest_active(&self) -> u64 {
        self.progress.lock().lowest_active
    }

    /// Nodes with a version in force.
    pub fn configured(&self) -> usize {
        self.progress.lock().configured
    }

    /// Kills the process; what it measured is lost.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub async fn kill(self) -> Result<(), XtaskError> {
        self.end(HowToEnd::Killed).await.map(drop)
    }

    /// Ends the process as planned and reads its report.
    ///
    /// # Errors
    /// Fails when it does not end in time or leaves no report.
    pub async fn finish(self) -> Result<FleetReport, XtaskError> {
        let report = self.end(HowToEnd::Planned).await?;
        let text = std::fs::read(&report).map_err(XtaskError::file(&report))?;
        Ok(serde_json::from_slice(&text)?)
    }

    async fn end(self, how: HowToEnd) -> Result<PathBuf, XtaskError> {
        // A watcher that is gone has ended the process already; its error is told below.
        let _ = self.end.send(how);
        self.task.await.unwrap_or(Ok(()))?;
        Ok(self.report)
    }
}

/// Notes progress until the process is to end. Dropping the order kills it.
async fn watch(
    mut process: ChildProcess,
    progress: Arc<Mutex<Progress>>,
    mut ordered: oneshot::Receiver<HowToEnd>,
) -> Result<(), XtaskError> {
    let read = |line: &str| serde_json::from_str::<Progress>(line).ok();
    loop {
        let seen = tokio::select! {
            biased;
            how = &mut ordered => return end(&mut process, how.unwrap_or(HowToEnd::Killed)).await,
            seen = process.wait_for_line(PROGRESS_LIMIT, read) => seen.map_err(no_progress)?,
        };
        *progress.lock() = seen;
    }
}

/// A process without a line of progress has ended or hangs.
fn no_progress(error: XtaskError) -> XtaskError {
    match error {
        XtaskError::NotReady { name, log } => XtaskError::NoProgress { name, log },
        other => other,
    }
}

async fn end(process: &mut ChildProcess, how: HowToEnd) -> Result<(), XtaskError> {
    match how {
        HowToEnd::Planned => {
            process.terminate()?;
            process.wait_for_success(STOP_LIMIT).await
        }
        HowToEnd::Killed => {
            process.kill()?;
            process.wait_for_end(STOP_LIMIT).await.map(drop)
        }
    }
}
