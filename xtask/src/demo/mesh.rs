//! Starts, queries and stops all processes of the demo.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::{Instant, sleep};
use umberpond_standins::backend::Ledger;

use super::layout::{BACK_ENDS, EDGE, Placement};
use super::metrics;
use super::node::NodeProcess;
use super::programs::Programs;
use super::settings::NodeEnvironment;
use super::standins::Standin;
use crate::error::XtaskError;
use crate::report::{ControlFigures, PlatformFigures, StopFigures};
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Timeout for every node to become ready after a configuration was accepted.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Timeout of one graceful stop.
const STOP_LIMIT: Duration = Duration::from_secs(12);

/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The running processes.
#[derive(Debug)]
pub struct Mesh {
    /// The platform stand-in.
    pub platform: Standin,
    /// Back end stand-ins by the name of their node.
    pub back_ends: BTreeMap<&'static str, Standin>,
    /// Running nodes by name, the edge included.
    pub nodes: BTreeMap<&'static str, NodeProcess>,
    started: Instant,
}

impl Mesh {
    /// Starts the platform, the back ends, a node for each back end, and the edge node.
    ///
    /// # Errors
    /// Fails when a process does not become ready in time.
    pub async fn start(programs: &Programs, scratch: &ScratchDirectory) -> Result<Self, XtaskError> {
        let platform = Standin::platform(programs, scratch).await?;
        let mut back_ends = BTreeMap::new();
        for placement in &BACK_ENDS {
            back_ends.insert(placement.name, Standin::back_end(programs, placement, scratch).await?);
        }
        let mut mesh = Self { platform, back_ends, nodes: BTreeMap::new(), started: Instant::now() };
        for placement in BACK_ENDS.iter().chain([&EDGE]) {
            let node = mesh.start_node(programs, *placement, scratch).await?;
            mesh.nodes.insert(placement.name, node);
        }
        Ok(mesh)
    }

    /// The edge node.
    ///
    /// # Errors
    /// Fails when the edge node was stopped.
    pub fn edge(&self) -> Result<&NodeProcess, XtaskError> {
        self.nodes.get(EDGE.name).ok_or(XtaskError::TimedOut { condition: "the edge node runs" })
    }

    /// Addresses of the back ends of `service` in `zones`.
    #[must_use]
    pub fn back_ends_of(&self, service: &str, zones: &[&str]) -> Vec<SocketAddr> {
        let placements = BACK_ENDS.iter().filter(|placement| placement.service == service);
        placements
            .filter(|placement| zones.contains(&placement.zone))
            .filter_map(|placement| self.back_ends.get(placement.name))
            .map(|back_end| back_end.address)
            .collect()
    }

    /// Waits until every node reports that it is ready.
    ///
    /// # Errors
    /// [`XtaskError::NotReady`] if a node does not become ready in time.
    pub async fn wait_until_ready(&self) -> Result<(), XtaskError> {
        let deadline = Instant::now() + READY_LIMIT;
        for node in self.nodes.values() {
            while !node.is_ready().await {
                if Instant::now() > deadline {
                    return Err(XtaskError::NotReady {
                        name: node.placement.name.to_owned(),
                        log: node.process.log().to_owned(),
                    });
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// The ledgers of all back ends, which record the requests that they ran.
    ///
    /// # Errors
    /// Fails when one of them does not respond.
    pub async fn ledgers(&self) -> Result<Vec<Ledger>, XtaskError> {
        let mut ledgers = Vec::new();
        for back_end in self.back_ends.values() {
            ledgers.push(back_end.ledger().await?);
        }
        Ok(ledgers)
    }

    /// Number of requests that the back end of a node has started to run.
    ///
    /// # Errors
    /// Fails when the back end does not respond.
    pub async fn run_count(&self, node: &str) -> Result<u64, XtaskError> {
        let back_end = self.back_ends.get(node);
        let back_end = back_end.ok_or(XtaskError::TimedOut { condition: "the back end runs" })?;
        Ok(back_end.ledger().await?.entries.len() as u64)
    }

    /// Removes a node from the list of running nodes and returns it, to be stopped or killed.
    ///
    /// # Errors
    /// Fails when the node does not run.
    pub fn take_node(&mut self, name: &str) -> Result<NodeProcess, XtaskError> {
        self.nodes.remove(name).ok_or(XtaskError::TimedOut { condition: "the node runs" })
    }

    /// Control traffic, from the metrics of the running nodes.
    ///
    /// # Errors
    /// Fails when one of them does not respond.
    pub async fn control_figures(&self) -> Result<ControlFigures, XtaskError> {
        let mut bytes = Vec::new();
        for node in self.nodes.values() {
            let text = node.admin().get_text("/metrics").await?;
            bytes.push(metrics::sum(&text, "umberpond_control_bytes_total"));
        }
        let seconds = self.started.elapsed().as_secs_f64();
        let mean = bytes.iter().sum::<f64>() / bytes.len().max(1) as f64;
        let max = bytes.iter().copied().fold(0.0, f64::max);
        Ok(ControlFigures {
            nodes: bytes.len(),
            mean_bytes_per_second: mean / seconds,
            max_bytes_per_second: max / seconds,
            mean_bytes: mean,
        })
    }

    /// Load on the platform, from its own counters and the metrics of the running nodes.
    ///
    /// # Errors
    /// Fails when one of them does not respond.
    pub async fn platform_figures(&self) -> Result<PlatformFigures, XtaskError> {
        let counters = self.platform.counters().await?;
        let mut nodes_with_requests = 0;
        for node in self.nodes.values() {
            let text = node.admin().get_text("/metrics").await?;
            let requests = metrics::sum(&text, "umberpond_platform_requests_total");
            nodes_with_requests += u64::from(requests > 0.0);
        }
        Ok(PlatformFigures {
            greatest_readers: counters.greatest_readers,
            nodes_with_requests,
            requests: counters.requests.values().sum(),
        })
    }

    /// Stops the edge node, then the other nodes, then the stand-ins, each with SIGTERM.
    ///
    /// # Errors
    /// Fails when a signal can't be sent.
    pub async fn stop(mut self) -> Result<Vec<StopFigures>, XtaskError> {
        let mut stops = Vec::new();
        if let Some(mut edge) = self.nodes.remove(EDGE.name) {
            stops.push(stop(&mut edge.process).await?);
        }
        let mut nodes: Vec<_> = self.nodes.into_values().map(|node| node.process).collect();
        stops.extend(stop_all(&mut nodes).await?);
        let mut standins: Vec<_> = self.back_ends.into_values().map(|standin| standin.process).collect();
        standins.push(self.platform.process);
        stops.extend(stop_all(&mut standins).await?);
        Ok(stops)
    }

    async fn start_node(
        &self,
        programs: &Programs,
        placement: Placement,
        scratch: &ScratchDirectory,
    ) -> Result<NodeProcess, XtaskError> {
        let back_end = self.back_ends.get(placement.name).map(|back_end| back_end.address);
        let environment = NodeEnvironment::first_process(self.platform.address, back_end);
        NodeProcess::start(&programs.umberpond, placement, environment, scratch).await
    }
}

/// Sends SIGTERM to a process and waits until it exits. A process that does not exit in time is killed when
/// it is dropped.
///
/// # Errors
/// Fails when the signal can't be sent.
pub async fn stop(process: &mut ChildProcess) -> Result<StopFigures, XtaskError> {
    let signalled = Instant::now();
    process.terminate()?;
    Ok(wait_for_stop(process, signalled).await)
}

async fn stop_all(processes: &mut [ChildProcess]) -> Result<Vec<StopFigures>, XtaskError> {
    let signalled = Instant::now();
    for process in &*processes {
        process.terminate()?;
    }
    let mut stops = Vec::new();
    for process in processes {
        stops.push(wait_for_stop(process, signalled).await);
    }
    Ok(stops)
}

async fn wait_for_stop(process: &mut ChildProcess, signalled: Instant) -> StopFigures {
    let status = process.wait_for_exit(STOP_LIMIT).await.ok();
    StopFigures {
        name: process.name().to_owned(),
        millis: u64::try_from(signalled.elapsed().as_millis()).unwrap_or(u64::MAX),
        exit_code: status.and_then(|status| status.code()),
    }
}
