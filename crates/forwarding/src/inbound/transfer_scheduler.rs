//! Scheduling of long request bodies on this node's link.
//!
//! If many bodies share a slow link at the same time, none of them arrives in time, and small messages queue
//! behind all of them. Therefore only a few bodies are transferred at a time, the most urgent first, and a
//! request whose body would arrive too late is rejected before the transfer starts.

use std::sync::Arc;
use std::time::Duration;

use umberpond_scheduling::{Refusal, WorkItem};

use super::admission::{Admission, Permit};

/// Number of concurrent transfers. With two, one transfer uses the link while the other one waits for its
/// sender.
const MAX_TRANSFERS: u32 = 2;
/// Maximum length in bytes of a body that is not queued: it fits in one window and occupies the link only
/// briefly.
const MAX_UNQUEUED_LENGTH: u64 = MIN_WINDOW as u64;
/// Length in bytes assumed for a body of unknown length.
const ASSUMED_LENGTH: u64 = 64 * 1024;
/// Time for which one window occupies the link: longer than a round trip within a region.
const WINDOW_TIME: Duration = Duration::from_millis(15);
/// Smallest window in bytes.
const MIN_WINDOW: u32 = 16 * 1024;
/// Largest window in bytes. It bounds the memory used for one body.
const MAX_WINDOW: u32 = 64 * 1024;

/// Scheduler of the request body transfers on the link of one node.
#[derive(Debug)]
pub(super) struct TransferScheduler {
    /// Bandwidth in bytes per second; `None` if unknown, in which case no transfer waits.
    rate: Option<f64>,
    window: u32,
    queue: Arc<Admission>,
}

impl TransferScheduler {
    /// Creates the scheduler of a link with a bandwidth of `rate` bytes per second.
    pub(super) fn new(rate: Option<f64>) -> Self {
        Self { rate, window: window(rate), queue: Arc::default() }
    }

    /// Maximum number of bytes of one body that are in flight.
    pub(super) const fn window(&self) -> u32 {
        self.window
    }

    /// Starts to admit transfers.
    pub(super) fn open(&self) {
        self.queue.open(MAX_TRANSFERS);
    }

    /// Stops admitting transfers and rejects the waiting ones.
    pub(super) fn close(&self) {
        self.queue.close();
    }

    /// Waits until the body of the request `item` may be transferred. Returns `None` without waiting if the
    /// bandwidth is unknown or the body is short.
    pub(super) async fn admit_transfer(
        &self,
        item: WorkItem,
        length: Option<u64>,
    ) -> Result<Option<Permit>, Refusal> {
        let Some(rate) = self.rate else { return Ok(None) };
        if length.is_some_and(|length| length <= MAX_UNQUEUED_LENGTH) {
            return Ok(None);
        }
        self.queue.admit(transfer_item(item, transfer_time(rate, length))).await.map(Some)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn window(rate: Option<f64>) -> u32 {
    let bytes = rate.map_or(f64::from(MAX_WINDOW), |rate| rate * WINDOW_TIME.as_secs_f64());
    bytes.clamp(f64::from(MIN_WINDOW), f64::from(MAX_WINDOW)) as u32
}

/// Time that a transfer takes while the maximum number of transfers share the link.
#[allow(clippy::cast_precision_loss)]
fn transfer_time(rate: f64, length: Option<u64>) -> Duration {
    let length = length.unwrap_or(ASSUMED_LENGTH) as f64;
    Duration::try_from_secs_f64(length * f64::from(MAX_TRANSFERS) / rate).unwrap_or(Duration::MAX)
}

/// The work item of the transfer. Its objective is earlier by the service time that the back end needs once
/// the body has arrived.
fn transfer_item(item: WorkItem, transfer: Duration) -> WorkItem {
    WorkItem {
        objective_at: item.objective_at.checked_sub(item.service).unwrap_or(item.objective_at),
        max_queue_wait: item.max_queue_wait.saturating_sub(transfer),
        service: transfer,
        ..item
    }
}
