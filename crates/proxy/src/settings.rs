//! Limits and time limits of the request path.

use std::net::SocketAddr;
use std::time::Duration;

use umberpond_admission::{AdmissionSettings, RetryBudgetSettings};
use umberpond_balance::BalancerSettings;

/// Limits and time limits of both halves. The defaults suit the sizes of the planned deployments.
#[derive(Debug, Clone)]
pub struct ProxySettings {
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// Most header fields of a request.
    pub max_headers: usize,
    /// Longest time from the first byte of a head, or from the connection's start, to the end of that head.
    pub head_read_timeout: Duration,
    /// Longest time between two parts of a request body before its sender counts as too slow.
    pub body_read_timeout: Duration,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Most connections to one endpoint.
    pub connections_per_endpoint: usize,
    /// Most connections to the local back end.
    pub backend_connections: usize,
    /// Longest time a listener keeps a connection without any request. Longer than `idle_timeout`, so that it is
    /// the calling side that closes and no request meets a closing connection.
    pub caller_idle_timeout: Duration,
    /// Longest time an idle connection to an endpoint or to the back end is kept for reuse.
    pub idle_timeout: Duration,
    /// Most connections that one listener serves at once.
    pub max_connections: usize,
    /// Largest body, in bytes, that is kept so that the request can be sent again.
    pub replay_limit_bytes: usize,
    /// How endpoints are chosen.
    pub balancer: BalancerSettings,
    /// How many retries the traffic to one service may have.
    pub retry_budget: RetryBudgetSettings,
    /// Admission to the local back end; its slots come from the configuration in force.
    pub admission: AdmissionSettings,
    /// How long a draining listener goes on refusing politely before it closes idle connections.
    pub drain_grace: Duration,
}

impl Default for ProxySettings {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_headers: 64,
            head_read_timeout: Duration::from_secs(5),
            body_read_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            connections_per_endpoint: 32,
            backend_connections: 120,
            caller_idle_timeout: Duration::from_secs(90),
            idle_timeout: Duration::from_secs(30),
            max_connections: 4_096,
            replay_limit_bytes: 64 * 1024,
            balancer: BalancerSettings::default(),
            retry_budget: RetryBudgetSettings::default(),
            admission: AdmissionSettings::default(),
            drain_grace: Duration::from_secs(3),
        }
    }
}

/// The local back end and how it is checked.
#[derive(Debug, Clone)]
pub struct BackendSettings {
    /// Address of the back end.
    pub address: SocketAddr,
    /// Time between two health checks.
    pub check_interval: Duration,
    /// Longest time a health check may take.
    pub check_timeout: Duration,
    /// Failed checks in a row after which the back end counts as not ready.
    pub failures_to_unready: u32,
    /// Good checks in a row after which it counts as ready.
    pub successes_to_ready: u32,
}

impl BackendSettings {
    /// The usual check of a back end at `address`.
    #[must_use]
    pub const fn at(address: SocketAddr) -> Self {
        Self {
            address,
            check_interval: Duration::from_secs(1),
            check_timeout: Duration::from_millis(500),
            failures_to_unready: 3,
            successes_to_ready: 1,
        }
    }
}
