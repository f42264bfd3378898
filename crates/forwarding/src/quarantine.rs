//! The requests under suspicion of ending back ends, as this node knows them.
//!
//! The node beside a back end finds its end and what ran there, and blames; what a back end answers without a failure is cleared. What is found here is told to the other nodes by
//! whoever takes it from [`Quarantine::take_updates`], and what they tell is joined. Both halves of the request path ask how a request stands.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use tokio::sync::Notify;
use umberpond_quarantine::{
    CrashId, MergeOutcome, QuarantineSettings, RequestFingerprint, RequestKey, SuspectLedger, SuspectRecord,
    SuspicionLevel,
};
use umberpond_telemetry::{Event, Telemetry};

use crate::clock::now;

/// Where a finding comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FindingSource {
    /// The back end beside this node.
    Here,
    /// Another node.
    Node,
    /// The store.
    Store,
}

impl FindingSource {
    /// The source as one word, for logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Here => "here",
            Self::Node => "node",
            Self::Store => "store",
        }
    }
}

/// The findings of this node and of all that it has heard of.
#[derive(Debug)]
pub struct Quarantine {
    ledger: Mutex<SuspectLedger>,
    /// Whether there are no findings, so that a request costs nothing then.
    is_empty: AtomicBool,
    /// Fingerprints of which something was found here that was told to nobody yet.
    news: Mutex<BTreeSet<RequestFingerprint>>,
    has_news: Notify,
    /// Told whenever a request under suspicion may begin that could not before.
    moved: Notify,
    telemetry: Telemetry,
}

impl Quarantine {
    pub(crate) fn new(telemetry: Telemetry) -> Self {
        Self {
            ledger: Mutex::new(SuspectLedger::new(QuarantineSettings::default())),
            is_empty: AtomicBool::new(true),
            news: Mutex::default(),
            has_news: Notify::new(),
            moved: Notify::new(),
            telemetry,
        }
    }

    /// How a request is treated.
    pub(crate) fn standing(&self, key: &RequestKey) -> SuspicionLevel {
        if self.is_empty.load(Ordering::Relaxed) {
            return SuspicionLevel::Clear;
        }
        self.ledger.lock().standing(now(), key)
    }

    /// Whether a request is under suspicion.
    pub(crate) fn is_suspect(&self, key: &RequestKey) -> bool {
        self.standing(key) != SuspicionLevel::Clear
    }

    /// Told whenever a request under suspicion may begin that could not before.
    pub(crate) const fn moved(&self) -> &Notify {
        &self.moved
    }

    /// Takes in that the back end beside this node has ended while `requests` ran there.
    pub(crate) fn on_crash(&self, crash: CrashId, requests: &BTreeSet<RequestKey>) {
        let requests: Vec<RequestKey> = requests.iter().copied().collect();
        let blamed = self.ledger.lock().blame(now(), crash, &requests);
        let fingerprints: Vec<RequestFingerprint> =
            blamed.iter().flat_map(RequestKey::fingerprints).collect();
        self.on_changed(&fingerprints, FindingSource::Here);
    }

    /// Takes in that the back end beside this node has answered a request without a failure.
    pub(crate) fn on_answered(&self, key: &RequestKey) {
        if self.is_empty.load(Ordering::Relaxed) {
            return;
        }
        let cleared = self.ledger.lock().clear(key);
        self.on_changed(&cleared, FindingSource::Here);
    }

    /// Takes in that an operator wants what has one of these fingerprints to be served again.
    pub fn lift(&self, fingerprints: &[RequestFingerprint]) {
        let mut ledger = self.ledger.lock();
        let lifted: Vec<RequestFingerprint> =
            fingerprints.iter().copied().filter(|fingerprint| ledger.lift(fingerprint)).collect();
        drop(ledger);
        self.on_changed(&lifted, FindingSource::Here);
    }

    /// Joins what another node or the store tells.
    pub fn join(&self, records: &[SuspectRecord], source: FindingSource) -> MergeOutcome {
        let joined = self.ledger.lock().join(now(), records);
        self.on_changed(&joined.changed, source);
        joined
    }

    /// Waits for something that was found here, and takes it. Safe to cancel.
    pub async fn take_updates(&self) -> Vec<SuspectRecord> {
        loop {
            let news = std::mem::take(&mut *self.news.lock());
            if !news.is_empty() {
                return self.records(&news.into_iter().collect::<Vec<_>>());
            }
            self.has_news.notified().await;
        }
    }

    /// What is known of `fingerprints`.
    #[must_use]
    pub fn records(&self, fingerprints: &[RequestFingerprint]) -> Vec<SuspectRecord> {
        self.ledger.lock().records(now(), fingerprints)
    }

    /// What a node has to know that may have missed what was told.
    #[must_use]
    pub fn repair_records(&self) -> Vec<SuspectRecord> {
        self.ledger.lock().repair_records(now())
    }

    /// Sum of [`Self::repair_records`], the same for two nodes that know the same; absent if there is nothing to know.
    #[must_use]
    pub fn digest(&self) -> Option<u64> {
        if self.is_empty.load(Ordering::Relaxed) {
            return None;
        }
        Some(self.ledger.lock().digest())
    }

    /// What is known of the requests that are refused.
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
            self.tell(fingerprint, source);
        }
        self.moved.notify_waiters();
        if source == FindingSource::Here {
            self.news.lock().extend(fingerprints);
            self.has_news.notify_one();
        }
    }

    fn tell(&self, fingerprint: &RequestFingerprint, source: FindingSource) {
        let ledger = self.ledger.lock();
        let standing = ledger.standing_of(now(), fingerprint);
        let crashes = ledger.fingerprint_crash_count(fingerprint) as u64;
        drop(ledger);
        let (fingerprint, source) = (fingerprint.to_string(), source.as_str());
        self.telemetry.emit(match standing {
            SuspicionLevel::Clear => Event::RequestCleared { fingerprint, source },
            SuspicionLevel::Suspected | SuspicionLevel::Isolated | SuspicionLevel::Paused(_) => {
                Event::RequestSuspected { fingerprint, crashes, source }
            }
            SuspicionLevel::Quarantined => Event::RequestQuarantined { fingerprint, crashes, source },
        });
    }
}
