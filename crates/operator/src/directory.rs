//! Node directory in the umberpond store.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::{self, StreamExt};
use umberpond_daemon::{DirectoryError, Listing, MemberDirectory};
use umberpond_membership::DirectoryEntry;
use umberpond_model::{NodeName, StoreEra};
use umberpond_store::{ObjectKind, ObjectStore, PlatformError};

/// Maximum number of entries read at a start. Nodes learn of the others through membership messages.
const MAX_ENTRIES: usize = 48;
/// Maximum number of concurrent reads.
const CONCURRENT_READS: usize = 4;

/// The node directory in the umberpond store.
pub struct StoreDirectory {
    store: Arc<dyn ObjectStore>,
}

impl std::fmt::Debug for StoreDirectory {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("StoreDirectory").finish_non_exhaustive()
    }
}

impl StoreDirectory {
    /// Creates a directory that reads and writes entries in `store`.
    #[must_use]
    pub const fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    async fn replace(&self, name: &str, value: Bytes) -> Result<(), PlatformError> {
        match self.store.get(ObjectKind::Nodes, name).await? {
            Some(object) if object.value == value => Ok(()),
            Some(object) => self.store.put_if(ObjectKind::Nodes, name, object.version, value).await.map(drop),
            None => self.store.create(ObjectKind::Nodes, name, value).await.map(drop),
        }
    }
}

#[async_trait]
impl MemberDirectory for StoreDirectory {
    /// This store has one history: it reports no eras.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    async fn announce(&self, entry: &DirectoryEntry) -> Result<(), DirectoryError> {
        let value = Bytes::from(serde_json::to_vec(entry).unwrap_or_default());
        self.replace(entry.node.as_str(), value).await.map_err(directory_error)
    }

    async fn list(&self) -> Result<Listing, DirectoryError> {
        let page = self.store.list(ObjectKind::Nodes, None, MAX_ENTRIES).await.map_err(directory_error)?;
        // No node has written an entry under another name.
        let names = page.items.into_iter().map(|item| item.name).filter(|name| NodeName::new(name).is_ok());
        let read = stream::iter(names)
            .map(|name| async move { self.store.get(ObjectKind::Nodes, &name).await })
            .buffered(CONCURRENT_READS);
        let objects: Vec<_> = read.collect().await;
        let mut entries = Vec::with_capacity(objects.len());
        for object in objects {
            // Deleted and unreadable entries are skipped.
            let value = object.map_err(directory_error)?.map(|object| object.value);
            entries.extend(value.and_then(|value| serde_json::from_slice(&value).ok()));
        }
        Ok(Listing { entries, may_be_stale: false })
    }

    async fn withdraw(&self, entry: &DirectoryEntry) -> Result<(), DirectoryError> {
        let name = entry.node.as_str();
        let Some(object) = self.store.get(ObjectKind::Nodes, name).await.map_err(directory_error)? else {
            return Ok(());
        };
        match self.store.delete(ObjectKind::Nodes, name, object.version).await {
            Ok(()) | Err(PlatformError::NotFound) => Ok(()),
            Err(error) => Err(directory_error(error)),
        }
    }
}

#[allow(clippy::needless_pass_by_value, reason = "used as a function of `map_err`")]
fn directory_error(error: PlatformError) -> DirectoryError {
    DirectoryError { reason: error.to_string() }
}
