//! Who reads the store.

use std::time::Duration;

use umberpond_model::NodeName;

/// How many nodes read the store, and when others step in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Nodes that read the store while all is well.
    pub readers: usize,
    /// Time without word from the store, over all nodes, after which the next nodes read it too.
    pub step_in_after: Duration,
    /// What each doubling of the nodes adds to that time: word from the store passes from node to node, and the nodes step in
    /// by and by, each time as many as those before them, so that they don't all ask a store that is in trouble at once.
    pub time_per_doubling: Duration,
    /// Nodes up to which all hear a reader directly.
    pub heard_directly: usize,
    /// Time since its start after which a process that has heard of no reader reads too: callers wait for its first
    /// configuration. The first readers need some 50 ms for theirs and to pass it on.
    pub first_step_in_after: Duration,
    /// What each doubling of the nodes before it adds to that time.
    pub first_time_per_doubling: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self {
            readers: 2,
            step_in_after: Duration::from_millis(1_200),
            time_per_doubling: Duration::from_millis(150),
            heard_directly: 16,
            first_step_in_after: Duration::from_millis(80),
            first_time_per_doubling: Duration::from_millis(60),
        }
    }
}

/// What a node knows when it finds out whether it reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderContext<'a> {
    /// The node.
    pub own: &'a NodeName,
    /// The others that could read.
    pub others: &'a [&'a NodeName],
    /// Time since any node heard from the store, as far as known here; since the start of this process if none is known to
    /// have.
    pub silent_for: Duration,
    /// Whether any node is known to have heard from the store.
    pub has_store_contact: bool,
}

/// How a node reads the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderRole {
    /// By how much its pauses after a failed call are longer than those of the first readers. Each doubling of the readers
    /// doubles the pauses of the newcomers, so that the calls to a store that refuses all grow with the logarithm of the
    /// nodes only.
    pub backoff_factor: u32,
}

/// Longest pauses of a node that has stepped in, in pauses of a first reader: where the store serves only a few machines, one
/// of them has to find that out within some seconds.
const MAX_PAUSE_FACTOR: u32 = 8;

/// Whether the node reads the store, and how. No node grants this to another: two nodes that see the others differently may
/// both read, which costs reads and nothing else.
#[must_use]
pub fn reader_role(settings: &ReaderSettings, question: ReaderContext<'_>) -> Option<ReaderRole> {
    let own_rank = rank(question.own);
    let before = question.others.iter().filter(|other| rank(other) < own_rank).count();
    if before < settings.readers {
        return Some(ReaderRole { backoff_factor: 1 });
    }
    let turn = doublings(before, settings.readers);
    let steps_in_after = if question.has_store_contact {
        let spreading = doublings(question.others.len() + 1, settings.heard_directly);
        settings.step_in_after + settings.time_per_doubling * (spreading + turn)
    } else {
        settings.first_step_in_after + settings.first_time_per_doubling * turn
    };
    let backoff_factor = 2_u32.saturating_pow(turn).min(MAX_PAUSE_FACTOR);
    (question.silent_for > steps_in_after).then_some(ReaderRole { backoff_factor })
}

/// How often `from` can be doubled without exceeding `count`.
fn doublings(count: usize, from: usize) -> u32 {
    (count / from.max(1)).checked_ilog2().unwrap_or(0)
}

/// Order in which nodes read the store: by a hash, so that it follows neither names nor places.
fn rank(node: &NodeName) -> (u64, &str) {
    let hash = blake3::hash(node.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(first), node.as_str())
}
