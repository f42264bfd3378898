//! Turns of long request bodies on this node's link.
//!
//! A slow link that many bodies share serves none of them in time, and small messages wait behind all of them. So bodies
//! come a few at a time, the most urgent first, and a request whose body would come too late is refused before it moves.

use std::sync::Arc;
use std::time::Duration;

use umberpond_scheduling::{Refusal, WorkItem};

use super::admission::{Admission, Permit};

/// Bodies that come at once: while one is waited for, another one uses the link.
const BODIES_AT_ONCE: u32 = 2;
/// Length in bytes up to which a body waits for no turn: it is on the link for a moment only, and in one window.
const SHORT_LENGTH: u64 = MIN_WINDOW as u64;
/// Length in bytes that a body is taken to have if it was not told.
const ASSUMED_LENGTH: u64 = 64 * 1024;
/// Time for which one window keeps the link busy: longer than a round trip within a region.
const WINDOW_TIME: Duration = Duration::from_millis(15);
/// Smallest window in bytes.
const MIN_WINDOW: u32 = 16 * 1024;
/// Largest window in bytes, which bounds the memory of one body.
const MAX_WINDOW: u32 = 64 * 1024;

/// The link of one node, as far as request bodies use it.
#[derive(Debug)]
pub(super) struct BodyLink {
    /// Bytes a second; absent if not known, and then nothing waits for a turn.
    rate: Option<f64>,
    window: u32,
    turns: Arc<Admission>,
}

impl BodyLink {
    /// A link that bears `rate` bytes a second.
    pub(super) fn new(rate: Option<f64>) -> Self {
        Self { rate, window: window(rate), turns: Arc::default() }
    }

    /// Most bytes of one body that are on their way at once.
    pub(super) const fn window(&self) -> u32 {
        self.window
    }

    /// Gives turns from now on.
    pub(super) fn open(&self) {
        self.turns.open(BODIES_AT_ONCE);
    }

    /// Gives no turns from now on, and refuses what waits.
    pub(super) fn close(&self) {
        self.turns.close();
    }

    /// Waits for the turn of a body of `length` bytes, whose request is `item`; absent if the link is not known.
    pub(super) async fn turn(&self, item: WorkItem, length: Option<u64>) -> Result<Option<Permit>, Refusal> {
        let Some(rate) = self.rate else { return Ok(None) };
        if length.is_some_and(|length| length <= SHORT_LENGTH) {
            return Ok(None);
        }
        self.turns.admit(on_link(item, transfer_time(rate, length))).await.map(Some)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn window(rate: Option<f64>) -> u32 {
    let bytes = rate.map_or(f64::from(MAX_WINDOW), |rate| rate * WINDOW_TIME.as_secs_f64());
    bytes.clamp(f64::from(MIN_WINDOW), f64::from(MAX_WINDOW)) as u32
}

/// Time for which a body holds its turn, while others hold theirs.
#[allow(clippy::cast_precision_loss)]
fn transfer_time(rate: f64, length: Option<u64>) -> Duration {
    let length = length.unwrap_or(ASSUMED_LENGTH) as f64;
    Duration::try_from_secs_f64(length * f64::from(BODIES_AT_ONCE) / rate).unwrap_or(Duration::MAX)
}

/// The request as it waits for the link: what the back end takes has to be left when the body is there.
fn on_link(item: WorkItem, transfer: Duration) -> WorkItem {
    WorkItem {
        objective_at: item.objective_at.checked_sub(item.service).unwrap_or(item.objective_at),
        max_queue_wait: item.max_queue_wait.saturating_sub(transfer),
        service: transfer,
        ..item
    }
}
