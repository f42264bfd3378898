//! Whether a tenant is at its limit, as one node sees it.
//!
//! A tenant is at its limit once every pool in a row had too few tokens. Until a pool has enough its requests are refused at once; where many come,
//! pools are asked ahead of them at intervals, so that what the tenant may have is there when they come.

use std::time::{Duration, Instant};

/// How long requests are refused at once after all pools had too few tokens.
const EXHAUSTED_TIME: Duration = Duration::from_millis(100);
/// The same where pools are asked ahead: two answers may be missing, or late.
const PROBED_EXHAUSTED_TIME: Duration = Duration::from_millis(250);
/// Time after which a pool is asked again ahead of requests.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// What pools have answered lately.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    /// Pools in a row that had too few.
    empty_pools: usize,
    exhausted_until: Option<Instant>,
    /// When a pool is asked again though no request waits.
    probe_at: Option<Instant>,
}

/// What a pool has answered, and what is known of the tenant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolAnswer {
    /// Whether it had as many tokens as were asked for.
    pub(crate) had_enough: bool,
    /// Pools that are asked in turn.
    pub(crate) pools: usize,
    /// Tokens that each pool earns on average while requests are refused at once.
    pub(crate) earned_meanwhile: f64,
    /// Requests that are expected here until a pool is asked again.
    pub(crate) expected: u32,
}

impl LimitState {
    /// Takes in the answer of a pool.
    pub(crate) fn on_answer(&mut self, now: Instant, answer: PoolAnswer) {
        if answer.had_enough {
            *self = Self::default();
            return;
        }
        self.empty_pools += 1;
        let pools = answer.pools.max(1);
        if self.empty_pools < pools {
            return;
        }
        // Pools that earn several tokens meanwhile are empty only together. Of a small tenant one may be empty while others are not.
        let is_one_enough = answer.earned_meanwhile >= 1.0;
        self.empty_pools = if is_one_enough { pools - 1 } else { 0 };
        let is_probed = is_one_enough && answer.expected > 0;
        let time = if is_probed { PROBED_EXHAUSTED_TIME } else { EXHAUSTED_TIME };
        self.exhausted_until = Some(now + time);
        self.probe_at = is_probed.then(|| now + PROBE_INTERVAL);
    }

    /// Time for which requests are refused at once.
    pub(crate) fn exhausted_for(&self, now: Instant) -> Option<Duration> {
        let left = self.exhausted_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether a pool is to be asked though no request waits.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.probe_at.is_some_and(|at| at <= now) && self.exhausted_for(now).is_some()
    }
}

/// Tokens that each of `pools` earns of a tenant of `rate` requests a second while requests are refused at once.
pub(crate) fn earned_meanwhile(rate: f64, pools: usize) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "few")]
    let pools = pools.max(1) as f64;
    rate * EXHAUSTED_TIME.as_secs_f64() / pools
}
