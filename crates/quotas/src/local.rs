//! Quota sharing without messages: each node keeps the time that it accrues.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::held::TOKEN_LIFETIME;
use crate::message::{QuotaGrant, QuotaReport};
use crate::sharing::{QuotaSharing, Quotas, TokenDecision};

/// Tokens of one tenant at this node.
#[derive(Debug, Clone, Copy)]
struct LocalTokens {
    tokens: f64,
    counted_at: Instant,
}

/// Each node enforces an equal share of each tenant's rate and burst. This needs no messages, but a tenant
/// whose requests don't arrive evenly at all nodes is refused some requests below its limit.
#[derive(Debug, Default)]
pub struct LocalShares {
    quotas: Quotas,
    sharing_nodes: Option<u32>,
    tenants: HashMap<TenantId, LocalTokens>,
}

impl QuotaSharing for LocalShares {
    fn set_quotas(&mut self, quotas: Quotas) {
        self.tenants.retain(|tenant, _| quotas.contains_key(tenant));
        self.quotas = quotas;
    }

    fn set_sharing_nodes(&mut self, _now: Instant, count: usize) {
        self.sharing_nodes = Some(u32::try_from(count.max(1)).unwrap_or(u32::MAX));
    }

    fn on_request(&mut self, _now: Instant, _tenant: TenantId) {}

    fn take(&mut self, now: Instant, tenant: TenantId) -> TokenDecision {
        let Some(quota) = self.quotas.get(&tenant) else { return TokenDecision::Granted { expires_at: now } };
        let Some(nodes) = self.sharing_nodes else { return TokenDecision::Refused };
        let local = self.tenants.entry(tenant).or_insert(LocalTokens { tokens: 0.0, counted_at: now });
        let passed = now.saturating_duration_since(local.counted_at).as_secs_f64();
        local.counted_at = now;
        #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
        let most = (quota.burst as f64 / f64::from(nodes)).max(1.0);
        local.tokens = (local.tokens + passed * quota.rate.as_f64() / f64::from(nodes)).min(most);
        if local.tokens < 1.0 {
            return TokenDecision::Refused;
        }
        local.tokens -= 1.0;
        TokenDecision::Granted { expires_at: now + TOKEN_LIFETIME }
    }

    fn return_token(&mut self, now: Instant, tenant: TenantId, expires_at: Instant) {
        if expires_at <= now {
            return;
        }
        if let Some(local) = self.tenants.get_mut(&tenant) {
            local.tokens += 1.0;
        }
    }

    fn next_token_in(&self, _now: Instant, _tenant: TenantId) -> Duration {
        Duration::ZERO
    }

    fn expired_tokens(&self) -> u64 {
        0
    }

    fn next_report(&mut self, _now: Instant, _waiting: &HashMap<TenantId, u32>) -> Option<QuotaReport> {
        None
    }

    fn on_grant(&mut self, _now: Instant, _grant: &QuotaGrant, _pools: usize) {}
}
