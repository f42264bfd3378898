//! Tests the detection of calls made by retried runs, and the budget accounting of calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::{Instant, sleep};
use umberpond_http1::Fields;
use umberpond_model::{HomeRegions, ServiceName};
use umberpond_quarantine::{RequestContent, RequestFingerprint, RequestKey};
use umberpond_selection::{OtherCalls, RetryBudgetSettings, RetryInitiator, RetryPriority};
use umberpond_telemetry::{MemoryRecorder, Telemetry};

use super::sharing_nodes::SharingNodes;
use super::{ActiveRuns, CallOrigin, RetryKind, RetryLedger};
use crate::message::{Attempt, RequestBody};

const ROUTE: u32 = 7;
const WINDOW: Duration = Duration::from_secs(10);

const CONTENT: RequestContent<'static> =
    RequestContent { method: b"GET", host: "", target: b"/", body_length: None, body: b"" };

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn attempt(id: &'static str, is_retry: bool) -> Attempt {
    let now = Instant::now();
    Attempt {
        id: Bytes::from_static(id.as_bytes()),
        request_key: RequestKey::new(RequestFingerprint::of(&CONTENT), "desk"),
        key: None,
        service: service("desk"),
        caller: service("desk"),
        tenant: None,
        homes: HomeRegions::default(),
        method: Bytes::from_static(b"GET"),
        target: Bytes::from_static(b"/"),
        fields: Fields::default(),
        body: RequestBody::Consumed,
        is_idempotent: true,
        route: ROUTE,
        priority: 1,
        is_cross_zone: false,
        objective_at: now,
        deadline: now + Duration::from_secs(2),
        queue_deadline: now,
        max_queue_wait: Duration::ZERO,
        service_time: Duration::ZERO,
        is_caller_retry: false,
        is_retry,
        call: None,
        is_trial: false,
        remembered_limit: None,
    }
}

fn ledger(ratio: f64) -> Arc<RetryLedger> {
    let telemetry = Telemetry::to_observer(Arc::new(MemoryRecorder::default()) as _);
    Arc::new(RetryLedger::new(RetryBudgetSettings { ratio, extra: 0.0, window: WINDOW }, telemetry))
}

#[tokio::test(start_paused = true)]
async fn call_is_attributed_to_its_run_by_request_id() {
    let runs = Arc::new(ActiveRuns::new(Some(b'.')));
    let first = runs.begin(&attempt("one", false));
    let repeat = runs.begin(&attempt("two.call", true));
    let ledger = service("ledger");
    assert_eq!(runs.on_request(b"one.x", &ledger).origin, CallOrigin::FirstRun);
    assert_eq!(runs.on_request(b"two.call.x", &ledger).origin, CallOrigin::RetriedRun);
    for other in ["one", "oneself", "other.x", "two.x", ""] {
        assert_eq!(runs.on_request(other.as_bytes(), &ledger).origin, CallOrigin::Outside, "{other}");
    }
    assert_eq!(first.end(), vec![(ledger.clone(), 1)]);
    assert_eq!(runs.on_request(b"one.x", &ledger).origin, CallOrigin::Outside, "the run has ended");
    assert_eq!(runs.retried_runs(ROUTE), 1);
    drop(repeat);
    assert_eq!(
        runs.on_request(b"two.call.y", &ledger).origin,
        CallOrigin::RetriedRun,
        "it may still be running"
    );
    sleep(Duration::from_secs(3)).await;
    drop(runs.begin(&attempt("three", false)));
    assert_eq!(
        runs.on_request(b"two.call.z", &ledger).origin,
        CallOrigin::Outside,
        "its deadline has passed"
    );
}

#[tokio::test(start_paused = true)]
async fn retry_starts_only_if_the_budgets_cover_its_calls() {
    let ledger = ledger(0.2);
    let called = service("ledger");
    assert!(ledger.can_afford_calls(ROUTE, 1), "its calls are unknown");
    ledger.record_calls(ROUTE, &vec![(called.clone(), 2)]);
    assert!(!ledger.can_afford_calls(ROUTE, 1));
    for _ in 0..41 {
        ledger.count_request(&called, CallOrigin::FirstRun);
    }
    assert!(ledger.can_afford_calls(ROUTE, 2), "the requests have earned four calls");
    assert!(!ledger.can_afford_calls(ROUTE, 3));
    assert!(ledger.can_afford_calls(ROUTE + 1, 3), "runs of another route make no calls");
    let grant = ledger.take(&called, RetryKind::RetriedRunCall).unwrap();
    assert!(!ledger.can_afford_calls(ROUTE, 2));
    grant.give_back();
    assert!(ledger.can_afford_calls(ROUTE, 2));
    drop(ledger.take(&called, RetryKind::Resent));
    assert!(!ledger.can_afford_calls(ROUTE, 2), "a retry that may have arrived counts as spent");
}

#[tokio::test(start_paused = true)]
async fn states_of_the_other_calls_of_a_run_are_tracked() {
    let runs = Arc::new(ActiveRuns::new(Some(b'.')));
    let run = runs.begin(&attempt("one", false));
    let follow = |id: &'static str| runs.follow(&Bytes::from_static(id.as_bytes()));
    assert!(follow("other.a").is_none(), "no such run");
    let first = follow("one.a").unwrap();
    assert_eq!(first.others(), OtherCalls::default());
    let second = follow("one.b").unwrap();
    assert_eq!(first.others(), OtherCalls { open: 1, rejected: 0, lost: 0 });
    second.on_rejected();
    assert_eq!(first.others(), OtherCalls { open: 0, rejected: 1, lost: 0 });
    assert_eq!(second.others(), OtherCalls { open: 1, rejected: 0, lost: 0 });
    drop(second);
    assert_eq!(first.others(), OtherCalls { open: 0, rejected: 0, lost: 1 });
    let third = follow("one.c").unwrap();
    assert_eq!(
        first.others(),
        OtherCalls { open: 1, rejected: 0, lost: 0 },
        "the run has continued without the second call"
    );
    first.on_answered();
    assert_eq!(third.others(), OtherCalls::default());
    drop(run.end());
    assert_eq!(third.others(), OtherCalls::default(), "the run has ended");
}

#[tokio::test(start_paused = true)]
async fn retries_are_granted_by_priority() {
    let ledger = ledger(0.2);
    let called = service("ledger");
    for _ in 0..81 {
        ledger.count_request(&called, CallOrigin::FirstRun);
    }
    let lacks_one = RetryInitiator::Run(OtherCalls { open: 1, rejected: 0, lost: 0 });
    let lacks_two = RetryInitiator::Run(OtherCalls { open: 0, rejected: 1, lost: 0 });
    let failed = RetryInitiator::Run(OtherCalls { open: 0, rejected: 0, lost: 1 });
    ledger.record_calls(ROUTE, &vec![(called.clone(), 2)]);
    assert!(ledger.can_afford_calls(ROUTE, 4), "nothing is reserved without demand");
    // Eight retries are saved.
    drop(ledger.take_for(&called, lacks_one).unwrap());
    assert!(ledger.can_afford_calls(ROUTE, 1));
    assert!(!ledger.can_afford_calls(ROUTE, 2), "six are reserved");
    drop(ledger.take_for(&called, lacks_two).unwrap());
    let refusal = ledger.take_for(&called, failed).unwrap_err();
    assert_eq!((refusal.priority, refusal.saved, refusal.most_saved), (None, 6, 8));
    for _ in 0..2 {
        drop(ledger.take_for(&called, lacks_one).unwrap());
    }
    // Two of four are reserved for runs that lack one call: a quarter of eight, since three were requested.
    while ledger.take_for(&called, RetryInitiator::Caller { rank: 1 }).is_ok() {}
    let refusal = ledger.take_for(&called, lacks_two).unwrap_err();
    assert_eq!((refusal.priority, refusal.saved), (Some(RetryPriority::RunLacksSeveralCalls), 1));
    assert!(ledger.take_for(&called, lacks_one).is_ok());
    assert!(ledger.take_for(&called, lacks_one).is_err(), "the last one is spent");
}

#[tokio::test(start_paused = true)]
async fn calls_of_retried_runs_earn_no_retries() {
    let ledger = ledger(1.0);
    let called = service("ledger");
    for _ in 0..100 {
        ledger.count_request(&called, CallOrigin::RetriedRun);
    }
    assert!(ledger.take(&called, RetryKind::RetriedRunCall).is_none());
}

#[tokio::test(start_paused = true)]
async fn removed_node_keeps_its_part_of_the_extra_for_one_window() {
    let sharing = SharingNodes::new(WINDOW);
    assert_eq!(sharing.get(), None);
    sharing.set(3);
    sleep(WINDOW * 2).await;
    assert_eq!(sharing.get(), Some(3));
    sharing.set(2);
    sleep(WINDOW).await;
    assert_eq!(sharing.get(), Some(3));
    sleep(Duration::from_millis(1)).await;
    assert_eq!(sharing.get(), Some(2));
    sharing.set(5);
    assert_eq!(sharing.get(), Some(5));
}
