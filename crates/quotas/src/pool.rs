//! The tokens of which several nodes take.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_config::Quota;

use umberpond_model::TenantNumber;

use crate::message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
use crate::sharing::Quotas;

/// Time over which it is seen how much of the time of all nodes comes here.
const INFLOW_SPAN: Duration = Duration::from_secs(1);
/// Least number of tokens of a tenant that may be kept: with less none could ever be given.
const LEAST_KEPT: f64 = 1.0;
/// Part of what is kept that is given to requests that do not wait yet.
const AHEAD_SHARE: f64 = 0.25;
/// Time after its last report for which a process is remembered: longer than a datagram is on its way.
const SENDER_MEMORY: Duration = Duration::from_secs(60);

/// Tokens of one tenant.
#[derive(Debug, Clone, Copy)]
struct PooledTokens {
    tokens: f64,
    /// How much time had come in when they were counted.
    counted_at: Duration,
}

/// What is remembered of a process that has reported.
#[derive(Debug, Clone, Copy)]
struct Sender {
    /// Number of its last report.
    number: u64,
    heard_at: Instant,
}

/// The tokens that this node keeps for others. They come of the time that others hand on and of nothing else, so a pool that nobody uses is empty.
#[derive(Debug, Default)]
pub struct TokenPool {
    quotas: Quotas,
    /// Time handed on to this pool since its start.
    inflow: Duration,
    /// The latest parts of it, and when they came.
    lately: VecDeque<(Instant, Duration)>,
    /// Their sum.
    lately_sum: Duration,
    tenants: HashMap<TenantNumber, PooledTokens>,
    /// The processes that have reported, so that no report counts twice.
    senders: HashMap<u64, Sender>,
    forget_next_at: Option<Instant>,
}

impl TokenPool {
    /// Sets the quotas of the configuration in force.
    pub fn set_quotas(&mut self, quotas: Quotas) {
        self.tenants.retain(|tenant, _| quotas.contains_key(tenant));
        self.quotas = quotas;
    }

    /// Takes in what a node hands on, and gives it tokens. Absent for a report that came before.
    pub fn on_report(&mut self, now: Instant, report: &QuotaReport) -> Option<QuotaGrant> {
        if !self.is_news(now, report) {
            return None;
        }
        self.take_in(now, Duration::from_nanos(report.earned_nanos));
        for spent in &report.spent {
            if let Some(pooled) = self.count(spent.tenant) {
                pooled.tokens -= f64::from(spent.tokens);
            }
        }
        let granted = report.wanted.iter().map(|wanted| self.grant(wanted)).collect();
        Some(QuotaGrant { number: report.number, granted })
    }

    fn take_in(&mut self, now: Instant, earned: Duration) {
        self.inflow += earned;
        self.lately.push_back((now, earned));
        self.lately_sum += earned;
        while let Some((at, earlier)) = self.lately.front().copied() {
            if now.saturating_duration_since(at) <= INFLOW_SPAN {
                return;
            }
            self.lately.pop_front();
            self.lately_sum -= earlier;
        }
    }

    fn is_news(&mut self, now: Instant, report: &QuotaReport) -> bool {
        self.forget_silent_senders(now);
        let QuotaReport { life, number, .. } = *report;
        let sender = self.senders.entry(life).or_insert(Sender { number: 0, heard_at: now });
        if number <= sender.number {
            return false;
        }
        *sender = Sender { number, heard_at: now };
        true
    }

    fn forget_silent_senders(&mut self, now: Instant) {
        if self.forget_next_at.is_some_and(|at| now < at) {
            return;
        }
        self.forget_next_at = Some(now + SENDER_MEMORY);
        self.senders.retain(|_, sender| now.saturating_duration_since(sender.heard_at) < SENDER_MEMORY);
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
        let part = (self.lately_sum.as_secs_f64() / INFLOW_SPAN.as_secs_f64()).min(1.0);
        #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
        let burst = quota.burst as f64;
        (burst * part).max(LEAST_KEPT)
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn whole(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
