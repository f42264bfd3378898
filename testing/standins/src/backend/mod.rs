//! A back end: slots, cold start, drain, load shedding, cancellation, deadlines, misleading reports, a ledger.

mod answer_stream;
mod faults;
mod handler;
mod ledger;
mod state;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use umberpond_model::{Locality, ServiceName};
use umberpond_net::Network;

pub use faults::{FaultChange, Faults};
pub use handler::{DEADLINE, IDEMPOTENCY_KEY, OUTCOME, REQUEST_ID};
pub use ledger::{Ledger, LedgerEntry};
pub use state::{Report, WorkRefused};

use crate::http_server::HttpServer;
use handler::BackendHandler;
use state::State;

/// How a back end behaves when it is healthy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendSettings {
    /// Its name, for the ledger.
    pub name: String,
    /// Identity of its process, which its answers report; `None` if they report none.
    pub instance: Option<String>,
    /// Service it belongs to.
    pub service: ServiceName,
    /// Where it runs.
    pub locality: Locality,
    /// Requests that run at the same time, at most; more are refused.
    pub slots: u64,
    /// Service time of a request that doesn't ask for one of its own.
    pub service_time: Duration,
    /// Time after the start in which it refuses all work.
    pub cold_start: Duration,
    /// Time after the cold start in which it works slower, less so as it passes.
    pub warm_up: Duration,
}

/// A running back end; dropping it closes every connection, as a killed process would.
#[derive(Debug)]
pub struct Backend {
    state: Arc<State>,
    address: SocketAddr,
    _server: HttpServer,
}

impl Backend {
    /// Starts a back end at `address`.
    ///
    /// # Errors
    /// Fails when the address can't be listened at.
    pub async fn start(
        network: &dyn Network,
        address: SocketAddr,
        settings: BackendSettings,
    ) -> io::Result<Self> {
        let listener = network.listen(address).await?;
        let address = listener.local_addr();
        let state = Arc::new(State::new(settings));
        let handler = Arc::new(BackendHandler::new(Arc::clone(&state)));
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

    /// What it truly ran until now.
    #[must_use]
    pub fn ledger(&self) -> Ledger {
        self.state.ledger()
    }

    /// What its health and load endpoints report now.
    #[must_use]
    pub fn report(&self) -> Report {
        self.state.report()
    }
}
