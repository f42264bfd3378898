//! Tracks the number of nodes that share the extra of the retry budgets.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

#[derive(Debug)]
struct Count {
    /// Latest value.
    latest: usize,
    /// Maximum within the window.
    maximum: usize,
    /// When the latest value was last equal to `maximum`.
    maximum_at: Instant,
}

/// Number of nodes that share the extra of the retry budgets: the maximum within a window, since a node that
/// is no longer known may have spent its part shortly before.
#[derive(Debug)]
pub(crate) struct SharingNodes {
    window: Duration,
    count: Mutex<Option<Count>>,
}

impl SharingNodes {
    /// Creates a tracker whose number is not known yet.
    pub(crate) const fn new(window: Duration) -> Self {
        Self { window, count: Mutex::new(None) }
    }

    pub(crate) fn set(&self, latest: usize) {
        let now = Instant::now();
        let mut count = self.count.lock();
        match &mut *count {
            Some(count) if latest < count.maximum => count.latest = latest,
            _ => *count = Some(Count { latest, maximum: latest, maximum_at: now }),
        }
    }

    /// The maximum within the window; `None` while no number is known.
    pub(crate) fn get(&self) -> Option<usize> {
        let now = Instant::now();
        let mut count = self.count.lock();
        let count = count.as_mut()?;
        if count.latest == count.maximum {
            count.maximum_at = now;
        }
        if now.saturating_duration_since(count.maximum_at) > self.window {
            count.maximum = count.latest;
            count.maximum_at = now;
        }
        Some(count.maximum)
    }
}
