//! Who reads the store.

use std::time::Duration;

use umberpond_model::NodeName;

/// How many nodes read the store, and when others step in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderSettings {
    /// Nodes that read the store while all is well.
    pub readers: usize,
    /// Time without word from the store, over all nodes, after which any node reads it itself.
    pub step_in_after: Duration,
}

impl Default for ReaderSettings {
    fn default() -> Self {
        Self { readers: 2, step_in_after: Duration::from_millis(1_200) }
    }
}

/// A node that could read the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderCandidate<'a> {
    /// The node.
    pub node: &'a NodeName,
    /// Time since it heard from the store, as far as known here.
    pub store_age: Option<Duration>,
}

/// Whether `own` reads the store. The others are those that can be reached. No node grants this to another: two nodes
/// that see the others differently may both read, which costs reads and nothing else.
#[must_use]
pub fn is_reader(
    settings: &ReaderSettings,
    own: ReaderCandidate<'_>,
    others: &[ReaderCandidate<'_>],
) -> bool {
    let own_rank = rank(own.node);
    let before = others.iter().filter(|other| rank(other.node) < own_rank).count();
    if before < settings.readers {
        return true;
    }
    let ages = others.iter().chain([&own]).filter_map(|candidate| candidate.store_age);
    ages.min().is_none_or(|freshest| freshest > settings.step_in_after)
}

/// Order in which nodes read the store: by a hash, so that it follows neither names nor places.
fn rank(node: &NodeName) -> (u64, &str) {
    let hash = blake3::hash(node.as_str().as_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    (u64::from_le_bytes(first), node.as_str())
}
