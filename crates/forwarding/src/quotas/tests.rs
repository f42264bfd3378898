//! What the gate tells of refusals, and what it gives back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::{Instant, advance};
use umberpond_model::{TenantId, TenantName};
use umberpond_quotas::{QuotaGrant, QuotaReport, QuotaSharing, Quotas, TokenDecision};

use super::{ACCOUNT_PERIOD, QuotaGate};

const NEXT_TOKEN: Duration = Duration::from_millis(120);

/// Gives the same answer to all, and keeps the ends of tokens that come back.
#[derive(Debug)]
struct FixedAnswer {
    answer: TokenDecision,
    given_back: Arc<Mutex<Vec<std::time::Instant>>>,
}

impl QuotaSharing for FixedAnswer {
    fn set_quotas(&mut self, _quotas: Quotas) {}

    fn set_sharing_nodes(&mut self, _now: std::time::Instant, _count: usize) {}

    fn on_request(&mut self, _now: std::time::Instant, _tenant: TenantId) {}

    fn take(&mut self, _now: std::time::Instant, _tenant: TenantId) -> TokenDecision {
        self.answer
    }

    fn give_back(&mut self, _now: std::time::Instant, _tenant: TenantId, expires_at: std::time::Instant) {
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

fn gate(answer: TokenDecision) -> (Arc<QuotaGate>, Arc<Mutex<Vec<std::time::Instant>>>) {
    let given_back = Arc::new(Mutex::new(Vec::new()));
    let sharing = FixedAnswer { answer, given_back: Arc::clone(&given_back) };
    (QuotaGate::new(Box::new(sharing)), given_back)
}

fn hot() -> TenantName {
    TenantName::new("hot").expect("a name")
}

#[tokio::test(start_paused = true)]
async fn refusals_are_told_once_in_a_period_and_all_are_counted() {
    let (gate, _) = gate(TokenDecision::Refused);
    let mut told = Vec::new();
    for _ in 0..1_201 {
        let until = Instant::now() + Duration::from_secs(1);
        let refusal = gate.admit(&hot(), until).await.expect_err("refused");
        assert_eq!(refusal.next_token_in, NEXT_TOKEN);
        told.extend(refusal.to_tell);
        advance(Duration::from_millis(10)).await;
    }
    assert_eq!(told.len(), 2);
    assert!(told.iter().all(|refusals| refusals.period >= ACCOUNT_PERIOD));
    assert_eq!(told.iter().map(|refusals| refusals.refused).sum::<u64>(), 1_001);
}

#[tokio::test(start_paused = true)]
async fn a_request_of_a_tenant_at_its_limit_does_not_wait() {
    let (gate, _) = gate(TokenDecision::Refused);
    let start = Instant::now();
    gate.admit(&hot(), start + Duration::from_secs(1)).await.expect_err("refused");
    assert_eq!(Instant::now(), start);
}

#[tokio::test(start_paused = true)]
async fn a_token_that_is_given_back_keeps_its_end() {
    let expires_at = Instant::now().into_std() + Duration::from_millis(250);
    let (gate, given_back) = gate(TokenDecision::Granted { expires_at });
    let until = Instant::now() + Duration::from_secs(1);
    let permit = gate.admit(&hot(), until).await.expect("granted");
    advance(Duration::from_millis(200)).await;
    permit.give_back();
    assert_eq!(*given_back.lock(), [expires_at]);
}

#[tokio::test(start_paused = true)]
async fn expired_tokens_are_told_once() {
    let (gate, _) = gate(TokenDecision::Refused);
    assert_eq!(gate.take_expired_tokens(), 7);
    assert_eq!(gate.take_expired_tokens(), 0);
}
