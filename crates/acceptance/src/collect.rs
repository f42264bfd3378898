//! Garbage collection of content objects that no retained version references.
//!
//! A new version references only objects that the head it is based on references, or that its acceptor has
//! written since it read that head (see `swap`). So if an object is older than the head that the collection
//! read and none of the retained versions references it, it can be referenced again only after it is
//! rewritten, and then the conditional delete fails. The collection depends on neither a clock nor a lease.

use std::collections::BTreeSet;

use thiserror::Error;
use umberpond_model::{ContentHash, Version};
use umberpond_store::{ListItem, ObjectKind, ObjectVersion, PlatformError};

use crate::chain::{ChainReader, HeadSeen};
use crate::objects::has_checkpoint;
use crate::{ChainError, Step};

/// Minimum number of versions to retain: a reader needs the record before the head's, and a repeated
/// submission is recognised only within the retained versions.
pub const MIN_KEPT_VERSIONS: u64 = 64;

/// Names listed per request.
const PAGE_NAMES: usize = 500;

/// Retention settings of a collection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CollectSettings {
    /// Number of newest versions whose objects are retained, at least [`MIN_KEPT_VERSIONS`].
    pub keep_versions: u64,
    /// An object is deleted only if it was written before the version that is this many versions behind the
    /// head.
    pub grace_versions: u64,
}

impl Default for CollectSettings {
    fn default() -> Self {
        Self { keep_versions: 4_096, grace_versions: 256 }
    }
}

/// Result of a collection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CollectReport {
    /// Number of content objects listed.
    pub seen: usize,
    /// Number of objects deleted.
    pub deleted: usize,
    /// Number of unreferenced objects kept because they are within the grace period.
    pub kept_recent: usize,
    /// Number of unreferenced objects that another process changed or deleted concurrently.
    pub kept_changed: usize,
}

/// Why a collection stopped early. Every object deleted until then was unreferenced.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CollectError {
    /// The settings retain too few versions.
    #[error("at least {MIN_KEPT_VERSIONS} versions must be kept, not {keep_versions}")]
    KeepsTooFew {
        /// Value of the setting.
        keep_versions: u64,
    },
    /// The chain could not be read.
    #[error("the chain could not be read")]
    Chain(#[from] ChainError),
}

impl From<PlatformError> for CollectError {
    fn from(error: PlatformError) -> Self {
        Self::Chain(error.into())
    }
}

/// Deletes old content objects that no retained version references. Safe to run at any time, also
/// concurrently.
///
/// # Errors
/// Returns [`CollectError`]; a later collection deletes the remaining objects.
pub async fn collect(chain: &ChainReader, settings: CollectSettings) -> Result<CollectReport, CollectError> {
    let keep_versions = settings.keep_versions;
    if keep_versions < MIN_KEPT_VERSIONS {
        return Err(CollectError::KeepsTooFew { keep_versions });
    }
    let mut report = CollectReport::default();
    let Some(seen) = chain.read_head().await? else {
        return Ok(report);
    };
    let Some(written_before) = grace_limit(chain, &seen, settings.grace_versions).await? else {
        return Ok(report);
    };
    let used = used_objects(chain, &seen, keep_versions).await?;
    let mut after: Option<String> = None;
    loop {
        let page = chain.store().list(ObjectKind::Content, after.as_deref(), PAGE_NAMES).await?;
        for item in &page.items {
            report.seen += 1;
            if !used.contains(&item.name) {
                delete_unused(chain, item, written_before, &mut report).await?;
            }
        }
        after = page.items.last().map(|item| item.name.clone());
        if !page.more || after.is_none() {
            return Ok(report);
        }
    }
}

/// Returns the object version from which on objects are too recent to be deleted; `None` if all are. It is
/// never later than the head that was read, so objects written for versions based on that head are always too
/// recent.
async fn grace_limit(
    chain: &ChainReader,
    seen: &HeadSeen,
    grace_versions: u64,
) -> Result<Option<ObjectVersion>, CollectError> {
    let Some(version) = seen.head.version.0.checked_sub(grace_versions).filter(|version| *version > 0) else {
        return Ok(None);
    };
    let (hash, _) = chain.read_record_at(&seen.head, Version(version)).await?;
    let object = chain.store().get(ObjectKind::Content, &hash.to_string()).await?;
    Ok(object.map(|object| object.version.min(seen.object_version)))
}

/// Returns the names of all objects that the retained versions need, back to the checkpoint at or before the
/// oldest. Each version changes at most one bundle, so the manifest of the oldest retained version and the
/// steps after it reference every bundle.
async fn used_objects(
    chain: &ChainReader,
    seen: &HeadSeen,
    keep_versions: u64,
) -> Result<BTreeSet<String>, CollectError> {
    let mut used = BTreeSet::new();
    let mut next = Some(seen.head.record);
    let mut oldest_manifest = None;
    let mut kept = 0;
    while let Some(hash) = next {
        let object = match chain.read_record(hash).await {
            // An earlier collection retained fewer versions.
            Err(ChainError::Missing { .. }) => break,
            other => other?,
        };
        used.insert(hash.to_string());
        used.insert(object.record.manifest.to_string());
        used.insert(object.record.delta.to_string());
        used.extend(object.checkpoint.map(|hash| hash.to_string()));
        if let Step::Put { content, .. } = &object.step {
            used.insert(content.to_string());
        }
        oldest_manifest = Some(object.record.manifest);
        kept += 1;
        let is_last = kept >= keep_versions && has_checkpoint(object.record.version);
        next = object.record.previous.filter(|_| !is_last);
    }
    if let Some(hash) = oldest_manifest {
        used.extend(bundles_of(chain, hash).await?);
    }
    Ok(used)
}

async fn bundles_of(chain: &ChainReader, manifest: ContentHash) -> Result<Vec<String>, CollectError> {
    let manifest = chain.content().manifest(manifest).await?;
    Ok(manifest.bundles.values().map(ToString::to_string).collect())
}

async fn delete_unused(
    chain: &ChainReader,
    item: &ListItem,
    written_before: ObjectVersion,
    report: &mut CollectReport,
) -> Result<(), CollectError> {
    if item.version >= written_before {
        report.kept_recent += 1;
        return Ok(());
    }
    match chain.store().delete(ObjectKind::Content, &item.name, item.version).await {
        Ok(()) => report.deleted += 1,
        Err(PlatformError::Conflict { .. } | PlatformError::NotFound) => report.kept_changed += 1,
        Err(error) => return Err(error.into()),
    }
    Ok(())
}
