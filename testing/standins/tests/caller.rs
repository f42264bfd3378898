//! The caller stand-in: what it records of each call, and that the same seed makes the same calls.

mod support;

use std::sync::Arc;
use std::time::Duration;

use support::{ANY_PORT, network};
use umberpond_model::{Locality, LocalityRule, RegionName, ServiceName, ZoneName};
use umberpond_net::Network;
use umberpond_standins::backend::{Backend, BackendSettings, FaultChange};
use umberpond_standins::caller::{CallKind, Caller, CallerReport, LoadPlan, Outcome, Spacing};
use umberpond_standins::{AllowedLocalities, reconcile};

fn billing() -> ServiceName {
    ServiceName::new("billing").unwrap()
}

fn settings(slots: u64) -> BackendSettings {
    BackendSettings {
        name: "billing-1".to_owned(),
        instance: None,
        service: billing(),
        locality: Locality {
            region: RegionName::new("eu-north").unwrap(),
            zone: ZoneName::new("hall-a").unwrap(),
        },
        slots,
        service_time: Duration::from_millis(50),
        cold_start: Duration::ZERO,
        warm_up: Duration::ZERO,
    }
}

fn plan(backend: &Backend, rate: f64) -> LoadPlan {
    let kind = CallKind {
        service: billing(),
        path_prefix: "/job/billing/renewals".to_owned(),
        idempotent: false,
        weight: 1,
        targets: vec![backend.address()],
        answer_bytes: 2_000,
        hold_millis: None,
        stream_millis: 0,
        upload_bytes: 300,
        send_key: true,
        deadline_millis: None,
    };
    LoadPlan {
        label: "run".to_owned(),
        rate,
        spacing: Spacing::Poisson,
        duration_millis: 10_000,
        patience_millis: 2_000,
        seed: 7,
        mix: vec![kind],
    }
}

async fn run(slots: u64, rate: f64, fault: FaultChange) -> (CallerReport, Backend) {
    let network: Arc<dyn Network> = network();
    let backend = Backend::start(&*network, ANY_PORT, settings(slots)).await.unwrap();
    backend.change_faults(&fault);
    let report = Caller::new(Arc::clone(&network), plan(&backend, rate)).unwrap().run().await;
    (report, backend)
}

fn allowed() -> AllowedLocalities {
    let rule = LocalityRule { region: RegionName::new("eu-north").unwrap(), zone: None };
    AllowedLocalities::from([(billing(), vec![rule])])
}

#[tokio::test(start_paused = true)]
async fn every_call_is_answered_whole_and_found_in_the_ledger() {
    let (report, backend) = run(50, 20.0, FaultChange::default()).await;
    let result = reconcile(&report.answers, &[backend.ledger()], &allowed());
    assert!(result.calls > 150, "{} calls", result.calls);
    assert_eq!((result.answered, result.findings.len()), (result.calls, 0));
    assert_eq!(report.latencies().p50_micros / 1_000, 50);
}

#[tokio::test(start_paused = true)]
async fn an_overload_is_recorded_as_rejected_and_the_ledger_agrees() {
    let (report, backend) = run(1, 60.0, FaultChange::default()).await;
    let result = reconcile(&report.answers, &[backend.ledger()], &allowed());
    assert!(result.rejected > 0 && result.answered > 0, "{result:?}");
    assert_eq!((result.answered + result.rejected, result.findings.len()), (result.calls, 0));
}

#[tokio::test(start_paused = true)]
async fn cut_answers_are_truncated_and_late_ones_unknown() {
    let cut = FaultChange { cut_after_bytes: Some(Some(100)), ..FaultChange::default() };
    let (report, _) = run(50, 5.0, cut).await;
    assert_eq!(report.count(Outcome::Truncated), report.answers.len() as u64);
    let slow = FaultChange { delay_millis: Some(5_000), ..FaultChange::default() };
    let (report, _) = run(50, 5.0, slow).await;
    assert_eq!(report.count(Outcome::Unknown), report.answers.len() as u64);
}

#[tokio::test(start_paused = true)]
async fn the_same_seed_makes_the_same_calls_at_the_same_times() {
    let (first, _) = run(1, 60.0, FaultChange::default()).await;
    let (second, _) = run(1, 60.0, FaultChange::default()).await;
    assert_eq!(first, second);
}

#[tokio::test(start_paused = true)]
async fn latency_counts_from_when_a_call_was_due() {
    let network: Arc<dyn Network> = network();
    let backend = Backend::start(&*network, ANY_PORT, settings(50)).await.unwrap();
    let caller = Caller::new(Arc::clone(&network), plan(&backend, 20.0)).unwrap();
    let running = tokio::spawn(caller.run());
    tokio::time::sleep(Duration::from_secs(1)).await;
    // The whole process stalls for a second, as a busy machine's would: no timer fires in between.
    tokio::time::advance(Duration::from_secs(1)).await;
    let report = running.await.unwrap();
    assert!(report.latencies().max_micros > 900_000, "{:?}", report.latencies());
}
