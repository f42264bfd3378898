//! The newest version as the base of the next.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use umberpond_config::{Bundle, Snapshot};
use umberpond_model::{BundleName, ContentHash, Head, Version};

use crate::chain::ChainReader;
use crate::{ChainError, Manifest, RecordObject};

/// Everything that the next version builds on.
#[derive(Debug, Clone, Default)]
pub(crate) struct Base {
    /// Hash and object of the record; absent before the first version.
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

/// The base that this process used last: the only copy of the bundles that it keeps.
#[derive(Default)]
pub(crate) struct BaseCache {
    last: Mutex<Option<Arc<Base>>>,
}

impl BaseCache {
    /// The base for `head`; reads only what the last base does not hold.
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
        let whole = chain.read_whole_with(head.record, &known).await?;
        let object = chain.read_record(head.record).await?;
        let base = Arc::new(Base {
            record: Some((head.record, object)),
            manifest: whole.manifest,
            bundles: whole.bundles,
            snapshot: whole.snapshot,
        });
        self.store(Arc::clone(&base));
        Ok(base)
    }

    pub(crate) fn store(&self, base: Arc<Base>) {
        *self.last.lock() = Some(base);
    }
}
