//! Connections kept for reuse, bounded for each endpoint.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;
use umberpond_net::Network;

use super::connection::Connection;

/// Longest wait for a kept connection to be usable; after it another one is taken.
const REUSE_TIME: Duration = Duration::from_millis(5);

/// Limits of a pool.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolLimits {
    /// Most connections to one endpoint.
    pub(crate) connections: usize,
    /// Longest idle time of a connection.
    pub(crate) idle: Duration,
    /// Longest time to get a connection.
    pub(crate) connect: Duration,
}

/// Connections by endpoint address.
pub(crate) struct Pool {
    network: Arc<dyn Network>,
    limits: PoolLimits,
    endpoints: RwLock<BTreeMap<SocketAddr, Arc<EndpointPool>>>,
}

/// Connections to one endpoint. Only connections whose last exchange finished whole are in `idle`, and a new one
/// is opened only when none is, so there are never more than the semaphore allows.
struct EndpointPool {
    idle: Mutex<Vec<Connection>>,
    in_use: Arc<Semaphore>,
}

/// A connection in use by one exchange. Dropped without [`Lease::give_back`] it is closed.
pub(crate) struct Lease {
    pub(crate) connection: Connection,
    endpoint: Arc<EndpointPool>,
    _permit: OwnedSemaphorePermit,
}

/// No connection could be had: nothing was written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NotConnected;

impl Pool {
    pub(crate) fn new(network: Arc<dyn Network>, limits: PoolLimits) -> Self {
        Self { network, limits, endpoints: RwLock::default() }
    }

    /// A connection to `address`: an idle one, or a new one. Waits at most until `deadline`.
    pub(crate) async fn get(&self, address: SocketAddr, deadline: Instant) -> Result<Lease, NotConnected> {
        let deadline = deadline.min(Instant::now() + self.limits.connect);
        let endpoint = self.endpoint(address);
        let getting = self.get_from(address, endpoint);
        tokio::time::timeout_at(deadline, getting).await.unwrap_or(Err(NotConnected))
    }

    async fn get_from(
        &self,
        address: SocketAddr,
        endpoint: Arc<EndpointPool>,
    ) -> Result<Lease, NotConnected> {
        let in_use = Arc::clone(&endpoint.in_use);
        let permit = in_use.acquire_owned().await.map_err(|_| NotConnected)?;
        while let Some(mut connection) = endpoint.take_idle(self.limits.idle) {
            let ready = tokio::time::timeout(REUSE_TIME, connection.sender.ready());
            if matches!(ready.await, Ok(Ok(()))) {
                return Ok(Lease { connection, endpoint, _permit: permit });
            }
        }
        let stream = self.network.connect(address).await.map_err(|_| NotConnected)?;
        let mut connection = Connection::start(stream).await.map_err(|_| NotConnected)?;
        connection.sender.ready().await.map_err(|_| NotConnected)?;
        Ok(Lease { connection, endpoint, _permit: permit })
    }

    fn endpoint(&self, address: SocketAddr) -> Arc<EndpointPool> {
        if let Some(endpoint) = self.endpoints.read().get(&address) {
            return Arc::clone(endpoint);
        }
        let mut endpoints = self.endpoints.write();
        let endpoint = endpoints.entry(address).or_insert_with(|| {
            Arc::new(EndpointPool {
                idle: Mutex::default(),
                in_use: Arc::new(Semaphore::new(self.limits.connections)),
            })
        });
        Arc::clone(endpoint)
    }

    /// Closes the idle connections to endpoints that are not in `wanted`, from this side, so that no request
    /// meets a connection that its peer is closing.
    pub(crate) fn retain(&self, wanted: &BTreeSet<SocketAddr>) {
        let mut endpoints = self.endpoints.write();
        endpoints.retain(|address, endpoint| {
            let keep = wanted.contains(address);
            if !keep {
                endpoint.idle.lock().clear();
            }
            keep
        });
    }

    /// Closes connections that were idle too long.
    pub(crate) fn close_expired(&self) {
        let now = Instant::now();
        for endpoint in self.endpoints.read().values() {
            endpoint.idle.lock().retain(|connection| !connection.is_expired(now, self.limits.idle));
        }
    }
}

impl EndpointPool {
    /// The connection used last, so that those not needed grow old and are closed.
    fn take_idle(&self, limit: Duration) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|connection| !connection.is_expired(now, limit));
        idle.pop()
    }
}

impl Connection {
    fn is_expired(&self, now: Instant, limit: Duration) -> bool {
        self.sender.is_closed() || now.saturating_duration_since(self.idle_since) >= limit
    }
}

impl Lease {
    /// Returns the connection for reuse. Only for a connection whose exchange finished whole, both bodies
    /// included.
    pub(crate) fn give_back(self) {
        let Self { mut connection, endpoint, _permit } = self;
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = Instant::now();
        endpoint.idle.lock().push(connection);
    }
}
