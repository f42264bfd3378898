//! Idle connections to one back end.

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
    /// Longest time to open a connection.
    pub(crate) connect_time: Duration,
    /// Most idle connections kept.
    pub(crate) idle: usize,
}

/// Opens connections to one back end and keeps those that may serve again.
/// Whether a back end takes connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Contact {
    /// It has taken one.
    Taken,
    /// Nothing listens at its address.
    Refused,
    /// No answer in time, or the connection failed on this side.
    Unclear,
}

/// Idle connections to one back end.
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

    /// Finds out within `longest` whether the back end takes connections.
    pub(crate) async fn contact(&self, longest: Duration) -> Contact {
        match timeout(longest, self.network.connect(self.address)).await {
            Ok(Ok(stream)) => {
                self.put_back(UpstreamConnection::new(stream));
                Contact::Taken
            }
            Ok(Err(error)) if is_refusal(&error) => Contact::Refused,
            Ok(Err(_)) | Err(_) => Contact::Unclear,
        }
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

/// Whether the other machine has said that nothing listens there. Other failures, such as a want of descriptors, say nothing of the back end.
fn is_refusal(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset)
}

impl std::fmt::Debug for UpstreamPool {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("UpstreamPool").field("address", &self.address).finish_non_exhaustive()
    }
}
