//! The task that claims trial runs of quarantined requests.
//!
//! The entry of a quarantined request counts its trial runs, and a claim is a write on condition that the entry
//! has not changed. So all nodes together start no more trial runs than allowed, whatever they know of each
//! other, and the count outlasts all processes.

use std::sync::Arc;
use std::time::Duration;

use umberpond_forwarding::{Quarantine, TrialClaim};
use umberpond_quarantine::{RequestFingerprint, TrialDecision, next_trial};
use umberpond_telemetry::Telemetry;

use super::store::QuarantineStore;

/// Arguments of the claiming task.
pub(crate) struct ClaimTask {
    pub(crate) store: Arc<dyn QuarantineStore>,
    pub(crate) quarantine: Arc<Quarantine>,
    pub(crate) telemetry: Telemetry,
}

/// Claims the trial runs that this node's requests wait for, one after another, until the task is aborted.
pub(crate) async fn claim_trials(task: ClaimTask) {
    loop {
        let (fingerprint, since_crash) = task.quarantine.take_claim().await;
        let claim = task.claim(&fingerprint, since_crash).await;
        task.quarantine.on_claim(fingerprint, claim);
    }
}

impl ClaimTask {
    async fn claim(&self, fingerprint: &RequestFingerprint, since_crash: Duration) -> TrialClaim {
        let read = self.store.trials(fingerprint).await;
        self.count("quarantine-trials", read.is_ok());
        // Without an entry there is no count yet, and without a count there must be no trial run.
        let Ok(Some(stored)) = read else { return TrialClaim::Failed };
        let count = match next_trial(self.quarantine.settings(), since_crash, stored.claimed) {
            TrialDecision::Claim(count) => count,
            TrialDecision::Wait(left) => return TrialClaim::NotDue(left),
            TrialDecision::Exhausted => return TrialClaim::Exhausted,
        };
        let claimed = self.store.claim_trial(fingerprint, count, stored.revision).await;
        self.count("quarantine-claim", claimed.is_ok());
        if claimed.is_ok() { TrialClaim::Claimed(count) } else { TrialClaim::Failed }
    }

    fn count(&self, operation: &'static str, is_done: bool) {
        let outcome = if is_done { "answered" } else { "unavailable" };
        self.telemetry.metrics().platform_request(operation, outcome);
    }
}
