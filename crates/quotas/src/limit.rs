//! Tracks whether a tenant is at its limit, as seen by one node.
//!
//! A tenant is at its limit once every pool in succession had too few tokens. Its requests are then refused
//! immediately until a pool has enough. If many requests are expected, pools are probed at intervals, so that
//! the tokens the tenant is entitled to are here when the requests arrive.

use std::time::{Duration, Instant};

/// How long requests are refused immediately after all pools had too few tokens.
const EXHAUSTED_TIME: Duration = Duration::from_millis(100);
/// The same if pools are probed; two grants may be lost or late.
const PROBED_EXHAUSTED_TIME: Duration = Duration::from_millis(250);
/// Interval between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// State derived from the latest grants.
#[derive(Debug, Default)]
pub(crate) struct LimitState {
    /// Number of successive pools that had too few tokens.
    empty_pools: usize,
    exhausted_until: Option<Instant>,
    /// When the next probe is due.
    probe_at: Option<Instant>,
}

/// Result of a token request, with what is known of the tenant.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TokenResponse {
    /// Whether the pool had all requested tokens.
    pub(crate) had_enough: bool,
    /// Number of pools used in rotation.
    pub(crate) pools: usize,
    /// Mean number of tokens that each pool accrues while requests are refused immediately.
    pub(crate) accrued_meanwhile: f64,
    /// Requests expected at this node until the next probe.
    pub(crate) expected: u32,
}

impl LimitState {
    /// Records the result of a token request.
    pub(crate) fn on_response(&mut self, now: Instant, response: TokenResponse) {
        if response.had_enough {
            *self = Self::default();
            return;
        }
        self.empty_pools += 1;
        let pools = response.pools.max(1);
        if self.empty_pools < pools {
            return;
        }
        // Pools that accrue several tokens in that time run empty together. For a small tenant one pool may
        // be empty while others aren't.
        let run_empty_together = response.accrued_meanwhile >= 1.0;
        self.empty_pools = if run_empty_together { pools - 1 } else { 0 };
        let is_probed = run_empty_together && response.expected > 0;
        let time = if is_probed { PROBED_EXHAUSTED_TIME } else { EXHAUSTED_TIME };
        self.exhausted_until = Some(now + time);
        self.probe_at = is_probed.then(|| now + PROBE_INTERVAL);
    }

    /// Remaining time for which requests are refused immediately.
    pub(crate) fn exhausted_for(&self, now: Instant) -> Option<Duration> {
        let left = self.exhausted_until?.saturating_duration_since(now);
        (!left.is_zero()).then_some(left)
    }

    /// Whether to send a token request although no request waits.
    pub(crate) fn is_probe_due(&self, now: Instant) -> bool {
        self.probe_at.is_some_and(|at| at <= now) && self.exhausted_for(now).is_some()
    }
}

/// Tokens that each of `pools` accrues for a tenant with `rate` requests per second while requests are
/// refused immediately.
pub(crate) fn accrued_meanwhile(rate: f64, pools: usize) -> f64 {
    #[allow(clippy::cast_precision_loss, reason = "few")]
    let pools = pools.max(1) as f64;
    rate * EXHAUSTED_TIME.as_secs_f64() / pools
}
