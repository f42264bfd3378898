//! Tracks requests that are suspected of crashing back ends, as far as this node knows them.
//!
//! The back end's node detects a crash and blames requests among those that were running then. A request to
//! which a back end responds without a failure is cleared. Local findings are sent to the other nodes by
//! whoever calls [`Quarantine::take_updates`], and findings of other nodes are merged. Both halves of the
//! request path look up the suspicion level of a request here.
//!
//! A quarantined request is sent again in a few trial runs. Whoever calls [`Quarantine::take_claim`] claims
//! them, so that all nodes together send no more of them than allowed.

mod trials;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::{Instant, timeout_at};
use umberpond_quarantine::{
    CrashId, MergeOutcome, QuarantineSettings, RequestFingerprint, RequestKey, SuspectLedger, SuspectRecord,
    SuspicionLevel, TrialDecision, next_trial,
};
use umberpond_telemetry::{Event, Telemetry};

use self::trials::{TrialRuns, TrialStart};
use crate::clock::now;

pub use self::trials::TrialClaim;

/// Maximum time that a request waits for the claim of its trial run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

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

/// The right to send a quarantined request once. Dropping it without having sent the request leaves the right
/// to another request.
#[derive(Debug)]
pub(crate) struct TrialPermit {
    quarantine: Arc<Quarantine>,
    fingerprint: RequestFingerprint,
    number: u32,
    is_sent: bool,
}

impl TrialPermit {
    /// Number of the trial run, counted over all nodes.
    pub(crate) const fn number(&self) -> u32 {
        self.number
    }

    /// Fingerprint of the request.
    pub(crate) const fn fingerprint(&self) -> &RequestFingerprint {
        &self.fingerprint
    }

    /// Records whether the request may have reached a back end.
    pub(crate) const fn set_sent(&mut self, is_sent: bool) {
        self.is_sent = is_sent;
    }
}

impl Drop for TrialPermit {
    fn drop(&mut self) {
        let mut trials = self.quarantine.trials.lock();
        trials.on_ended(now(), self.fingerprint, self.number, self.is_sent);
    }
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

    /// Waits until a quarantined request may be sent as a trial run.
    ///
    /// # Errors
    /// Returns the time after which the request should be sent again, if it may not be sent now; `None` if no
    /// trial runs are left.
    pub(crate) async fn start_trial(
        self: &Arc<Self>,
        key: &RequestKey,
    ) -> Result<TrialPermit, Option<Duration>> {
        if !self.has_claims.load(Ordering::Relaxed) {
            return Err(None);
        }
        let quarantined = self.ledger.lock().quarantined_fingerprint(now(), key);
        let fingerprint = quarantined.ok_or(None)?;
        let until = Instant::now() + CLAIM_TIMEOUT;
        let mut start = self.try_start_trial(fingerprint);
        while start == TrialStart::Claiming {
            let claim_ended = self.claim_ended.notified();
            tokio::pin!(claim_ended);
            // Registers for notifications before the check, so that no end of a claim is missed.
            claim_ended.as_mut().enable();
            if self.trials.lock().is_claiming(&fingerprint) && timeout_at(until, claim_ended).await.is_err() {
                break;
            }
            if !self.trials.lock().is_claiming(&fingerprint) {
                start = self.try_start_trial(fingerprint);
            }
        }
        match start {
            TrialStart::Started(number) => {
                Ok(TrialPermit { quarantine: Arc::clone(self), fingerprint, number, is_sent: false })
            }
            TrialStart::Refused(retry_after) => Err(retry_after),
            TrialStart::Claiming => Err(Some(CLAIM_TIMEOUT)),
        }
    }

    fn try_start_trial(&self, fingerprint: RequestFingerprint) -> TrialStart {
        let since_crash = self.ledger.lock().since_crash(now(), &fingerprint);
        let left = match next_trial(&self.settings, since_crash, None) {
            TrialDecision::Claim(_) => Duration::ZERO,
            TrialDecision::Wait(left) => left,
            TrialDecision::Exhausted => return TrialStart::Refused(None),
        };
        let start = self.trials.lock().start(now(), fingerprint, left);
        if start == TrialStart::Claiming {
            self.claim_requested.notify_one();
        }
        start
    }

    /// Waits for a trial run to be claimed; returns the fingerprint of its request, and the time since the last
    /// crash that it is blamed for. Cancel safe.
    pub async fn take_claim(&self) -> (RequestFingerprint, Duration) {
        self.has_claims.store(true, Ordering::Relaxed);
        loop {
            let requested = self.trials.lock().take_requested();
            if let Some(fingerprint) = requested {
                let since_crash = self.ledger.lock().since_crash(now(), &fingerprint);
                return (fingerprint, since_crash);
            }
            self.claim_requested.notified().await;
        }
    }

    /// Records the result of a claim.
    pub fn on_claim(&self, fingerprint: RequestFingerprint, claim: TrialClaim) {
        self.trials.lock().on_claim(now(), fingerprint, claim);
        self.claim_ended.notify_waiters();
        let trial = if let TrialClaim::Claimed(number) = claim { u64::from(number) } else { 0 };
        let (fingerprint, outcome) = (fingerprint.to_string(), claim.as_str());
        self.telemetry.emit(Event::TrialClaimed { fingerprint, trial, outcome });
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
