//! The platform as a model: head, watches, leases, machine list, outages; it counts its readers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use umberpond_model::{Millis, Timestamp, Version};
use umberpond_overlay::interface::{AcceptedVersion, Machine};

/// Leases for each zone.
pub const LEASES_PER_ZONE: usize = 2;
/// A lease that its holder can't renew for this long goes to another.
const LEASE_TIME: Millis = Millis(10_000);
/// Versions that the watch can still deliver one by one.
const WATCH_WINDOW: usize = 256;
/// Time over which distinct readers are counted.
const READER_WINDOW: Millis = Millis(10_000);

/// The process of a node: its number and generation.
pub type Process = (usize, u64);

/// The platform.
#[derive(Debug, Default)]
pub struct PlatformModel {
    /// No request is answered before this time.
    pub down_until: Timestamp,
    /// Added to each answer until `slow_until`.
    pub slow_until: Timestamp,
    /// Machine list as the platform shows it.
    pub machines: Arc<Vec<Machine>>,
    accepted: VecDeque<Arc<AcceptedVersion>>,
    watchers: BTreeSet<Process>,
    leases: BTreeMap<usize, BTreeMap<Process, Timestamp>>,
    last_request: BTreeMap<usize, Timestamp>,
    /// Requests answered or refused so far.
    pub requests: u64,
    /// Most distinct readers in any [`READER_WINDOW`], watches included.
    pub most_readers: usize,
}

impl PlatformModel {
    /// Whether requests are answered.
    #[must_use]
    pub fn is_up(&self, now: Timestamp) -> bool {
        now >= self.down_until
    }

    /// Counts a request of `process`, answered or not.
    pub fn count_request(&mut self, now: Timestamp, process: Process) {
        self.requests += 1;
        self.last_request.insert(process.0, now);
        let recent = |at: &Timestamp| now.since(*at).0 < READER_WINDOW.0;
        self.last_request.retain(|_, at| recent(at));
        let watching = self.watchers.iter().filter(|(node, _)| !self.last_request.contains_key(node)).count();
        self.most_readers = self.most_readers.max(self.last_request.len() + watching);
    }

    /// Tries for a lease of `zone`, or renews it.
    pub fn acquire_lease(&mut self, now: Timestamp, zone: usize, process: Process) -> bool {
        let holders = self.leases.entry(zone).or_default();
        holders.retain(|_, expires| *expires > now);
        let granted = holders.contains_key(&process) || holders.len() < LEASES_PER_ZONE;
        if granted {
            holders.insert(process, now + LEASE_TIME);
        }
        granted
    }

    /// Whether `process` is the holder of a lease, lapsed or not.
    #[must_use]
    pub fn holds_lease(&self, zone: usize, process: Process) -> bool {
        self.leases.get(&zone).is_some_and(|holders| holders.contains_key(&process))
    }

    /// Gives a lease back and ends the watch.
    pub fn release(&mut self, zone: usize, process: Process) {
        if let Some(holders) = self.leases.get_mut(&zone) {
            holders.remove(&process);
        }
        self.watchers.remove(&process);
    }

    /// Ends the watch of a process that is gone or cut off.
    pub fn forget_watch(&mut self, process: Process) {
        self.watchers.remove(&process);
    }

    /// Ends all watches; returns whose they were.
    pub fn end_watches(&mut self) -> BTreeSet<Process> {
        std::mem::take(&mut self.watchers)
    }

    /// Keeps an accepted version; returns the watchers it goes to.
    pub fn accept(&mut self, accepted: Arc<AcceptedVersion>) -> impl Iterator<Item = Process> {
        self.accepted.push_back(accepted);
        if self.accepted.len() > WATCH_WINDOW {
            self.accepted.pop_front();
        }
        self.watchers.iter().copied()
    }

    /// Watching processes.
    pub fn watchers(&self) -> impl Iterator<Item = Process> {
        self.watchers.iter().copied()
    }

    /// Begins a watch; returns the versions after `after`, or `None` if the window no longer holds them.
    pub fn watch(&mut self, process: Process, after: Version) -> Option<Vec<Arc<AcceptedVersion>>> {
        self.watchers.insert(process);
        let oldest = self.accepted.front().map_or(Version(1), |first| first.record.version);
        if after.next() < oldest || after == Version::GENESIS {
            return None;
        }
        Some(self.accepted.iter().filter(|accepted| accepted.record.version > after).cloned().collect())
    }

    /// Newest accepted version.
    #[must_use]
    pub fn head(&self) -> Version {
        self.accepted.back().map_or(Version::GENESIS, |accepted| accepted.record.version)
    }
}
