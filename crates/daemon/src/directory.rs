//! How nodes find one another at the start: each writes a small object of itself to the store and reads the others'.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use ractor::ActorRef;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use thiserror::Error;
use tokio::time::sleep;
use umberpond_membership::Introduction;
use umberpond_telemetry::{Event, Telemetry};

use crate::membership::MembershipMessage;

/// Shortest pause after a failed call.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A call to the directory that failed. It may have had its effect.
#[derive(Debug, Clone, Error)]
#[error("the directory of nodes can't be reached: {reason}")]
pub struct DirectoryError {
    /// Why.
    pub reason: String,
}

/// The nodes as the store lists them. Entries may be out of date.
#[async_trait]
pub trait MemberDirectory: Send + Sync + 'static {
    /// Writes this node's entry; writing it again changes nothing.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when it is not known that the entry stands.
    async fn announce(&self, introduction: &Introduction) -> Result<(), DirectoryError>;

    /// All entries.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when they can't be read.
    async fn list(&self) -> Result<Vec<Introduction>, DirectoryError>;

    /// Removes this node's entry.
    ///
    /// # Errors
    /// Returns [`DirectoryError`] when it is not known that the entry is gone.
    async fn withdraw(&self, introduction: &Introduction) -> Result<(), DirectoryError>;
}

/// Writes this node's entry, then reads the others': of two nodes that start at once, one at least sees the other.
pub(crate) async fn join(
    directory: Arc<dyn MemberDirectory>,
    own: Introduction,
    membership: ActorRef<MembershipMessage>,
    seed: u64,
    telemetry: Telemetry,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut pause = FIRST_PAUSE;
    loop {
        let joined = match directory.announce(&own).await {
            Ok(()) => directory.list().await,
            Err(error) => Err(error),
        };
        match joined {
            Ok(introductions) => {
                let count = introductions.len() as u64;
                telemetry.emit(Event::DirectoryRead { nodes: count });
                let _ = membership.send_message(MembershipMessage::Introductions(introductions));
                return;
            }
            Err(error) => {
                telemetry.emit(Event::PlatformUnavailable { operation: "join", reason: error.reason });
            }
        }
        sleep(pause.mul_f64(random.random())).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}
