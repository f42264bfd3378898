//! The daemon's platform client against the stand-in: both sides read the object API in the same way.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use support::{ANY_PORT, network};
use umberpond_net::Network;
use umberpond_standins::platform::{FaultChange, Platform};
use umberpond_store::{
    ClientSettings, GateLimits, ObjectKind, ObjectStore, ObjectVersion, PlatformClient, PlatformError,
    PlatformGate, Revision, WatchError,
};

async fn fixture() -> (Platform, PlatformClient) {
    let network: Arc<dyn Network> = network();
    let platform = Platform::start(&*network, ANY_PORT).await.unwrap();
    let gate = PlatformGate::new(GateLimits::default());
    let client = PlatformClient::new(network, platform.address(), gate, ClientSettings::default());
    (platform, client)
}

#[tokio::test(start_paused = true)]
async fn objects_are_created_replaced_listed_and_deleted() {
    let (_platform, client) = fixture().await;
    let value = Bytes::from_static(b"a");
    let first = client.create(ObjectKind::Content, "x", value.clone()).await.unwrap();
    let exists = client.create(ObjectKind::Content, "x", value.clone()).await.unwrap_err();
    assert_eq!(exists, PlatformError::Conflict { current: Some(first) });
    let second = client.put_if(ObjectKind::Content, "x", first, Bytes::from_static(b"b")).await.unwrap();
    assert!(second > first);
    let read = client.get(ObjectKind::Content, "x").await.unwrap().unwrap();
    assert_eq!((read.version, read.value.as_ref()), (second, &b"b"[..]));
    client.create(ObjectKind::Content, "y", value).await.unwrap();
    let page = client.list(ObjectKind::Content, None, 1).await.unwrap();
    assert_eq!((page.items.len(), page.items[0].name.as_str(), page.more), (1, "x", true));
    client.delete(ObjectKind::Content, "x", second).await.unwrap();
    assert_eq!(client.get(ObjectKind::Content, "x").await.unwrap(), None);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_is_told_as_unknown_and_an_overload_as_refused() {
    let (platform, client) = fixture().await;
    platform.change_faults(&FaultChange { lose_answers: Some(1), ..FaultChange::default() });
    let lost = client.create(ObjectKind::Head, "head", Bytes::new()).await.unwrap_err();
    assert!(lost.may_have_changed(), "{lost:?}");
    platform.change_faults(&FaultChange { overloaded: Some(true), ..FaultChange::default() });
    let refused = client.put_if(ObjectKind::Head, "head", ObjectVersion(1), Bytes::new()).await.unwrap_err();
    assert!(!refused.may_have_changed(), "{refused:?}");
    assert_eq!(refused.retry_after(), Some(Duration::from_secs(1)));
}

#[tokio::test(start_paused = true)]
async fn a_watch_outlives_heartbeats_and_tells_changes_and_when_it_is_too_old() {
    let (platform, client) = fixture().await;
    let mut watch = client.watch(ObjectKind::Head, Revision(0)).await.unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    platform.write_object("head", "head", Bytes::from_static(b"a"));
    let event = watch.next().await.unwrap().unwrap();
    assert_eq!((event.revision, event.name.as_str()), (Revision(1), "head"));
    platform.change_faults(&FaultChange { watch_window: Some(0), ..FaultChange::default() });
    let Err(too_old) = client.watch(ObjectKind::Head, Revision(0)).await else {
        panic!("a watch from a dropped revision was opened");
    };
    assert!(matches!(too_old, WatchError::TooOld { .. }), "{too_old:?}");
}
