//! Tokens and demand of one tenant at one node.

use std::time::{Duration, Instant};

use crate::limit::LimitState;

/// Lifetime of a token, counted from the report that requested it. It is short, however long the grant was in
/// transit, so that few tokens exist outside the pools.
pub(crate) const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// Remaining lifetime at which an unused token is returned to a pool: two polling intervals of a node.
const RETURN_BEFORE_EXPIRY: Duration = Duration::from_millis(100);
/// Time span for which tokens are requested in advance.
const PREFETCH_TIME: Duration = Duration::from_millis(100);
/// Half-life of the measured demand.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);

/// Granted tokens with a common expiry.
#[derive(Debug, Clone, Copy)]
struct GrantedTokens {
    expires_at: Instant,
    tokens: u32,
}

/// The tokens of one tenant at this node, and its recent demand.
#[derive(Debug, Default)]
pub(crate) struct HeldTokens {
    granted: Vec<GrantedTokens>,
    /// Tokens spent out of the accrued time that this node still stores.
    spent: u32,
    /// Recent requests, exponentially decayed.
    demand: f64,
    demand_at: Option<Instant>,
    /// Whether the pools have tokens of the tenant.
    pub(crate) limit: LimitState,
}

impl HeldTokens {
    /// Adds tokens that were granted or returned by a request.
    pub(crate) fn add(&mut self, now: Instant, expires_at: Instant, tokens: u32) {
        if tokens > 0 && expires_at > now {
            self.granted.push(GrantedTokens { expires_at, tokens });
        }
    }

    /// Takes the token that expires first. Returns its expiry.
    pub(crate) fn take_granted(&mut self, now: Instant) -> Option<Instant> {
        let is_valid = |granted: &&mut GrantedTokens| granted.expires_at > now && granted.tokens > 0;
        let first = self.granted.iter_mut().filter(is_valid).min_by_key(|granted| granted.expires_at)?;
        first.tokens -= 1;
        Some(first.expires_at)
    }

    /// Takes one of the `accrued` tokens backed by the accrued time that this node still stores.
    pub(crate) fn take_accrued(&mut self, accrued: f64) -> bool {
        let is_available = accrued >= f64::from(self.spent) + 1.0;
        self.spent += u32::from(is_available);
        is_available
    }

    /// Takes out the number of tokens spent from the accrued time.
    pub(crate) const fn take_spent(&mut self) -> u32 {
        std::mem::replace(&mut self.spent, 0)
    }

    /// Drops expired tokens. Returns their number.
    pub(crate) fn drop_expired(&mut self, now: Instant) -> u32 {
        let is_expired = |granted: &&GrantedTokens| granted.expires_at <= now;
        let expired = self.granted.iter().filter(is_expired).map(|granted| granted.tokens).sum();
        self.granted.retain(|granted| granted.expires_at > now && granted.tokens > 0);
        expired
    }

    /// Whether unused tokens are about to expire.
    pub(crate) fn has_unused(&self, now: Instant) -> bool {
        self.granted.iter().any(|granted| granted.tokens > 0 && granted.is_expiring(now))
    }

    /// Takes out the unused tokens that are about to expire.
    pub(crate) fn take_unused(&mut self, now: Instant) -> u32 {
        let unused = self
            .granted
            .iter()
            .filter(|granted| granted.is_expiring(now))
            .map(|granted| granted.tokens)
            .sum();
        self.granted.retain(|granted| !granted.is_expiring(now));
        unused
    }

    /// Records the arrival of a request.
    pub(crate) fn count_demand(&mut self, now: Instant) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = Some(now);
    }

    fn demand_now(&self, now: Instant) -> f64 {
        let Some(at) = self.demand_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.demand * 0.5_f64.powf(age)
    }

    /// Number of tokens that will soon be needed if requests keep arriving at the present rate.
    pub(crate) fn tokens_to_prefetch(&self, now: Instant) -> u32 {
        let time_constant = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let expected = self.demand_now(now) / time_constant * PREFETCH_TIME.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let expected = expected as u32;
        expected
    }
}

impl GrantedTokens {
    fn is_expiring(&self, now: Instant) -> bool {
        self.expires_at.saturating_duration_since(now) <= RETURN_BEFORE_EXPIRY
    }
}
