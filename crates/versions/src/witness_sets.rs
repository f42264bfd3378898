//! Witness sets of the versions that aren't committed yet, and the commit rule over them.

use std::collections::BTreeMap;

use umberpond_model::{NodeName, Version};

use crate::quorum::quorum_version;

/// Witness sets along the chain. Versions in a row with the same set share one entry.
#[derive(Debug, Clone)]
pub(crate) struct WitnessSets {
    /// The set from each key on, up to the next key. Never empty.
    from: BTreeMap<Version, Vec<NodeName>>,
    /// The set in force before the lowest key.
    before: Vec<NodeName>,
    newest: Version,
}

impl WitnessSets {
    /// Sets of a chain that begins at `version`.
    pub(crate) fn starting_at(version: Version, witnesses: &[NodeName], before: &[NodeName]) -> Self {
        Self {
            from: BTreeMap::from([(version, witnesses.to_vec())]),
            before: before.to_vec(),
            newest: version,
        }
    }

    /// Newest version whose set is known.
    pub(crate) const fn newest(&self) -> Version {
        self.newest
    }

    /// Set of the newest version.
    pub(crate) fn newest_set(&self) -> &[NodeName] {
        self.from.last_key_value().map_or(&[], |(_, set)| set)
    }

    /// Adds the set of the next version.
    pub(crate) fn push(&mut self, witnesses: &[NodeName]) {
        self.newest = self.newest.next();
        if self.newest_set() != witnesses {
            self.from.insert(self.newest, witnesses.to_vec());
        }
    }

    /// All nodes of the sets that an uncommitted version can depend on.
    pub(crate) fn members(&self) -> impl Iterator<Item = &NodeName> {
        self.from.values().flatten().chain(&self.before)
    }

    /// Highest version that the rule commits, at least `committed`, when the witnesses hold what `held_by` says.
    pub(crate) fn committed(
        &self,
        committed: Version,
        held_by: impl Fn(&NodeName) -> Option<Version>,
    ) -> Version {
        let mut reached = committed;
        let mut previous = quorum_version(&self.before, &held_by);
        for (start, end, set) in self.runs() {
            let own = quorum_version(set, &held_by);
            // Only the first version of a run has another set before it.
            let passes_change = start <= reached || (start <= own && start <= previous);
            if !passes_change {
                return reached;
            }
            reached = reached.max(end.min(own));
            if reached < end {
                return reached;
            }
            previous = own;
        }
        reached
    }

    /// Forgets the sets before the one of version `committed`.
    pub(crate) fn forget_before(&mut self, committed: Version) {
        while self.from.keys().nth(1).is_some_and(|start| *start <= committed) {
            if let Some((_, set)) = self.from.pop_first() {
                self.before = set;
            }
        }
    }

    /// First version, last version and set of each run.
    fn runs(&self) -> impl Iterator<Item = (Version, Version, &[NodeName])> {
        let ends = self.from.keys().skip(1).map(|next| Version(next.0 - 1)).chain([self.newest]);
        self.from.iter().zip(ends).map(|((start, set), end)| (*start, end, set.as_slice()))
    }
}
