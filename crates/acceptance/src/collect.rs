//! Deletion of content objects that no kept version needs.
//!
//! An acceptor names in a new version only objects that the head it builds on names, or that it has written
//! since it read that head (see `swap`). So an object that is missing from the versions kept at one reading of
//! the head, and older than that head, can't come into use unless it is first rewritten, and then the condition
//! of the delete fails. No clock and no lease is involved.

use std::collections::BTreeSet;

use thiserror::Error;
use umberpond_model::{ContentHash, Version};
use umberpond_store::{ListItem, ObjectKind, ObjectVersion, PlatformError};

use crate::chain::{ChainReader, HeadSeen};
use crate::objects::has_checkpoint;
use crate::{ChainError, Step};

/// Fewest versions that can be kept: a reader needs the record before the head's, and a resubmission is
/// recognised only inside the kept versions.
pub const MIN_KEPT_VERSIONS: u64 = 64;

/// Names read per request.
const PAGE_NAMES: usize = 500;

/// What a collection keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CollectSettings {
    /// Newest versions whose objects are kept, at least [`MIN_KEPT_VERSIONS`].
    pub keep_versions: u64,
    /// An object is deleted only if it was written before the version this many versions before the head.
    pub grace_versions: u64,
}

impl Default for CollectSettings {
    fn default() -> Self {
        Self { keep_versions: 4_096, grace_versions: 256 }
    }
}

/// What a collection did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CollectReport {
    /// Content objects seen.
    pub seen: usize,
    /// Objects deleted.
    pub deleted: usize,
    /// Unused objects left because they are younger than the grace.
    pub left_young: usize,
    /// Unused objects that were changed or deleted by another meanwhile.
    pub left_changed: usize,
}

/// A collection that stopped. What it deleted until then was not needed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CollectError {
    /// The settings keep too few versions.
    #[error("at least {MIN_KEPT_VERSIONS} versions must be kept, not {keep_versions}")]
    KeepsTooFew {
        /// The setting.
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

/// Deletes old content objects that none of the kept versions names. Safe at any time, also several at once.
///
/// # Errors
/// Returns [`CollectError`]; a later collection goes on where this one stopped.
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

/// Objects at or after this version are too young to be deleted; `None` if all are. Never later than the head
/// that was read: whatever is written on top of that head is then surely too young.
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

/// Names of all objects that the kept versions need, back to the checkpoint at or before the oldest. Each version changes one bundle at most, so the manifest
/// of the oldest kept version and the steps after it name every bundle.
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
            // An earlier collection kept fewer versions.
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
        report.left_young += 1;
        return Ok(());
    }
    match chain.store().delete(ObjectKind::Content, &item.name, item.version).await {
        Ok(()) => report.deleted += 1,
        Err(PlatformError::Conflict { .. } | PlatformError::NotFound) => report.left_changed += 1,
        Err(error) => return Err(error.into()),
    }
    Ok(())
}
