//! State and settings shared by the submissions of one node.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Semaphore;
use umberpond_store::BackoffSettings;

use crate::base::BaseCache;
use crate::chain::ChainReader;

/// Wall-clock time in milliseconds since the Unix epoch. Only stored in records for information; no decision
/// depends on it.
pub type UnixClock = Arc<dyn Fn() -> u64 + Send + Sync>;

/// Limits of an acceptor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AcceptorSettings {
    /// Longest time for one submission.
    pub deadline: Duration,
    /// Number of rounds that a submission may lose to others before it is refused.
    pub max_tries: u32,
    /// Concurrent submissions on this node; further ones are refused immediately.
    pub max_concurrent: usize,
    /// Largest encoded bundle, in bytes.
    pub max_bundle_bytes: usize,
    /// Delays between rounds.
    pub backoff: BackoffSettings,
}

impl Default for AcceptorSettings {
    fn default() -> Self {
        Self {
            deadline: Duration::from_secs(10),
            max_tries: 32,
            max_concurrent: 8,
            max_bundle_bytes: 4 * 1024 * 1024,
            backoff: BackoffSettings { base: Duration::from_millis(20), cap: Duration::from_secs(1) },
        }
    }
}

/// State shared by the submissions of one node.
pub(crate) struct Shared {
    pub(crate) chain: ChainReader,
    pub(crate) unix_millis: UnixClock,
    pub(crate) settings: AcceptorSettings,
    pub(crate) rng: Mutex<ChaCha8Rng>,
    pub(crate) bases: BaseCache,
    pub(crate) permits: Semaphore,
}
