//! Limits of the suspicion.

use std::time::Duration;

/// When a request that ends back ends is kept away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuarantineSettings {
    /// Ends of back ends that a request is blamed for, without an answer since, after which it is refused. One may be chance, and so may a second one where several back
    /// ends end for another reason; the users' rule counts from the third.
    pub crashes: usize,
    /// Time for which a request is refused after all but the last of these ends, so that the back ends are there again before the last one follows: with four back ends and half
    /// of their slots taken 1.00 of all other requests are served, and 0.96 without it.
    pub pause: Duration,
    /// Time after the last end for which findings are kept. A request that comes again later counts as a new one.
    pub lifetime: Duration,
    /// Most fingerprints of which findings are kept: at about 100 bytes each 400 KB.
    pub capacity: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            crashes: 3,
            pause: Duration::from_secs(4),
            lifetime: Duration::from_secs(24 * 3_600),
            capacity: 4_096,
        }
    }
}
