//! Bounds the lines of each kind of event.

use std::collections::BTreeMap;
use std::time::Instant;

/// Lines of one kind that may be told at once.
const BURST: f64 = 200.0;
/// Lines of one kind that may be told in each second, in the long run.
const PER_SECOND: f64 = 40.0;

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    filled_at: Instant,
    suppressed: u64,
}

/// Whether a line may be told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It may; so many of its kind were suppressed before it.
    Tell {
        /// Lines suppressed since the last one that was told.
        suppressed: u64,
    },
    /// Too many of its kind were told lately.
    Suppress,
}

/// One token bucket a kind of event.
#[derive(Debug, Default)]
pub(crate) struct RateLimit {
    buckets: BTreeMap<u16, Bucket>,
}

impl RateLimit {
    /// Takes a token of the kind `number`.
    pub(crate) fn take(&mut self, now: Instant, number: u16) -> Verdict {
        let full = Bucket { tokens: BURST, filled_at: now, suppressed: 0 };
        let bucket = self.buckets.entry(number).or_insert(full);
        let passed = now.saturating_duration_since(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + passed * PER_SECOND).min(BURST);
        bucket.filled_at = now;
        if bucket.tokens < 1.0 {
            bucket.suppressed += 1;
            return Verdict::Suppress;
        }
        bucket.tokens -= 1.0;
        Verdict::Tell { suppressed: std::mem::take(&mut bucket.suppressed) }
    }
}
