//! The tasks that send findings of this node to other nodes and keep quarantined requests in the store.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::{Instant, sleep};
use umberpond_distribution::ReaderSettings;
use umberpond_forwarding::{FindingSource, Quarantine};
use umberpond_model::StoreEra;
use umberpond_quarantine::{RequestFingerprint, SuspectRecord};
use umberpond_telemetry::{Event, Telemetry};

use super::store::{QuarantineFreshness, QuarantineStore, StoredQuarantine};
use crate::configuration::is_store_reader;
use crate::membership::MembershipMessage;

/// Interval between two checks for entries to read or write. If all processes end at the same time, only the
/// store preserves the findings; a request that crashes back ends and was not written by then may crash three
/// more.
const INTERVAL: Duration = Duration::from_millis(500);
/// Interval between two reads of the store by a store reader, if the store has any entries. An operator lifts
/// a quarantine by removing its entry.
const LIFT_INTERVAL: Duration = Duration::from_secs(10);
/// Age at which entries of the store are ignored and removed.
const LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Sends findings of this node to other nodes until the membership ends.
pub(crate) async fn broadcast_findings(quarantine: Arc<Quarantine>, membership: ActorRef<MembershipMessage>) {
    loop {
        let records = quarantine.take_updates().await;
        if membership.send_message(MembershipMessage::BroadcastSuspects(records)).is_err() {
            return;
        }
    }
}

/// Arguments of the task that synchronizes the quarantine with the store.
pub(crate) struct QuarantineTask {
    pub(crate) store: Arc<dyn QuarantineStore>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) telemetry: Telemetry,
}

/// Synchronizes the quarantine with the store until the task is aborted. Each node reads the stored entries
/// once at its start, with the cheaper freshness. A node that becomes a store reader reads them once more
/// with the latest state, so that no recent entry is missed, and writes the missing ones. So does a store reader
/// after a restore of the store, which may have lost entries.
pub(crate) async fn sync_quarantine(task: QuarantineTask) {
    let era = task.store.era();
    let mut sync = QuarantineSync { task, has_read: false, stored: None, era, read_at: Instant::now() };
    loop {
        sync.step().await;
        sleep(INTERVAL).await;
    }
}

struct QuarantineSync {
    task: QuarantineTask,
    /// Whether the store was read since the start, even if the result was stale.
    has_read: bool,
    /// Entries that the store is known to have; absent unless this node is a store reader.
    stored: Option<BTreeSet<RequestFingerprint>>,
    /// Era of the store when it had them.
    era: StoreEra,
    /// When the entries were last read.
    read_at: Instant,
}

impl QuarantineSync {
    async fn step(&mut self) {
        if !self.has_read {
            self.has_read = self.read(QuarantineFreshness::MayBeStale).await.is_some();
        }
        if !is_store_reader(&self.task.membership, &ReaderSettings::default()).await {
            self.stored = None;
            return;
        }
        if self.stored.is_none() || self.is_restored() {
            self.read_again().await;
        }
        self.lift_removed().await;
        self.write().await;
    }

    /// Whether the store was restored since its entries were read.
    fn is_restored(&self) -> bool {
        self.task.store.era() != self.era
    }

    async fn read_again(&mut self) {
        self.stored = self.read(QuarantineFreshness::Latest).await;
        self.era = self.task.store.era();
        self.read_at = Instant::now();
    }

    /// Lifts the quarantine of requests whose entries were removed from the store.
    async fn lift_removed(&mut self) {
        let is_due = self.read_at.elapsed() >= LIFT_INTERVAL;
        let Some(known) = self.stored.clone().filter(|stored| is_due && !stored.is_empty()) else { return };
        self.read_at = Instant::now();
        let Some(stored) = self.read(QuarantineFreshness::Latest).await else { return };
        if self.is_restored() {
            // The restore has removed the missing entries, and no operator.
            return;
        }
        let lifted: Vec<RequestFingerprint> = known.difference(&stored).copied().collect();
        self.task.quarantine.clear_fingerprint(&lifted);
        self.stored = Some(stored);
    }

    /// Reads the entries of the store and merges them into the quarantine; absent if that failed.
    async fn read(&self, freshness: QuarantineFreshness) -> Option<BTreeSet<RequestFingerprint>> {
        let listed = self.task.store.list(freshness).await;
        self.count("quarantine", listed.is_ok());
        let stored = match listed {
            Ok(stored) => stored,
            Err(error) => {
                self.task.telemetry.emit(Event::QuarantineUnread { reason: error.to_string() });
                return None;
            }
        };
        let fingerprints = stored.iter().map(|stored| stored.record.fingerprint).collect();
        let records: Vec<SuspectRecord> = stored.into_iter().filter_map(with_current_age).collect();
        self.task.quarantine.merge(&records, FindingSource::Store);
        Some(fingerprints)
    }

    /// Adds missing entries to the store, and removes entries of requests that are no longer quarantined.
    async fn write(&mut self) {
        let Some(stored) = &mut self.stored else { return };
        let refused = self.task.quarantine.quarantined();
        let kept: BTreeSet<RequestFingerprint> = refused.iter().map(|record| record.fingerprint).collect();
        let mut written = Vec::new();
        let missing: Vec<&SuspectRecord> =
            refused.iter().filter(|record| !stored.contains(&record.fingerprint)).collect();
        for record in missing {
            if self.task.store.add(record).await.is_ok() {
                stored.insert(record.fingerprint);
                written.push((record.fingerprint, "added"));
            }
        }
        let expired: Vec<RequestFingerprint> = stored.difference(&kept).copied().collect();
        for fingerprint in expired {
            if self.task.store.remove(&fingerprint).await.is_ok() {
                stored.remove(&fingerprint);
                written.push((fingerprint, "removed"));
            }
        }
        for (fingerprint, change) in written {
            self.count("quarantine-write", true);
            let fingerprint = fingerprint.to_string();
            self.task.telemetry.emit(Event::QuarantineWritten { fingerprint, change });
        }
    }

    fn count(&self, operation: &'static str, is_done: bool) {
        let outcome = if is_done { "answered" } else { "unavailable" };
        self.task.telemetry.metrics().platform_request(operation, outcome);
    }
}

/// The record with its current age; absent if it has expired.
fn with_current_age(stored: StoredQuarantine) -> Option<SuspectRecord> {
    let age = Duration::from_millis(u64::from(stored.record.age_millis)) + stored.age;
    let age_millis = u32::try_from(age.as_millis()).ok()?;
    (age < LIFETIME).then_some(SuspectRecord { age_millis, ..stored.record })
}
