//! Sharing by pools: what is earned is handed on, and tokens are asked for where requests enter.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_model::TenantId;

use crate::earned::EarnedTime;
use crate::held::{HeldTokens, TOKEN_LIFETIME};
use crate::limit::{PoolAnswer, earned_meanwhile};
use crate::message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
use crate::sharing::{QuotaSharing, Quotas, TokenDecision};

/// Time after which earned time is handed on with the next look: well below the time that is kept.
const REPORT_INTERVAL: Duration = Duration::from_millis(140);
/// Time without an answer after which the next pool is asked. The answer may still come.
const ANSWER_TIME: Duration = Duration::from_millis(25);
/// Most tenants in one report.
const MAX_WANTED: usize = 128;

/// Tokens are pooled at a few nodes, which all others ask.
#[derive(Debug)]
pub struct PooledShares {
    life: u64,
    quotas: Quotas,
    earned: EarnedTime,
    tenants: BTreeMap<TenantId, HeldTokens>,
    reports: u64,
    reported_at: Option<Instant>,
    /// The reports that are not answered yet and whose tokens would still be good, the latest last.
    open: VecDeque<OpenReport>,
    /// Tokens that were given and not used.
    expired: u64,
}

/// A report whose answer may still come.
#[derive(Debug)]
struct OpenReport {
    number: u64,
    made_at: Instant,
    /// What was asked for.
    wanted: Vec<WantedTokens>,
}

impl PooledShares {
    /// Nothing earned yet. `life` tells this process from all others.
    #[must_use]
    pub fn new(life: u64) -> Self {
        Self {
            life,
            quotas: Quotas::new(),
            earned: EarnedTime::default(),
            tenants: BTreeMap::new(),
            reports: 0,
            reported_at: None,
            open: VecDeque::new(),
            expired: 0,
        }
    }

    /// Whether a report is open and its answer may still come soon.
    fn awaits_answer(&self, now: Instant) -> bool {
        self.open.back().is_some_and(|open| now.saturating_duration_since(open.made_at) < ANSWER_TIME)
    }

    /// Removes the report that `grant` answers. Absent if it was answered before, or made too long ago for its tokens to be good.
    fn take_open(&mut self, now: Instant, grant: &QuotaGrant) -> Option<OpenReport> {
        self.open.retain(|open| now.saturating_duration_since(open.made_at) < TOKEN_LIFETIME);
        let index = self.open.iter().position(|open| open.number == grant.number)?;
        self.open.remove(index)
    }

    /// What is asked for: for requests that wait, and for those that will come of tenants at their limits.
    fn wanted(&self, now: Instant, waiting: &HashMap<TenantId, u32>) -> Vec<WantedTokens> {
        let waiting_of = |tenant| waiting.get(tenant).copied().unwrap_or(0);
        let wanted = self.tenants.iter().filter_map(|(tenant, held)| {
            let ahead = held.tokens_ahead(now);
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

    fn forget_expired(&mut self, now: Instant) {
        let expired = self.tenants.values_mut().map(|held| u64::from(held.drop_expired(now)));
        self.expired += expired.sum::<u64>();
    }

    /// What `hand_over` takes from each tenant's tokens, of those of which there is any.
    fn counts(&mut self, hand_over: impl Fn(&mut HeldTokens) -> u32) -> Vec<TokenCount> {
        let counts = self
            .tenants
            .iter_mut()
            .map(|(tenant, held)| TokenCount { tenant: *tenant, tokens: hand_over(held) });
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
        self.earned.set_sharing_nodes(now, count);
    }

    fn on_request(&mut self, now: Instant, tenant: TenantId) {
        if self.quotas.contains_key(&tenant) {
            self.tenants.entry(tenant).or_default().count_demand(now);
        }
    }

    fn take(&mut self, now: Instant, tenant: TenantId) -> TokenDecision {
        let expires_at = now + TOKEN_LIFETIME;
        let Some(quota) = self.quotas.get(&tenant) else { return TokenDecision::Granted { expires_at } };
        self.earned.earn(now);
        let earned = self.earned.kept().as_secs_f64() * quota.rate.as_f64();
        let held = self.tenants.entry(tenant).or_default();
        if let Some(expires_at) = held.take_given(now) {
            return TokenDecision::Granted { expires_at };
        }
        if held.take_earned(earned) {
            return TokenDecision::Granted { expires_at };
        }
        if held.limit.exhausted_for(now).is_some() { TokenDecision::Refused } else { TokenDecision::Ask }
    }

    fn give_back(&mut self, now: Instant, tenant: TenantId, expires_at: Instant) {
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
        if self.quotas.is_empty() || self.awaits_answer(now) {
            return None;
        }
        self.earned.earn(now);
        self.forget_expired(now);
        let is_due = self.reported_at.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        let has_unused = self.tenants.values().any(|held| held.has_unused(now));
        let wanted = self.wanted(now, waiting);
        if !is_due && !has_unused && wanted.is_empty() {
            return None;
        }
        self.reports += 1;
        self.reported_at = Some(now);
        if !wanted.is_empty() {
            self.open.push_back(OpenReport { number: self.reports, made_at: now, wanted: wanted.clone() });
        }
        Some(QuotaReport {
            life: self.life,
            number: self.reports,
            spent: self.counts(HeldTokens::hand_over_spent),
            returned: self.counts(|held| held.hand_over_unused(now)),
            earned_nanos: u64::try_from(self.earned.hand_on().as_nanos()).unwrap_or(u64::MAX),
            wanted,
        })
    }

    fn on_grant(&mut self, now: Instant, grant: &QuotaGrant, pools: usize) {
        // An answer that comes a second time, or too late, gives nothing.
        let Some(answered) = self.take_open(now, grant) else { return };
        for wanted in &answered.wanted {
            let granted = grant.granted.iter().find(|granted| granted.tenant == wanted.tenant);
            let tokens = granted.map_or(0, |granted| granted.tokens);
            let earned_meanwhile = earned_meanwhile(self.rate_of(wanted.tenant), pools);
            let Some(held) = self.tenants.get_mut(&wanted.tenant) else { continue };
            held.add(now, answered.made_at + TOKEN_LIFETIME, tokens);
            let expected = held.tokens_ahead(now);
            let had_enough = tokens >= wanted.waiting;
            held.limit.on_answer(now, PoolAnswer { had_enough, pools, earned_meanwhile, expected });
        }
    }
}
