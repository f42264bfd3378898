//! Reads immutable objects, with a bounded cache of records.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use bytes::Bytes;
use parking_lot::Mutex;
use umberpond_config::{Bundle, DecodeError, Delta, Snapshot};
use umberpond_model::ContentHash;
use umberpond_store::{ObjectKind, ObjectStore};

use crate::encoding::decode;
use crate::{ChainError, Manifest, RecordObject};

/// Number of cached records. Searches repeatedly read one record per page; each takes at most a few
/// kilobytes.
const CACHED_RECORDS: usize = 256;

/// Reads content objects and verifies that each matches the hash in its name.
#[derive(Clone)]
pub(crate) struct Content {
    store: Arc<dyn ObjectStore>,
    records: Arc<Mutex<RecordCache>>,
}

#[derive(Default)]
struct RecordCache {
    by_hash: BTreeMap<ContentHash, Arc<RecordObject>>,
    oldest_first: VecDeque<ContentHash>,
}

impl RecordCache {
    fn insert(&mut self, hash: ContentHash, record: Arc<RecordObject>) {
        if self.by_hash.insert(hash, record).is_some() {
            return;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > CACHED_RECORDS {
            let evicted = self.oldest_first.pop_front();
            evicted.map(|hash| self.by_hash.remove(&hash));
        }
    }
}

impl Content {
    pub(crate) fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store, records: Arc::default() }
    }

    pub(crate) async fn record(&self, hash: ContentHash) -> Result<Arc<RecordObject>, ChainError> {
        let cached = self.records.lock().by_hash.get(&hash).cloned();
        if let Some(record) = cached {
            return Ok(record);
        }
        let record = Arc::new(self.decoded(hash, decode::<RecordObject>).await?);
        self.records.lock().insert(hash, Arc::clone(&record));
        Ok(record)
    }

    /// Adds a record that this process has just written to the cache.
    pub(crate) fn cache_record(&self, hash: ContentHash, record: Arc<RecordObject>) {
        self.records.lock().insert(hash, record);
    }

    pub(crate) async fn manifest(&self, hash: ContentHash) -> Result<Manifest, ChainError> {
        self.decoded(hash, decode::<Manifest>).await
    }

    pub(crate) async fn bundle(&self, hash: ContentHash) -> Result<Bundle, ChainError> {
        self.decoded(hash, Bundle::from_bytes).await
    }

    pub(crate) async fn delta(&self, hash: ContentHash) -> Result<Delta, ChainError> {
        self.decoded(hash, Delta::from_bytes).await
    }

    pub(crate) async fn checkpoint(&self, hash: ContentHash) -> Result<Snapshot, ChainError> {
        self.decoded(hash, Snapshot::from_bytes).await
    }

    async fn decoded<T>(
        &self,
        hash: ContentHash,
        decode: impl FnOnce(&[u8]) -> Result<T, DecodeError> + Send,
    ) -> Result<T, ChainError> {
        let bytes = self.bytes(hash).await?;
        decode(&bytes).map_err(|source| ChainError::Content { hash, source })
    }

    async fn bytes(&self, hash: ContentHash) -> Result<Bytes, ChainError> {
        let object = self.store.get(ObjectKind::Content, &hash.to_string()).await?;
        let bytes = object.ok_or(ChainError::Missing { hash })?.value;
        if ContentHash::of(&bytes) != hash {
            return Err(ChainError::Damaged { hash });
        }
        Ok(bytes)
    }
}
