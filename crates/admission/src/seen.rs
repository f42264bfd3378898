//! A sharded, bounded memory of identifiers, in order of arrival.

use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicUsize, Ordering};

use parking_lot::Mutex;
use umberpond_model::{Millis, Timestamp};

use crate::RequestId;

/// Number of shards, each under its own lock.
const SHARDS: usize = 16;

/// One arrival: an attempt of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Arrival {
    /// Identity of the request.
    pub(crate) request: RequestId,
    /// Number of the attempt.
    pub(crate) attempt: u32,
}

/// What is remembered of one identifier.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Seen {
    /// The arrival that came last.
    pub(crate) arrival: Arrival,
    /// Whether that arrival was refused for good, so that it did not run and never will.
    pub(crate) refused: bool,
    seen_at: Timestamp,
}

/// Remembers identifiers for a time. When a shard is full, those older than a guaranteed time go early; younger
/// ones never do, and new identifiers are turned away instead.
#[derive(Debug)]
pub(crate) struct SeenTable {
    shards: Vec<Mutex<Shard>>,
    limits: Limits,
    /// Identifiers in all shards, kept apart so that a status page takes no lock.
    remembered: AtomicUsize,
}

/// How much is remembered for how long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Longest time that an identifier is remembered.
    pub(crate) window: Millis,
    /// Shortest time that an identifier is remembered.
    pub(crate) guaranteed: Millis,
    /// Identifiers remembered at most.
    pub(crate) capacity: usize,
}

/// One shard. The map is only looked up by identifier, never iterated.
#[derive(Debug)]
struct Shard {
    by_id: HashMap<u128, Seen>,
    by_age: VecDeque<(Timestamp, u128)>,
    complete_since: Timestamp,
}

/// Answer to [`SeenTable::claim`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Claim {
    /// The arrival is the first that may run, and is now remembered.
    First,
    /// An earlier arrival ran, may run, or is the very same.
    Repeated,
    /// An earlier arrival may have been forgotten.
    Forgotten,
    /// The arrival can't be remembered, so it must not run.
    Full,
}

impl SeenTable {
    /// An empty memory that is complete since `started`.
    pub(crate) fn new(started: Timestamp, limits: Limits) -> Self {
        let shard = || Shard { by_id: HashMap::new(), by_age: VecDeque::new(), complete_since: started };
        let shards = (0..SHARDS).map(|_| Mutex::new(shard())).collect();
        let capacity = limits.capacity.div_ceil(SHARDS).max(1);
        Self { shards, limits: Limits { capacity, ..limits }, remembered: AtomicUsize::new(0) }
    }

    /// Remembers `arrival` under `id` if it may run. `first_sent` is absent if it lies before this process's clock
    /// began. `may_follow` decides by what is remembered of the identifier.
    pub(crate) fn claim(
        &self,
        now: Timestamp,
        id: u128,
        arrival: Arrival,
        first_sent: Option<Timestamp>,
        may_follow: impl FnOnce(Seen) -> bool,
    ) -> Claim {
        let mut shard = self.shard(id).lock();
        let forgotten = shard.forget(now, &self.limits);
        self.remembered.fetch_sub(forgotten, Ordering::Relaxed);
        match shard.by_id.get(&id) {
            Some(seen) if !may_follow(*seen) => return Claim::Repeated,
            Some(_) => {}
            None if first_sent.is_none_or(|sent| sent < shard.complete_since) => return Claim::Forgotten,
            None => {}
        }
        if shard.by_age.len() >= self.limits.capacity {
            return Claim::Full;
        }
        if shard.by_id.insert(id, Seen { arrival, refused: false, seen_at: now }).is_none() {
            self.remembered.fetch_add(1, Ordering::Relaxed);
        }
        shard.by_age.push_back((now, id));
        Claim::First
    }

    /// Notes that `arrival` was refused for good.
    pub(crate) fn mark_refused(&self, id: u128, arrival: Arrival) {
        if let Some(seen) = self.shard(id).lock().by_id.get_mut(&id)
            && seen.arrival == arrival
        {
            seen.refused = true;
        }
    }

    /// Identifiers remembered now.
    pub(crate) fn len(&self) -> usize {
        self.remembered.load(Ordering::Relaxed)
    }

    /// Identifiers come from a random generator or a hash, so their low bits spread evenly.
    #[allow(clippy::cast_possible_truncation)]
    fn shard(&self, id: u128) -> &Mutex<Shard> {
        &self.shards[(id as usize) % SHARDS]
    }
}

impl Shard {
    /// Drops what is older than the window, and, if there is no room, what is older than the guaranteed time. Returns
    /// how many identifiers went.
    fn forget(&mut self, now: Timestamp, limits: &Limits) -> usize {
        let before = self.by_id.len();
        while let Some((seen_at, id)) = self.by_age.front().copied() {
            let is_full = self.by_age.len() >= limits.capacity;
            let kept_for = if is_full { limits.guaranteed } else { limits.window };
            if now.since(seen_at) < kept_for {
                break;
            }
            self.by_age.pop_front();
            if self.by_id.get(&id).is_some_and(|seen| seen.seen_at == seen_at) {
                self.by_id.remove(&id);
            }
            self.complete_since = self.complete_since.max(seen_at + Millis(1));
        }
        before - self.by_id.len()
    }
}
