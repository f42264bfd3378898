//! Tracks requests that are suspected of crashing back ends, as far as this node knows them.
//!
//! The back end's node detects a crash and blames requests among those that were running then. A request to
//! which a back end responds without a failure is cleared. Local findings are sent to the other nodes by
//! whoever calls [`Quarantine::take_updates`], and findings of other nodes are merged. Both halves of the
//! request path look up the suspicion level of a request here.
//!
//! A quarantined request is sent again in a few trial runs. Whoever calls [`Quarantine::take_claim`] claims
//! them, so that all nodes together send no more of them than allowed.

mod trial_permit;
mod trials;

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;
use umberpond_quarantine::{
    CrashId, MergeOutcome, QuarantineSettings, RequestFingerprint, RequestKey, SuspectLedger, SuspectRecord,
    SuspicionLevel,
};
use umberpond_telemetry::{Event, Telemetry};

use self::trials::TrialRuns;
use crate::clock::now;

pub(crate) use self::trial_permit::TrialPermit;
pub use self::trials::TrialClaim;

/// Origin of a finding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSource {
    /// The local back end.
    Local,
    /// Another node.
    Node,
    /// The store.
    Store,
}

impl FindingSource {
    /// The source as an identifier for logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Local => "here",
            Self::Node => "node",
            Self::Store => "store",
        }
    }
}

/// Findings of this node and those received from other nodes and the store.
#[derive(Debug)]
pub struct Quarantine {
    ledger: Mutex<SuspectLedger>,
    /// Whether there are no findings; requests then skip the lookup.
    is_empty: AtomicBool,
    /// Fingerprints with local findings that have not been sent to other nodes yet.
    updates: Mutex<BTreeSet<RequestFingerprint>>,
    has_updates: Notify,
    /// Notified when a suspected request that was blocked may be able to start.
    suspects_changed: Notify,
    trials: Mutex<TrialRuns>,
    /// Whether there is a task that claims trial runs.
    has_claims: AtomicBool,
    claim_requested: Notify,
    claim_ended: Notify,
    settings: QuarantineSettings,
    telemetry: Telemetry,
}

impl Quarantine {
    pub(crate) fn new(telemetry: Telemetry) -> Self {
        let settings = QuarantineSettings::default();
        Self {
            ledger: Mutex::new(SuspectLedger::new(settings)),
            trials: Mutex::default(),
            has_claims: AtomicBool::new(false),
            claim_requested: Notify::new(),
            claim_ended: Notify::new(),
            settings,
            is_empty: AtomicBool::new(true),
            updates: Mutex::default(),
            has_updates: Notify::new(),
            suspects_changed: Notify::new(),
            telemetry,
        }
    }

    /// How a request is treated.
    pub(crate) fn suspicion_level(&self, key: &RequestKey) -> SuspicionLevel {
        if self.is_empty.load(Ordering::Relaxed) {
            return SuspicionLevel::Clear;
        }
        self.ledger.lock().suspicion_level(now(), key)
    }

    /// Whether a request is suspected.
    pub(crate) fn is_suspect(&self, key: &RequestKey) -> bool {
        self.suspicion_level(key) != SuspicionLevel::Clear
    }

    /// Thresholds and limits.
    #[must_use]
    pub const fn settings(&self) -> &QuarantineSettings {
        &self.settings
    }

    /// Notified when a suspected request that was blocked may be able to start.
    pub(crate) const fn suspects_changed(&self) -> &Notify {
        &self.suspects_changed
    }

    /// Records that the local back end crashed while it ran `requests`.
    pub(crate) fn on_crash(&self, crash: CrashId, requests: &BTreeSet<RequestKey>) {
        let requests: Vec<RequestKey> = requests.iter().copied().collect();
        let blamed = self.ledger.lock().blame(now(), crash, &requests);
        let fingerprints: Vec<RequestFingerprint> =
            blamed.iter().flat_map(RequestKey::fingerprints).collect();
        self.on_changed(&fingerprints, FindingSource::Local);
    }

    /// Records that the local back end responded to a request without a failure.
    pub(crate) fn on_answered(&self, key: &RequestKey) {
        if self.is_empty.load(Ordering::Relaxed) {
            return;
        }
        let cleared = self.ledger.lock().clear(key);
        self.on_changed(&cleared, FindingSource::Local);
    }

    /// Clears these fingerprints at the request of an operator, so that matching requests are served again.
    pub fn clear_fingerprint(&self, fingerprints: &[RequestFingerprint]) {
        let mut ledger = self.ledger.lock();
        let lifted: Vec<RequestFingerprint> = fingerprints
            .iter()
            .copied()
            .filter(|fingerprint| ledger.clear_fingerprint(fingerprint))
            .collect();
        drop(ledger);
        self.on_changed(&lifted, FindingSource::Local);
    }

    /// Merges records received from another node or the store.
    pub fn merge(&self, records: &[SuspectRecord], source: FindingSource) -> MergeOutcome {
        let merged = self.ledger.lock().merge(now(), records);
        self.on_changed(&merged.changed, source);
        merged
    }

    /// Waits for local findings that have not been sent yet, and takes their records. Cancel safe.
    pub async fn take_updates(&self) -> Vec<SuspectRecord> {
        loop {
            let updates = std::mem::take(&mut *self.updates.lock());
            if !updates.is_empty() {
                return self.records(&updates.into_iter().collect::<Vec<_>>());
            }
            self.has_updates.notified().await;
        }
    }

    /// Records of `fingerprints`.
    #[must_use]
    pub fn records(&self, fingerprints: &[RequestFingerprint]) -> Vec<SuspectRecord> {
        self.ledger.lock().records(now(), fingerprints)
    }

    /// Records that are sent to a node which may have missed updates.
    #[must_use]
    pub fn repair_records(&self) -> Vec<SuspectRecord> {
        self.ledger.lock().repair_records(now())
    }

    /// Digest of [`Self::repair_records`], equal for two nodes with equal records; `None` if there are no
    /// findings.
    #[must_use]
    pub fn digest(&self) -> Option<u64> {
        if self.is_empty.load(Ordering::Relaxed) {
            return None;
        }
        Some(self.ledger.lock().digest())
    }

    /// Records of the quarantined requests.
    #[must_use]
    pub fn quarantined(&self) -> Vec<SuspectRecord> {
        self.ledger.lock().quarantined(now())
    }

    fn on_changed(&self, fingerprints: &[RequestFingerprint], source: FindingSource) {
        if fingerprints.is_empty() {
            return;
        }
        self.is_empty.store(false, Ordering::Relaxed);
        for fingerprint in fingerprints {
            self.emit_finding(fingerprint, source);
        }
        self.suspects_changed.notify_waiters();
        if source == FindingSource::Local {
            self.updates.lock().extend(fingerprints);
            self.has_updates.notify_one();
        }
    }

    fn emit_finding(&self, fingerprint: &RequestFingerprint, source: FindingSource) {
        let ledger = self.ledger.lock();
        let suspicion_level = ledger.fingerprint_suspicion_level(now(), fingerprint);
        let crashes = ledger.fingerprint_crash_count(fingerprint) as u64;
        drop(ledger);
        if suspicion_level != SuspicionLevel::Quarantined {
            self.trials.lock().forget(fingerprint);
        }
        let (fingerprint, source) = (fingerprint.to_string(), source.as_str());
        self.telemetry.emit(match suspicion_level {
            SuspicionLevel::Clear => Event::RequestCleared { fingerprint, source },
            SuspicionLevel::Suspected | SuspicionLevel::Isolated | SuspicionLevel::Paused(_) => {
                Event::RequestSuspected { fingerprint, crashes, source }
            }
            SuspicionLevel::Quarantined => Event::RequestQuarantined { fingerprint, crashes, source },
        });
    }
}
