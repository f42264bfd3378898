//! Majorities of witness sets.

use umberpond_model::{NodeName, Version};

/// Smallest count that is more than half of `size`.
#[must_use]
pub const fn majority(size: usize) -> usize {
    size / 2 + 1
}

/// Whether `agrees` holds for a majority of `witnesses`. An empty set asks for nothing and is satisfied.
#[must_use]
pub fn has_majority(witnesses: &[NodeName], agrees: impl Fn(&NodeName) -> bool) -> bool {
    if witnesses.is_empty() {
        return true;
    }
    let agreeing = witnesses.iter().filter(|node| agrees(node)).count();
    agreeing >= majority(witnesses.len())
}

/// Highest version that a majority of `witnesses` holds; no limit if the set is empty.
pub(crate) fn quorum_version(
    witnesses: &[NodeName],
    held_by: impl Fn(&NodeName) -> Option<Version>,
) -> Version {
    if witnesses.is_empty() {
        return Version(u64::MAX);
    }
    let mut held: Vec<Version> = witnesses.iter().filter_map(held_by).collect();
    held.sort_unstable_by(|left, right| right.cmp(left));
    held.get(majority(witnesses.len()) - 1).copied().unwrap_or(Version::GENESIS)
}
