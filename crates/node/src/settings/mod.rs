//! Settings of one node: a TOML file and flags, checked whole before anything starts.

mod duration;
mod fault;
mod load;
mod override_flag;
mod reader;
mod rules;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use umberpond_config::{SealKeyPair, Topology};
use umberpond_model::{Locality, NodeName, ServiceName};
use umberpond_telemetry::{LogFormat, Severity};

pub use duration::{InvalidDuration, parse_duration};
pub use fault::{FaultKind, SettingsFault, SettingsReport};
pub use load::load;
pub use override_flag::SettingsOverride;

/// Settings of one node, checked. Built by [`load`], or directly by a simulation.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the node.
    pub node: NodeName,
    /// Service on whose behalf local callers send requests; the back end's own service unless the node is an edge.
    pub service: ServiceName,
    /// Where the node runs.
    pub locality: Locality,
    /// Regions and zones that exist, as the settings list them.
    pub localities: Topology,
    /// Where the node listens.
    pub listen: ListenAddresses,
    /// Addresses under which other nodes reach this one, where they differ from those listened at.
    pub advertise: AdvertisedAddresses,
    /// The back end beside this node; absent at an edge.
    pub back_end: Option<BackEndConfig>,
    /// Address of the platform's object API.
    pub platform: SocketAddr,
    /// Control addresses of some other nodes, by which this one finds the overlay.
    pub seeds: Vec<SocketAddr>,
    /// Key that opens the secrets of `service`; absent if it may hold none.
    pub seal_key: Option<Arc<SealKeyPair>>,
    /// Limits of the request path.
    pub limits: Limits,
    /// Log output.
    pub log: LogConfig,
    /// Longest time that a planned stop waits for requests in flight.
    pub drain_timeout: Duration,
    /// Decisions kept in memory for `umberpond replay`; 0 turns the recording off.
    pub recording_entries: usize,
}

impl NodeConfig {
    /// Whether the node is an edge: callers enter there and there is no back end.
    #[must_use]
    pub const fn is_edge(&self) -> bool {
        self.back_end.is_none()
    }
}

/// Where a node listens. Port 0 takes any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of other nodes for the back end; absent at an edge.
    pub inbound: Option<SocketAddr>,
    /// Requests of local callers.
    pub outbound: SocketAddr,
    /// Operators, metrics, liveness and readiness.
    pub admin: SocketAddr,
    /// Control connections of other nodes.
    pub control: SocketAddr,
}

/// Addresses told to other nodes; the ones listened at if absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdvertisedAddresses {
    /// Of the inbound listener.
    pub inbound: Option<SocketAddr>,
    /// Of the control listener.
    pub control: Option<SocketAddr>,
    /// Of the admin listener; told to operators who asked another node.
    pub admin: Option<SocketAddr>,
}

/// The back end beside a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackEndConfig {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time between two health checks.
    pub check_interval: Duration,
    /// Failed checks in a row after which it counts as not ready.
    pub failures_to_unready: u32,
}

/// Limits of the request path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most connections that one listener serves at once.
    pub connections: usize,
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Retries allowed per thousand requests.
    pub retries_per_thousand: u64,
    /// Longest time to open a connection to another node or to the back end.
    pub connect_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 16 * 1024,
            retries_per_thousand: 100,
            connect_timeout: Duration::from_millis(500),
        }
    }
}

/// Log output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogConfig {
    /// Form of the lines.
    pub format: LogFormat,
    /// Events below this severity are left out.
    pub level: Severity,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: Severity::Info }
    }
}

/// Longest time that a planned stop waits, unless the settings say otherwise.
pub const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// Decisions kept in memory, unless the settings say otherwise.
pub const DEFAULT_RECORDING_ENTRIES: usize = 4_096;

/// Time between two health checks, unless the settings say otherwise.
pub const DEFAULT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Failed health checks in a row that make a back end unready, unless the settings say otherwise.
pub const DEFAULT_FAILURES_TO_UNREADY: u32 = 3;
