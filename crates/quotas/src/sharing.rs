//! Interface of the quota-sharing implementations.

use std::collections::HashMap;
use std::fmt::Debug;
use std::time::{Duration, Instant};

use umberpond_config::{Quota, Tenant};

use umberpond_model::TenantId;

use crate::message::{QuotaGrant, QuotaReport};

/// Longest time that a request waits for a token: as long as a pending grant may still bring one.
pub const MAX_TOKEN_WAIT: Duration = Duration::from_millis(250);

/// The quotas of one configuration. A tenant without an entry is unlimited.
pub type Quotas = HashMap<TenantId, Quota>;

/// The quotas of `tenants`.
pub fn quotas_of<'a>(tenants: impl IntoIterator<Item = &'a Tenant>) -> Quotas {
    let limited = tenants.into_iter().filter_map(|tenant| Some((TenantId::of(&tenant.name), tenant.quota?)));
    limited.collect()
}

/// Outcome of taking a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may be sent.
    Granted {
        /// Expiry of the token, until which it may be returned.
        expires_at: Instant,
    },
    /// A pool has to be asked first; its grant may bring a token.
    Pending,
    /// No token is available: the tenant is at its limit.
    Refused,
}

/// Shares quotas between the nodes, as seen by one of them.
pub trait QuotaSharing: Debug + Send {
    /// Sets the quotas of the configuration in force.
    fn set_quotas(&mut self, quotas: Quotas);

    /// Sets the number of nodes that share the quotas, including unreachable ones.
    fn set_sharing_nodes(&mut self, now: Instant, count: usize);

    /// Records the arrival of a request of `tenant`.
    fn on_request(&mut self, now: Instant, tenant: TenantId);

    /// Takes a token for one request of `tenant`.
    fn take(&mut self, now: Instant, tenant: TenantId) -> TokenDecision;

    /// Returns the token of a request that has not run. The token is lost after `expires_at`.
    fn return_token(&mut self, now: Instant, tenant: TenantId, expires_at: Instant);

    /// Shortest time after which a tenant that was refused can expect a token.
    fn next_token_in(&self, now: Instant, tenant: TenantId) -> Duration;

    /// Number of tokens that expired unused since the start.
    fn expired_tokens(&self) -> u64;

    /// The report to send to a pool now, if any. `waiting` counts the requests that wait for a token.
    fn next_report(&mut self, now: Instant, waiting: &HashMap<TenantId, u32>) -> Option<QuotaReport>;

    /// Processes a grant; `pools` is the number of pools used in rotation.
    fn on_grant(&mut self, now: Instant, grant: &QuotaGrant, pools: usize);
}
