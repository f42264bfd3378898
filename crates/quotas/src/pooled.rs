//! Sharing by pools: what is earned is handed on, and tokens are asked for where requests enter.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use umberpond_model::TenantNumber;

use crate::earned::EarnedTime;
use crate::message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
use crate::sharing::{QuotaSharing, Quotas, TokenAnswer};

/// Longest time for which earned time is kept here before it is handed on.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Time without an answer after which the next pool is asked.
const ANSWER_TIME: Duration = Duration::from_millis(25);
/// How long a token that was given is good. One that is not used by then is lost, so that few are kept outside the pools.
const TOKEN_LIFETIME: Duration = Duration::from_millis(300);
/// Time for which tokens are asked for ahead.
const AHEAD: Duration = Duration::from_millis(100);
/// Time after which what is known of a tenant's demand counts half.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);
/// How long nothing is asked for after all pools had too few tokens.
const EXHAUSTED_TIME: Duration = Duration::from_millis(100);
/// Most tenants in one report.
const MAX_WANTED: usize = 128;

/// What this node holds of one tenant.
#[derive(Debug, Default)]
struct TenantTokens {
    /// Tokens that were given, the oldest first, and until when they are good.
    given: Vec<(Instant, u32)>,
    /// Tokens taken out of the time that is still kept here.
    spent: u32,
    /// Requests lately, each counted less with time.
    demand: f64,
    demand_at: Option<Instant>,
    /// Pools in a row that had too few.
    empty_pools: usize,
    exhausted_until: Option<Instant>,
}

/// Tokens are pooled at a few nodes, which all others ask.
#[derive(Debug)]
pub struct PooledShares {
    life: u64,
    quotas: Quotas,
    earned: EarnedTime,
    tenants: HashMap<TenantNumber, TenantTokens>,
    reports: u64,
    reported_at: Option<Instant>,
    /// The report that is not answered yet, and when it was made.
    open: Option<(u64, Instant)>,
    /// What was asked for in it.
    asked: Vec<WantedTokens>,
}

impl PooledShares {
    /// Nothing earned yet. `life` tells this process from all others.
    #[must_use]
    pub fn new(life: u64) -> Self {
        Self {
            life,
            quotas: Quotas::new(),
            earned: EarnedTime::default(),
            tenants: HashMap::new(),
            reports: 0,
            reported_at: None,
            open: None,
            asked: Vec::new(),
        }
    }

    /// Whether a report is open and its answer may still come.
    fn awaits_answer(&self, now: Instant) -> bool {
        self.open.is_some_and(|(_, at)| now.saturating_duration_since(at) < ANSWER_TIME)
    }

    fn wanted(&mut self, now: Instant, waiting: &HashMap<TenantNumber, u32>) -> Vec<WantedTokens> {
        let mut wanted: Vec<WantedTokens> = Vec::new();
        for (tenant, count) in waiting.iter().filter(|(_, count)| **count > 0).take(MAX_WANTED) {
            let held = self.tenants.entry(*tenant).or_default();
            wanted.push(WantedTokens { tenant: *tenant, waiting: *count, ahead: held.tokens_ahead(now) });
        }
        wanted
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

    fn on_request(&mut self, now: Instant, tenant: TenantNumber) {
        if self.quotas.contains_key(&tenant) {
            self.tenants.entry(tenant).or_default().count_demand(now);
        }
    }

    fn take(&mut self, now: Instant, tenant: TenantNumber) -> TokenAnswer {
        let Some(quota) = self.quotas.get(&tenant) else { return TokenAnswer::Granted };
        self.earned.earn(now);
        let earned = self.earned.kept().as_secs_f64() * quota.rate.as_f64();
        let held = self.tenants.entry(tenant).or_default();
        if held.take_given(now) || held.take_earned(earned) {
            TokenAnswer::Granted
        } else if held.exhausted_until.is_some_and(|until| now < until) {
            TokenAnswer::Refused
        } else {
            TokenAnswer::Ask
        }
    }

    fn give_back(&mut self, now: Instant, tenant: TenantNumber) {
        if self.quotas.contains_key(&tenant) {
            self.tenants.entry(tenant).or_default().given.push((now + TOKEN_LIFETIME, 1));
        }
    }

    fn next_report(&mut self, now: Instant, waiting: &HashMap<TenantNumber, u32>) -> Option<QuotaReport> {
        if self.quotas.is_empty() || self.awaits_answer(now) {
            return None;
        }
        self.earned.earn(now);
        let is_due = self.reported_at.is_none_or(|at| now.saturating_duration_since(at) >= REPORT_INTERVAL);
        let wanted = self.wanted(now, waiting);
        if !is_due && wanted.is_empty() {
            return None;
        }
        self.reports += 1;
        self.reported_at = Some(now);
        self.open = (!wanted.is_empty()).then_some((self.reports, now));
        self.asked.clone_from(&wanted);
        let spent = self.tenants.iter_mut().filter(|(_, held)| held.spent > 0);
        let spent = spent
            .map(|(tenant, held)| TokenCount { tenant: *tenant, tokens: std::mem::take(&mut held.spent) });
        Some(QuotaReport {
            life: self.life,
            number: self.reports,
            spent: spent.collect(),
            earned_nanos: u64::try_from(self.earned.hand_on().as_nanos()).unwrap_or(u64::MAX),
            wanted,
        })
    }

    fn on_grant(&mut self, now: Instant, grant: &QuotaGrant, pools: usize) {
        if self.open.is_none_or(|(number, _)| number != grant.number) {
            // It comes too late, or a second time. Tokens in it are lost.
            return;
        }
        self.open = None;
        for wanted in std::mem::take(&mut self.asked) {
            let granted = grant.granted.iter().find(|granted| granted.tenant == wanted.tenant);
            let tokens = granted.map_or(0, |granted| granted.tokens);
            let held = self.tenants.entry(wanted.tenant).or_default();
            if tokens > 0 {
                held.given.push((now + TOKEN_LIFETIME, tokens));
            }
            held.on_asked(now, tokens >= wanted.waiting, pools);
        }
    }
}

impl TenantTokens {
    fn take_given(&mut self, now: Instant) -> bool {
        self.given.retain(|(until, tokens)| *until > now && *tokens > 0);
        let Some((_, tokens)) = self.given.first_mut() else { return false };
        *tokens -= 1;
        true
    }

    /// Takes one of the `earned` tokens whose time is still kept here.
    fn take_earned(&mut self, earned: f64) -> bool {
        let is_left = earned >= f64::from(self.spent) + 1.0;
        self.spent += u32::from(is_left);
        is_left
    }

    /// Takes in that a pool had enough, or too few. Once as many in a row had too few as there are pools, there are none.
    fn on_asked(&mut self, now: Instant, had_enough: bool, pools: usize) {
        if had_enough {
            self.empty_pools = 0;
            self.exhausted_until = None;
            return;
        }
        self.empty_pools += 1;
        if self.empty_pools >= pools.max(1) {
            self.empty_pools = 0;
            self.exhausted_until = Some(now + EXHAUSTED_TIME);
        }
    }

    fn count_demand(&mut self, now: Instant) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = Some(now);
    }

    fn demand_now(&self, now: Instant) -> f64 {
        let Some(at) = self.demand_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.demand * 0.5_f64.powf(age)
    }

    /// Tokens that will be used soon, if requests come as they did.
    fn tokens_ahead(&self, now: Instant) -> u32 {
        let mean_life = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let expected = self.demand_now(now) / mean_life * AHEAD.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let expected = expected as u32;
        expected
    }
}
