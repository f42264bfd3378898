//! Token pools shared by several nodes.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_config::Quota;

use umberpond_model::TenantId;

use crate::held::TOKEN_LIFETIME;
use crate::message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
use crate::sharing::Quotas;

/// Window over which the pool's share of the time of all nodes is measured.
const INFLOW_WINDOW: Duration = Duration::from_secs(1);
/// Minimum capacity per tenant. With less, no token could ever be granted.
const MIN_CAPACITY: f64 = 1.0;
/// Minimum capacity per tenant of all pools together, however small the tenant's burst. A pool with a
/// capacity of one token would accrue nothing until that token is granted.
const MIN_TOTAL_CAPACITY: f64 = 16.0;
/// Fraction of the stored tokens that may be granted in advance.
const PREFETCH_SHARE: f64 = 0.25;
/// Time within which a granted token is used, returned or expired.
const GRANT_WINDOW: Duration = TOKEN_LIFETIME;
/// Interval between two calls of [`TokenPool::tick`] from which on the process counts as suspended, so that
/// reports queued up meanwhile.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(500);
/// Time within which queued reports arrive after a suspension.
const BACKLOG_DURATION: Duration = Duration::from_millis(50);
/// Time after its last report for which a process is remembered; longer than a datagram may be in transit.
const SENDER_RETENTION: Duration = Duration::from_secs(60);

/// Tokens of one tenant.
#[derive(Debug, Default)]
struct PooledTokens {
    tokens: f64,
    /// Value of [`TokenPool::inflow`] when `tokens` was last updated.
    inflow_at_update: Duration,
    /// Tokens granted within [`GRANT_WINDOW`], with the time of each grant.
    grants: VecDeque<(Instant, u32)>,
    granted_sum: u32,
}

/// State of a reporting process.
#[derive(Debug, Clone, Copy)]
struct Sender {
    /// Sequence number of its last report.
    number: u64,
    last_report_at: Instant,
}

/// Tokens that this node keeps for others. They accrue only from time that other nodes hand over, so a pool
/// without reports stays empty.
#[derive(Debug, Default)]
pub struct TokenPool {
    quotas: Quotas,
    /// Total time handed to this pool since its start.
    inflow: Duration,
    /// The inflow within [`INFLOW_WINDOW`], with the time of each part.
    recent_inflow: VecDeque<(Instant, Duration)>,
    /// Sum of the recent inflow.
    recent_inflow_sum: Duration,
    tenants: HashMap<TenantId, PooledTokens>,
    /// Reporting processes, to detect duplicate reports.
    senders: HashMap<u64, Sender>,
    next_cleanup_at: Option<Instant>,
    last_look_at: Option<Instant>,
    backlog_until: Option<Instant>,
}

impl TokenPool {
    /// Sets the quotas of the configuration in force.
    pub fn set_quotas(&mut self, quotas: Quotas) {
        self.tenants.retain(|tenant, _| quotas.contains_key(tenant));
        self.quotas = quotas;
    }

    /// Processes a report and returns the grant. Returns `None` for a report that was already processed.
    pub fn on_report(&mut self, now: Instant, report: &QuotaReport) -> Option<QuotaGrant> {
        if !self.is_new_report(now, report) {
            return None;
        }
        self.detect_suspension(now);
        if !self.is_backlog(now) {
            self.add_inflow(now, Duration::from_nanos(report.accrued_nanos));
        }
        for spent in &report.spent {
            if let Some((pooled, _)) = self.update(now, spent.tenant) {
                pooled.tokens -= f64::from(spent.tokens);
            }
        }
        for returned in &report.returned {
            if let Some((pooled, bounds)) = self.update(now, returned.tenant) {
                pooled.add(f64::from(returned.tokens), bounds);
            }
        }
        let granted = report.wanted.iter().map(|wanted| self.grant(now, wanted)).collect();
        Some(QuotaGrant { number: report.number, granted })
    }

    /// Records that this process is running. Has to be called at least once per longest pause, half a second.
    pub fn tick(&mut self, now: Instant) {
        self.detect_suspension(now);
        self.last_look_at = Some(now);
    }

    /// Detects that this process was suspended, so that reports queued up. The time handed over in them is
    /// discarded, because all of it together would exceed what the pool may store.
    fn detect_suspension(&mut self, now: Instant) {
        if self.last_look_at.is_some_and(|at| now.saturating_duration_since(at) > SUSPENSION_THRESHOLD) {
            self.backlog_until = Some(now + BACKLOG_DURATION);
        }
    }

    fn is_backlog(&self, now: Instant) -> bool {
        self.backlog_until.is_some_and(|until| now < until)
    }

    fn add_inflow(&mut self, now: Instant, accrued: Duration) {
        self.inflow += accrued;
        self.recent_inflow.push_back((now, accrued));
        self.recent_inflow_sum += accrued;
        while let Some((at, earlier)) = self.recent_inflow.front().copied() {
            if now.saturating_duration_since(at) <= INFLOW_WINDOW {
                return;
            }
            self.recent_inflow.pop_front();
            self.recent_inflow_sum -= earlier;
        }
    }

    fn is_new_report(&mut self, now: Instant, report: &QuotaReport) -> bool {
        self.drop_silent_senders(now);
        let QuotaReport { process_id, number, .. } = *report;
        let sender = self.senders.entry(process_id).or_insert(Sender { number: 0, last_report_at: now });
        if number <= sender.number {
            return false;
        }
        *sender = Sender { number, last_report_at: now };
        true
    }

    fn drop_silent_senders(&mut self, now: Instant) {
        if self.next_cleanup_at.is_some_and(|at| now < at) {
            return;
        }
        self.next_cleanup_at = Some(now + SENDER_RETENTION);
        self.senders
            .retain(|_, sender| now.saturating_duration_since(sender.last_report_at) < SENDER_RETENTION);
    }

    fn grant(&mut self, now: Instant, wanted: &WantedTokens) -> TokenCount {
        let tenant = wanted.tenant;
        let Some((pooled, _)) = self.update(now, tenant) else {
            // The tenant has no quota in this node's configuration; the sender uses another version of it.
            return TokenCount { tenant, tokens: 0 };
        };
        let waiting = wanted.waiting.min(whole_tokens(pooled.tokens));
        pooled.tokens -= f64::from(waiting);
        let ahead = wanted.ahead.min(whole_tokens(pooled.tokens * PREFETCH_SHARE));
        pooled.tokens -= f64::from(ahead);
        pooled.record_grant(now, waiting + ahead);
        TokenCount { tenant, tokens: waiting + ahead }
    }

    /// The tokens of `tenant`, updated to the present, and their bounds.
    fn update(&mut self, now: Instant, tenant: TenantId) -> Option<(&mut PooledTokens, TokenBounds)> {
        let quota = *self.quotas.get(&tenant)?;
        let bounds = self.bounds(quota);
        let inflow = self.inflow;
        // A new entry starts at zero, so inflow from before the tenant's first request counts, up to the
        // capacity.
        let pooled = self.tenants.entry(tenant).or_default();
        let since = inflow.saturating_sub(pooled.inflow_at_update).as_secs_f64();
        pooled.inflow_at_update = inflow;
        pooled.drop_old_grants(now);
        pooled.add(since * quota.rate.as_f64(), bounds);
        Some((pooled, bounds))
    }

    /// The pool's capacity is the same fraction of the burst as its fraction of the time of all nodes, so
    /// that all pools together store one burst.
    fn bounds(&self, quota: Quota) -> TokenBounds {
        let part = (self.recent_inflow_sum.as_secs_f64() / INFLOW_WINDOW.as_secs_f64()).min(1.0);
        #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
        let burst = quota.burst as f64;
        let max_stored = (burst.max(MIN_TOTAL_CAPACITY) * part).max(MIN_CAPACITY);
        let max_granted = quota.rate.as_f64() * part * GRANT_WINDOW.as_secs_f64();
        TokenBounds { max_stored, max_stored_and_granted: max_stored + max_granted }
    }
}

/// Capacity of a pool for one tenant.
#[derive(Debug, Clone, Copy)]
struct TokenBounds {
    /// Maximum number of stored tokens.
    max_stored: f64,
    /// Maximum number of tokens stored and granted within [`GRANT_WINDOW`]. Without it, tokens that are granted
    /// and returned repeatedly would add up.
    max_stored_and_granted: f64,
}

impl PooledTokens {
    fn add(&mut self, tokens: f64, bounds: TokenBounds) {
        let room = (bounds.max_stored_and_granted - f64::from(self.granted_sum)).max(self.tokens);
        self.tokens = (self.tokens + tokens).min(bounds.max_stored).min(room);
    }

    fn record_grant(&mut self, now: Instant, tokens: u32) {
        if tokens > 0 {
            self.grants.push_back((now, tokens));
            self.granted_sum += tokens;
        }
    }

    fn drop_old_grants(&mut self, now: Instant) {
        while let Some((at, tokens)) = self.grants.front().copied() {
            if now.saturating_duration_since(at) <= GRANT_WINDOW {
                return;
            }
            self.grants.pop_front();
            self.granted_sum -= tokens;
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn whole_tokens(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
