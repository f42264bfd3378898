//! The tokens of which several nodes take.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_config::Quota;

use crate::message::{QuotaGrant, QuotaReport, TenantNumber, TokenCount, WantedTokens};
use crate::sharing::Quotas;

/// Time over which it is seen how much of the time of all nodes comes here.
const INFLOW_SPAN: Duration = Duration::from_secs(1);
/// Least number of tokens of a tenant that may be kept: with less than one none could ever be given.
const LEAST_KEPT: f64 = 2.0;
/// Part of what is kept that is given to requests that do not wait yet.
const AHEAD_SHARE: f64 = 0.25;
/// Most processes of which the last report is remembered.
const MAX_SENDERS: usize = 4_096;

/// Tokens of one tenant.
#[derive(Debug, Clone, Copy)]
struct PooledTokens {
    tokens: f64,
    /// How much time had come in when they were counted.
    counted_at: Duration,
}

/// The tokens that this node keeps for others. They come of the time that others hand on and of nothing else, so a pool that nobody uses is empty.
#[derive(Debug, Default)]
pub struct TokenPool {
    quotas: Quotas,
    /// Time handed on to this pool since its start.
    inflow: Duration,
    /// The latest parts of it, and when they came.
    lately: VecDeque<(Instant, Duration)>,
    tenants: HashMap<TenantNumber, PooledTokens>,
    /// Number of the last report of each process, so that none counts twice.
    senders: HashMap<u64, u64>,
}

impl TokenPool {
    /// Sets the quotas of the configuration in force.
    pub fn set_quotas(&mut self, quotas: Quotas) {
        self.tenants.retain(|tenant, _| quotas.contains_key(tenant));
        self.quotas = quotas;
    }

    /// Takes in what a node hands on, and gives it tokens. Absent for a report that came before.
    pub fn on_report(&mut self, now: Instant, report: &QuotaReport) -> Option<QuotaGrant> {
        if !self.is_news(report) {
            return None;
        }
        let earned = Duration::from_nanos(report.earned_nanos);
        self.inflow += earned;
        self.lately.push_back((now, earned));
        while self.lately.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) > INFLOW_SPAN) {
            self.lately.pop_front();
        }
        for spent in &report.spent {
            if let Some(pooled) = self.count(spent.tenant) {
                pooled.tokens -= f64::from(spent.tokens);
            }
        }
        let granted = report.wanted.iter().map(|wanted| self.grant(wanted)).collect();
        Some(QuotaGrant { number: report.number, granted })
    }

    fn is_news(&mut self, report: &QuotaReport) -> bool {
        if self.senders.len() >= MAX_SENDERS && !self.senders.contains_key(&report.life) {
            self.senders.clear();
        }
        let last = self.senders.entry(report.life).or_insert(0);
        let is_news = report.number > *last;
        *last = report.number.max(*last);
        is_news
    }

    fn grant(&mut self, wanted: &WantedTokens) -> TokenCount {
        let tenant = wanted.tenant;
        let Some(pooled) = self.count(tenant) else {
            // It has no quota by the configuration here, and the question is of another one.
            return TokenCount { tenant, tokens: 0 };
        };
        let waiting = wanted.waiting.min(whole(pooled.tokens));
        pooled.tokens -= f64::from(waiting);
        let ahead = wanted.ahead.min(whole(pooled.tokens * AHEAD_SHARE));
        pooled.tokens -= f64::from(ahead);
        TokenCount { tenant, tokens: waiting + ahead }
    }

    /// The tokens of `tenant`, brought up to date.
    fn count(&mut self, tenant: TenantNumber) -> Option<&mut PooledTokens> {
        let quota = *self.quotas.get(&tenant)?;
        let most = self.most_kept(quota);
        let inflow = self.inflow;
        // What came in before its first question is not lost, within what may be kept.
        let unseen = PooledTokens { tokens: 0.0, counted_at: Duration::ZERO };
        let pooled = self.tenants.entry(tenant).or_insert(unseen);
        let since = inflow.saturating_sub(pooled.counted_at).as_secs_f64();
        pooled.counted_at = inflow;
        pooled.tokens = (pooled.tokens + since * quota.rate.as_f64()).min(most);
        Some(pooled)
    }

    /// Most tokens that may be kept: as much of the burst as comes here of the time of all nodes, so that all pools together keep one burst.
    fn most_kept(&self, quota: Quota) -> f64 {
        let lately: Duration = self.lately.iter().map(|(_, earned)| *earned).sum();
        let part = (lately.as_secs_f64() / INFLOW_SPAN.as_secs_f64()).min(1.0);
        #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
        let burst = quota.burst as f64;
        (burst * part).max(LEAST_KEPT)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn whole(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
