//! Quota sharing through pools: nodes hand over accrued time and request tokens where requests arrive.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::accrued::AccruedTime;
use crate::held::{HeldTokens, TOKEN_LIFETIME};
use crate::limit::{TokenResponse, accrued_meanwhile};
use crate::message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
use crate::sharing::{QuotaSharing, Quotas, TokenDecision};

/// Interval after which the next poll reports accrued time. It is well below the time that a node can store.
const REPORT_INTERVAL: Duration = Duration::from_millis(140);
/// Time without a grant after which the next pool is tried. The grant may still arrive.
const GRANT_TIMEOUT: Duration = Duration::from_millis(25);
/// Maximum number of tenants in the token requests of one report.
const MAX_WANTED: usize = 128;

/// Quota sharing through a few nodes that act as token pools.
#[derive(Debug)]
pub struct PooledShares {
    process_id: u64,
    quotas: Quotas,
    accrued: AccruedTime,
    tenants: BTreeMap<TenantId, HeldTokens>,
    reports: u64,
    reported_at: Option<Instant>,
    /// Unanswered reports whose tokens would still be valid, latest last.
    pending: VecDeque<PendingReport>,
    /// Tokens that expired unused.
    expired: u64,
}

/// A report whose grant may still arrive.
#[derive(Debug)]
struct PendingReport {
    number: u64,
    created_at: Instant,
    /// The requested tokens.
    wanted: Vec<WantedTokens>,
}

impl PooledShares {
    /// Starts without accrued time. `process_id` identifies this process.
    #[must_use]
    pub fn new(process_id: u64) -> Self {
        Self {
            process_id,
            quotas: Quotas::new(),
            accrued: AccruedTime::default(),
            tenants: BTreeMap::new(),
            reports: 0,
            reported_at: None,
            pending: VecDeque::new(),
            expired: 0,
        }
    }

    /// Whether the grant for the latest report is still expected soon.
    fn awaits_grant(&self, now: Instant) -> bool {
        self.pending
            .back()
            .is_some_and(|pending| now.saturating_duration_since(pending.created_at) < GRANT_TIMEOUT)
    }

    /// Removes the report that `grant` replies to. Returns `None` if it was answered before or is so old that
    /// its tokens have expired.
    fn take_pending(&mut self, now: Instant, grant: &QuotaGrant) -> Option<PendingReport> {
        self.pending.retain(|pending| now.saturating_duration_since(pending.created_at) < TOKEN_LIFETIME);
        let index = self.pending.iter().position(|pending| pending.number == grant.number)?;
        self.pending.remove(index)
    }

    /// Tokens to request: for waiting requests, and as probes for tenants at their limits.
    fn wanted(&self, now: Instant, waiting: &HashMap<TenantId, u32>) -> Vec<WantedTokens> {
        let waiting_of = |tenant| waiting.get(tenant).copied().unwrap_or(0);
        let wanted = self.tenants.iter().filter_map(|(tenant, held)| {
            let ahead = held.tokens_to_prefetch(now);
            match waiting_of(tenant) {
                0 if held.limit.is_probe_due(now) => {
                    Some(WantedTokens { tenant: *tenant, waiting: ahead.max(1), ahead: 0 })
                }
                0 => None,
                waiting => Some(WantedTokens { tenant: *tenant, waiting, ahead }),
            }
        });
        wanted.take(MAX_WANTED).collect()
    }

    fn collect_expired(&mut self, now: Instant) {
        let expired = self.tenants.values_mut().map(|held| u64::from(held.drop_expired(now)));
        self.expired += expired.sum::<u64>();
    }

    /// Applies `take_tokens` to each tenant's tokens and returns the non-zero counts.
    fn counts(&mut self, take_tokens: impl Fn(&mut HeldTokens) -> u32) -> Vec<TokenCount> {
        let counts = self
            .tenants
            .iter_mut()
            .map(|(tenant, held)| TokenCount { tenant: *tenant, tokens: take_tokens(held) });
        counts.filter(|count| count.tokens > 0).collect()
    }

    fn rate_of(&self, tenant: TenantId) -> f64 {
        self.quotas.get(&tenant).map_or(0.0, |quota| quota.rate.as_f64())
    }
}

impl QuotaSharing for PooledShares {
    fn set_quotas(&mut self, quotas: Quotas) {
        self.tenants.retain(|tenant, _| quotas.contains_key(tenant));
        self.quotas = quotas;
    }

    fn set_sharing_nodes(&mut self, now: Instant, count: usize) {
        self.accrued.set_sharing_nodes(now, count);
    }

    fn on_request(&mut self, now: Instant, tenant: TenantId) {
        if self.quotas.contains_key(&tenant) {
            self.tenants.entry(tenant).or_default().count_demand(now);
        }
    }

    fn take(&mut self, now: Instant, tenant: TenantId) -> TokenDecision {
        let expires_at = now + TOKEN_LIFETIME;
        let Some(quota) = self.quotas.get(&tenant) else { return TokenDecision::Granted { expires_at } };
        self.accrued.accrue(now);
        let accrued = self.accrued.stored().as_secs_f64() * quota.rate.as_f64();
        let held = self.tenants.entry(tenant).or_default();
        if let Some(expires_at) = held.take_granted(now) {
            return TokenDecision::Granted { expires_at };
        }
        if held.take_accrued(accrued) {
            return TokenDecision::Granted { expires_at };
        }
        if held.limit.exhausted_for(now).is_some() { TokenDecision::Refused } else { TokenDecision::Pending }
    }

    fn return_token(&mut self, now: Instant, tenant: TenantId, expires_at: Instant) {
        if !self.quotas.contains_key(&tenant) {
            return;
        }
        self.expired += u64::from(expires_at <= now);
        self.tenants.entry(tenant).or_default().add(now, expires_at, 1);
    }

    fn next_token_in(&self, now: Instant, tenant: TenantId) -> Duration {
        let held = self.tenants.get(&tenant);
        held.and_then(|held| held.limit.exhausted_for(now)).unwrap_or(Duration::ZERO)
    }

    fn expired_tokens(&self) -> u64 {
        self.expired
    }

    fn next_report(&mut self, now: Instant, waiting: &HashMap<TenantId, u32>) -> Option<QuotaReport> {
        if self.quotas.is_empty() || self.awaits_grant(now) {
            return None;
        }
        self.accrued.accrue(now);
        self.collect_expired(now);
        let is_due = self.reported_at.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        let has_unused = self.tenants.values().any(|held| held.has_unused(now));
        let wanted = self.wanted(now, waiting);
        if !is_due && !has_unused && wanted.is_empty() {
            return None;
        }
        self.reports += 1;
        self.reported_at = Some(now);
        if !wanted.is_empty() {
            self.pending.push_back(PendingReport {
                number: self.reports,
                created_at: now,
                wanted: wanted.clone(),
            });
        }
        Some(QuotaReport {
            process_id: self.process_id,
            number: self.reports,
            spent: self.counts(HeldTokens::take_spent),
            returned: self.counts(|held| held.take_unused(now)),
            accrued_nanos: u64::try_from(self.accrued.take_stored().as_nanos()).unwrap_or(u64::MAX),
            wanted,
        })
    }

    fn on_grant(&mut self, now: Instant, grant: &QuotaGrant, pools: usize) {
        // A duplicate or late grant has no effect.
        let Some(report) = self.take_pending(now, grant) else { return };
        for wanted in &report.wanted {
            let granted = grant.granted.iter().find(|granted| granted.tenant == wanted.tenant);
            let tokens = granted.map_or(0, |granted| granted.tokens);
            let accrued_meanwhile = accrued_meanwhile(self.rate_of(wanted.tenant), pools);
            let Some(held) = self.tenants.get_mut(&wanted.tenant) else { continue };
            held.add(now, report.created_at + TOKEN_LIFETIME, tokens);
            let expected = held.tokens_to_prefetch(now);
            let had_enough = tokens >= wanted.waiting;
            held.limit.on_response(now, TokenResponse { had_enough, pools, accrued_meanwhile, expected });
        }
    }
}
