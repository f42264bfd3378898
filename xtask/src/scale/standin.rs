//! Platform and back ends as child processes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use umberpond_hollow::Place;
use umberpond_standins::platform::CounterReport;
use umberpond_standins::program::ReadyLine;

use crate::demo::http::Peer;
use crate::error::XtaskError;
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Longest time until a stand-in listens; many start at once.
const START_LIMIT: Duration = Duration::from_secs(20);

/// A running stand-in.
#[derive(Debug)]
pub struct Standin {
    /// Its process.
    pub process: ChildProcess,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Standin {
    /// Starts the platform; it ends by itself after `lifetime`.
    ///
    /// # Errors
    /// Fails when it does not get ready.
    pub async fn platform(
        program: &Path,
        lifetime: Duration,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let arguments = ["--seconds".to_owned(), lifetime.as_secs().to_string()];
        Self::ready(ChildProcess::start("platform", program, &arguments, scratch)?).await
    }

    /// Starts the back end of a node; it ends by itself after `lifetime`.
    ///
    /// # Errors
    /// Fails when it does not get ready.
    pub async fn back_end(
        program: &Path,
        place: &Place,
        lifetime: Duration,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let flags = [
            ("--name", place.node.to_string()),
            ("--service", place.service.to_string()),
            ("--region", place.locality.region.to_string()),
            ("--zone", place.locality.zone.to_string()),
            ("--seconds", lifetime.as_secs().to_string()),
        ];
        let arguments: Vec<String> =
            flags.into_iter().flat_map(|(flag, value)| [flag.to_owned(), value]).collect();
        let name = format!("{}-back-end", place.node);
        Self::ready(ChildProcess::start(&name, program, &arguments, scratch)?).await
    }

    /// What the platform was asked.
    ///
    /// # Errors
    /// Fails when it does not answer.
    pub async fn counters(&self) -> Result<CounterReport, XtaskError> {
        self.peer().get_json("/standin/counters").await
    }

    fn peer(&self) -> Peer<'_> {
        Peer { name: self.process.name(), address: self.address }
    }

    async fn ready(mut process: ChildProcess) -> Result<Self, XtaskError> {
        let read = |line: &str| serde_json::from_str::<ReadyLine>(line).ok();
        let ready = process.wait_for_line(START_LIMIT, read).await?;
        Ok(Self { process, address: ready.address })
    }
}
