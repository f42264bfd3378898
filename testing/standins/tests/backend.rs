//! The back end stand-in: slots, cold start, drain, cancellation, deadlines, and its misleading reports.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use support::{ANY_PORT, MemoryNetwork, call, header, network, open, request};
use tokio::time::{Instant, sleep, timeout};
use umberpond_model::{Locality, RegionName, ServiceName, ZoneName};
use umberpond_net::HttpClientError;
use umberpond_standins::AnswerContent;
use umberpond_standins::backend::{Backend, BackendSettings, FaultChange};

fn settings() -> BackendSettings {
    BackendSettings {
        name: "archive-1".to_owned(),
        instance: None,
        service: ServiceName::new("archive").unwrap(),
        locality: Locality {
            region: RegionName::new("eu-north").unwrap(),
            zone: ZoneName::new("hall-a").unwrap(),
        },
        slots: 1,
        service_time: Duration::from_millis(100),
        cold_start: Duration::ZERO,
        warm_up: Duration::ZERO,
    }
}

struct Fixture {
    network: Arc<MemoryNetwork>,
    backend: Arc<Backend>,
}

impl Fixture {
    async fn start(settings: BackendSettings) -> Self {
        let network = network();
        let backend = Arc::new(Backend::start(&*network, ANY_PORT, settings).await.unwrap());
        Self { network, backend }
    }

    async fn get(&self, path: &str) -> Result<Response<Bytes>, HttpClientError> {
        self.send(request(Method::GET, path, "")).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Bytes>, HttpClientError> {
        call(&self.network, self.backend.address(), request).await
    }

    fn in_background(&self, path: &'static str) -> tokio::task::JoinHandle<Response<Bytes>> {
        let (network, address) = (Arc::clone(&self.network), self.backend.address());
        tokio::spawn(async move { call(&network, address, request(Method::GET, path, "")).await.unwrap() })
    }
}

#[tokio::test(start_paused = true)]
async fn work_beyond_the_slots_is_rejected_and_does_not_run() {
    let fixture = Fixture::start(settings()).await;
    let running = fixture.in_background("/job/a?bytes=50000");
    sleep(Duration::from_millis(10)).await;
    let refused = fixture.get("/job/b").await.unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!((header(&refused, "umberpond-outcome"), header(&refused, "retry-after")), ("rejected", "1"));

    let expected = AnswerContent {
        request_id: None,
        idempotency_key: None,
        path: "/job/a?bytes=50000",
        upload: None,
        length: 50_000,
    };
    assert_eq!(*running.await.unwrap().body(), expected.to_bytes());
    let ledger = fixture.backend.ledger();
    assert_eq!(ledger.entries.len(), 1);
    assert_eq!(ledger.entries[0].finished_millis, Some(100));
}

#[tokio::test(start_paused = true)]
async fn a_dropped_connection_and_a_passed_deadline_cancel_the_work() {
    let fixture = Fixture::start(settings()).await;
    let abandoned = timeout(Duration::from_millis(10), fixture.get("/job/a")).await;
    assert!(abandoned.is_err());
    let mut impatient = request(Method::GET, "/job/b", "");
    impatient.headers_mut().insert("umberpond-deadline", 20.into());
    let before = Instant::now();
    let late = fixture.send(impatient).await.unwrap();
    assert_eq!((late.status(), before.elapsed()), (StatusCode::GATEWAY_TIMEOUT, Duration::from_millis(20)));
    assert_eq!(header(&late, "umberpond-outcome"), "unknown");
    let mut expired = request(Method::GET, "/job/c", "");
    expired.headers_mut().insert("umberpond-deadline", 0.into());
    assert_eq!(header(&fixture.send(expired).await.unwrap(), "umberpond-outcome"), "rejected");

    let ledger = fixture.backend.ledger();
    let cancelled: Vec<_> =
        ledger.entries.iter().map(|entry| (entry.path.as_str(), entry.cancelled)).collect();
    assert_eq!(cancelled, [("/job/a", true), ("/job/b", true)]);
    assert_eq!(fixture.backend.report().outstanding, 0);
}

#[tokio::test(start_paused = true)]
async fn a_draining_back_end_finishes_what_runs_and_takes_nothing_new() {
    let fixture = Fixture::start(BackendSettings { slots: 5, ..settings() }).await;
    let streaming = fixture.in_background("/job/a?bytes=1000&stream_millis=400");
    sleep(Duration::from_millis(200)).await;
    fixture.backend.change_faults(&FaultChange { drain: Some(true), ..FaultChange::default() });
    assert_eq!(fixture.get("/health").await.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&fixture.get("/job/b").await.unwrap(), "umberpond-outcome"), "rejected");
    assert_eq!(streaming.await.unwrap().body().len(), 1_000);
    assert_eq!(fixture.backend.ledger().entries[0].finished_millis, Some(500));
}

#[tokio::test(start_paused = true)]
async fn a_cold_back_end_refuses_at_first_and_is_slower_while_it_warms_up() {
    let cold = BackendSettings {
        cold_start: Duration::from_secs(1),
        warm_up: Duration::from_secs(10),
        ..settings()
    };
    let fixture = Fixture::start(cold).await;
    assert_eq!(fixture.get("/health").await.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fixture.get("/job/a").await.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    sleep(Duration::from_secs(1)).await;
    let mut service_times = Vec::new();
    for _ in 0..2 {
        let before = Instant::now();
        fixture.get("/job/a").await.unwrap();
        service_times.push(before.elapsed().as_millis());
        sleep(Duration::from_secs(10)).await;
    }
    assert_eq!(service_times, [400, 100]);
}

#[tokio::test(start_paused = true)]
async fn reports_mislead_and_lag_as_ordered() {
    let fixture = Fixture::start(settings()).await;
    let order = r#"{"health_lies":true,"load_lies":7}"#;
    fixture.send(request(Method::POST, "/standin/faults", order)).await.unwrap();
    assert_eq!(fixture.get("/health").await.unwrap().status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(fixture.get("/load").await.unwrap().body().as_ref(), br#"{"outstanding":7,"slots":1}"#);

    let order = r#"{"health_lies":false,"load_lies":null,"report_lag_millis":1000}"#;
    fixture.send(request(Method::POST, "/standin/faults", order)).await.unwrap();
    sleep(Duration::from_secs(2)).await;
    let running = fixture.in_background("/job/a?hold_millis=3000");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fixture.backend.report().outstanding, 0);
    sleep(Duration::from_millis(600)).await;
    assert_eq!(fixture.backend.report().outstanding, 1);
    running.await.unwrap();
    let unknown_order = request(Method::POST, "/standin/faults", r#"{"explode":true}"#);
    assert_eq!(fixture.send(unknown_order).await.unwrap().status(), StatusCode::BAD_REQUEST);
}

#[tokio::test(start_paused = true)]
async fn a_cut_answer_breaks_the_exchange_and_counts_as_cancelled() {
    let fixture = Fixture::start(settings()).await;
    fixture.backend.change_faults(&FaultChange { cut_after_bytes: Some(Some(10)), ..FaultChange::default() });
    let asked = request(Method::GET, "/job/a?bytes=100", "");
    let exchange = open(&fixture.network, fixture.backend.address(), asked).await.unwrap();
    assert_eq!(exchange.response.status(), StatusCode::OK);
    assert!(umberpond_net::collect_body(exchange, 1_000).await.is_err());
    assert!(fixture.backend.ledger().entries[0].cancelled);
}
