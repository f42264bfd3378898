//! Pool of connections to one back end.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, timeout, timeout_at};
use umberpond_net::Network;

use super::connection::UpstreamConnection;

/// Limits of the connections to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UpstreamSettings {
    /// Timeout for opening a connection.
    pub(crate) connect_time: Duration,
    /// Maximum number of idle connections.
    pub(crate) idle: usize,
}

/// Result of a check whether a back end accepts connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectCheck {
    /// It accepted a connection.
    Accepted,
    /// Nothing listens at its address.
    Refused,
    /// The check timed out or failed on this side.
    Inconclusive,
}

/// Opens connections to one back end and keeps those that can be reused.
pub(crate) struct UpstreamPool {
    network: Arc<dyn Network>,
    address: SocketAddr,
    settings: UpstreamSettings,
    idle: Mutex<Vec<UpstreamConnection>>,
}

impl UpstreamPool {
    pub(crate) fn new(
        network: Arc<dyn Network>,
        address: SocketAddr,
        settings: UpstreamSettings,
    ) -> Arc<Self> {
        Arc::new(Self { network, address, settings, idle: Mutex::default() })
    }

    /// Takes a reusable idle connection, the most recently used one first.
    pub(crate) fn idle(&self) -> Option<UpstreamConnection> {
        loop {
            let mut connection = self.idle.lock().pop()?;
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Opens a connection; `None` on failure or timeout.
    pub(crate) async fn connect(&self, deadline: Instant) -> Option<UpstreamConnection> {
        let until = deadline.min(Instant::now() + self.settings.connect_time);
        let connecting = timeout_at(until, self.network.connect(self.address));
        connecting.await.ok()?.ok().map(UpstreamConnection::new)
    }

    /// Checks whether the back end accepts connections, for at most `longest`.
    pub(crate) async fn check_connect(&self, longest: Duration) -> ConnectCheck {
        match timeout(longest, self.network.connect(self.address)).await {
            Ok(Ok(stream)) => {
                self.put_back(UpstreamConnection::new(stream));
                ConnectCheck::Accepted
            }
            Ok(Err(error)) if is_refusal(&error) => ConnectCheck::Refused,
            Ok(Err(_)) | Err(_) => ConnectCheck::Inconclusive,
        }
    }

    /// Returns a connection to the pool after a complete exchange.
    pub(crate) fn put_back(&self, connection: UpstreamConnection) {
        let mut idle = self.idle.lock();
        if idle.len() < self.settings.idle {
            idle.push(connection);
        }
    }

    /// Closes every idle connection.
    pub(crate) fn clear(&self) {
        self.idle.lock().clear();
    }

    /// Closes the idle connections that can no longer be reused.
    pub(crate) fn close_expired(&self) {
        self.idle.lock().retain_mut(UpstreamConnection::is_usable);
    }
}

/// Whether the peer reports that nothing listens at the address. Other failures, such as a lack of file
/// descriptors, say nothing about the back end.
fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

impl std::fmt::Debug for UpstreamPool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("UpstreamPool").field("address", &self.address).finish_non_exhaustive()
    }
}
