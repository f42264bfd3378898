//! Selects the nodes that read the store.

use std::time::Duration;

use umberpond_model::NodeName;

/// How many nodes read the store, and when further nodes start to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Number of readers during normal operation.
    pub readers: usize,
    /// Time without a response from the store to any node after which further nodes start to read it.
    pub takeover_delay: Duration,
    /// Added to [`takeover_delay`](Self::takeover_delay) for each doubling of the number of nodes, because the
    /// time of the last response is gossiped, and for each doubling of the nodes ranked before this one. The
    /// number of readers at most doubles in each step, so that not all nodes contact a failing store at once.
    pub takeover_delay_per_doubling: Duration,
    /// Maximum number of nodes at which each node receives updates directly from a reader.
    pub directly_updated_nodes: usize,
    /// Time since its start after which a process that knows of no response from the store to any node starts
    /// to read, since callers wait for the first configuration. The first readers need about 50 ms to fetch
    /// their configuration and pass it on.
    pub startup_delay: Duration,
    /// Added to [`startup_delay`](Self::startup_delay) for each doubling of the nodes ranked
    /// before this one.
    pub startup_delay_per_doubling: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            readers: 2,
            takeover_delay: Duration::from_millis(1_200),
            takeover_delay_per_doubling: Duration::from_millis(150),
            directly_updated_nodes: 16,
            startup_delay: Duration::from_millis(80),
            startup_delay_per_doubling: Duration::from_millis(60),
        }
    }
}

/// Inputs of [`reader_role`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderContext<'a> {
    /// Name of this node.
    pub own: &'a NodeName,
    /// The other nodes that could read the store.
    pub others: &'a [&'a NodeName],
    /// Time since the last response from the store to any node, as far as this node knows; time since the
    /// start of this process if no response is known.
    pub silent_for: Duration,
    /// Whether any node is known to have received a response from the store.
    pub has_store_contact: bool,
}

/// How a node reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderRole {
    /// Multiplies the retry backoff of the first readers. The backoff doubles with each doubling of the
    /// number of readers, so that the number of calls to a store that rejects everything grows only with the
    /// logarithm of the number of nodes.
    pub backoff_factor: u32,
}

/// Maximum backoff of an additional reader, as a multiple of a first reader's backoff. If the store serves
/// only some machines, one of them has to find that out within a few seconds.
const MAX_BACKOFF_FACTOR: u32 = 8;

/// Decides whether a node reads the store, and how. Each node decides independently: two nodes with different
/// views of the membership may both read, which only costs extra reads.
#[must_use]
pub fn reader_role(settings: &ReaderSettings, context: ReaderContext<'_>) -> Option<ReaderRole> {
    let own_rank = rank(context.own);
    let before = context.others.iter().filter(|other| rank(other) < own_rank).count();
    if before < settings.readers {
        return Some(ReaderRole { backoff_factor: 1 });
    }
    let doublings_before = doublings(before, settings.readers);
    let delay = if context.has_store_contact {
        let gossip_doublings = doublings(context.others.len() + 1, settings.directly_updated_nodes);
        settings.takeover_delay + settings.takeover_delay_per_doubling * (gossip_doublings + doublings_before)
    } else {
        settings.startup_delay + settings.startup_delay_per_doubling * doublings_before
    };
    let backoff_factor = 2_u32.saturating_pow(doublings_before).min(MAX_BACKOFF_FACTOR);
    (context.silent_for > delay).then_some(ReaderRole { backoff_factor })
}

/// How often `from` can be doubled without exceeding `count`.
fn doublings(count: usize, from: usize) -> u32 {
    (count / from.max(1)).checked_ilog2().unwrap_or(0)
}

/// Order in which nodes become readers. It is derived from a hash, so that it depends on neither naming
/// schemes nor localities.
fn rank(node: &NodeName) -> (u64, &str) {
    let hash = blake3::hash(node.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(first), node.as_str())
}
