//! Runs the stand-ins as child processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Serialize;
use tokio::time::Instant;
use umberpond_standins::backend::Ledger;
use umberpond_standins::caller::{CallerReport, LoadPlan};
use umberpond_standins::platform::CounterReport;
use umberpond_standins::program::ReadyLine;

use super::http::Peer;
use super::layout::{Placement, REGION};
use super::programs::Programs;
use crate::error::XtaskError;
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Timeout for a stand-in to become ready.
const START_LIMIT: Duration = Duration::from_secs(5);

/// Lifetime after which a stand-in exits by itself if it was not stopped.
const LIFETIME_SECONDS: &str = "900";

/// Service time of the back ends, in milliseconds.
const SERVICE_MILLIS: &str = "2";

/// Time that a caller may take beyond the duration of its plan.
const CALLER_GRACE: Duration = Duration::from_secs(10);

/// A running stand-in server.
#[derive(Debug)]
pub struct Standin {
    /// The child process.
    pub process: ChildProcess,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// When it became ready. Its own timestamps count from this moment, give or take a few milliseconds.
    pub started_at: Instant,
}

impl Standin {
    /// Starts the platform stand-in.
    ///
    /// # Errors
    /// Fails when it does not become ready in time.
    pub async fn platform(programs: &Programs, scratch: &ScratchDirectory) -> Result<Self, XtaskError> {
        let arguments = ["--seconds", LIFETIME_SECONDS].map(str::to_owned);
        Self::wait_until_ready(ChildProcess::start("platform", &programs.platform, &arguments, scratch)?)
            .await
    }

    /// Starts the back end of a node.
    ///
    /// # Errors
    /// Fails when it does not become ready in time.
    pub async fn back_end(
        programs: &Programs,
        placement: &Placement,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let flags = [
            ("--name", placement.name),
            ("--service", placement.service),
            ("--region", REGION),
            ("--zone", placement.zone),
            ("--service-millis", SERVICE_MILLIS),
            ("--seconds", LIFETIME_SECONDS),
        ];
        let arguments: Vec<String> =
            flags.iter().flat_map(|(flag, value)| [(*flag).to_owned(), (*value).to_owned()]).collect();
        let name = format!("{}-back-end", placement.name);
        Self::wait_until_ready(ChildProcess::start(&name, &programs.backend, &arguments, scratch)?).await
    }

    /// Its HTTP address.
    #[must_use]
    pub fn peer(&self) -> Peer<'_> {
        Peer { name: self.process.name(), address: self.address }
    }

    /// The back end's ledger, which records the requests that it ran.
    ///
    /// # Errors
    /// Fails when the stand-in does not respond.
    pub async fn ledger(&self) -> Result<Ledger, XtaskError> {
        self.peer().get_json("/standin/ledger").await
    }

    /// The platform's request counters.
    ///
    /// # Errors
    /// Fails when the stand-in does not respond.
    pub async fn counters(&self) -> Result<CounterReport, XtaskError> {
        self.peer().get_json("/standin/counters").await
    }

    /// Changes the faults that the stand-in injects.
    ///
    /// # Errors
    /// Fails when the stand-in does not respond.
    pub async fn change_faults(&self, change: &impl Serialize) -> Result<(), XtaskError> {
        change_faults(&self.peer(), change).await
    }

    async fn wait_until_ready(mut process: ChildProcess) -> Result<Self, XtaskError> {
        let read = |line: &str| serde_json::from_str::<ReadyLine>(line).ok();
        let ready = process.wait_for_line(START_LIMIT, read).await?;
        Ok(Self { process, address: ready.address, started_at: Instant::now() })
    }
}

/// A running caller.
#[derive(Debug)]
pub struct RunningCaller {
    process: ChildProcess,
    report: std::path::PathBuf,
    limit: Duration,
    /// When it reported its start. Its own timestamps count from this moment, give or take a few
    /// milliseconds.
    pub started_at: Instant,
}

impl RunningCaller {
    /// Starts a caller and waits until it reports that its load has started.
    ///
    /// # Errors
    /// Fails when the caller does not start in time.
    pub async fn start(
        programs: &Programs,
        plan: &LoadPlan,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let name = format!("caller-{}", plan.label);
        let plan_file = scratch.write(&format!("{name}-plan.json"), serde_json::to_vec(plan)?)?;
        let report = scratch.file(&format!("{name}-report.json"));
        let flags = [("--plan", &plan_file), ("--report", &report)];
        let mut arguments: Vec<String> =
            flags.iter().flat_map(|(flag, path)| [(*flag).to_owned(), path.display().to_string()]).collect();
        arguments.extend(["--seconds".to_owned(), LIFETIME_SECONDS.to_owned()]);
        let mut process = ChildProcess::start(&name, &programs.caller, &arguments, scratch)?;
        process.wait_for_line(START_LIMIT, |line| line.contains("\"started\"").then_some(())).await?;
        let limit = Duration::from_millis(plan.duration_millis) + CALLER_GRACE;
        Ok(Self { process, report, limit, started_at: Instant::now() })
    }

    /// Waits until the caller exits and reads its report.
    ///
    /// # Errors
    /// Fails when the caller does not exit successfully in time, or its report can't be read.
    pub async fn finish(mut self) -> Result<CallerReport, XtaskError> {
        self.process.wait_for_success(self.limit).await?;
        let text = std::fs::read(&self.report).map_err(XtaskError::file(&self.report))?;
        Ok(serde_json::from_slice(&text)?)
    }
}

/// Changes the faults that a stand-in injects.
///
/// # Errors
/// Fails when the stand-in does not respond.
pub async fn change_faults(standin: &Peer<'_>, change: &impl Serialize) -> Result<(), XtaskError> {
    standin.post("/standin/faults", serde_json::to_vec(change)?).await
}
