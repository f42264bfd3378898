//! The tasks that tell what was found here, and keep in the store what is certain.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use ractor::ActorRef;
use tokio::time::{Instant, sleep};
use umberpond_distribution::ReaderSettings;
use umberpond_forwarding::{FindingSource, Quarantine};
use umberpond_quarantine::{RequestFingerprint, SuspectRecord};
use umberpond_telemetry::{Event, Telemetry};

use super::store::{QuarantineFreshness, QuarantineStore, StoredQuarantine};
use crate::configuration::is_store_reader;
use crate::membership::MembershipMessage;

/// Time between two looks for something that has to be written or read. The store is the only memory when all processes end at the same moment; a request that ends back ends
/// and was not written by then may end three more.
const INTERVAL: Duration = Duration::from_millis(500);
/// Time between two readings of the store by a node that reads it for all, as long as it holds any: an operator lifts a refusal by removing its entry.
const LIFT_INTERVAL: Duration = Duration::from_secs(10);
/// Entries of the store older than this are removed.
const LIFETIME: Duration = Duration::from_secs(24 * 3_600);

/// Tells the other nodes what is found here, without end.
pub(crate) async fn tell_news(quarantine: Arc<Quarantine>, membership: ActorRef<MembershipMessage>) {
    loop {
        let records = quarantine.take_updates().await;
        if membership.send_message(MembershipMessage::BroadcastSuspects(records)).is_err() {
            return;
        }
    }
}

/// What the task that keeps the quarantine needs.
pub(crate) struct QuarantineTask {
    pub(crate) store: Arc<dyn QuarantineStore>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) telemetry: Telemetry,
}

/// Takes part in keeping the quarantine without end: each node reads once at its start what the store holds, as cheaply as it can be had. Those that read
/// the store for all read it once more when they begin to, so that nothing recent is missed, and write what it lacks.
pub(crate) async fn keep_quarantine(task: QuarantineTask) {
    let mut keeper = QuarantineKeeper { task, has_read: false, stored: None, read_at: Instant::now() };
    loop {
        keeper.step().await;
        sleep(INTERVAL).await;
    }
}

struct QuarantineKeeper {
    task: QuarantineTask,
    /// Whether what the store holds was read since the start, be it old.
    has_read: bool,
    /// What the store is known to hold; absent unless this node reads it for all.
    stored: Option<BTreeSet<RequestFingerprint>>,
    /// When that was read last.
    read_at: Instant,
}

impl QuarantineKeeper {
    async fn step(&mut self) {
        if !self.has_read {
            self.has_read = self.read(QuarantineFreshness::MayBeStale).await.is_some();
        }
        if !is_store_reader(&self.task.membership, &ReaderSettings::default()).await {
            self.stored = None;
            return;
        }
        if self.stored.is_none() {
            self.stored = self.read(QuarantineFreshness::Latest).await;
            self.read_at = Instant::now();
        }
        self.find_lifted().await;
        self.write().await;
    }

    /// Lifts what somebody has removed from the store.
    async fn find_lifted(&mut self) {
        let is_due = self.read_at.elapsed() >= LIFT_INTERVAL;
        let Some(known) = self.stored.clone().filter(|stored| is_due && !stored.is_empty()) else { return };
        self.read_at = Instant::now();
        let Some(stored) = self.read(QuarantineFreshness::Latest).await else { return };
        let lifted: Vec<RequestFingerprint> = known.difference(&stored).copied().collect();
        self.task.quarantine.lift(&lifted);
        self.stored = Some(stored);
    }

    /// Reads what the store holds, and joins it. Absent if that failed.
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
        let records: Vec<SuspectRecord> = stored.into_iter().filter_map(aged).collect();
        self.task.quarantine.join(&records, FindingSource::Store);
        Some(fingerprints)
    }

    /// Writes what the store lacks, and removes what is refused no longer.
    async fn write(&mut self) {
        let Some(stored) = &mut self.stored else { return };
        let refused = self.task.quarantine.quarantined();
        let kept: BTreeSet<RequestFingerprint> = refused.iter().map(|record| record.fingerprint).collect();
        let mut written = Vec::new();
        let lacking: Vec<&SuspectRecord> =
            refused.iter().filter(|record| !stored.contains(&record.fingerprint)).collect();
        for record in lacking {
            if self.task.store.add(record).await.is_ok() {
                stored.insert(record.fingerprint);
                written.push((record.fingerprint, "added"));
            }
        }
        let over: Vec<RequestFingerprint> = stored.difference(&kept).copied().collect();
        for fingerprint in over {
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

/// The record with its age of now; absent if it is too old.
fn aged(stored: StoredQuarantine) -> Option<SuspectRecord> {
    let age = Duration::from_millis(u64::from(stored.record.age_millis)) + stored.age;
    let age_millis = u32::try_from(age.as_millis()).ok()?;
    (age < LIFETIME).then_some(SuspectRecord { age_millis, ..stored.record })
}
