//! Runs one node as a child process.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::http::Peer;
use super::layout::Placement;
use super::settings::{NodeEnvironment, NodeIdentity, seal_key, settings_file};
use crate::error::XtaskError;
use crate::node_log::{self, OpenListener};
use crate::supervise::{ChildProcess, ScratchDirectory};

/// Timeout for a node to open all its listeners.
const START_LIMIT: Duration = Duration::from_secs(10);

/// Addresses of a node's listeners.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeAddresses {
    /// Listener for requests of callers.
    pub outbound: SocketAddr,
    /// Listener of the operator API and metrics.
    pub admin: SocketAddr,
    /// Listener for requests of other nodes.
    pub inbound: SocketAddr,
    /// Listener for datagrams and control connections of other nodes.
    pub control: SocketAddr,
}

/// A running node.
#[derive(Debug)]
pub struct NodeProcess {
    /// Name, service and zone of the node.
    pub placement: Placement,
    /// Addresses of its listeners.
    pub addresses: NodeAddresses,
    /// The child process.
    pub process: ChildProcess,
}

impl NodeProcess {
    /// Starts a node and waits until all its listeners are open.
    ///
    /// # Errors
    /// Fails when the node can't be started or does not open its listeners in time.
    pub async fn start(
        program: &Path,
        placement: Placement,
        environment: NodeEnvironment<'_>,
        scratch: &ScratchDirectory,
    ) -> Result<Self, XtaskError> {
        let key_file = format!("{}.key", placement.name);
        let mut environment = environment;
        if let Some(key) = seal_key(placement.service) {
            scratch.write(&key_file, key)?;
            environment.seal_key_file = Some(&key_file);
        }
        let text = settings_file(&NodeIdentity::from(&placement), &environment)?;
        let path = scratch.write(&format!("{}.toml", placement.name), text)?;
        let arguments = ["node".to_owned(), "--config".to_owned(), path.display().to_string()];
        let name = process_name(placement.name, environment.restarts);
        let mut process = ChildProcess::start(&name, program, &arguments, scratch)?;
        let mut listeners = OpenListeners::default();
        let addresses = process.wait_for_line(START_LIMIT, |line| listeners.read(line)).await?;
        Ok(Self { placement, addresses, process })
    }

    /// The node's admin listener.
    #[must_use]
    pub fn admin(&self) -> Peer<'_> {
        Peer { name: self.placement.name, address: self.addresses.admin }
    }

    /// The configuration version in force on the node, if there is one.
    ///
    /// # Errors
    /// Fails when the node does not respond.
    pub async fn active_version(&self) -> Result<Option<u64>, XtaskError> {
        let status: serde_json::Value = self.admin().get_json("/v1/status").await?;
        Ok(status.pointer("/version").and_then(serde_json::Value::as_u64))
    }

    /// Whether the node reports that it is ready.
    pub async fn is_ready(&self) -> bool {
        let response = self.admin().get("/readyz").await;
        response.is_ok_and(|response| response.status().is_success())
    }
}

/// Name of a node's process and of its log file. Every restart gets a new name, so that the logs of earlier
/// processes are kept.
fn process_name(node: &str, restarts: u32) -> String {
    if restarts == 0 { node.to_owned() } else { format!("{node}-life-{restarts}") }
}

/// The open listeners read from a node's log so far.
#[derive(Default)]
struct OpenListeners {
    outbound: Option<SocketAddr>,
    admin: Option<SocketAddr>,
    inbound: Option<SocketAddr>,
    control: Option<SocketAddr>,
}

impl OpenListeners {
    /// Reads a line of the log and returns the addresses once all are known.
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
