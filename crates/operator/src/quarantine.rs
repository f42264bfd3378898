//! Quarantined requests in the umberpond store.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use async_trait::async_trait;
use bitcode::{Decode, Encode};
use bytes::Bytes;
use umberpond_daemon::configuration::SourceError;
use umberpond_daemon::quarantine::{QuarantineFreshness, QuarantineStore, StoredQuarantine, StoredTrials};
use umberpond_daemon::rollouts::WriteError;
use umberpond_daemon::wall_clock::{elapsed_since, unix_millis};
use umberpond_model::{StoreEra, StoreRevision};
use umberpond_quarantine::{ClaimedTrials, CrashId, Finding, RequestFingerprint, SuspectRecord};
use umberpond_store::{Object, ObjectKind, ObjectStore, ObjectVersion, PlatformError};

/// Maximum number of entries in one page of a list.
const PAGE_ENTRIES: usize = 100;

/// The entry of a quarantined request. Times are in Unix milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct QuarantineEntry {
    /// Crashes that the request is blamed for.
    crashes: Vec<CrashId>,
    /// Time of the last crash.
    blamed_at: u64,
    /// Number of claimed trial runs.
    trials: u32,
    /// Time of the last claim; 0 if there is none.
    claimed_at: u64,
}

impl QuarantineEntry {
    fn of(record: &SuspectRecord) -> Self {
        let blamed = record.findings.iter().filter(|(_, finding)| *finding == Finding::Blamed);
        let age = Duration::from_millis(u64::from(record.age_millis));
        Self {
            crashes: blamed.map(|(crash, _)| *crash).collect(),
            blamed_at: unix_millis(SystemTime::now() - age),
            trials: 0,
            claimed_at: 0,
        }
    }

    fn encode(&self) -> Bytes {
        Bytes::from(bitcode::encode(self))
    }

    fn decode(value: &[u8]) -> Result<Self, SourceError> {
        bitcode::decode(value).map_err(|error| SourceError::Unreadable { reason: error.to_string() })
    }

    fn into_stored(self, fingerprint: RequestFingerprint) -> StoredQuarantine {
        let findings = self.crashes.into_iter().map(|crash| (crash, Finding::Blamed)).collect();
        StoredQuarantine {
            record: SuspectRecord { fingerprint, findings, age_millis: 0 },
            age: elapsed_since(self.blamed_at),
        }
    }

    fn claimed(&self) -> Option<ClaimedTrials> {
        (self.trials > 0)
            .then(|| ClaimedTrials { count: self.trials, since_last: elapsed_since(self.claimed_at) })
    }
}

/// Reads and writes quarantined requests in the umberpond store.
pub struct StoreQuarantine {
    store: Arc<dyn ObjectStore>,
}

impl std::fmt::Debug for StoreQuarantine {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("StoreQuarantine").finish_non_exhaustive()
    }
}

impl StoreQuarantine {
    /// Reads and writes entries in `store`.
    #[must_use]
    pub const fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    async fn get(&self, fingerprint: &RequestFingerprint) -> Result<Option<Object>, PlatformError> {
        self.store.get(ObjectKind::Quarantine, &fingerprint.to_string()).await
    }

    /// Names of all entries.
    async fn names(&self) -> Result<Vec<String>, PlatformError> {
        let mut names: Vec<String> = Vec::new();
        loop {
            let after = names.last().map(String::as_str);
            let page = self.store.list(ObjectKind::Quarantine, after, PAGE_ENTRIES).await?;
            let is_last = page.items.len() < PAGE_ENTRIES;
            names.extend(page.items.into_iter().map(|item| item.name));
            if is_last {
                return Ok(names);
            }
        }
    }
}

#[async_trait]
impl QuarantineStore for StoreQuarantine {
    /// This store has one history: it reports no eras.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    async fn list(&self, _freshness: QuarantineFreshness) -> Result<Vec<StoredQuarantine>, SourceError> {
        let mut stored = Vec::new();
        for name in self.names().await.map_err(unavailable)? {
            // Other names, and entries that were removed or can't be decoded, are skipped.
            let Ok(fingerprint) = name.parse::<RequestFingerprint>() else { continue };
            let Some(object) = self.get(&fingerprint).await.map_err(unavailable)? else { continue };
            let Ok(entry) = QuarantineEntry::decode(&object.value) else { continue };
            stored.push(entry.into_stored(fingerprint));
        }
        Ok(stored)
    }

    async fn add(&self, record: &SuspectRecord) -> Result<(), WriteError> {
        let name = record.fingerprint.to_string();
        match self.store.create(ObjectKind::Quarantine, &name, QuarantineEntry::of(record).encode()).await {
            // A conflict means that another node has written the entry.
            Ok(_) | Err(PlatformError::Conflict { .. }) => Ok(()),
            Err(error) => Err(write_error(&error)),
        }
    }

    async fn trials(&self, fingerprint: &RequestFingerprint) -> Result<Option<StoredTrials>, SourceError> {
        let Some(object) = self.get(fingerprint).await.map_err(unavailable)? else { return Ok(None) };
        let claimed = QuarantineEntry::decode(&object.value)?.claimed();
        Ok(Some(StoredTrials { claimed, revision: store_revision(object.version) }))
    }

    async fn claim_trial(
        &self,
        fingerprint: &RequestFingerprint,
        count: u32,
        revision: StoreRevision,
    ) -> Result<(), WriteError> {
        let object = self.get(fingerprint).await.map_err(|error| write_error(&error))?;
        let object = object.filter(|object| store_revision(object.version) == revision);
        let Some(object) = object else { return Err(WriteError::Conflict) };
        let entry = QuarantineEntry::decode(&object.value)
            .map_err(|error| WriteError::Unavailable { reason: error.to_string() })?;
        let claimed = QuarantineEntry { trials: count, claimed_at: unix_millis(SystemTime::now()), ..entry };
        let name = fingerprint.to_string();
        let written =
            self.store.put_if(ObjectKind::Quarantine, &name, object.version, claimed.encode()).await;
        written.map(drop).map_err(|error| write_error(&error))
    }

    async fn remove(&self, fingerprint: &RequestFingerprint) -> Result<(), WriteError> {
        let object = self.get(fingerprint).await.map_err(|error| write_error(&error))?;
        let Some(object) = object else { return Ok(()) };
        match self.store.delete(ObjectKind::Quarantine, &fingerprint.to_string(), object.version).await {
            Ok(()) | Err(PlatformError::NotFound) => Ok(()),
            Err(error) => Err(write_error(&error)),
        }
    }
}

#[allow(clippy::needless_pass_by_value, reason = "used as a function of `map_err`")]
fn unavailable(error: PlatformError) -> SourceError {
    SourceError::Unavailable { reason: error.to_string() }
}

fn write_error(error: &PlatformError) -> WriteError {
    match error {
        PlatformError::Conflict { .. } | PlatformError::NotFound => WriteError::Conflict,
        other => WriteError::Unavailable { reason: other.to_string() },
    }
}

const fn store_revision(version: ObjectVersion) -> StoreRevision {
    StoreRevision::new(StoreEra(0), version.revision().0)
}
