//! Configuration source that reads the chain of accepted versions.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use futures_util::StreamExt;
use tokio::sync::Mutex;
use tokio::time::{Instant, timeout_at};
use umberpond_acceptance::ChainError;
use umberpond_acceptance::chain::{ChainReader, HeadSeen, decode_head};
use umberpond_config::Snapshot;
use umberpond_daemon::configuration::{ConfigurationSource, SourceError, Sourced, Waited};
use umberpond_model::{ContentHash, Head, StoreEra, StoreRevision, Version};
use umberpond_store::{ObjectKind, ObjectStore, Revision, WatchError, WatchEvent, WatchStream};

/// Maximum number of versions read as deltas; for a larger gap the whole snapshot is read.
const MAX_STEPS: u64 = 64;

/// The newest version read, to which the deltas of later versions are applied.
#[derive(Debug, Clone)]
struct LastRead {
    version: Version,
    snapshot: Snapshot,
}

/// A watch that is kept open between two calls of `wait`.
struct OpenWatch {
    /// Position of the last event that was returned.
    position: StoreRevision,
    events: WatchStream,
}

/// Configuration source that reads the chain of accepted versions.
pub struct ChainSource {
    store: Arc<dyn ObjectStore>,
    chain: ChainReader,
    last_read: Mutex<Option<LastRead>>,
    watch: Mutex<Option<OpenWatch>>,
}

impl std::fmt::Debug for ChainSource {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("ChainSource").finish_non_exhaustive()
    }
}

impl ChainSource {
    /// Creates a source that reads the chain in `store`.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        let chain = ChainReader::new(Arc::clone(&store));
        Self { store, chain, last_read: Mutex::new(None), watch: Mutex::new(None) }
    }

    async fn configuration(&self, head: &Head) -> Result<Sourced, SourceError> {
        let mut last_read = self.last_read.lock().await;
        let from_deltas = match &*last_read {
            Some(base) if base.version == head.version => Some(base.snapshot.clone()),
            Some(base) if head.version.0.saturating_sub(base.version.0) <= MAX_STEPS => {
                self.apply_steps(base, head).await
            }
            _ => None,
        };
        let snapshot = match from_deltas {
            Some(snapshot) => snapshot,
            None => self.chain.read_whole(head.record).await.map_err(source_error)?.snapshot,
        };
        *last_read = Some(LastRead { version: head.version, snapshot: snapshot.clone() });
        Ok(Sourced { version: head.version, snapshot })
    }

    /// Applies the deltas between `base` and `head`. Returns `None` if they can't be read or the result does
    /// not have the content hash that the record of `head` states.
    async fn apply_steps(&self, base: &LastRead, head: &Head) -> Option<Snapshot> {
        if base.version > head.version {
            return None;
        }
        let steps = self.chain.read_steps_after(base.version, head).await.ok()?;
        let mut snapshot = base.snapshot.clone();
        let mut expected_hash: Option<ContentHash> = None;
        for step in steps {
            snapshot = step.delta.apply(&snapshot);
            expected_hash = Some(step.record.snapshot);
        }
        (expected_hash == Some(snapshot.content_hash())).then_some(snapshot)
    }

    async fn open_watch(&self, after: StoreRevision) -> Result<OpenWatch, WatchError> {
        let events = self.store.watch(ObjectKind::Head, Revision(after.number)).await?;
        Ok(OpenWatch { position: after, events })
    }

    /// Waits up to `max_wait` for the next change of the head; `None` if there is none.
    async fn next_event(
        &self,
        after: StoreRevision,
        max_wait: Duration,
    ) -> Result<Option<WatchEvent>, WatchError> {
        let deadline = Instant::now() + max_wait;
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
                open.position = store_revision(event.revision);
                *watch = Some(open);
                Ok(Some(event))
            }
            Ok(Some(Err(error))) => Err(error),
            Ok(None) => Err(WatchError::Closed),
        }
    }
}

/// This store has one history: it reports no eras.
const fn store_revision(revision: Revision) -> StoreRevision {
    StoreRevision::new(StoreEra(0), revision.0)
}

#[async_trait]
impl ConfigurationSource for ChainSource {
    async fn read(&self) -> Result<(Option<Sourced>, StoreRevision), SourceError> {
        let Some(HeadSeen { head, object_version }) = self.chain.read_head().await.map_err(source_error)?
        else {
            return Ok((None, StoreRevision::default()));
        };
        let sourced = self.configuration(&head).await?;
        Ok((Some(sourced), store_revision(object_version.revision())))
    }

    async fn wait(&self, after: StoreRevision, max_wait: Duration) -> Result<Waited, SourceError> {
        let event = match self.next_event(after, max_wait).await {
            Ok(Some(event)) => event,
            Ok(None) => return Ok(Waited::Unchanged(after)),
            Err(WatchError::TooOld { .. }) => return Ok(Waited::Lost),
            Err(error) => return Err(SourceError::Unavailable { reason: error.to_string() }),
        };
        let position = store_revision(event.revision);
        let Some(value) = event.value else { return Ok(Waited::Unchanged(position)) };
        let head = decode_head(&value).map_err(source_error)?;
        let sourced = self.configuration(&head).await?;
        Ok(Waited::Changed(Box::new(sourced), position))
    }

    async fn position(&self) -> Result<StoreRevision, SourceError> {
        let seen = self.chain.read_head().await.map_err(source_error)?;
        Ok(seen.map_or_else(StoreRevision::default, |seen| store_revision(seen.object_version.revision())))
    }
}

#[allow(clippy::needless_pass_by_value, reason = "used as a function of `map_err`")]
fn source_error(error: ChainError) -> SourceError {
    let reason = error.to_string();
    match error {
        ChainError::Platform(_) | ChainError::Missing { .. } => SourceError::Unavailable { reason },
        _ => SourceError::Unreadable { reason },
    }
}
