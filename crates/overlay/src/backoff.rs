//! Waits between attempts, with full jitter.

use rand::Rng;
use umberpond_model::Millis;

/// A random time below `bound`, which includes zero.
pub(crate) fn jitter(rng: &mut impl Rng, bound: Millis) -> Millis {
    if bound.0 == 0 {
        return bound;
    }
    Millis(rng.next_u64() % bound.0)
}

/// The wait after `failures` failures in a row: uniform between zero and a bound that doubles up to `cap`
/// ("full jitter", Brooker, "Exponential Backoff and Jitter", 2015).
pub(crate) fn full_jitter(rng: &mut impl Rng, failures: u32, base: Millis, cap: Millis) -> Millis {
    let doubled = base.0.saturating_mul(1 << failures.min(16));
    jitter(rng, Millis(doubled.min(cap.0)))
}
