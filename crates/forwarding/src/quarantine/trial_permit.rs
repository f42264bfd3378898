//! The right to send a quarantined request as a trial run.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use umberpond_quarantine::{RequestFingerprint, RequestKey, TrialDecision, next_trial};
use umberpond_telemetry::Event;

use super::Quarantine;
use super::trials::{TrialClaim, TrialStart};
use crate::clock::now;

/// Maximum time that a request waits for the claim of its trial run.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(250);

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
}
