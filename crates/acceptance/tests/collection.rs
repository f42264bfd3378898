//! Collection: what is deleted, and what racing acceptors and slow readers may rely on.

mod support;

use std::time::Duration;

use support::history::read_chain;
use support::{acceptor, grow, is_swap, name, platform_with_mesh, put, read_head, reader, service};
use umberpond_acceptance::chain::ChainReader;
use umberpond_acceptance::{
    ChainError, Change, CollectError, CollectReport, CollectSettings, MIN_KEPT_VERSIONS, collect,
};
use umberpond_model::{ServiceName, SubmissionId, Version};
use umberpond_store::memory::{Fault, MemoryPlatform, Verb};
use umberpond_store::{ObjectKind, ObjectStore};

const SETTINGS: CollectSettings = CollectSettings { keep_versions: MIN_KEPT_VERSIONS, grace_versions: 8 };

async fn collect_now(platform: &MemoryPlatform) -> CollectReport {
    collect(&reader(platform), SETTINGS).await.expect("the collection ends")
}

#[tokio::test(start_paused = true)]
async fn only_what_no_kept_version_needs_is_deleted() {
    let platform = platform_with_mesh().await;
    grow(&platform, 2..=60).await;
    assert_eq!(collect_now(&platform).await.deleted, 0);
    grow(&platform, 61..=100).await;
    let before = platform.objects(ObjectKind::Content).len();
    // Versions 37 to 100 are kept, and those back to the checkpoint at 32. Of the others the records, manifests
    // and deltas go, the checkpoint at 16, and all bundles but `mesh`.
    let report = collect_now(&platform).await;
    assert_eq!((report.deleted, report.left_young), (31 * 4 + 1 - 1, 0));
    assert_eq!(platform.objects(ObjectKind::Content).len(), before - report.deleted);
    assert_eq!(collect_now(&platform).await.deleted, 0);
    let chain = reader(&platform);
    let head = read_head(&platform).await;
    assert_eq!(chain.read_steps_after(Version(36), &head).await.map(|steps| steps.len()), Ok(64));
    assert!(chain.read_whole(head.record).await.is_ok());
    // The search for a submission ends where the chain was collected, and a new one is accepted.
    grow(&platform, 101..=101).await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_reader_keeps_its_content_for_as_long_as_the_versions_are_kept() {
    let platform = platform_with_mesh().await;
    grow(&platform, 2..=80).await;
    let head = read_head(&platform).await;
    let slow = platform.client();
    slow.set_faults(|_| Fault::Slow(Duration::from_secs(60)));
    let slow_reader = ChainReader::new(std::sync::Arc::new(slow));
    let (whole, ()) = tokio::join!(slow_reader.read_whole(head.record), async {
        for version in 81..=140 {
            grow(&platform, version..=version).await;
            collect_now(&platform).await;
        }
    });
    assert_eq!(whole.expect("the slow reader succeeds").record.version, Version(80));
    // Beyond the kept versions it is told so, and never gets something else.
    grow(&platform, 141..=200).await;
    collect_now(&platform).await;
    let late = reader(&platform).read_whole(head.record).await;
    assert_eq!(late.map(|_| ()), Err(ChainError::Missing { hash: head.record }));
}

/// An old bundle is submitted again while a collection that has found it unused deletes it.
#[tokio::test(start_paused = true)]
async fn a_bundle_that_comes_into_use_again_survives_a_collection_at_any_moment() {
    for pause_millis in (0..40).step_by(2) {
        let platform = platform_with_mesh().await;
        grow(&platform, 2..=100).await;
        let slow = platform.client();
        slow.set_faults(|note| Fault::Slow(Duration::from_millis(if is_swap(note) { 12 } else { 3 })));
        let collector = platform.client();
        collector.set_faults(|note| {
            Fault::Slow(Duration::from_millis(if note.verb == Verb::Delete { 1 } else { 0 }))
        });
        let collecting = async {
            tokio::time::sleep(Duration::from_millis(pause_millis)).await;
            collect(&ChainReader::new(std::sync::Arc::new(collector)), SETTINGS).await
        };
        let again = acceptor(slow, 3);
        let submitting = again.submit(SubmissionId(500), name("billing"), Change::Put(service("billing", 5)));
        let (submitted, collected) = tokio::join!(submitting, collecting);
        assert_eq!(submitted.expect("accepted").version, Version(101));
        assert!(collected.expect("the collection ends").deleted > 0);
        let chain = reader(&platform);
        let head = read_head(&platform).await;
        let whole = chain.read_whole(head.record).await.expect("nothing in force was deleted");
        assert_eq!(whole.snapshot.services[&name::<ServiceName>("billing")].slots, 5);
        // A node that has read nothing yet finds every bundle.
        put(&acceptor(platform.client(), 4), 501, "solver", service("solver", 1)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn content_written_but_not_yet_accepted_is_left_alone() {
    let platform = platform_with_mesh().await;
    grow(&platform, 2..=100).await;
    let store = platform.client();
    store.create(ObjectKind::Content, "00", b"not accepted yet".to_vec().into()).await.expect("is created");
    let report = collect_now(&platform).await;
    assert_eq!(report.left_young, 1);
    grow(&platform, 101..=120).await;
    collect_now(&platform).await;
    assert!(!platform.objects(ObjectKind::Content).contains_key("00"));
    assert_eq!(read_head(&platform).await.version, Version(120));
}

#[tokio::test(start_paused = true)]
async fn a_collection_that_keeps_too_few_versions_is_refused() {
    let platform = platform_with_mesh().await;
    let settings = CollectSettings { keep_versions: 1, grace_versions: 0 };
    let refused = collect(&reader(&platform), settings).await;
    assert_eq!(refused, Err(CollectError::KeepsTooFew { keep_versions: 1 }));
    assert_eq!(read_chain(&reader(&platform)).await.len(), 1);
}
