//! What one node holds and knows of one tenant.

use std::time::{Duration, Instant};

use crate::limit::LimitState;

/// How long after it was asked for a token is good, however long the answer was on its way, so that few are kept outside the pools.
pub(crate) const TOKEN_LIFETIME: Duration = Duration::from_millis(250);
/// Time before its end at which a token that nobody has used goes back to a pool: two looks of a node.
const RETURN_TIME: Duration = Duration::from_millis(100);
/// Time for which tokens are asked for ahead.
const AHEAD: Duration = Duration::from_millis(100);
/// Time after which what is known of a tenant's demand counts half.
const DEMAND_HALF_LIFE: Duration = Duration::from_millis(500);

/// Tokens that are good until the same moment.
#[derive(Debug, Clone, Copy)]
struct GivenTokens {
    expires_at: Instant,
    tokens: u32,
}

/// The tokens of one tenant at this node, and its demand.
#[derive(Debug, Default)]
pub(crate) struct HeldTokens {
    given: Vec<GivenTokens>,
    /// Tokens taken out of the time that is still kept here.
    spent: u32,
    /// Requests lately, each counted less with time.
    demand: f64,
    demand_at: Option<Instant>,
    /// Whether the pools have tokens of it.
    pub(crate) limit: LimitState,
}

impl HeldTokens {
    /// Takes in tokens that were given, or that a request has given back.
    pub(crate) fn add(&mut self, now: Instant, expires_at: Instant, tokens: u32) {
        if tokens > 0 && expires_at > now {
            self.given.push(GivenTokens { expires_at, tokens });
        }
    }

    /// Takes the token that ends first; gives the end of it.
    pub(crate) fn take_given(&mut self, now: Instant) -> Option<Instant> {
        let is_good = |given: &&mut GivenTokens| given.expires_at > now && given.tokens > 0;
        let first = self.given.iter_mut().filter(is_good).min_by_key(|given| given.expires_at)?;
        first.tokens -= 1;
        Some(first.expires_at)
    }

    /// Takes one of the `earned` tokens whose time is still kept here.
    pub(crate) fn take_earned(&mut self, earned: f64) -> bool {
        let is_left = earned >= f64::from(self.spent) + 1.0;
        self.spent += u32::from(is_left);
        is_left
    }

    /// Hands over the number of tokens taken out of the time that was kept here.
    pub(crate) const fn hand_over_spent(&mut self) -> u32 {
        std::mem::replace(&mut self.spent, 0)
    }

    /// Forgets the tokens that have ended; gives their number.
    pub(crate) fn drop_expired(&mut self, now: Instant) -> u32 {
        let is_expired = |given: &&GivenTokens| given.expires_at <= now;
        let expired = self.given.iter().filter(is_expired).map(|given| given.tokens).sum();
        self.given.retain(|given| given.expires_at > now && given.tokens > 0);
        expired
    }

    /// Whether tokens are about to end that nobody has used.
    pub(crate) fn has_unused(&self, now: Instant) -> bool {
        self.given.iter().any(|given| given.tokens > 0 && given.is_unused(now))
    }

    /// Hands over the tokens that are about to end.
    pub(crate) fn hand_over_unused(&mut self, now: Instant) -> u32 {
        let unused = self.given.iter().filter(|given| given.is_unused(now)).map(|given| given.tokens).sum();
        self.given.retain(|given| !given.is_unused(now));
        unused
    }

    /// Takes in that a request has come.
    pub(crate) fn count_demand(&mut self, now: Instant) {
        self.demand = self.demand_now(now) + 1.0;
        self.demand_at = Some(now);
    }

    fn demand_now(&self, now: Instant) -> f64 {
        let Some(at) = self.demand_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / DEMAND_HALF_LIFE.as_secs_f64();
        self.demand * 0.5_f64.powf(age)
    }

    /// Tokens that will be used soon, if requests come as they did.
    pub(crate) fn tokens_ahead(&self, now: Instant) -> u32 {
        let mean_life = DEMAND_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let expected = self.demand_now(now) / mean_life * AHEAD.as_secs_f64();
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
        let expected = expected as u32;
        expected
    }
}

impl GivenTokens {
    fn is_unused(&self, now: Instant) -> bool {
        self.expires_at.saturating_duration_since(now) <= RETURN_TIME
    }
}
