//! Departures of back ends in the store, which outlast the processes of all nodes.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use thiserror::Error;
use tokio::time::sleep;
use umberpond_model::{BackEndProcess, NodeName};
use umberpond_telemetry::{Event, Telemetry};

/// Initial backoff after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A failed call for departures. A write may still have taken effect.
#[derive(Debug, Clone, Error)]
#[error("the departures of back ends are unavailable: {reason}")]
pub struct DepartureError {
    /// Cause of the failure.
    pub reason: String,
}

/// Stores for each node which process of the back end beside it has departed last.
#[async_trait]
pub trait DepartureStore: Send + Sync + 'static {
    /// Writes that `process` beside `node` has departed, in place of an earlier one. The call is idempotent.
    ///
    /// # Errors
    /// Returns [`DepartureError`] when the write is not confirmed.
    async fn write(&self, node: &NodeName, process: &BackEndProcess) -> Result<(), DepartureError>;

    /// The process beside `node` that has departed last, if any has. Includes every write that was confirmed before
    /// the call.
    ///
    /// # Errors
    /// Returns [`DepartureError`] when it can't be read.
    async fn read(&self, node: &NodeName) -> Result<Option<BackEndProcess>, DepartureError>;
}

/// Departures of the back end beside one node.
pub(crate) struct DepartureLog {
    pub(crate) store: Arc<dyn DepartureStore>,
    pub(crate) node: NodeName,
    pub(crate) telemetry: Telemetry,
}

impl DepartureLog {
    /// Writes the departure of `process`, until that is confirmed; `false` once `is_wanted` returns `false`.
    pub(super) async fn write(&self, process: &BackEndProcess, is_wanted: impl Fn() -> bool + Send) -> bool {
        let mut backoff = INITIAL_BACKOFF;
        while is_wanted() {
            let written = self.store.write(&self.node, process).await;
            if self.count_call("write-departure", written).is_some() {
                return true;
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        false
    }

    /// Reads the last departure, until that succeeds; `None` once `is_wanted` returns `false`.
    pub(super) async fn read(&self, is_wanted: impl Fn() -> bool + Send) -> Option<Option<BackEndProcess>> {
        let mut backoff = INITIAL_BACKOFF;
        while is_wanted() {
            let read = self.store.read(&self.node).await;
            if let Some(departed) = self.count_call("read-departure", read) {
                return Some(departed);
            }
            sleep(backoff).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
        None
    }

    /// Counts a call by its outcome and logs its failure.
    fn count_call<T>(&self, operation: &'static str, result: Result<T, DepartureError>) -> Option<T> {
        let outcome = if result.is_ok() { "answered" } else { "unavailable" };
        self.telemetry.metrics().platform_request(operation, outcome);
        result
            .map_err(|error| {
                self.telemetry.emit(Event::PlatformUnavailable { operation, reason: error.reason });
            })
            .ok()
    }
}
