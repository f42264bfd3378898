//! The border behind which nodes share quotas.

use std::collections::HashMap;
use std::fmt::Debug;
use std::time::{Duration, Instant};

use umberpond_config::{Quota, Tenant};

use umberpond_model::TenantId;

use crate::message::{QuotaGrant, QuotaReport};

/// Longest time that a request waits for a token: as long as an answer that is on its way may bring one.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);

/// The quotas of one configuration; a tenant that is missing may send any number of requests.
pub type Quotas = HashMap<TenantId, Quota>;

/// The quotas of `tenants`.
pub fn quotas_of<'a>(tenants: impl IntoIterator<Item = &'a Tenant>) -> Quotas {
    let limited = tenants.into_iter().filter_map(|tenant| Some((TenantId::of(&tenant.name), tenant.quota?)));
    limited.collect()
}

/// What comes of asking for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may be sent.
    Granted {
        /// Until when the token may be given back.
        expires_at: Instant,
    },
    /// Others have to be asked; the answer to the report that follows may bring one.
    Ask,
    /// There is none: the tenant is at its limit.
    Refused,
}

/// How the nodes share quotas, as one of them sees it.
pub trait QuotaSharing: Debug + Send {
    /// Sets the quotas of the configuration in force.
    fn set_quotas(&mut self, quotas: Quotas);

    /// Sets the number of nodes that share them, those included that can't be reached.
    fn set_sharing_nodes(&mut self, now: Instant, count: usize);

    /// Takes in that a request of `tenant` has come.
    fn on_request(&mut self, now: Instant, tenant: TenantId);

    /// Takes a token for one request of `tenant`.
    fn take(&mut self, now: Instant, tenant: TenantId) -> TokenDecision;

    /// Takes a token back whose request has not run. After `expires_at` it is lost.
    fn give_back(&mut self, now: Instant, tenant: TenantId, expires_at: Instant);

    /// Shortest time after which a token of a tenant can be expected that was refused one.
    fn next_token_in(&self, now: Instant, tenant: TenantId) -> Duration;

    /// Tokens that were given and that nobody used, since the start.
    fn expired_tokens(&self) -> u64;

    /// What to tell a pool now. `waiting` counts the requests that wait for a token.
    fn next_report(&mut self, now: Instant, waiting: &HashMap<TenantId, u32>) -> Option<QuotaReport>;

    /// Takes in the answer of a pool; `pools` are asked in turn.
    fn on_grant(&mut self, now: Instant, grant: &QuotaGrant, pools: usize);
}
