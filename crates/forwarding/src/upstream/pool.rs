//! Idle connections to one back end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, timeout_at};
use umberpond_net::Network;

use super::connection::UpstreamConnection;

/// Limits of the connections to a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct UpstreamSettings {
    /// Longest time to open a connection.
    pub(crate) connect_time: Duration,
    /// Most idle connections kept.
    pub(crate) idle: usize,
}

/// Opens connections to one back end and keeps those that may serve again.
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

    /// A connection that may serve again, the one used last first.
    pub(crate) fn idle(&self) -> Option<UpstreamConnection> {
        loop {
            let mut connection = self.idle.lock().pop()?;
            if connection.is_usable() {
                return Some(connection);
            }
        }
    }

    /// Opens a connection; `None` if that fails or takes too long.
    pub(crate) async fn connect(&self, deadline: Instant) -> Option<UpstreamConnection> {
        let until = deadline.min(Instant::now() + self.settings.connect_time);
        let connecting = timeout_at(until, self.network.connect(self.address));
        connecting.await.ok()?.ok().map(UpstreamConnection::new)
    }

    /// Takes back a connection whose exchange has come to its proper end.
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

    /// Closes the idle connections that may not serve again.
    pub(crate) fn close_expired(&self) {
        self.idle.lock().retain_mut(UpstreamConnection::is_usable);
    }
}

impl std::fmt::Debug for UpstreamPool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("UpstreamPool").field("address", &self.address).finish_non_exhaustive()
    }
}
