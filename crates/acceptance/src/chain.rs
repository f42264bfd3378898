//! Reads the version chain: the head, records, steps and full configurations, and searches it for
//! submissions.

use std::sync::Arc;

use futures_util::stream::{self, StreamExt, TryStreamExt};
use umberpond_config::{Delta, Snapshot};
use umberpond_model::{ContentHash, Head, SubmissionId, Version, VersionRecord};
use umberpond_store::{ObjectKind, ObjectStore, ObjectVersion};

use crate::content::Content;
use crate::encoding::decode;
use crate::{CHECKPOINT_VERSIONS, ChainError, Manifest, RecordObject};

/// Name of the only object of kind `head`.
pub const HEAD_NAME: &str = "head";

/// Content objects that one reader fetches concurrently. The process's `PlatformGate` limits all readers
/// together.
pub(crate) const CONCURRENT_READS: usize = 4;

/// Maximum number of pages that a search for a submission reads: 64 pages of 64 versions.
pub const MAX_SEARCHED_PAGES: usize = 64;

/// The head and the version of its object, which a compare-and-swap expects.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeadSeen {
    /// The head.
    pub head: Head,
    /// Version of the head object.
    pub object_version: ObjectVersion,
}

/// One accepted version with its delta from the previous version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedStep {
    /// The record.
    pub record: VersionRecord,
    /// Delta from the previous version.
    pub delta: Delta,
}

/// One accepted version with its full configuration.
#[derive(Debug, Clone)]
pub struct WholeConfiguration {
    /// The record.
    pub record: VersionRecord,
    /// The configuration.
    pub snapshot: Snapshot,
}

/// Result of a search for a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Search {
    /// The chain contains the submission.
    Found {
        /// Hash of its record object.
        hash: ContentHash,
        /// Its record object.
        record: Arc<RecordObject>,
    },
    /// None of the versions from `from` to the head contains it.
    Absent {
        /// The oldest version that was searched.
        from: Version,
    },
}

/// Reads the chain from an object store. Clones share the record cache.
#[derive(Clone)]
pub struct ChainReader {
    store: Arc<dyn ObjectStore>,
    content: Content,
}

/// Decodes the bytes of the head object.
///
/// # Errors
/// Returns [`ChainError::Head`] for an unknown schema or damaged bytes.
pub fn decode_head(bytes: &[u8]) -> Result<Head, ChainError> {
    decode(bytes).map_err(ChainError::Head)
}

impl ChainReader {
    /// Creates a reader of the chain in `store`.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { content: Content::new(Arc::clone(&store)), store }
    }

    pub(crate) const fn content(&self) -> &Content {
        &self.content
    }

    pub(crate) fn store(&self) -> &dyn ObjectStore {
        &*self.store
    }

    /// Reads the head; `None` before the first version.
    ///
    /// # Errors
    /// Returns [`ChainError`] if the platform request fails or the head can't be decoded.
    pub async fn read_head(&self) -> Result<Option<HeadSeen>, ChainError> {
        let Some(object) = self.store.get(ObjectKind::Head, HEAD_NAME).await? else {
            return Ok(None);
        };
        let head = decode_head(&object.value)?;
        Ok(Some(HeadSeen { head, object_version: object.version }))
    }

    /// Reads a record object by its hash.
    ///
    /// # Errors
    /// Returns [`ChainError`] if it can't be read.
    pub async fn read_record(&self, hash: ContentHash) -> Result<Arc<RecordObject>, ChainError> {
        self.content.record(hash).await
    }

    /// Reads the manifest with hash `hash`: every active bundle and the hash of its content.
    ///
    /// # Errors
    /// Returns [`ChainError`] if it can't be read.
    pub async fn read_manifest(&self, hash: ContentHash) -> Result<Manifest, ChainError> {
        self.content.manifest(hash).await
    }

    /// Reads the record of `version`, searching backwards from `head` with one read per page.
    ///
    /// # Errors
    /// Returns [`ChainError::Missing`] if it has been garbage-collected and [`ChainError::Inconsistent`] if
    /// it is not reachable from `head`.
    pub async fn read_record_at(
        &self,
        head: &Head,
        version: Version,
    ) -> Result<(ContentHash, Arc<RecordObject>), ChainError> {
        let mut hash = head.record;
        loop {
            let record = self.read_record(hash).await?;
            if record.record.version == version {
                return Ok((hash, record));
            }
            let in_page = record.page.iter().find(|earlier| earlier.version == version);
            if let Some(earlier) = in_page {
                return Ok((earlier.record, self.read_record(earlier.record).await?));
            }
            hash = record.previous_page.ok_or(ChainError::Inconsistent { version })?;
        }
    }

    /// Reads the step that led to `version`.
    ///
    /// # Errors
    /// Same as [`Self::read_record_at`].
    pub async fn read_step(&self, head: &Head, version: Version) -> Result<AcceptedStep, ChainError> {
        let (_, object) = self.read_record_at(head, version).await?;
        self.step_of(&object).await
    }

    async fn step_of(&self, object: &RecordObject) -> Result<AcceptedStep, ChainError> {
        let delta = self.content.delta(object.record.delta).await?;
        Ok(AcceptedStep { record: object.record.clone(), delta })
    }

    /// Reads the steps after `held` up to `head`, oldest first.
    ///
    /// # Errors
    /// Returns [`ChainError::Missing`] if a step has been garbage-collected; the reader then needs the full
    /// configuration.
    pub async fn read_steps_after(
        &self,
        held: Version,
        head: &Head,
    ) -> Result<Vec<AcceptedStep>, ChainError> {
        let hashes = self.hashes_after(held, head).await?;
        let steps = stream::iter(hashes)
            .map(|hash| async move { self.step_of(&*self.read_record(hash).await?).await })
            .buffered(CONCURRENT_READS)
            .try_collect::<Vec<_>>()
            .await?;
        let follow = steps.iter().zip(held.0 + 1..).all(|(step, version)| step.record.version.0 == version);
        if !follow {
            return Err(ChainError::Inconsistent { version: head.version });
        }
        Ok(steps)
    }

    /// Hashes of the records after `held`, oldest first.
    async fn hashes_after(&self, held: Version, head: &Head) -> Result<Vec<ContentHash>, ChainError> {
        let mut newest_first = Vec::new();
        let mut next = (head.version > held).then_some(head.record);
        while let Some(hash) = next {
            let record = self.read_record(hash).await?;
            newest_first.push(hash);
            let wanted = record.page.iter().rev().filter(|earlier| earlier.version > held);
            newest_first.extend(wanted.map(|earlier| earlier.record));
            let oldest = record.page.first().map_or(record.record.version, |earlier| earlier.version);
            let more = oldest > held.next();
            next = if more { record.previous_page } else { None };
        }
        newest_first.reverse();
        Ok(newest_first)
    }

    /// Reads the full configuration of the version with record hash `record`: the last checkpoint at or
    /// before it, and the steps after that checkpoint.
    ///
    /// # Errors
    /// Returns [`ChainError`] if an object can't be read or the steps do not result in the accepted snapshot.
    pub async fn read_whole(&self, record: ContentHash) -> Result<WholeConfiguration, ChainError> {
        let object = self.read_record(record).await?;
        let version = object.record.version;
        let start = Version(version.0 - version.0 % CHECKPOINT_VERSIONS);
        let mut snapshot = self.read_checkpoint(&object, start).await?;
        let head = Head { version, record };
        for step in self.read_steps_after(start, &head).await? {
            snapshot = step.delta.apply(&snapshot);
        }
        if snapshot.content_hash() != object.record.snapshot {
            return Err(ChainError::SnapshotMismatch { version });
        }
        Ok(WholeConfiguration { record: object.record.clone(), snapshot })
    }

    /// Reads the snapshot of version `start`, which has a checkpoint and is on the page of `object`.
    async fn read_checkpoint(&self, object: &RecordObject, start: Version) -> Result<Snapshot, ChainError> {
        let inconsistent = ChainError::Inconsistent { version: start };
        if start == Version::GENESIS {
            return Ok(Snapshot::default());
        }
        if object.record.version == start {
            let hash = object.checkpoint.ok_or(inconsistent)?;
            return self.content.checkpoint(hash).await;
        }
        let earlier = object.page.iter().find(|earlier| earlier.version == start);
        let earlier = earlier.ok_or_else(|| inconsistent.clone())?;
        let hash = self.read_record(earlier.record).await?.checkpoint.ok_or(inconsistent)?;
        self.content.checkpoint(hash).await
    }

    /// Searches the chain backwards from `head` for a submission with one read per page. Stops after
    /// [`MAX_SEARCHED_PAGES`] pages or at the first record that has been garbage-collected.
    ///
    /// # Errors
    /// Returns [`ChainError`] if a record can't be read for a reason other than garbage collection.
    pub async fn find_submission(&self, head: &Head, submission: SubmissionId) -> Result<Search, ChainError> {
        let mut record = self.read_record(head.record).await?;
        let mut hash = head.record;
        for _ in 0..MAX_SEARCHED_PAGES {
            if record.record.submission == submission {
                return Ok(Search::Found { hash, record });
            }
            let in_page = record.page.iter().find(|earlier| earlier.submission == submission);
            if let Some(earlier) = in_page {
                let record = self.read_record(earlier.record).await?;
                return Ok(Search::Found { hash: earlier.record, record });
            }
            let from = record.page.first().map_or(record.record.version, |earlier| earlier.version);
            let Some(previous) = record.previous_page else {
                return Ok(Search::Absent { from });
            };
            hash = previous;
            record = match self.read_record(previous).await {
                Err(ChainError::Missing { .. }) => return Ok(Search::Absent { from }),
                other => other?,
            };
        }
        Ok(Search::Absent { from: record.record.version.next() })
    }
}
