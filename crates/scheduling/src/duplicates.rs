//! Detects duplicates of recently admitted requests, so that a request that must not be repeated is admitted
//! only once.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Retention time of an entry; longer than any caller's deadline.
const WINDOW: Duration = Duration::from_secs(120);
/// Maximum number of entries. The oldest are evicted first.
const MAX_ENTRIES: usize = 100_000;

/// Identifiers of recently admitted requests.
#[derive(Debug, Default)]
pub struct DuplicateWindow {
    admitted_ids: HashSet<Box<[u8]>>,
    order: VecDeque<(Instant, Box<[u8]>)>,
}

impl DuplicateWindow {
    /// Records the admission of request `id`. Returns `false` if it was admitted before.
    pub fn admit(&mut self, now: Instant, id: &[u8]) -> bool {
        self.evict_old_entries(now);
        if self.admitted_ids.contains(id) {
            return false;
        }
        let id: Box<[u8]> = id.into();
        self.admitted_ids.insert(id.clone());
        self.order.push_back((now, id));
        true
    }

    /// Removes request `id`, which was admitted but is known not to have run and never to run.
    pub fn withdraw(&mut self, id: &[u8]) {
        self.admitted_ids.remove(id);
    }

    /// Number of recorded requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.admitted_ids.len()
    }

    /// Whether no request is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.admitted_ids.is_empty()
    }

    fn evict_old_entries(&mut self, now: Instant) {
        while let Some((admitted, _)) = self.order.front() {
            let is_evictable =
                now.saturating_duration_since(*admitted) > WINDOW || self.order.len() >= MAX_ENTRIES;
            if !is_evictable {
                return;
            }
            if let Some((_, id)) = self.order.pop_front() {
                self.admitted_ids.remove(&id);
            }
        }
    }
}
