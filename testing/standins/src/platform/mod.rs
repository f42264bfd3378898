//! The platform: an object API with versions, watches, leases and a lagging machine list, over HTTP/1.1.

mod counters;
mod event_log;
mod faults;
mod handler;
mod leases;
mod machines;
mod objects;
mod state;
mod store;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use umberpond_net::Network;

pub use counters::{CounterReport, READER_WINDOW};
pub use event_log::{Event, TooOld};
pub use faults::{DEFAULT_WATCH_WINDOW, FaultChange, Faults};
pub use handler::{MAX_BODY_BYTES, READER_HEADER};
pub use machines::{MACHINES_KIND, Machine, MachineList};
pub use store::{ChangeRefused, Object};
pub use watch::HEARTBEAT;

use crate::http_server::HttpServer;
use state::State;

/// A running platform; dropping it closes every connection and forgets everything.
#[derive(Debug)]
pub struct Platform {
    state: Arc<State>,
    address: SocketAddr,
    _server: HttpServer,
}

impl Platform {
    /// Starts an empty platform at `address`.
    ///
    /// # Errors
    /// Fails when the address can't be listened at.
    pub async fn start(network: &dyn Network, address: SocketAddr) -> io::Result<Self> {
        let listener = network.listen(address).await?;
        let address = listener.local_addr();
        let state = Arc::new(State::new());
        let handler = Arc::new(handler::PlatformHandler::new(Arc::clone(&state)));
        Ok(Self { state, address, _server: HttpServer::start(listener, handler) })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Carries out an order to fail or to mend.
    pub fn change_faults(&self, change: &FaultChange) {
        self.state.change_faults(change);
    }

    /// The lasting faults in force.
    #[must_use]
    pub fn faults(&self) -> Faults {
        self.state.locked().faults.clone()
    }

    /// Replaces the machine list; readers see it after the lag in force.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.state.set_machines(machines);
    }

    /// The machine list as readers see it now.
    #[must_use]
    pub fn machines(&self) -> MachineList {
        let locked = self.state.locked();
        locked.machines.list(locked.store.revision())
    }

    /// Counts of requests, watches, readers and leases.
    #[must_use]
    pub fn counters(&self) -> CounterReport {
        self.state.counters()
    }

    /// Revision of the last change.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state.locked().store.revision()
    }

    /// An object as it stands, read past all faults.
    #[must_use]
    pub fn object(&self, kind: &str, name: &str) -> Option<Object> {
        self.state.locked().store.get(kind, name).cloned()
    }

    /// Names of all objects of a kind, read past all faults.
    #[must_use]
    pub fn names(&self, kind: &str) -> Vec<String> {
        let page = self.state.locked().store.list(kind, "", usize::MAX);
        page.items.into_iter().map(|item| item.name).collect()
    }

    /// Writes an object without any condition, as a person with access to the store could; tells its version.
    pub fn write_object(&self, kind: &str, name: &str, bytes: Bytes) -> u64 {
        let version = self.state.locked().store.write(kind, name, Some(bytes));
        self.state.notify_change();
        version
    }
}
