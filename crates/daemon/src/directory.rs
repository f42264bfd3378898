//! How nodes find one another at the start: each writes a small object of itself to the store and reads the others'.
//!
//! Hundreds of nodes that start together should not press the store: the list may be read from a copy that is some seconds
//! old, as long as it holds this node's own entry, for then it holds all that were written before; and an entry that an
//! earlier process of this node has written is not written again.

#[cfg(test)]
mod tests;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use ractor::ActorRef;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;
use tokio::time::sleep;
use umberpond_membership::DirectoryEntry;
use umberpond_telemetry::{Event, Telemetry};

use crate::membership::MembershipMessage;

/// First pause after a call that failed, or that read a list too old.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// Least part of a pause that is made.
const SHORTEST_PAUSE_SHARE: f64 = 0.5;
/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A call to the directory that failed. It may have had its effect.
#[derive(Debug, Clone, Error)]
#[error("the directory of nodes can't be reached: {reason}")]
pub struct DirectoryError {
    /// Why.
    pub reason: String,
}

/// The nodes as the store lists them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Listing {
    /// Their entries, some of which may be of nodes that are gone.
    pub introductions: Vec<DirectoryEntry>,
    /// Whether entries that were written before the call may be missing.
    pub may_be_stale: bool,
}

/// Where the store keeps the entries of all nodes.
#[async_trait]
pub trait MemberDirectory: Send + Sync + 'static {
    /// Writes this node's entry; writing it again changes nothing.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when it is not known that the entry stands.
    async fn announce(&self, introduction: &DirectoryEntry) -> Result<(), DirectoryError>;

    /// All entries, from an older copy if the store has one that is cheaper to read.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when they can't be read.
    async fn list(&self) -> Result<Listing, DirectoryError>;

    /// Removes this node's entry.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when it is not known that the entry is gone.
    async fn withdraw(&self, introduction: &DirectoryEntry) -> Result<(), DirectoryError>;
}

/// What joining needs.
pub(crate) struct JoinTask {
    pub(crate) directory: Arc<dyn MemberDirectory>,
    pub(crate) own: DirectoryEntry,
    pub(crate) membership: ActorRef<MembershipMessage>,
    /// Whether no process of this node has run before.
    pub(crate) is_first_start: bool,
    pub(crate) seed: u64,
    pub(crate) telemetry: Telemetry,
}

/// Whether this node's entry stands in the store, as far as this process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OwnEntry {
    /// It may, from an earlier process.
    Unknown,
    /// It doesn't.
    Missing,
    /// This process has written it.
    Written,
}

/// Sees to it that this node's entry stands, and reads the others': of two nodes that start at once, one at least sees
/// the other.
pub(crate) async fn join(task: JoinTask) {
    let mut random = SmallRng::seed_from_u64(task.seed);
    let mut pause = FIRST_PAUSE;
    let mut entry = if task.is_first_start { OwnEntry::Missing } else { OwnEntry::Unknown };
    loop {
        match task.step(&mut entry).await {
            Ok(true) => {
                let _ = task.membership.send_message(MembershipMessage::MergeOutcome);
                return;
            }
            // The entry is missing, and is written without a pause.
            Ok(false) if entry == OwnEntry::Missing => continue,
            Ok(false) => {}
            Err(error) => {
                let operation = "join";
                task.telemetry.emit(Event::PlatformUnavailable { operation, reason: error.reason });
            }
        }
        sleep(pause.mul_f64(random.random_range(SHORTEST_PAUSE_SHARE..=1.0))).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

impl JoinTask {
    /// Writes the entry if it is missing, and reads the list; tells whether that was the last step.
    async fn step(&self, entry: &mut OwnEntry) -> Result<bool, DirectoryError> {
        if *entry == OwnEntry::Missing {
            self.counted("announce", self.directory.announce(&self.own).await)?;
            *entry = OwnEntry::Written;
        }
        let listing = self.counted("list", self.directory.list().await)?;
        let has_own = listing.introductions.contains(&self.own);
        if *entry == OwnEntry::Unknown && !has_own {
            *entry = OwnEntry::Missing;
        }
        let nodes = listing.introductions.len() as u64;
        self.telemetry.emit(Event::DirectoryRead { nodes });
        let _ = self.membership.send_message(MembershipMessage::Introductions(listing.introductions));
        Ok(*entry != OwnEntry::Missing && (has_own || !listing.may_be_stale))
    }

    /// Counts a call to the directory by what came of it.
    fn counted<T>(
        &self,
        operation: &'static str,
        result: Result<T, DirectoryError>,
    ) -> Result<T, DirectoryError> {
        let outcome = if result.is_ok() { "answered" } else { "unavailable" };
        self.telemetry.metrics().platform_request(operation, outcome);
        result
    }
}
