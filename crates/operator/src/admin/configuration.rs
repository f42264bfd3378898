//! Reads the newest accepted bundles from the platform, for `umberpond plan`.

use std::collections::BTreeMap;

use bytes::Bytes;
use futures_util::stream::{self, StreamExt, TryStreamExt};
use umberpond_acceptance::ChainError;
use umberpond_config::Bundle;
use umberpond_model::{BundleName, ContentHash};
use umberpond_store::ObjectKind;

use super::api::Configuration;
use super::shared::AdminShared;

/// Maximum number of bundles read concurrently.
const CONCURRENT_READS: usize = 4;

/// Reads the bundles of the newest accepted version.
///
/// # Errors
/// Returns [`ChainError`] if an object is missing, damaged or can't be read.
pub(super) async fn read(shared: &AdminShared) -> Result<Configuration, ChainError> {
    let chain = shared.acceptor.chain();
    let Some(seen) = chain.read_head().await? else { return Ok(Configuration::default()) };
    let record = chain.read_record(seen.head.record).await?;
    let manifest = chain.read_manifest(record.record.manifest).await?;
    let bundles: BTreeMap<BundleName, Bundle> = stream::iter(manifest.bundles)
        .map(|(name, hash)| async move { Ok::<_, ChainError>((name, read_bundle(shared, hash).await?)) })
        .buffered(CONCURRENT_READS)
        .try_collect()
        .await?;
    Ok(Configuration { version: seen.head.version, bundles })
}

async fn read_bundle(shared: &AdminShared, hash: ContentHash) -> Result<Bundle, ChainError> {
    let bytes = read_content(shared, hash).await?;
    Bundle::from_bytes(&bytes).map_err(|source| ChainError::Content { hash, source })
}

async fn read_content(shared: &AdminShared, hash: ContentHash) -> Result<Bytes, ChainError> {
    let object = shared.store.get(ObjectKind::Content, &hash.to_string()).await?;
    let bytes = object.ok_or(ChainError::Missing { hash })?.value;
    if ContentHash::of(&bytes) == hash { Ok(bytes) } else { Err(ChainError::Damaged { hash }) }
}
