//! Admits the requests of tenants within their quotas.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, timeout_at};
use umberpond_model::{TenantId, TenantName};
use umberpond_quotas::{
    MAX_TOKEN_WAIT, QuotaGrant, QuotaReport, QuotaSharing, Quotas, TokenDecision, TokenPool,
};

use crate::clock::now;

#[cfg(test)]
mod tests;

/// Minimum interval between two reports about the refusals of one tenant.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Error for a request of a tenant that is at its quota; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OverQuota {
    /// Minimum time until a token can be expected.
    pub(crate) next_token_in: Duration,
    /// Refusals of the tenant since the last report; `None` if no report is due.
    pub(crate) to_report: Option<QuotaRefusals>,
}

/// Number of requests of one tenant that were refused over its quota in a period.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRefusals {
    pub(crate) refused: u64,
    pub(crate) period: Duration,
}

/// Refusals of one tenant that have not been reported, and the start of the count.
#[derive(Debug, Clone, Copy)]
struct RefusalCount {
    refused: u64,
    since: Instant,
}

/// The quotas as this node applies them, and its pool of tokens for other nodes.
#[derive(Debug)]
pub struct QuotaGate {
    state: Mutex<State>,
    /// Notified when a request waits for a token.
    token_wanted: Notify,
}

/// Result of a token request.
enum TokenResult {
    /// The token is granted or refused.
    Decided(TokenDecision),
    /// Pools of other nodes have to be asked; the receiver gets the result.
    Waiting(oneshot::Receiver<TokenDecision>),
}

#[derive(Debug)]
struct State {
    sharing: Box<dyn QuotaSharing>,
    pool: TokenPool,
    has_quotas: bool,
    waiting: HashMap<TenantId, VecDeque<oneshot::Sender<TokenDecision>>>,
    refusals: HashMap<TenantId, RefusalCount>,
    /// Number of unused tokens that has been returned by `take_expired_tokens` so far.
    reported_expired: u64,
}

impl QuotaGate {
    /// Creates a gate for quotas that nodes share by `sharing`.
    #[must_use]
    pub fn new(sharing: Box<dyn QuotaSharing>) -> Arc<Self> {
        let state = State {
            sharing,
            pool: TokenPool::default(),
            has_quotas: false,
            waiting: HashMap::new(),
            refusals: HashMap::new(),
            reported_expired: 0,
        };
        Arc::new(Self { state: Mutex::new(state), token_wanted: Notify::new() })
    }

    /// Waits until `until` for a token for one request of `tenant`.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        tenant: &TenantName,
        until: Instant,
    ) -> Result<QuotaPermit, OverQuota> {
        let tenant_id = TenantId::of(tenant);
        let decision = match self.take(tenant_id) {
            TokenResult::Decided(decision) => decision,
            TokenResult::Waiting(waiter) => {
                self.token_wanted.notify_one();
                let until = until.min(Instant::now() + MAX_TOKEN_WAIT);
                let result = timeout_at(until, waiter).await;
                result.ok().and_then(Result::ok).unwrap_or(TokenDecision::Refused)
            }
        };
        let TokenDecision::Granted { expires_at } = decision else { return Err(self.over_quota(tenant_id)) };
        Ok(QuotaPermit { gate: Arc::clone(self), tenant: tenant_id, expires_at })
    }

    fn over_quota(&self, tenant: TenantId) -> OverQuota {
        let mut state = self.state.lock();
        OverQuota {
            next_token_in: state.sharing.next_token_in(now(), tenant),
            to_report: state.count_refusal(tenant, Instant::now()),
        }
    }

    /// Returns the number of tokens that were granted to this node and expired unused since the last call.
    pub fn take_expired_tokens(&self) -> u64 {
        let mut state = self.state.lock();
        let expired = state.sharing.expired_tokens();
        expired - std::mem::replace(&mut state.reported_expired, expired)
    }

    fn take(&self, tenant: TenantId) -> TokenResult {
        let mut state = self.state.lock();
        state.sharing.on_request(now(), tenant);
        let decision = state.sharing.take(now(), tenant);
        if decision != TokenDecision::Pending {
            return TokenResult::Decided(decision);
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.entry(tenant).or_default().push_back(sender);
        TokenResult::Waiting(receiver)
    }

    /// Waits until a request needs a token from the pool of another node.
    pub async fn token_wanted(&self) {
        self.token_wanted.notified().await;
    }

    /// Sets the quotas of the active configuration.
    pub(crate) fn set_quotas(&self, quotas: Quotas) {
        let mut state = self.state.lock();
        state.has_quotas = !quotas.is_empty();
        state.refusals.retain(|tenant, _| quotas.contains_key(tenant));
        state.pool.set_quotas(quotas.clone());
        state.sharing.set_quotas(quotas);
    }

    /// Sets the number of nodes that share the quotas, unreachable ones included.
    pub(crate) fn set_sharing_nodes(&self, count: usize) {
        self.state.lock().sharing.set_sharing_nodes(now(), count);
    }

    /// Whether any tenant has a quota in the active configuration.
    pub fn has_quotas(&self) -> bool {
        self.state.lock().has_quotas
    }

    /// Returns the report that is due to be sent to a pool, if any.
    pub fn next_report(&self) -> Option<QuotaReport> {
        let mut state = self.state.lock();
        state.drop_closed();
        state.pool.tick(now());
        let count = |queue: &VecDeque<_>| u32::try_from(queue.len()).unwrap_or(u32::MAX);
        let waiting = state.waiting.iter().map(|(tenant, queue)| (*tenant, count(queue))).collect();
        state.sharing.next_report(now(), &waiting)
    }

    /// Processes the report of another node as a pool; returns the grant to send back, if any.
    pub fn on_report(&self, report: &QuotaReport) -> Option<QuotaGrant> {
        self.state.lock().pool.on_report(now(), report)
    }

    /// Processes the grant of one of `pools` pools.
    pub fn on_grant(&self, grant: &QuotaGrant, pools: usize) {
        let mut state = self.state.lock();
        state.sharing.on_grant(now(), grant, pools);
        state.resolve_waiting();
    }

    fn give_back(&self, tenant: TenantId, expires_at: std::time::Instant) {
        self.state.lock().sharing.return_token(now(), tenant, expires_at);
    }
}

impl State {
    /// Resolves waiting token requests as far as tokens are available.
    fn resolve_waiting(&mut self) {
        let Self { sharing, waiting, .. } = self;
        for (tenant, queue) in waiting.iter_mut() {
            while let Some(waiter) = queue.pop_front() {
                if waiter.is_closed() {
                    continue;
                }
                let decision = sharing.take(now(), *tenant);
                if decision == TokenDecision::Pending {
                    queue.push_front(waiter);
                    break;
                }
                let Err(TokenDecision::Granted { expires_at }) = waiter.send(decision) else { continue };
                sharing.return_token(now(), *tenant, expires_at);
            }
        }
    }

    /// Counts one refusal. The first one of a tenant starts a period.
    fn count_refusal(&mut self, tenant: TenantId, now: Instant) -> Option<QuotaRefusals> {
        let count = self.refusals.entry(tenant).or_insert(RefusalCount { refused: 0, since: now });
        count.refused += 1;
        let period = now.saturating_duration_since(count.since);
        if period < REPORT_INTERVAL {
            return None;
        }
        let refused = std::mem::replace(count, RefusalCount { refused: 0, since: now }).refused;
        Some(QuotaRefusals { refused, period })
    }

    /// Removes token requests whose waiters have gone.
    fn drop_closed(&mut self) {
        self.waiting.retain(|_, queue| {
            queue.retain(|waiter| !waiter.is_closed());
            !queue.is_empty()
        });
    }
}

/// A token held by a request.
#[derive(Debug)]
pub(crate) struct QuotaPermit {
    gate: Arc<QuotaGate>,
    tenant: TenantId,
    expires_at: std::time::Instant,
}

impl QuotaPermit {
    /// Returns the token, since the request has not run.
    pub(crate) fn give_back(self) {
        self.gate.give_back(self.tenant, self.expires_at);
    }
}
