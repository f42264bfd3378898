//! Node discovery at startup: each node writes an entry to the store and reads the entries of the others.
//!
//! Hundreds of nodes that start together must not overload the store. The list may therefore come from a copy
//! that is some seconds old, provided that it contains this node's own entry, since it then contains all
//! entries written before that one. An entry that an earlier process of this node has written is not written
//! again, unless a restore of the store may have lost it.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use ractor::ActorRef;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;
use tokio::sync::watch;
use tokio::time::sleep;
use umberpond_membership::DirectoryEntry;
use umberpond_model::StoreEra;
use umberpond_telemetry::{Event, Telemetry};

use crate::membership::MembershipMessage;

/// Initial backoff after a call that failed or returned a stale list.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);
/// Lower bound of the random factor on the backoff.
const MIN_BACKOFF_FACTOR: f64 = 0.5;
/// Time over which the nodes spread the calls by which they write their entries again after a restore.
const REWRITE_SPREAD: Duration = Duration::from_millis(1_500);
/// Maximum backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A failed call to the directory. A write may still have taken effect.
#[derive(Debug, Clone, Error)]
#[error("the directory of nodes is unavailable: {reason}")]
pub struct DirectoryError {
    /// Cause of the failure.
    pub reason: String,
}

/// The nodes that the store lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// The entries, some of which may belong to nodes that no longer exist.
    pub entries: Vec<DirectoryEntry>,
    /// Whether entries written before the call may be missing.
    pub may_be_stale: bool,
}

/// The directory in which the store keeps the entries of all nodes.
#[async_trait]
pub trait MemberDirectory: Send + Sync + 'static {
    /// Latest era of the store in any response that this process has received.
    fn era(&self) -> StoreEra;

    /// Writes this node's entry. The call is idempotent.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when the write is not confirmed.
    async fn announce(&self, directory_entry: &DirectoryEntry) -> Result<(), DirectoryError>;

    /// Lists all entries, from an older copy if the store has one that is cheaper to read.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when they can't be read.
    async fn list(&self) -> Result<Listing, DirectoryError>;

    /// Removes this node's entry.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when the removal is not confirmed.
    async fn withdraw(&self, directory_entry: &DirectoryEntry) -> Result<(), DirectoryError>;
}

/// Arguments of the join task.
pub(crate) struct JoinTask {
    pub(crate) directory: Arc<dyn MemberDirectory>,
    pub(crate) own: DirectoryEntry,
    pub(crate) membership: ActorRef<MembershipMessage>,
    /// Latest era of the store that any reachable node has seen.
    pub(crate) store_eras: watch::Receiver<StoreEra>,
    /// Whether this is the first process of this node.
    pub(crate) is_first_start: bool,
    pub(crate) seed: u64,
    pub(crate) telemetry: Telemetry,
}

/// Whether this node's entry exists in the store, as far as this process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnEntry {
    /// The entry of an earlier process may exist.
    Unknown,
    /// There is no entry.
    Missing,
    /// This process has written the entry.
    Written,
}

/// Joins, and writes this node's entry again after each restore of the store, until the task is aborted. A node
/// that starts later finds the others only by their entries.
pub(crate) async fn keep_entry(mut task: JoinTask) {
    let mut random = SmallRng::seed_from_u64(task.seed.wrapping_add(1));
    join(&task).await;
    let mut written_in = task.directory.era();
    while let Ok(era) = task.store_eras.wait_for(|era| *era > written_in).await.map(|era| *era) {
        written_in = era;
        sleep(REWRITE_SPREAD.mul_f64(random.random_range(0.0..=1.0))).await;
        task.write_again(&mut random).await;
        task.telemetry.emit(Event::DirectoryEntryRewritten { era: era.0 });
    }
}

/// Ensures that this node's entry exists, and reads the others. Of two nodes that start at the same time, at
/// least one sees the other.
async fn join(task: &JoinTask) {
    let mut random = SmallRng::seed_from_u64(task.seed);
    let mut backoff = INITIAL_BACKOFF;
    let mut entry = if task.is_first_start { OwnEntry::Missing } else { OwnEntry::Unknown };
    loop {
        match task.step(&mut entry).await {
            Ok(true) => {
                let _ = task.membership.send_message(MembershipMessage::Joined);
                return;
            }
            // The entry is missing and is written without a backoff.
            Ok(false) if entry == OwnEntry::Missing => continue,
            Ok(false) => {}
            Err(error) => {
                let operation = "join";
                task.telemetry.emit(Event::PlatformUnavailable { operation, reason: error.reason });
            }
        }
        sleep(backoff.mul_f64(random.random_range(MIN_BACKOFF_FACTOR..=1.0))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

impl JoinTask {
    async fn write_again(&self, random: &mut SmallRng) {
        let mut backoff = INITIAL_BACKOFF;
        while self.count_call("announce", self.directory.announce(&self.own).await).is_err() {
            sleep(backoff.mul_f64(random.random_range(MIN_BACKOFF_FACTOR..=1.0))).await;
            backoff = (backoff * 2).min(MAX_BACKOFF);
        }
    }

    /// Writes the entry if it is missing and reads the list; returns whether the join is complete.
    async fn step(&self, entry: &mut OwnEntry) -> Result<bool, DirectoryError> {
        if *entry == OwnEntry::Missing {
            self.count_call("announce", self.directory.announce(&self.own).await)?;
            *entry = OwnEntry::Written;
        }
        let listing = self.count_call("list", self.directory.list().await)?;
        let has_own = listing.entries.contains(&self.own);
        if *entry == OwnEntry::Unknown && !has_own {
            *entry = OwnEntry::Missing;
        }
        let nodes = listing.entries.len() as u64;
        self.telemetry.emit(Event::DirectoryRead { nodes });
        let _ = self.membership.send_message(MembershipMessage::DirectoryEntries(listing.entries));
        Ok(*entry != OwnEntry::Missing && (has_own || !listing.may_be_stale))
    }

    /// Counts a call to the directory by its outcome and returns the result.
    fn count_call<T>(
        &self,
        operation: &'static str,
        result: Result<T, DirectoryError>,
    ) -> Result<T, DirectoryError> {
        let outcome = if result.is_ok() { "answered" } else { "unavailable" };
        self.telemetry.metrics().platform_request(operation, outcome);
        result
    }
}
