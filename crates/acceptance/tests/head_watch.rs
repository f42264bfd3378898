//! The head watch: every version once and in order, whatever happens to the watch.

mod support;

use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use support::{grow, platform_with_mesh, read_head, reader};
use tokio::time::timeout;
use umberpond_acceptance::chain::ChainReader;
use umberpond_acceptance::{
    ChainError, CollectSettings, HeadChange, HeadWatch, HeadWatchSettings, MIN_KEPT_VERSIONS, collect,
};
use umberpond_config::{DecodeError, Snapshot};
use umberpond_model::Version;
use umberpond_platform::memory::{Fault, MemoryPlatform, MemoryStore};
use umberpond_platform::{ObjectKind, ObjectStore};

fn watch(store: MemoryStore, held: u64) -> HeadWatch {
    let chain = ChainReader::new(Arc::new(store));
    let settings = HeadWatchSettings { max_steps: 100, ..HeadWatchSettings::default() };
    HeadWatch::new(chain, Version(held), settings, ChaCha8Rng::seed_from_u64(1))
}

/// Takes steps up to `last` and applies them; nothing but steps may come.
async fn follow(watch: &mut HeadWatch, snapshot: &mut Snapshot, from: u64, last: u64) {
    for version in from..=last {
        let HeadChange::Step(step) = watch.next().await else { panic!("no step to {version}") };
        assert_eq!(step.record.version, Version(version));
        *snapshot = step.delta.apply(snapshot);
        assert_eq!(snapshot.content_hash(), step.record.snapshot);
    }
}

#[tokio::test(start_paused = true)]
async fn every_step_comes_once_and_in_order_through_cuts_and_a_lost_window() {
    let platform = platform_with_mesh().await;
    let mut watch = watch(platform.client(), 0);
    let mut snapshot = Snapshot::default();
    follow(&mut watch, &mut snapshot, 1, 1).await;
    grow(&platform, 2..=4).await;
    follow(&mut watch, &mut snapshot, 2, 4).await;
    platform.cut_watches();
    grow(&platform, 5..=70).await;
    // A daemon follows the head in a task of its own.
    let following = tokio::spawn(async move {
        follow(&mut watch, &mut snapshot, 5, 70).await;
        (watch, snapshot)
    });
    let (mut watch, mut snapshot) = following.await.expect("the task ends");
    platform.keep_changes(2);
    grow(&platform, 71..=140).await;
    follow(&mut watch, &mut snapshot, 71, 140).await;
}

#[tokio::test(start_paused = true)]
async fn a_gap_that_is_too_large_or_collected_is_met_with_the_whole() {
    let platform = platform_with_mesh().await;
    grow(&platform, 2..=102).await;
    for held in [0, 1] {
        if held == 1 {
            let settings = CollectSettings { keep_versions: MIN_KEPT_VERSIONS, grace_versions: 1 };
            let report = collect(&reader(&platform), settings).await.expect("ends");
            assert!(report.deleted > 0);
        }
        let mut watch = watch(platform.client(), held + 1);
        let HeadChange::Whole(whole) = watch.next().await else { panic!("not the whole") };
        assert_eq!(whole.record.version, Version(102));
        // The set has been the same since version 1; before that there was none.
        assert_eq!(whole.previous_witnesses, []);
        assert_eq!(whole.record.witnesses_since, Version(1));
        let nothing_more = timeout(Duration::from_secs(60), watch.next()).await;
        assert!(nothing_more.is_err());
    }
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_told_once_and_its_versions_come_after_it() {
    let platform = platform_with_mesh().await;
    let store = platform.client();
    let mut watch = watch(store.clone(), 1);
    assert!(timeout(Duration::from_secs(5), watch.next()).await.is_err());
    store.set_faults(|_| Fault::NotSent);
    platform.cut_watches();
    assert!(matches!(watch.next().await, HeadChange::Unavailable));
    assert!(timeout(Duration::from_secs(600), watch.next()).await.is_err());
    let during_outage = store.counters().total();
    assert!(during_outage < 120, "{during_outage} requests in ten minutes");
    grow(&platform, 2..=3).await;
    store.clear_faults();
    let mut snapshot =
        reader(&platform).read_whole(first_record(&platform).await).await.expect("reads").snapshot;
    follow(&mut watch, &mut snapshot, 2, 3).await;
}

async fn first_record(platform: &MemoryPlatform) -> umberpond_model::ContentHash {
    let head = read_head(platform).await;
    reader(platform).read_record_at(&head, Version(1)).await.expect("reads").0
}

#[tokio::test(start_paused = true)]
async fn a_head_of_an_unknown_schema_is_told_and_the_next_one_is_followed() {
    let platform = platform_with_mesh().await;
    let mut watch = watch(platform.client(), 1);
    assert!(timeout(Duration::from_secs(5), watch.next()).await.is_err());
    let before = platform.objects(ObjectKind::Head)["head"].value.clone();
    let newer = platform.overwrite(ObjectKind::Head, "head", vec![9].into());
    let HeadChange::Unreadable(error) = watch.next().await else { panic!("not told") };
    assert_eq!(error, ChainError::Head(DecodeError::UnknownSchema { found: 9 }));
    assert!(timeout(Duration::from_secs(60), watch.next()).await.is_err());
    platform.client().put_if(ObjectKind::Head, "head", newer, before).await.expect("is put back");
    grow(&platform, 2..=2).await;
    assert!(matches!(watch.next().await, HeadChange::Step(step) if step.record.version == Version(2)));
}
