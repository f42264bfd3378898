//! The commit index, computed by readers from what the witnesses hold.
//!
//! Let `W(v)` be the witness set named by the record of version `v`. Version `v` is committed once there is a
//! moment at which, for each version `u` up to `v` that isn't committed yet, a majority of `W(u)` and a majority of
//! `W(u - 1)` serve and hold `u` or a later version. An empty set asks for nothing.
//!
//! Holds arrive one by one and may be from before a restart, so they alone prove no common moment. Once the holds
//! received satisfy the rule, the tracker asks their senders again (the *check*). Each that replies in the
//! incarnation of its hold was serving, and held what it had stated, when the check began: that is the moment.
//!
//! Invariants:
//! 1. The commit index only grows.
//! 2. If `v` is committed, every later majority of any `W(r)`, `r < v`, contains a witness that holds `r + 1` or a
//!    later version, so that no floor round ends below `v`.

use std::collections::BTreeMap;

use thiserror::Error;
use umberpond_model::{Incarnation, NodeName, Nonce, Version};

use crate::WitnessAnswer;
use crate::witness_sets::WitnessSets;

/// A record arrived whose predecessor isn't known, so that the rule can't be checked across the gap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the record of version {record} doesn't follow version {known}, the newest one known")]
pub struct RecordGap {
    /// Newest version whose record is known.
    pub known: Version,
    /// Version of the record that arrived.
    pub record: Version,
}

/// A version that a witness stated to hold, and the process that stated it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Statement {
    incarnation: Incarnation,
    version: Version,
}

/// A check that runs: the statements as they were when it began, and those that were confirmed since.
#[derive(Debug, Clone)]
struct Check {
    nonce: Nonce,
    /// Version that the statements allow; the check ends when it is committed.
    target: Version,
    stated: BTreeMap<NodeName, Statement>,
    confirmed: BTreeMap<NodeName, Version>,
}

/// Witness sets of the versions that aren't committed yet, and what the witnesses hold.
#[derive(Debug, Clone)]
pub struct CommitTracker {
    committed: Version,
    sets: WitnessSets,
    statements: BTreeMap<NodeName, Statement>,
    check: Option<Check>,
}

impl Default for CommitTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl CommitTracker {
    /// A tracker that knows the empty configuration only.
    #[must_use]
    pub fn new() -> Self {
        Self {
            committed: Version::GENESIS,
            sets: WitnessSets::starting_at(Version::GENESIS, &[], &[]),
            statements: BTreeMap::new(),
            check: None,
        }
    }

    /// The commit index.
    #[must_use]
    pub const fn committed(&self) -> Version {
        self.committed
    }

    /// Newest version whose record is known.
    #[must_use]
    pub const fn newest(&self) -> Version {
        self.sets.newest()
    }

    /// Witness set of the newest record.
    #[must_use]
    pub fn witnesses(&self) -> &[NodeName] {
        self.sets.newest_set()
    }

    /// Newest version that `node` has stated to hold.
    #[must_use]
    pub fn held_by(&self, node: &NodeName) -> Option<Version> {
        self.statements.get(node).map(|statement| statement.version)
    }

    /// Takes the record of the version after the newest one. Known records change nothing.
    ///
    /// # Errors
    /// [`RecordGap`] if a record between is missing; then [`CommitTracker::on_base`] is needed.
    pub fn on_record(&mut self, version: Version, witnesses: &[NodeName]) -> Result<(), RecordGap> {
        let known = self.sets.newest();
        if version <= known {
            return Ok(());
        }
        if version != known.next() {
            return Err(RecordGap { known, record: version });
        }
        self.sets.push(witnesses);
        self.commit_without_witnesses();
        Ok(())
    }

    /// Starts over at the record of a whole transfer, without the records before it.
    ///
    /// `previous_witnesses` must be the last set that differed from `witnesses` (or `witnesses` itself, if the
    /// change lies before the commit index), and acceptors must change the witness set only when the version that
    /// changed it last is committed. Then no uncommitted version depends on any other set, and the rule applied to
    /// `version` alone covers all versions before it.
    pub fn on_base(&mut self, version: Version, witnesses: &[NodeName], previous_witnesses: &[NodeName]) {
        if version <= self.sets.newest() {
            return;
        }
        self.sets = WitnessSets::starting_at(version, witnesses, previous_witnesses);
        self.check = None;
        self.commit_without_witnesses();
    }

    /// Takes what a witness holds, from [`crate::WitnessMessage::Hold`] or from any reply of it.
    pub fn on_hold(&mut self, answer: &WitnessAnswer) {
        let statement = Statement { incarnation: answer.incarnation, version: answer.version };
        let known = self.statements.entry(answer.node.clone()).or_insert(statement);
        *known = (*known).max(statement);
    }

    /// Takes the commit index of another reader or of any node.
    pub fn on_committed_elsewhere(&mut self, version: Version) {
        self.raise(version);
    }

    /// Whether the holds received satisfy the rule for a newer version, and no check runs.
    #[must_use]
    pub fn needs_check(&self) -> bool {
        self.check.is_none() && self.candidate() > self.committed
    }

    /// Begins a check, if one is needed; returns the witnesses to which [`crate::WitnessMessage::Query`] goes.
    pub fn begin_check(&mut self, nonce: Nonce) -> Vec<NodeName> {
        if !self.needs_check() {
            return Vec::new();
        }
        let stated: BTreeMap<NodeName, Statement> = self
            .sets
            .members()
            .filter_map(|node| Some((node.clone(), *self.statements.get(node)?)))
            .collect();
        let asked = stated.keys().cloned().collect();
        let target = self.candidate();
        self.check = Some(Check { nonce, target, stated, confirmed: BTreeMap::new() });
        asked
    }

    /// Takes a reply; returns the commit index if it grew. A reply to another question only counts as a hold.
    pub fn on_reply(&mut self, nonce: Nonce, answer: &WitnessAnswer) -> Option<Version> {
        self.on_hold(answer);
        let check = self.check.as_mut().filter(|check| check.nonce == nonce)?;
        let stated = *check.stated.get(&answer.node)?;
        if stated.incarnation != answer.incarnation {
            return None;
        }
        check.confirmed.insert(answer.node.clone(), stated.version);
        let confirmed = self.sets.committed(self.committed, |node| check.confirmed.get(node).copied());
        if confirmed <= self.committed {
            return None;
        }
        self.raise(confirmed);
        Some(confirmed)
    }

    /// Gives a check up whose replies don't come; the next one asks anew.
    pub fn abandon_check(&mut self) {
        self.check = None;
    }

    /// Highest version that the statements allow to commit.
    fn candidate(&self) -> Version {
        self.sets.committed(self.committed, |node| self.held_by(node))
    }

    fn commit_without_witnesses(&mut self) {
        let committed = self.sets.committed(self.committed, |_| None);
        self.raise(committed);
    }

    fn raise(&mut self, version: Version) {
        self.committed = self.committed.max(version);
        self.sets.forget_before(self.committed);
        self.check.take_if(|check| check.target <= version);
    }
}
