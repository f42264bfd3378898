//! The chain of accepted versions as the source of configurations.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout_at};
use umberpond_acceptance::ChainError;
use umberpond_acceptance::chain::{ChainReader, HeadSeen, decode_head};
use umberpond_config::Snapshot;
use umberpond_daemon::configuration::{ConfigurationSource, Position, SourceError, Sourced, Waited};
use umberpond_model::{ContentHash, Head, Version};
use umberpond_store::{ObjectKind, ObjectStore, Revision, WatchError, WatchEvent, WatchStream};

/// Versions that are read step by step; for a larger gap the whole is read.
const MAX_STEPS: u64 = 64;

/// The newest version read, from which the next ones are reached step by step.
#[derive(Debug, Clone)]
struct Reached {
    version: Version,
    snapshot: Snapshot,
}

/// A watch that stays open between two waits.
struct OpenWatch {
    /// Everything up to here has been told.
    position: Position,
    events: WatchStream,
}

/// Reads the chain of accepted versions.
pub struct ChainSource {
    store: Arc<dyn ObjectStore>,
    chain: ChainReader,
    reached: Mutex<Option<Reached>>,
    watch: Mutex<Option<OpenWatch>>,
}

impl std::fmt::Debug for ChainSource {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ChainSource").finish_non_exhaustive()
    }
}

impl ChainSource {
    /// Reads the chain in `store`.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        let chain = ChainReader::new(Arc::clone(&store));
        Self { store, chain, reached: Mutex::new(None), watch: Mutex::new(None) }
    }

    async fn configuration(&self, head: &Head) -> Result<Sourced, SourceError> {
        let mut reached = self.reached.lock().await;
        let stepped = match &*reached {
            Some(before) if before.version == head.version => Some(before.snapshot.clone()),
            Some(before) if head.version.0.saturating_sub(before.version.0) <= MAX_STEPS => {
                self.step_from(before, head).await
            }
            _ => None,
        };
        let snapshot = match stepped {
            Some(snapshot) => snapshot,
            None => self.chain.read_whole(head.record).await.map_err(failed)?.snapshot,
        };
        *reached = Some(Reached { version: head.version, snapshot: snapshot.clone() });
        Ok(Sourced { version: head.version, snapshot })
    }

    /// The configuration of `head`, reached from an earlier one; absent if that fails or does not lead there.
    async fn step_from(&self, before: &Reached, head: &Head) -> Option<Snapshot> {
        if before.version > head.version {
            return None;
        }
        let steps = self.chain.read_steps_after(before.version, head).await.ok()?;
        let mut snapshot = before.snapshot.clone();
        let mut promised: Option<ContentHash> = None;
        for step in steps {
            snapshot = step.delta.apply(&snapshot);
            promised = Some(step.record.snapshot);
        }
        (promised == Some(snapshot.content_hash())).then_some(snapshot)
    }

    async fn open_watch(&self, after: Position) -> Result<OpenWatch, WatchError> {
        let events = self.store.watch(ObjectKind::Head, Revision(after.0)).await?;
        Ok(OpenWatch { position: after, events })
    }

    /// The next change of the head within `longest`; absent if there is none.
    async fn next_event(&self, after: Position, longest: Duration) -> Result<Option<WatchEvent>, WatchError> {
        let deadline = Instant::now() + longest;
        let mut watch = self.watch.lock().await;
        let mut open = match watch.take().filter(|open| open.position == after) {
            Some(open) => open,
            None => self.open_watch(after).await?,
        };
        match timeout_at(deadline, open.events.next()).await {
            Err(_elapsed) => {
                *watch = Some(open);
                Ok(None)
            }
            Ok(Some(Ok(event))) => {
                open.position = Position(event.revision.0);
                *watch = Some(open);
                Ok(Some(event))
            }
            Ok(Some(Err(error))) => Err(error),
            Ok(None) => Err(WatchError::Closed),
        }
    }
}

#[async_trait]
impl ConfigurationSource for ChainSource {
    async fn read(&self) -> Result<(Option<Sourced>, Position), SourceError> {
        let Some(HeadSeen { head, object_version }) = self.chain.read_head().await.map_err(failed)? else {
            return Ok((None, Position(0)));
        };
        let sourced = self.configuration(&head).await?;
        Ok((Some(sourced), Position(object_version.revision().0)))
    }

    async fn wait(&self, after: Position, longest: Duration) -> Result<Waited, SourceError> {
        let event = match self.next_event(after, longest).await {
            Ok(Some(event)) => event,
            Ok(None) => return Ok(Waited::Unchanged(after)),
            Err(WatchError::TooOld { .. }) => return Ok(Waited::Lost),
            Err(error) => return Err(SourceError::Unavailable { reason: error.to_string() }),
        };
        let position = Position(event.revision.0);
        let Some(value) = event.value else { return Ok(Waited::Unchanged(position)) };
        let head = decode_head(&value).map_err(failed)?;
        let sourced = self.configuration(&head).await?;
        Ok(Waited::Changed(Box::new(sourced), position))
    }

    async fn position(&self) -> Result<Position, SourceError> {
        let seen = self.chain.read_head().await.map_err(failed)?;
        Ok(Position(seen.map_or(0, |seen| seen.object_version.revision().0)))
    }
}

#[allow(clippy::needless_pass_by_value, reason = "used as a function of `map_err`")]
fn failed(error: ChainError) -> SourceError {
    let reason = error.to_string();
    match error {
        ChainError::Platform(_) | ChainError::Missing { .. } => SourceError::Unavailable { reason },
        _ => SourceError::Unreadable { reason },
    }
}
