//! Counts of what the platform was asked, and by how many readers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Length of the window in which distinct readers are counted.
pub const READER_WINDOW: Duration = Duration::from_secs(10);

/// The counters as shown to others.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterReport {
    /// Requests by `kind verb`, for example `head get`; watches have the verb `watch`.
    pub requests: BTreeMap<String, u64>,
    /// Watches open now.
    pub open_watches: u64,
    /// Distinct readers in the window that ends now.
    pub readers: u64,
    /// Greatest number of distinct readers ever seen in one window.
    pub greatest_readers: u64,
    /// Holder by name of each lease.
    pub lease_holders: BTreeMap<String, String>,
}

/// Running counters. A reader counts from a request until the window has passed, and as long as it watches.
#[derive(Debug, Default)]
pub struct Counters {
    requests: BTreeMap<String, u64>,
    open_watches: u64,
    sightings: VecDeque<Sighting>,
    readers: BTreeMap<String, u64>,
    greatest_readers: u64,
}

#[derive(Debug)]
struct Sighting {
    at: Instant,
    reader: String,
}

impl Counters {
    /// Counts a request of `reader`.
    pub fn on_request(&mut self, now: Instant, reader: &str, kind: &str, verb: &str) {
        *self.requests.entry(format!("{kind} {verb}")).or_default() += 1;
        self.forget_before(now);
        self.sightings.push_back(Sighting { at: now, reader: reader.to_owned() });
        self.enter(reader);
    }

    /// Counts an opened watch.
    pub fn on_watch_opened(&mut self, reader: &str) {
        self.open_watches += 1;
        self.enter(reader);
    }

    /// Counts a watch that ended.
    pub fn on_watch_closed(&mut self, reader: &str) {
        self.open_watches -= 1;
        self.leave(reader);
    }

    /// The counters at `now`.
    pub fn report(&mut self, now: Instant, lease_holders: BTreeMap<String, String>) -> CounterReport {
        self.forget_before(now);
        CounterReport {
            requests: self.requests.clone(),
            open_watches: self.open_watches,
            readers: self.readers.len() as u64,
            greatest_readers: self.greatest_readers,
            lease_holders,
        }
    }

    fn forget_before(&mut self, now: Instant) {
        while self.sightings.front().is_some_and(|sighting| now - sighting.at >= READER_WINDOW) {
            if let Some(sighting) = self.sightings.pop_front() {
                self.leave(&sighting.reader);
            }
        }
    }

    fn enter(&mut self, reader: &str) {
        *self.readers.entry(reader.to_owned()).or_default() += 1;
        self.greatest_readers = self.greatest_readers.max(self.readers.len() as u64);
    }

    fn leave(&mut self, reader: &str) {
        if let Some(count) = self.readers.get_mut(reader) {
            *count -= 1;
            if *count == 0 {
                self.readers.remove(reader);
            }
        }
    }
}
