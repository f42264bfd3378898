//! The witness set along the chain: what a record says of it, and when it may change.
//!
//! Two rules, on which the version floor rests:
//! 1. the set changes only when the version that changed it last is committed;
//! 2. each record names the last set that differs from its own.
//!
//! Then a reader that starts at any record knows every set on which an uncommitted version can depend.

use umberpond_model::{NodeName, Version, VersionRecord};

/// The witness set of one version, and the change that led to it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct WitnessHistory {
    pub(crate) current: Vec<NodeName>,
    /// The version that changed the set last.
    pub(crate) since: Version,
    /// The set before that change.
    pub(crate) previous: Vec<NodeName>,
}

impl WitnessHistory {
    /// What `record` says; without a record, no set was ever named.
    pub(crate) fn of(record: Option<&VersionRecord>) -> Self {
        let Some(record) = record else { return Self::default() };
        Self {
            current: record.witnesses.clone(),
            since: record.witnesses_since,
            previous: record.previous_witnesses.clone(),
        }
    }

    /// Whether the set may change, when versions up to `commit_index` are known to be committed.
    pub(crate) fn may_change(&self, commit_index: Version) -> bool {
        commit_index >= self.since
    }

    /// The history of version `version`, the one after this, whose set is `witnesses`.
    pub(crate) fn followed_by(self, version: Version, witnesses: Vec<NodeName>) -> Self {
        if witnesses == self.current {
            return self;
        }
        Self { current: witnesses, since: version, previous: self.current }
    }
}
