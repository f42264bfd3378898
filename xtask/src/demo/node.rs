//! One node of the demo as a child process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::http::Peer;
use super::layout::Placement;
use super::settings::{NodeFacts, Surroundings, seal_key, settings_file};
use crate::error::XtaskError;
use crate::node_log::{self, OpenListener};
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Longest time until all listeners of a node are open.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Where a node listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Requests of callers.
    pub outbound: SocketAddr,
    /// Operators and metrics.
    pub admin: SocketAddr,
    /// Requests of other nodes.
    pub inbound: SocketAddr,
    /// Datagrams and control connections of other nodes.
    pub control: SocketAddr,
}

/// A running node.
#[derive(Debug)]
pub struct NodeProcess {
    /// What it is and where it stands.
    pub placement: Placement,
    /// Where it listens.
    pub addresses: NodeAddresses,
    /// Its process.
    pub process: ChildProcess,
}

impl NodeProcess {
    /// Starts a node and waits until it listens.
    ///
    /// # Errors
    /// Fails when the node can't be started or does not listen in time.
    pub async fn start(
        program: &Path,
        placement: Placement,
        surroundings: Surroundings<'_>,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let key_file = format!("{}.key", placement.name);
        let mut surroundings = surroundings;
        if let Some(key) = seal_key(placement.service) {
            scratch.write(&key_file, key)?;
            surroundings.seal_key_file = Some(&key_file);
        }
        let text = settings_file(&NodeFacts::from(&placement), &surroundings)?;
        let path = scratch.write(&format!("{}.toml", placement.name), text)?;
        let arguments = ["node".to_owned(), "--config".to_owned(), path.display().to_string()];
        let name = process_name(placement.name, surroundings.life);
        let mut process = ChildProcess::start(&name, program, &arguments, scratch)?;
        let mut listeners = OpenListeners::default();
        let addresses = process.wait_for_line(START_LIMIT, |line| listeners.read(line)).await?;
        Ok(Self { placement, addresses, process })
    }

    /// Its admin address.
    #[must_use]
    pub fn admin(&self) -> Peer<'_> {
        Peer { name: self.placement.name, address: self.addresses.admin }
    }

    /// The version in force on it, if there is one.
    ///
    /// # Errors
    /// Fails when it does not answer.
    pub async fn active_version(&self) -> Result<Option<u64>, XtaskError> {
        let status: serde_json::Value = self.admin().get_json("/v1/status").await?;
        Ok(status.pointer("/version").and_then(serde_json::Value::as_u64))
    }

    /// Whether it says that it takes requests.
    pub async fn is_ready(&self) -> bool {
        let answer = self.admin().get("/readyz").await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }
}

/// Name of a node's process, and of its log: each life has one of its own.
fn process_name(node: &str, life: u32) -> String {
    if life == 0 { node.to_owned() } else { format!("{node}-life-{life}") }
}

/// The listeners that a node's log has told of.
#[derive(Default)]
struct OpenListeners {
    outbound: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    inbound: Option<SocketAddr>,
    control: Option<SocketAddr>,
}

impl OpenListeners {
    /// Reads a line of the log; tells the addresses once all are known.
    fn read(&mut self, line: &str) -> Option<NodeAddresses> {
        let OpenListener { name, address } = node_log::open_listener(line)?;
        match name.as_str() {
            "outbound" => self.outbound = address,
            "admin" => self.admin = address,
            "inbound" => self.inbound = address,
            "control" => self.control = address,
            _ => {}
        }
        Some(NodeAddresses {
            outbound: self.outbound?,
            admin: self.admin?,
            inbound: self.inbound?,
            control: self.control?,
        })
    }
}
