//! Settings of one node from a TOML file and flags. All settings are checked before anything starts.

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
use umberpond_rollouts::RolloutSettings;
use umberpond_selection::RetryBudgetSettings;
use umberpond_telemetry::{LogFormat, Severity};

pub use duration::{InvalidDuration, parse_duration};
pub use fault::{FaultKind, SettingsFault, SettingsReport};
pub use load::load;
pub use override_flag::SettingsOverride;

/// Checked settings of one node. Built by [`load()`], or directly by a simulation.
#[derive(Debug, Clone)]
pub struct NodeConfig {
    /// Name of the node.
    pub node: NodeName,
    /// Service on whose behalf local callers send requests: that of the back end beside the node.
    pub service: ServiceName,
    /// Whether the whole system starts for the first time, so that there was no earlier process of this node.
    pub is_first_start: bool,
    /// Where the node runs.
    pub locality: Locality,
    /// All regions and zones.
    pub topology: Topology,
    /// Addresses at which the node listens.
    pub listen: ListenAddresses,
    /// Addresses at which other nodes reach this one, if they differ from the listening addresses.
    pub advertise: AdvertisedAddresses,
    /// The back end beside this node; absent at an edge, which only serves callers.
    pub back_end: Option<BackEndConfig>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Key that decrypts the secrets of `service`; absent if the node has none.
    pub seal_key: Option<Arc<SealKeyPair>>,
    /// Capacity of the node's link in bytes per second; absent if unknown.
    pub link_rate: Option<f64>,
    /// The retry budget of each service, over all nodes together.
    pub retry_budget: RetryBudgetSettings,
    /// Settings of rollouts; absent if the node participates in none.
    pub rollouts: Option<RolloutSettings>,
    /// Whether operators may evacuate zones, so that store readers have to read the evacuations.
    pub follows_evacuations: bool,
    /// Whether slots of the back end are reserved for calls of runs at other back ends.
    pub keeps_slots_for_calls: bool,
    /// Whether back ends differ much in speed, so that faster ones are chosen more often while slots are
    /// free.
    pub chooses_by_speed: bool,
    /// Log output.
    pub log: LogConfig,
    /// Time between the stop request and the kill of the process.
    pub grace: Duration,
}

/// Addresses at which a node listens. Port 0 selects any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Address for requests of other nodes to the back end.
    pub inbound: SocketAddr,
    /// Address for requests of local callers.
    pub outbound: SocketAddr,
    /// Address for operator requests, metrics and readiness.
    pub admin: SocketAddr,
    /// Address for datagrams and control connections of other nodes.
    pub control: SocketAddr,
    /// Address for announcements of the back end beside this node; absent if it sends none.
    pub registration: Option<SocketAddr>,
}

/// Addresses published to other nodes; the listening addresses if absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdvertisedAddresses {
    /// Address of the inbound listener.
    pub inbound: Option<SocketAddr>,
    /// Address of the control listener.
    pub control: Option<SocketAddr>,
}

/// The back end beside a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackEndConfig {
    /// Address at which the back end listens.
    pub address: SocketAddr,
    /// Time between two health checks, if the back end sends no announcements.
    pub check_interval: Duration,
    /// Consecutive failed health checks after which the back end gets no new requests.
    pub failures_to_unready: u32,
}

impl BackEndConfig {
    /// A back end at `address` with the default health check settings.
    #[must_use]
    pub const fn at(address: SocketAddr) -> Self {
        Self {
            address,
            check_interval: DEFAULT_CHECK_INTERVAL,
            failures_to_unready: DEFAULT_FAILURES_TO_UNREADY,
        }
    }
}

/// Log output.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogConfig {
    /// Format of the log lines.
    pub format: LogFormat,
    /// Minimum severity of logged events.
    pub level: Severity,
}

impl Default for LogConfig {
    fn default() -> Self {
        Self { format: LogFormat::Text, level: Severity::Info }
    }
}

/// Default time between the stop request and the kill of the process.
pub const DEFAULT_GRACE: Duration = Duration::from_secs(30);

/// Default time between two health checks of the back end.
pub const DEFAULT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Default number of consecutive failed health checks that make a back end unready.
pub const DEFAULT_FAILURES_TO_UNREADY: u32 = 3;
