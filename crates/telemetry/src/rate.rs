//! Rate limit of log lines, per kind of event.

use std::collections::BTreeMap;
use std::time::Instant;

/// Lines of one kind that may be logged in a burst.
const BURST: f64 = 200.0;
/// Sustained rate of log lines of one kind, per second.
const PER_SECOND: f64 = 40.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at: Instant,
    suppressed: u64,
}

/// Whether a line may be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// The line may be logged.
    Allow {
        /// Lines of the same kind suppressed since the last one that was logged.
        suppressed: u64,
    },
    /// The rate limit of its kind is exceeded.
    Suppress,
}

/// Token buckets, one per kind of event.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    buckets: BTreeMap<u16, Bucket>,
}

impl RateLimit {
    /// Takes a token from the bucket of the events with `number`, if it has one.
    pub(crate) fn take(&mut self, now: Instant, number: u16) -> Decision {
        let full = Bucket { tokens: BURST, refilled_at: now, suppressed: 0 };
        let bucket = self.buckets.entry(number).or_insert(full);
        let elapsed = now.saturating_duration_since(bucket.refilled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + elapsed * PER_SECOND).min(BURST);
        bucket.refilled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return Decision::Suppress;
        }
        bucket.tokens -= 1.0;
        Decision::Allow { suppressed: std::mem::take(&mut bucket.suppressed) }
    }
}
