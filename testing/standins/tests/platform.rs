//! The platform stand-in: versions, watches, leases, the lagging list, and its faults.

mod support;

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use support::{ANY_PORT, MemoryNetwork, call, header, network, open, request};
use tokio::time::sleep;
use umberpond_net::HttpExchange;
use umberpond_standins::platform::{FaultChange, HEARTBEAT, Machine, Platform};

const HEAD: &str = "/v1/objects/head/head";

async fn platform() -> (std::sync::Arc<MemoryNetwork>, Platform) {
    let network = network();
    let platform = Platform::start(&*network, ANY_PORT).await.unwrap();
    (network, platform)
}

fn put(path: &str, version: &str, body: &str) -> Request<Full<Bytes>> {
    let mut request = request(Method::PUT, path, body);
    request.headers_mut().insert("if-match", version.parse().unwrap());
    request
}

async fn next_line(watch: &mut HttpExchange) -> Option<String> {
    let frame = watch.response.body_mut().frame().await?.ok()?;
    Some(String::from_utf8(frame.into_data().unwrap().to_vec()).unwrap())
}

#[tokio::test(start_paused = true)]
async fn a_conditional_write_succeeds_once_and_names_the_version_that_stands() {
    let (network, platform) = platform().await;
    let created = call(&network, platform.address(), request(Method::POST, HEAD, "a")).await.unwrap();
    assert_eq!((created.status(), header(&created, "object-version")), (StatusCode::CREATED, "1"));
    let exists = call(&network, platform.address(), request(Method::POST, HEAD, "b")).await.unwrap();
    assert_eq!((exists.status(), header(&exists, "object-version")), (StatusCode::CONFLICT, "1"));

    let first = call(&network, platform.address(), put(HEAD, "1", "c")).await.unwrap();
    let second = call(&network, platform.address(), put(HEAD, "1", "d")).await.unwrap();
    assert_eq!((first.status(), header(&first, "object-version")), (StatusCode::OK, "2"));
    assert_eq!((second.status(), header(&second, "object-version")), (StatusCode::CONFLICT, "2"));
    let read = call(&network, platform.address(), request(Method::GET, HEAD, "")).await.unwrap();
    assert_eq!((read.body().as_ref(), header(&read, "object-version")), (&b"c"[..], "2"));
    let missing = call(&network, platform.address(), put("/v1/objects/head/other", "1", "")).await.unwrap();
    assert_eq!(missing.status(), StatusCode::NOT_FOUND);
}

#[tokio::test(start_paused = true)]
async fn a_lost_answer_hides_a_change_that_took_effect() {
    let (network, platform) = platform().await;
    platform.change_faults(&FaultChange { lose_answers: Some(1), ..FaultChange::default() });
    assert!(call(&network, platform.address(), request(Method::POST, HEAD, "a")).await.is_err());
    assert_eq!(platform.object("head", "head").unwrap().version, 1);
    assert!(call(&network, platform.address(), put(HEAD, "1", "b")).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn an_outage_ends_watches_and_changes_nothing() {
    let (network, platform) = platform().await;
    let asked = request(Method::GET, "/v1/watch/head?after=0", "");
    let mut watch = open(&network, platform.address(), asked).await.unwrap();
    platform.change_faults(&FaultChange { down: Some(true), ..FaultChange::default() });
    assert_eq!(next_line(&mut watch).await, None);
    assert!(call(&network, platform.address(), request(Method::POST, HEAD, "a")).await.is_err());
    assert_eq!(platform.object("head", "head"), None);
}

#[tokio::test(start_paused = true)]
async fn a_watch_tells_changes_in_order_beats_and_says_when_it_is_too_old() {
    let (network, platform) = platform().await;
    let asked = request(Method::GET, "/v1/watch/head?after=0", "");
    let mut watch = open(&network, platform.address(), asked).await.unwrap();
    platform.write_object("head", "head", Bytes::from_static(b"a"));
    let line = next_line(&mut watch).await.unwrap();
    assert_eq!(line, "{\"revision\":1,\"name\":\"head\",\"value\":\"YQ==\"}\n");
    let before = tokio::time::Instant::now();
    assert_eq!(next_line(&mut watch).await.as_deref(), Some("\n"));
    assert_eq!(before.elapsed().as_secs(), HEARTBEAT.as_secs());

    platform.change_faults(&FaultChange { watch_window: Some(1), ..FaultChange::default() });
    platform.write_object("head", "head", Bytes::from_static(b"b"));
    let asked = request(Method::GET, "/v1/watch/head?after=0", "");
    let too_old = call(&network, platform.address(), asked).await.unwrap();
    assert_eq!((too_old.status(), too_old.body().as_ref()), (StatusCode::GONE, &b"{\"oldest\":1}"[..]));
}

#[tokio::test(start_paused = true)]
async fn a_lease_lapses_and_passes_to_another_holder() {
    let (network, platform) = platform().await;
    let ask = |holder: &str| {
        let body = format!("{{\"holder\":\"{holder}\",\"millis\":1000}}");
        request(Method::POST, "/v1/leases/reader-a", &body)
    };
    let granted = call(&network, platform.address(), ask("one")).await.unwrap();
    let refused = call(&network, platform.address(), ask("two")).await.unwrap();
    assert_eq!((granted.status(), refused.status()), (StatusCode::OK, StatusCode::CONFLICT));
    assert_eq!(refused.body().as_ref(), b"{\"holder\":\"one\"}");
    sleep(Duration::from_millis(1_001)).await;
    let taken = call(&network, platform.address(), ask("two")).await.unwrap();
    assert_eq!(taken.status(), StatusCode::OK);
    assert_eq!(platform.counters().lease_holders["reader-a"], "two");
}

#[tokio::test(start_paused = true)]
async fn the_machine_list_lags_and_a_late_update_never_replaces_a_newer_one() {
    let (_network, platform) = platform().await;
    let machine = |node: &str| Machine {
        node: node.to_owned(),
        region: "eu-north".to_owned(),
        zone: "hall-a".to_owned(),
        control: ANY_PORT,
        leaving: false,
    };
    let lag = |millis| FaultChange { machine_lag_millis: Some(millis), ..FaultChange::default() };
    platform.change_faults(&lag(2_000));
    platform.set_machines(vec![machine("old")]);
    assert!(platform.machines().machines.is_empty());
    platform.change_faults(&lag(0));
    platform.set_machines(vec![machine("new")]);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(platform.machines().machines, vec![machine("new")]);
}

#[tokio::test(start_paused = true)]
async fn distinct_readers_are_counted_over_a_window() {
    let (network, platform) = platform().await;
    for node in ["a", "b", "a"] {
        let mut read = request(Method::GET, HEAD, "");
        read.headers_mut().insert("umberpond-node", node.parse().unwrap());
        call(&network, platform.address(), read).await.unwrap();
    }
    assert_eq!(platform.counters().readers, 2);
    sleep(Duration::from_secs(11)).await;
    let counters = platform.counters();
    assert_eq!((counters.readers, counters.greatest_readers, counters.requests["head get"]), (0, 2, 3));
}
