//! Quarantined requests in the umberpond store. Without them a request that was quarantined wrongly would be
//! refused for as long as any node remembers it, since no trial run could be claimed.

use std::sync::Arc;

use umberpond_daemon::quarantine::{QuarantineFreshness, QuarantineStore};
use umberpond_daemon::rollouts::WriteError;
use umberpond_operator::StoreQuarantine;
use umberpond_quarantine::{CrashId, Finding, RequestContent, RequestFingerprint, SuspectRecord};
use umberpond_store::memory::MemoryPlatform;

fn record(target: &str) -> SuspectRecord {
    let content = RequestContent {
        method: b"GET",
        host: "a.example",
        target: target.as_bytes(),
        body_length: Some(0),
        body: b"",
    };
    SuspectRecord {
        fingerprint: RequestFingerprint::of(&content),
        findings: vec![(CrashId(1), Finding::Blamed), (CrashId(2), Finding::Cleared)],
        age_millis: 5_000,
    }
}

/// Two nodes with the same store.
fn two_nodes() -> (StoreQuarantine, StoreQuarantine) {
    let platform = MemoryPlatform::new();
    let node = || StoreQuarantine::new(Arc::new(platform.client()));
    (node(), node())
}

#[tokio::test]
async fn entries_of_one_node_are_listed_by_another_until_they_are_removed() {
    let (one, other) = two_nodes();
    for number in 0..250 {
        one.add(&record(&format!("/{number}"))).await.unwrap();
    }
    one.add(&record("/0")).await.unwrap();
    let listed = other.list(QuarantineFreshness::Latest).await.unwrap();
    assert_eq!(listed.len(), 250);
    let found = listed.iter().find(|stored| stored.record.fingerprint == record("/7").fingerprint).unwrap();
    assert_eq!(found.record.findings, [(CrashId(1), Finding::Blamed)]);
    assert!(found.age.as_secs() >= 5, "the last crash was 5 s before the entry was written");
    other.remove(&record("/7").fingerprint).await.unwrap();
    other.remove(&record("/7").fingerprint).await.unwrap();
    assert_eq!(one.list(QuarantineFreshness::MayBeStale).await.unwrap().len(), 249);
}

#[tokio::test]
async fn only_one_node_claims_a_trial_run() {
    let (one, other) = two_nodes();
    let fingerprint = record("/today").fingerprint;
    assert_eq!(one.trials(&fingerprint).await, Ok(None), "no trial run without an entry");
    one.add(&record("/today")).await.unwrap();
    let first = one.trials(&fingerprint).await.unwrap().unwrap();
    assert_eq!(first.claimed, None);
    assert_eq!(other.trials(&fingerprint).await.unwrap().unwrap(), first);
    assert_eq!(one.claim_trial(&fingerprint, 1, first.revision).await, Ok(()));
    assert_eq!(other.claim_trial(&fingerprint, 1, first.revision).await, Err(WriteError::Conflict));
    let second = other.trials(&fingerprint).await.unwrap().unwrap();
    assert_eq!(second.claimed.unwrap().count, 1);
    assert_eq!(other.claim_trial(&fingerprint, 2, second.revision).await, Ok(()));
}

/// A new quarantine after a wrong one gets trial runs of its own.
#[tokio::test]
async fn claims_end_with_their_entry() {
    let (one, _) = two_nodes();
    let fingerprint = record("/today").fingerprint;
    one.add(&record("/today")).await.unwrap();
    let stored = one.trials(&fingerprint).await.unwrap().unwrap();
    one.claim_trial(&fingerprint, 1, stored.revision).await.unwrap();
    one.remove(&fingerprint).await.unwrap();
    assert_eq!(one.claim_trial(&fingerprint, 2, stored.revision).await, Err(WriteError::Conflict));
    one.add(&record("/today")).await.unwrap();
    assert_eq!(one.trials(&fingerprint).await.unwrap().unwrap().claimed, None);
}
