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
use umberpond_rollouts::RolloutSettings;
use umberpond_selection::RetryBudgetSettings;
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
    /// Service on whose behalf local callers send requests: that of the back end beside the node.
    pub service: ServiceName,
    /// Whether the whole system starts for the first time, so that no earlier process of this node left anything.
    pub is_first_start: bool,
    /// Where the node runs.
    pub locality: Locality,
    /// Regions and zones that exist.
    pub topology: Topology,
    /// Where the node listens.
    pub listen: ListenAddresses,
    /// Addresses under which other nodes reach this one, where they differ from those listened at.
    pub advertise: AdvertisedAddresses,
    /// The back end beside this node; absent where callers enter and no back end stands.
    pub back_end: Option<BackEndConfig>,
    /// Address of the store.
    pub store: SocketAddr,
    /// Key that opens the secrets of `service`; absent if it may hold none.
    pub seal_key: Option<Arc<SealKeyPair>>,
    /// Bytes a second that the node's link bears; absent if that is not known.
    pub link_rate: Option<f64>,
    /// The retry budget of each service, over all nodes together.
    pub retry_budget: RetryBudgetSettings,
    /// Bounds of rollouts; absent if the node takes part in none.
    pub rollouts: Option<RolloutSettings>,
    /// Whether operators may evacuate zones, so that those that read the store have to look for it.
    pub follows_evacuations: bool,
    /// Whether new requests leave slots of the back end to calls of runs at other back ends.
    pub keeps_slots_for_calls: bool,
    /// Whether back ends differ much in speed, so that faster ones are chosen more often while slots are free.
    pub chooses_by_speed: bool,
    /// Log output.
    pub log: LogConfig,
    /// Time from the request to stop until the process is killed.
    pub grace: Duration,
}

/// Where a node listens. Port 0 takes any free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// Requests of other nodes for the back end.
    pub inbound: SocketAddr,
    /// Requests of local callers.
    pub outbound: SocketAddr,
    /// Operators, metrics and readiness.
    pub admin: SocketAddr,
    /// Datagrams and control connections of other nodes.
    pub control: SocketAddr,
    /// Announcements of the back end beside this node; absent if it makes none.
    pub registration: Option<SocketAddr>,
}

/// Addresses told to other nodes; the ones listened at if absent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdvertisedAddresses {
    /// Of the inbound listener.
    pub inbound: Option<SocketAddr>,
    /// Of the control listener.
    pub control: Option<SocketAddr>,
}

/// The back end beside a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackEndConfig {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time between two questions whether it is well, if it does not announce itself.
    pub check_interval: Duration,
    /// Questions in a row without a good answer after which it gets no new work.
    pub failures_to_unready: u32,
}

impl BackEndConfig {
    /// A back end at `address`, with the usual times.
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

/// Time from the request to stop until the process is killed, unless the settings say otherwise.
pub const DEFAULT_GRACE: Duration = Duration::from_secs(30);

/// Time between two questions to the back end, unless the settings say otherwise.
pub const DEFAULT_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Questions in a row without a good answer that make a back end unready, unless the settings say otherwise.
pub const DEFAULT_FAILURES_TO_UNREADY: u32 = 3;
