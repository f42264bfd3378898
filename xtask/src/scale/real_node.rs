//! One real node: the daemon as a child process, watched by its log, its metrics and `/proc`.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use umberpond_hollow::{Activation, Place, Places, ProcessUsage, Sample, unix_millis};

use super::settings::settings_of;
use crate::demo::http::Peer;
use crate::demo::settings::Surroundings;
use crate::error::XtaskError;
use crate::node_log::{self, OpenListener};
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Longest time until all listeners of a node are open; many start at once.
const START_LIMIT: Duration = Duration::from_secs(20);

/// Longest time for a planned stop; one that takes longer is killed.
const STOP_LIMIT: Duration = Duration::from_secs(15);

/// Time for which one look at the log waits.
const WATCH_LIMIT: Duration = Duration::from_secs(3_600);

/// Number of the event that tells of a version in force.
const ACTIVATED_EVENT: u64 = 2003;

/// A running real node.
#[derive(Debug)]
pub struct RealNode {
    /// Its number.
    pub number: usize,
    /// Its name and zone.
    pub place: Place,
    admin: SocketAddr,
    id: u32,
    activations: Arc<Mutex<Vec<Activation>>>,
    end: oneshot::Sender<HowToEnd>,
    task: JoinHandle<Result<(), XtaskError>>,
}

/// How a node is to end.
#[derive(Debug, Clone, Copy)]
pub enum HowToEnd {
    /// SIGTERM, and time to drain.
    Planned,
    /// SIGKILL.
    Killed,
}

impl RealNode {
    /// Starts a node, waits until it listens, and watches its log from then on.
    ///
    /// # Errors
    /// Fails when the node can't be started or does not listen in time.
    pub async fn start(
        program: &Path,
        places: &Places,
        number: usize,
        surroundings: &Surroundings<'_>,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let place = places.place(number)?;
        let name = place.node.to_string();
        let path = scratch.write(&format!("{name}.toml"), settings_of(places, &place, surroundings)?)?;
        let arguments = ["node".to_owned(), "--config".to_owned(), path.display().to_string()];
        let mut process = ChildProcess::start(&name, program, &arguments, scratch)?;
        let admin = process.wait_for_line(START_LIMIT, admin_listener).await?;
        let ended = || XtaskError::NotReady { name, log: process.log().to_owned() };
        let id = process.id().ok_or_else(ended)?;
        let activations = Arc::new(Mutex::new(Vec::new()));
        let (end, ordered) = oneshot::channel();
        let task = tokio::spawn(watch(process, Arc::clone(&activations), ordered));
        Ok(Self { number, place, admin, id, activations, end, task })
    }

    /// Its admin address.
    pub fn admin(&self) -> Peer<'_> {
        Peer { name: self.place.node.as_str(), address: self.admin }
    }

    /// Versions that came in force, oldest first, by the time at which its log told so.
    pub fn activations(&self) -> Vec<Activation> {
        self.activations.lock().clone()
    }

    /// Newest version in force.
    pub fn newest(&self) -> u64 {
        self.activations.lock().last().map_or(0, |last| last.version)
    }

    /// Its process and its control bytes now.
    ///
    /// # Errors
    /// Fails when the process is gone or does not answer.
    pub async fn sample(&self) -> Result<Sample, XtaskError> {
        let usage = ProcessUsage::of(self.id);
        let usage = usage.map_err(XtaskError::file(format!("/proc/{}", self.id)))?;
        let metrics = self.admin().get_text("/metrics").await?;
        let control_bytes = vec![control_bytes(&metrics)];
        Ok(Sample { at_unix_millis: unix_millis(), usage, control_bytes })
    }

    /// Ends the process and waits for its end.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub async fn end(self, how: HowToEnd) -> Result<(), XtaskError> {
        // A watcher that is gone has ended the process already.
        let _ = self.end.send(how);
        self.task.await.unwrap_or(Ok(()))
    }
}

/// Notes activations until the node is to end. Dropping the order kills the process.
async fn watch(
    mut process: ChildProcess,
    activations: Arc<Mutex<Vec<Activation>>>,
    mut ordered: oneshot::Receiver<HowToEnd>,
) -> Result<(), XtaskError> {
    loop {
        let activated = tokio::select! {
            biased;
            how = &mut ordered => return end(&mut process, how.unwrap_or(HowToEnd::Killed)).await,
            activated = process.wait_for_line(WATCH_LIMIT, activated_version) => activated?,
        };
        activations.lock().push(Activation { version: activated, at_unix_millis: unix_millis() });
    }
}

async fn end(process: &mut ChildProcess, how: HowToEnd) -> Result<(), XtaskError> {
    match how {
        HowToEnd::Planned => process.terminate()?,
        HowToEnd::Killed => process.kill()?,
    }
    process.wait_for_end(STOP_LIMIT).await.map(|_| ())
}

fn activated_version(line: &str) -> Option<u64> {
    let fields = node_log::parse(line)?;
    (fields.event == ACTIVATED_EVENT).then_some(fields.version)
}

/// The admin address, if `line` tells of it.
fn admin_listener(line: &str) -> Option<SocketAddr> {
    let OpenListener { name, address } = node_log::open_listener(line)?;
    if name == "admin" { address } else { None }
}

/// Sum of the control bytes in a page of metrics, both directions.
fn control_bytes(metrics: &str) -> u64 {
    let lines = metrics.lines().filter(|line| line.starts_with("umberpond_control_bytes_total{"));
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}
