//! One quorum read of the witnesses for a version floor.
//!
//! Invariants:
//! 1. Only replies that carry the round's nonce count; so each was sent after the round began.
//! 2. The round ends only with a majority of the witness set of the newest version that it has met, or with a read
//!    of the platform's head that was asked for with the same nonce.
//! 3. Its result is at least every version that was committed when it began.

use std::collections::BTreeSet;

use umberpond_model::{NodeName, Nonce, Version};

use crate::WitnessAnswer;
use crate::quorum::has_majority;

/// How far a round has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoundState {
    /// Answers are missing.
    Asking,
    /// Nothing below this version may be put in force by those who asked before the round began.
    Proved(Version),
}

/// A quorum read, run by a reader on behalf of many nodes, or by a restarted witness for itself.
#[derive(Debug, Clone)]
pub struct FloorRound {
    nonce: Nonce,
    newest: Version,
    witnesses: Vec<NodeName>,
    asked: BTreeSet<NodeName>,
    replied: BTreeSet<NodeName>,
    proved: Option<Version>,
}

impl FloorRound {
    /// Begins a round at the newest record that the reader knows. While the newest set is empty only
    /// [`FloorRound::on_head_read`] can end the round.
    #[must_use]
    pub fn new(nonce: Nonce, newest: Version, witnesses: &[NodeName]) -> Self {
        Self {
            nonce,
            newest,
            witnesses: witnesses.to_vec(),
            asked: BTreeSet::new(),
            replied: BTreeSet::new(),
            proved: None,
        }
    }

    /// Number of this round.
    #[must_use]
    pub const fn nonce(&self) -> Nonce {
        self.nonce
    }

    /// How far the round has come.
    #[must_use]
    pub fn state(&self) -> RoundState {
        self.proved.map_or(RoundState::Asking, RoundState::Proved)
    }

    /// Witnesses that must still be asked; each is named once until [`FloorRound::ask_again`].
    pub fn take_unasked(&mut self) -> Vec<NodeName> {
        let unasked: Vec<NodeName> =
            self.witnesses.iter().filter(|node| !self.asked.contains(*node)).cloned().collect();
        self.asked.extend(unasked.iter().cloned());
        unasked
    }

    /// Lets those that haven't replied be asked again.
    pub fn ask_again(&mut self) {
        self.asked = self.replied.clone();
    }

    /// Takes a reply. Replies to other questions change nothing.
    pub fn on_reply(&mut self, nonce: Nonce, answer: &WitnessAnswer) -> RoundState {
        if nonce == self.nonce {
            self.replied.insert(answer.node.clone());
            self.follow(answer.version, &answer.witnesses);
            self.conclude();
        }
        self.state()
    }

    /// Takes a newer record that became known in the meantime.
    pub fn on_record(&mut self, version: Version, witnesses: &[NodeName]) -> RoundState {
        self.follow(version, witnesses);
        self.conclude();
        self.state()
    }

    /// Takes the platform's newest accepted version, if the read was asked for with this round's nonce.
    pub fn on_head_read(&mut self, nonce: Nonce, version: Version) -> RoundState {
        if nonce == self.nonce {
            self.proved = self.proved.max(Some(version));
        }
        self.state()
    }

    /// Moves on to the witness set of a newer version. Replies already here keep counting in the new set.
    fn follow(&mut self, version: Version, witnesses: &[NodeName]) {
        if version > self.newest {
            self.newest = version;
            self.witnesses = witnesses.to_vec();
        }
    }

    fn conclude(&mut self) {
        if self.proved.is_some() || self.witnesses.is_empty() {
            return;
        }
        if has_majority(&self.witnesses, |node| self.replied.contains(node)) {
            self.proved = Some(self.newest);
        }
    }
}
