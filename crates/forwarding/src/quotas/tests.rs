//! Tests of how the gate reports refusals, and of tokens that are returned.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, advance};
use umberpond_model::{TenantId, TenantName};
use umberpond_quotas::{QuotaGrant, QuotaReport, QuotaSharing, Quotas, TokenDecision};

use super::{QuotaGate, REPORT_INTERVAL};

const NEXT_TOKEN: Duration = Duration::from_millis(120);

/// Returns the same result for each token request, and records the expiry times of returned tokens.
#[derive(Debug)]
struct FixedDecision {
    decision: TokenDecision,
    given_back: Arc<Mutex<Vec<std::time::Instant>>>,
}

impl QuotaSharing for FixedDecision {
    fn set_quotas(&mut self, _quotas: Quotas) {}

    fn set_sharing_nodes(&mut self, _now: std::time::Instant, _count: usize) {}

    fn on_request(&mut self, _now: std::time::Instant, _tenant: TenantId) {}

    fn take(&mut self, _now: std::time::Instant, _tenant: TenantId) -> TokenDecision {
        self.decision
    }

    fn return_token(&mut self, _now: std::time::Instant, _tenant: TenantId, expires_at: std::time::Instant) {
        self.given_back.lock().push(expires_at);
    }

    fn next_token_in(&self, _now: std::time::Instant, _tenant: TenantId) -> Duration {
        NEXT_TOKEN
    }

    fn expired_tokens(&self) -> u64 {
        7
    }

    fn next_report(
        &mut self,
        _now: std::time::Instant,
        _waiting: &HashMap<TenantId, u32>,
    ) -> Option<QuotaReport> {
        None
    }

    fn on_grant(&mut self, _now: std::time::Instant, _grant: &QuotaGrant, _pools: usize) {}
}

fn gate(decision: TokenDecision) -> (Arc<QuotaGate>, Arc<Mutex<Vec<std::time::Instant>>>) {
    let given_back = Arc::new(Mutex::new(Vec::new()));
    let sharing = FixedDecision { decision, given_back: Arc::clone(&given_back) };
    (QuotaGate::new(Box::new(sharing)), given_back)
}

fn hot() -> TenantName {
    TenantName::new("hot").expect("valid tenant name")
}

#[tokio::test(start_paused = true)]
async fn refusals_are_reported_once_per_period_without_losing_any() {
    let (gate, _) = gate(TokenDecision::Refused);
    let mut reported = Vec::new();
    for _ in 0..1_201 {
        let until = Instant::now() + Duration::from_secs(1);
        let refusal = gate.admit(&hot(), until).await.expect_err("refused");
        assert_eq!(refusal.next_token_in, NEXT_TOKEN);
        reported.extend(refusal.to_report);
        advance(Duration::from_millis(10)).await;
    }
    assert_eq!(reported.len(), 2);
    assert!(reported.iter().all(|refusals| refusals.period >= REPORT_INTERVAL));
    assert_eq!(reported.iter().map(|refusals| refusals.refused).sum::<u64>(), 1_001);
}

#[tokio::test(start_paused = true)]
async fn request_over_quota_is_refused_without_waiting() {
    let (gate, _) = gate(TokenDecision::Refused);
    let start = Instant::now();
    gate.admit(&hot(), start + Duration::from_secs(1)).await.expect_err("refused");
    assert_eq!(Instant::now(), start);
}

#[tokio::test(start_paused = true)]
async fn returned_token_keeps_its_expiry() {
    let expires_at = Instant::now().into_std() + Duration::from_millis(250);
    let (gate, given_back) = gate(TokenDecision::Granted { expires_at });
    let until = Instant::now() + Duration::from_secs(1);
    let permit = gate.admit(&hot(), until).await.expect("granted");
    advance(Duration::from_millis(200)).await;
    permit.give_back();
    assert_eq!(*given_back.lock(), [expires_at]);
}

#[tokio::test(start_paused = true)]
async fn expired_tokens_are_reported_once() {
    let (gate, _) = gate(TokenDecision::Refused);
    assert_eq!(gate.take_expired_tokens(), 7);
    assert_eq!(gate.take_expired_tokens(), 0);
}
