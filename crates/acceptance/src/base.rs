//! The newest version, as the base of the next one.

use std::collections::BTreeMap;
use std::sync::Arc;

use futures_util::stream::{self, StreamExt, TryStreamExt};
use parking_lot::Mutex;
use umberpond_config::{Bundle, Snapshot, join};
use umberpond_model::{BundleName, ContentHash, Head, Version};

use crate::chain::{CONCURRENT_READS, ChainReader};
use crate::{ChainError, Manifest, RecordObject};

/// Content of the version that the next version is based on.
#[derive(Debug, Clone, Default)]
pub(crate) struct Base {
    /// Hash and content of the record object; absent before the first version.
    pub(crate) record: Option<(ContentHash, Arc<RecordObject>)>,
    pub(crate) manifest: Manifest,
    pub(crate) bundles: BTreeMap<BundleName, Arc<Bundle>>,
    pub(crate) snapshot: Snapshot,
}

impl Base {
    pub(crate) fn version(&self) -> Version {
        self.record.as_ref().map_or(Version::GENESIS, |(_, object)| object.record.version)
    }

    fn by_hash(&self) -> BTreeMap<ContentHash, Arc<Bundle>> {
        let named = self.manifest.bundles.iter();
        named.filter_map(|(name, hash)| Some((*hash, Arc::clone(self.bundles.get(name)?)))).collect()
    }
}

/// Cache of the base that this process used last. The process keeps no other copy of the bundles.
#[derive(Default)]
pub(crate) struct BaseCache {
    last: Mutex<Option<Arc<Base>>>,
}

impl BaseCache {
    /// Returns the base for `head`. Reuses the bundles of the cached base and reads only the others.
    pub(crate) async fn load(
        &self,
        chain: &ChainReader,
        head: Option<&Head>,
    ) -> Result<Arc<Base>, ChainError> {
        let Some(head) = head else {
            return Ok(Arc::default());
        };
        let last = self.last.lock().clone();
        let is_head = |base: &Base| base.record.as_ref().is_some_and(|(hash, _)| *hash == head.record);
        if let Some(base) = last.as_ref().filter(|base| is_head(base)) {
            return Ok(Arc::clone(base));
        }
        let known = last.map(|base| base.by_hash()).unwrap_or_default();
        let base = Arc::new(read_base(chain, head.record, &known).await?);
        self.store(Arc::clone(&base));
        Ok(base)
    }

    pub(crate) fn store(&self, base: Arc<Base>) {
        *self.last.lock() = Some(base);
    }
}

/// Reads the bundles of the version with record `record`, except those in `known`, and joins them.
async fn read_base(
    chain: &ChainReader,
    record: ContentHash,
    known: &BTreeMap<ContentHash, Arc<Bundle>>,
) -> Result<Base, ChainError> {
    let object = chain.read_record(record).await?;
    let version = object.record.version;
    let manifest = chain.content().manifest(object.record.manifest).await?;
    let bundles = read_bundles(chain, &manifest, known).await?;
    let snapshot = join(&bundles).map_err(|report| ChainError::JoinFailed { version, report })?;
    if snapshot.content_hash() != object.record.snapshot {
        return Err(ChainError::SnapshotMismatch { version });
    }
    Ok(Base { record: Some((record, object)), manifest, bundles, snapshot })
}

async fn read_bundles(
    chain: &ChainReader,
    manifest: &Manifest,
    known: &BTreeMap<ContentHash, Arc<Bundle>>,
) -> Result<BTreeMap<BundleName, Arc<Bundle>>, ChainError> {
    stream::iter(manifest.bundles.clone())
        .map(|(name, hash)| async move {
            let bundle = match known.get(&hash) {
                Some(bundle) => Arc::clone(bundle),
                None => Arc::new(chain.content().bundle(hash).await?),
            };
            Ok((name, bundle))
        })
        .buffered(CONCURRENT_READS)
        .try_collect()
        .await
}
