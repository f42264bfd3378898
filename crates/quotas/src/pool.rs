//! The tokens of which several nodes take.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use umberpond_config::Quota;

use umberpond_model::TenantId;

use crate::held::TOKEN_LIFETIME;
use crate::message::{QuotaGrant, QuotaReport, TokenCount, WantedTokens};
use crate::sharing::Quotas;

/// Time over which it is seen how much of the time of all nodes comes here.
const INFLOW_SPAN: Duration = Duration::from_secs(1);
/// Least number of tokens of a tenant that may be kept: with less none could ever be given.
const LEAST_KEPT: f64 = 1.0;
/// Tokens of a tenant that all pools together may keep however small its burst is: a pool that keeps one token at most earns nothing while that waits.
const LEAST_KEPT_BY_ALL: f64 = 16.0;
/// Part of what is kept that is given to requests that do not wait yet.
const AHEAD_SHARE: f64 = 0.25;
/// Time within which a token that was given is used, given back or lost.
const GIVEN_SPAN: Duration = TOKEN_LIFETIME;
/// Time between two looks after which this process did not run, and reports have waited here.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// Time for which reports that have waited come in.
const BACKLOG_TIME: Duration = Duration::from_millis(50);
/// Time after its last report for which a process is remembered: longer than a datagram is on its way.
const SENDER_MEMORY: Duration = Duration::from_secs(60);

/// Tokens of one tenant.
#[derive(Debug, Default)]
struct PooledTokens {
    tokens: f64,
    /// How much time had come in when they were counted.
    counted_at: Duration,
    /// Those given within [`GIVEN_SPAN`], and when.
    given: VecDeque<(Instant, u32)>,
    given_sum: u32,
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
    tenants: HashMap<TenantId, PooledTokens>,
    /// The processes that have reported, so that no report counts twice.
    senders: HashMap<u64, Sender>,
    forget_next_at: Option<Instant>,
    looked_at: Option<Instant>,
    backlog_until: Option<Instant>,
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
        self.find_pause(now);
        if !self.is_backlog(now) {
            self.take_in(now, Duration::from_nanos(report.earned_nanos));
        }
        for spent in &report.spent {
            if let Some((pooled, _)) = self.count(now, spent.tenant) {
                pooled.tokens -= f64::from(spent.tokens);
            }
        }
        for returned in &report.returned {
            if let Some((pooled, bounds)) = self.count(now, returned.tenant) {
                pooled.add(f64::from(returned.tokens), bounds);
            }
        }
        let granted = report.wanted.iter().map(|wanted| self.grant(now, wanted)).collect();
        Some(QuotaGrant { number: report.number, granted })
    }

    /// Takes in that this process runs. It is told so at least each time that the longest pause lasts.
    pub fn look(&mut self, now: Instant) {
        self.find_pause(now);
        self.looked_at = Some(now);
    }

    /// Finds that this process did not run, so that reports have waited here. What was handed on in them is lost: all of it together
    /// would be more than is kept otherwise.
    fn find_pause(&mut self, now: Instant) {
        if self.looked_at.is_some_and(|at| now.saturating_duration_since(at) > LONGEST_PAUSE) {
            self.backlog_until = Some(now + BACKLOG_TIME);
        }
    }

    fn is_backlog(&self, now: Instant) -> bool {
        self.backlog_until.is_some_and(|until| now < until)
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

    fn grant(&mut self, now: Instant, wanted: &WantedTokens) -> TokenCount {
        let tenant = wanted.tenant;
        let Some((pooled, _)) = self.count(now, tenant) else {
            // It has no quota by the configuration here, and the question is of another one.
            return TokenCount { tenant, tokens: 0 };
        };
        let waiting = wanted.waiting.min(whole(pooled.tokens));
        pooled.tokens -= f64::from(waiting);
        let ahead = wanted.ahead.min(whole(pooled.tokens * AHEAD_SHARE));
        pooled.tokens -= f64::from(ahead);
        pooled.count_given(now, waiting + ahead);
        TokenCount { tenant, tokens: waiting + ahead }
    }

    /// The tokens of `tenant`, brought up to date, and their bounds.
    fn count(&mut self, now: Instant, tenant: TenantId) -> Option<(&mut PooledTokens, TokenBounds)> {
        let quota = *self.quotas.get(&tenant)?;
        let bounds = self.bounds(quota);
        let inflow = self.inflow;
        // What came in before its first question is not lost, within what may be kept.
        let pooled = self.tenants.entry(tenant).or_default();
        let since = inflow.saturating_sub(pooled.counted_at).as_secs_f64();
        pooled.counted_at = inflow;
        pooled.forget_given(now);
        pooled.add(since * quota.rate.as_f64(), bounds);
        Some((pooled, bounds))
    }

    /// As much of the burst is kept as comes here of the time of all nodes, so that all pools together keep one burst.
    fn bounds(&self, quota: Quota) -> TokenBounds {
        let part = (self.lately_sum.as_secs_f64() / INFLOW_SPAN.as_secs_f64()).min(1.0);
        #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
        let burst = quota.burst as f64;
        let most_kept = (burst.max(LEAST_KEPT_BY_ALL) * part).max(LEAST_KEPT);
        let most_out = quota.rate.as_f64() * part * GIVEN_SPAN.as_secs_f64();
        TokenBounds { most_kept, most_usable: most_kept + most_out }
    }
}

/// Most tokens of one tenant that a pool may hold.
#[derive(Debug, Clone, Copy)]
struct TokenBounds {
    /// Kept here.
    most_kept: f64,
    /// Kept here and given to nodes within [`GIVEN_SPAN`]: without it tokens that go back and forth would add up.
    most_usable: f64,
}

impl PooledTokens {
    fn add(&mut self, tokens: f64, bounds: TokenBounds) {
        let room = (bounds.most_usable - f64::from(self.given_sum)).max(self.tokens);
        self.tokens = (self.tokens + tokens).min(bounds.most_kept).min(room);
    }

    fn count_given(&mut self, now: Instant, tokens: u32) {
        if tokens > 0 {
            self.given.push_back((now, tokens));
            self.given_sum += tokens;
        }
    }

    fn forget_given(&mut self, now: Instant) {
        while let Some((at, tokens)) = self.given.front().copied() {
            if now.saturating_duration_since(at) <= GIVEN_SPAN {
                return;
            }
            self.given.pop_front();
            self.given_sum -= tokens;
        }
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
fn whole(tokens: f64) -> u32 {
    tokens.max(0.0) as u32
}
