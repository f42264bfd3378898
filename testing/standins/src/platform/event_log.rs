//! The recent changes of one kind, kept for its watchers.

use std::collections::VecDeque;

use bytes::Bytes;
use thiserror::Error;

/// One change of one object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Revision of the change.
    pub revision: u64,
    /// Name of the object.
    pub name: String,
    /// Its bytes after the change; `None` if it was deleted.
    pub value: Option<Bytes>,
}

/// A watch that asked for changes which are no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("changes up to revision {oldest} are no longer kept")]
pub struct TooOld {
    /// The oldest revision that a watch can start after.
    pub oldest: u64,
}

/// A bounded log of changes.
#[derive(Debug, Default)]
pub struct EventLog {
    events: VecDeque<Event>,
    dropped_through: u64,
}

impl EventLog {
    /// Adds a change and keeps at most `window` of them.
    pub fn push(&mut self, event: Event, window: usize) {
        self.events.push_back(event);
        self.truncate(window);
    }

    /// Drops the oldest changes until at most `window` are left.
    pub fn truncate(&mut self, window: usize) {
        while self.events.len() > window {
            if let Some(dropped) = self.events.pop_front() {
                self.dropped_through = dropped.revision;
            }
        }
    }

    /// Changes later than `revision`, oldest first.
    ///
    /// # Errors
    /// [`TooOld`] when some of them were dropped.
    pub fn after(&self, revision: u64) -> Result<Vec<Event>, TooOld> {
        if revision < self.dropped_through {
            return Err(TooOld { oldest: self.dropped_through });
        }
        let start = self.events.partition_point(|event| event.revision <= revision);
        Ok(self.events.range(start..).cloned().collect())
    }
}
