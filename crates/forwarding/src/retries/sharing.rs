//! The number of nodes that share the extra of the retry budgets.

use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;

#[derive(Debug)]
struct Count {
    /// As told last.
    told: usize,
    /// The greatest lately.
    greatest: usize,
    /// When `greatest` was told last.
    greatest_at: Instant,
}

/// The number of nodes that share the extra of the retry budgets: the greatest within a window, since a node that is not known any more may have
/// spent its part a moment ago.
#[derive(Debug)]
pub(crate) struct SharingNodes {
    window: Duration,
    count: Mutex<Option<Count>>,
}

impl SharingNodes {
    /// Not known yet.
    pub(crate) const fn new(window: Duration) -> Self {
        Self { window, count: Mutex::new(None) }
    }

    pub(crate) fn set(&self, told: usize) {
        let now = Instant::now();
        let mut count = self.count.lock();
        match &mut *count {
            Some(count) if told < count.greatest => count.told = told,
            _ => *count = Some(Count { told, greatest: told, greatest_at: now }),
        }
    }

    /// Absent while it isn't known.
    pub(crate) fn get(&self) -> Option<usize> {
        let now = Instant::now();
        let mut count = self.count.lock();
        let count = count.as_mut()?;
        if count.told == count.greatest {
            count.greatest_at = now;
        }
        if now.saturating_duration_since(count.greatest_at) > self.window {
            count.greatest = count.told;
            count.greatest_at = now;
        }
        Some(count.greatest)
    }
}
