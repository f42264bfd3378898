//! Remembers which requests were admitted, so that none that must not repeat is admitted twice.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// Longest time that a request is remembered: longer than any deadline of a caller.
const WINDOW: Duration = Duration::from_secs(120);
/// Most requests remembered; beyond it the oldest are forgotten first.
const MAX_REMEMBERED: usize = 100_000;

/// Identifiers of the requests admitted lately.
#[derive(Debug, Default)]
pub struct DuplicateWindow {
    known: HashSet<Box<[u8]>>,
    order: VecDeque<(Instant, Box<[u8]>)>,
}

impl DuplicateWindow {
    /// Takes in that the request called `id` is admitted; `false` if it was admitted before.
    pub fn admit(&mut self, now: Instant, id: &[u8]) -> bool {
        self.forget_old(now);
        if self.known.contains(id) {
            return false;
        }
        let id: Box<[u8]> = id.into();
        self.known.insert(id.clone());
        self.order.push_back((now, id));
        true
    }

    /// Takes in that the request called `id` was admitted but is now known not to have run and never will.
    pub fn withdraw(&mut self, id: &[u8]) {
        self.known.remove(id);
    }

    /// Count of requests remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no request is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((admitted, _)) = self.order.front() {
            let is_old =
                now.saturating_duration_since(*admitted) > WINDOW || self.order.len() >= MAX_REMEMBERED;
            if !is_old {
                return;
            }
            if let Some((_, id)) = self.order.pop_front() {
                self.known.remove(&id);
            }
        }
    }
}
