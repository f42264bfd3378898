//! Lets the requests of tenants through within their quotas.

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

/// Shortest time between two accounts of the refusals of one tenant.
const ACCOUNT_PERIOD: Duration = Duration::from_secs(5);

/// A tenant is at its limit; the request has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OverQuota {
    /// Shortest time after which a token can be expected.
    pub(crate) next_token_in: Duration,
    /// The refusals of the tenant since they were last told. Absent if that is not long ago.
    pub(crate) to_tell: Option<QuotaRefusals>,
}

/// Requests of one tenant that were refused over its quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct QuotaRefusals {
    pub(crate) refused: u64,
    pub(crate) period: Duration,
}

/// What is counted of the refusals of one tenant, and since when.
#[derive(Debug, Clone, Copy)]
struct RefusalCount {
    refused: u64,
    since: Instant,
}

/// The quotas as this node keeps them, and its pool of tokens for others.
#[derive(Debug)]
pub struct QuotaGate {
    state: Mutex<State>,
    /// Told when a request waits for a token.
    token_wanted: Notify,
}

/// What comes of asking for a token.
enum TokenTurn {
    /// One is granted, or refused.
    Told(TokenDecision),
    /// Others are asked; what comes of it is told here.
    Waits(oneshot::Receiver<TokenDecision>),
}

#[derive(Debug)]
struct State {
    sharing: Box<dyn QuotaSharing>,
    pool: TokenPool,
    has_quotas: bool,
    waiting: HashMap<TenantId, VecDeque<oneshot::Sender<TokenDecision>>>,
    refusals: HashMap<TenantId, RefusalCount>,
    /// Tokens that nobody used and that were told of.
    told_expired: u64,
}

impl QuotaGate {
    /// A gate over quotas that are shared by `sharing`.
    #[must_use]
    pub fn new(sharing: Box<dyn QuotaSharing>) -> Arc<Self> {
        let state = State {
            sharing,
            pool: TokenPool::default(),
            has_quotas: false,
            waiting: HashMap::new(),
            refusals: HashMap::new(),
            told_expired: 0,
        };
        Arc::new(Self { state: Mutex::new(state), token_wanted: Notify::new() })
    }

    /// Waits for a token for one request of `tenant`, at the latest until `until`.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        tenant: &TenantName,
        until: Instant,
    ) -> Result<QuotaPermit, OverQuota> {
        let number = TenantId::of(tenant);
        let answer = match self.take(number) {
            TokenTurn::Told(answer) => answer,
            TokenTurn::Waits(waiter) => {
                self.token_wanted.notify_one();
                let until = until.min(Instant::now() + MAX_TOKEN_WAIT);
                let told = timeout_at(until, waiter).await;
                told.ok().and_then(Result::ok).unwrap_or(TokenDecision::Refused)
            }
        };
        let TokenDecision::Granted { expires_at } = answer else { return Err(self.over_quota(number)) };
        Ok(QuotaPermit { gate: Arc::clone(self), tenant: number, expires_at })
    }

    fn over_quota(&self, tenant: TenantId) -> OverQuota {
        let mut state = self.state.lock();
        OverQuota {
            next_token_in: state.sharing.next_token_in(now(), tenant),
            to_tell: state.count_refusal(tenant, Instant::now()),
        }
    }

    /// Tokens that this node was given and nobody used, since the last call.
    pub fn take_expired_tokens(&self) -> u64 {
        let mut state = self.state.lock();
        let expired = state.sharing.expired_tokens();
        expired - std::mem::replace(&mut state.told_expired, expired)
    }

    fn take(&self, tenant: TenantId) -> TokenTurn {
        let mut state = self.state.lock();
        state.sharing.on_request(now(), tenant);
        let answer = state.sharing.take(now(), tenant);
        if answer != TokenDecision::Ask {
            return TokenTurn::Told(answer);
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.entry(tenant).or_default().push_back(sender);
        TokenTurn::Waits(receiver)
    }

    /// Waits until a request needs a token that has to be asked for.
    pub async fn token_wanted(&self) {
        self.token_wanted.notified().await;
    }

    /// Sets the quotas of the configuration in force.
    pub(crate) fn set_quotas(&self, quotas: Quotas) {
        let mut state = self.state.lock();
        state.has_quotas = !quotas.is_empty();
        state.refusals.retain(|tenant, _| quotas.contains_key(tenant));
        state.pool.set_quotas(quotas.clone());
        state.sharing.set_quotas(quotas);
    }

    /// Sets the number of nodes that share the quotas, those included that can't be reached.
    pub(crate) fn set_sharing_nodes(&self, count: usize) {
        self.state.lock().sharing.set_sharing_nodes(now(), count);
    }

    /// Whether any tenant has a quota by the configuration in force.
    pub fn has_quotas(&self) -> bool {
        self.state.lock().has_quotas
    }

    /// What to tell a pool now, if anything.
    pub fn next_report(&self) -> Option<QuotaReport> {
        let mut state = self.state.lock();
        state.drop_gone();
        state.pool.look(now());
        let count = |queue: &VecDeque<_>| u32::try_from(queue.len()).unwrap_or(u32::MAX);
        let waiting = state.waiting.iter().map(|(tenant, queue)| (*tenant, count(queue))).collect();
        state.sharing.next_report(now(), &waiting)
    }

    /// Takes in what another node hands on, as a pool; gives the answer, if there is one.
    pub fn on_report(&self, report: &QuotaReport) -> Option<QuotaGrant> {
        self.state.lock().pool.on_report(now(), report)
    }

    /// Takes in the answer of one of so many pools.
    pub fn on_grant(&self, grant: &QuotaGrant, pools: usize) {
        let mut state = self.state.lock();
        state.sharing.on_grant(now(), grant, pools);
        state.tell_waiting();
    }

    fn give_back(&self, tenant: TenantId, expires_at: std::time::Instant) {
        self.state.lock().sharing.give_back(now(), tenant, expires_at);
    }
}

impl State {
    /// Tells those that wait what has come of it.
    fn tell_waiting(&mut self) {
        let Self { sharing, waiting, .. } = self;
        for (tenant, queue) in waiting.iter_mut() {
            while let Some(waiter) = queue.pop_front() {
                if waiter.is_closed() {
                    continue;
                }
                let answer = sharing.take(now(), *tenant);
                if answer == TokenDecision::Ask {
                    queue.push_front(waiter);
                    break;
                }
                let Err(TokenDecision::Granted { expires_at }) = waiter.send(answer) else { continue };
                sharing.give_back(now(), *tenant, expires_at);
            }
        }
    }

    /// Counts one refusal. The first one of a tenant begins a period.
    fn count_refusal(&mut self, tenant: TenantId, now: Instant) -> Option<QuotaRefusals> {
        let count = self.refusals.entry(tenant).or_insert(RefusalCount { refused: 0, since: now });
        count.refused += 1;
        let period = now.saturating_duration_since(count.since);
        if period < ACCOUNT_PERIOD {
            return None;
        }
        let refused = std::mem::replace(count, RefusalCount { refused: 0, since: now }).refused;
        Some(QuotaRefusals { refused, period })
    }

    /// Forgets those that wait no longer.
    fn drop_gone(&mut self) {
        self.waiting.retain(|_, queue| {
            queue.retain(|waiter| !waiter.is_closed());
            !queue.is_empty()
        });
    }
}

/// A token that a request holds.
#[derive(Debug)]
pub(crate) struct QuotaPermit {
    gate: Arc<QuotaGate>,
    tenant: TenantId,
    expires_at: std::time::Instant,
}

impl QuotaPermit {
    /// Gives the token back: the request has not run.
    pub(crate) fn give_back(self) {
        self.gate.give_back(self.tenant, self.expires_at);
    }
}
