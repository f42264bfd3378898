//! Tests of garbage collection: which objects are deleted, and that concurrent acceptors and slow readers
//! keep the objects that they need.

mod support;

use std::time::Duration;

use support::history::read_chain;
use support::{
    acceptor, append_versions, is_swap, name, platform_with_mesh, put, read_head, reader, service,
};
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
async fn objects_that_a_retained_version_needs_are_never_deleted() {
    let platform = platform_with_mesh().await;
    append_versions(&platform, 2..=60).await;
    assert_eq!(collect_now(&platform).await.deleted, 0);
    append_versions(&platform, 61..=100).await;
    let before = platform.objects(ObjectKind::Content).len();
    // Versions 37 to 100 are retained, and the versions back to the checkpoint at 32. Of the other versions
    // the records, manifests and deltas are deleted, the checkpoint at 16, and all bundles except `mesh`.
    let report = collect_now(&platform).await;
    assert_eq!((report.deleted, report.kept_recent), (31 * 4 + 1 - 1, 0));
    assert_eq!(platform.objects(ObjectKind::Content).len(), before - report.deleted);
    assert_eq!(collect_now(&platform).await.deleted, 0);
    let chain = reader(&platform);
    let head = read_head(&platform).await;
    assert_eq!(chain.read_steps_after(Version(36), &head).await.map(|steps| steps.len()), Ok(64));
    assert!(chain.read_whole(head.record).await.is_ok());
    // The search for a submission stops where the chain was garbage-collected, and a new submission is
    // accepted.
    append_versions(&platform, 101..=101).await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_reader_never_loses_the_content_of_retained_versions() {
    let platform = platform_with_mesh().await;
    append_versions(&platform, 2..=80).await;
    let head = read_head(&platform).await;
    let slow = platform.client();
    slow.set_faults(|_| Fault::Slow(Duration::from_secs(60)));
    let slow_reader = ChainReader::new(std::sync::Arc::new(slow));
    let (whole, ()) = tokio::join!(slow_reader.read_whole(head.record), async {
        for version in 81..=140 {
            append_versions(&platform, version..=version).await;
            collect_now(&platform).await;
        }
    });
    assert_eq!(whole.expect("the slow reader succeeds").record.version, Version(80));
    // A version that is no longer retained is reported as missing; no other content is returned.
    append_versions(&platform, 141..=200).await;
    collect_now(&platform).await;
    let late = reader(&platform).read_whole(head.record).await;
    assert_eq!(late.map(|_| ()), Err(ChainError::Missing { hash: head.record }));
}

/// An old bundle is submitted again while a collection that has found it unreferenced deletes it.
#[tokio::test(start_paused = true)]
async fn a_bundle_referenced_again_is_never_deleted_by_a_concurrent_collection() {
    for pause_millis in (0..40).step_by(2) {
        let platform = platform_with_mesh().await;
        append_versions(&platform, 2..=100).await;
        let slow = platform.client();
        slow.set_faults(|info| Fault::Slow(Duration::from_millis(if is_swap(info) { 12 } else { 3 })));
        let collector = platform.client();
        collector.set_faults(|info| {
            Fault::Slow(Duration::from_millis(if info.verb == Verb::Delete { 1 } else { 0 }))
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
        // A node with an empty cache finds every bundle.
        put(&acceptor(platform.client(), 4), 501, "solver", service("solver", 1)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn content_that_is_not_accepted_yet_is_not_deleted_within_the_grace_period() {
    let platform = platform_with_mesh().await;
    append_versions(&platform, 2..=100).await;
    let store = platform.client();
    store.create(ObjectKind::Content, "00", b"not accepted yet".to_vec().into()).await.expect("is created");
    let report = collect_now(&platform).await;
    assert_eq!(report.kept_recent, 1);
    append_versions(&platform, 101..=120).await;
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
