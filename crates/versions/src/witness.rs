//! A witness: it states which version it holds, and recovers what it may have stated before a restart.
//!
//! Invariants:
//! 1. A witness that has not recovered in this incarnation states nothing.
//! 2. While it serves, it holds at least every version that was committed when it started.
//! 3. The version it states never falls within an incarnation.
//!
//! Recovery without a disk follows Viewstamped Replication Revisited (Liskov and Cowling 2012): a fresh nonce, and
//! answers of a majority of the set, none of them its own. A `Hold` from before the restart that is still on its way
//! is caught by the reader's check (see [`crate::CommitTracker`]).

use umberpond_model::{Incarnation, NodeName, Nonce, Version};

use crate::{FloorRound, RoundState, WitnessAnswer, WitnessMessage};

/// Where a witness stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WitnessState {
    /// It asks what it may have held before its start.
    Recovering {
        /// Number of the recovery.
        nonce: Nonce,
    },
    /// It knows what it must hold, and doesn't hold it yet.
    CatchingUp {
        /// Version that it must reach.
        floor: Version,
    },
    /// It answers.
    Serving {
        /// Newest version that it holds.
        held: Version,
    },
}

/// The witness duty of one node, from its start; it recovers once, as soon as a record names a witness set.
#[derive(Debug, Clone)]
pub struct Witness {
    node: NodeName,
    incarnation: Incarnation,
    held: Option<(Version, Vec<NodeName>)>,
    recovery: FloorRound,
}

impl Witness {
    /// A witness that has just started. `nonce` must never have been used by an earlier process of the node.
    #[must_use]
    pub fn new(node: NodeName, incarnation: Incarnation, nonce: Nonce) -> Self {
        Self { node, incarnation, held: None, recovery: FloorRound::new(nonce, Version::GENESIS, &[]) }
    }

    /// Where the witness stands.
    #[must_use]
    pub fn state(&self) -> WitnessState {
        let RoundState::Proved(floor) = self.recovery.state() else {
            return WitnessState::Recovering { nonce: self.recovery.nonce() };
        };
        match self.held {
            Some((held, _)) if held >= floor => WitnessState::Serving { held },
            _ => WitnessState::CatchingUp { floor },
        }
    }

    /// Whether the witness answers.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        matches!(self.state(), WitnessState::Serving { .. })
    }

    /// Number of the recovery; the platform's head is read with it.
    #[must_use]
    pub const fn recovery_nonce(&self) -> Nonce {
        self.recovery.nonce()
    }

    /// The other witnesses to which [`WitnessMessage::Query`] goes now, with the nonce of the recovery; each is
    /// named once until [`Witness::ask_again`]. None once it knows what it must hold.
    pub fn take_unasked(&mut self) -> Vec<NodeName> {
        if matches!(self.recovery.state(), RoundState::Proved(_)) {
            return Vec::new();
        }
        let mut unasked = self.recovery.take_unasked();
        unasked.retain(|node| *node != self.node);
        unasked
    }

    /// Lets witnesses that haven't answered be asked again.
    pub fn ask_again(&mut self) {
        self.recovery.ask_again();
    }

    /// Takes a record that became known; recovery asks the witnesses of the newest one. Returns the statement to
    /// send to the readers, if the witness begins to serve.
    pub fn on_record(&mut self, version: Version, witnesses: &[NodeName]) -> Option<WitnessMessage> {
        self.recover(|recovery| recovery.on_record(version, witnesses))
    }

    /// Takes the platform's newest accepted version, read after this process started and asked for with the
    /// nonce of the recovery. Returns the statement to send to the readers, if the witness begins to serve.
    pub fn on_head_read(&mut self, nonce: Nonce, version: Version) -> Option<WitnessMessage> {
        self.recover(|recovery| recovery.on_head_read(nonce, version))
    }

    /// Takes another witness's reply to the recovery's question. Returns the statement to send to the readers, if
    /// the witness begins to serve.
    pub fn on_reply(&mut self, nonce: Nonce, answer: &WitnessAnswer) -> Option<WitnessMessage> {
        if answer.node == self.node {
            return None;
        }
        self.recover(|recovery| recovery.on_reply(nonce, answer))
    }

    /// Notes that the node now holds the content of `version`. Returns the statement to send to the readers.
    pub fn on_held(&mut self, version: Version, witnesses: &[NodeName]) -> Option<WitnessMessage> {
        if self.held.as_ref().is_some_and(|(held, _)| *held >= version) {
            return None;
        }
        self.held = Some((version, witnesses.to_vec()));
        self.hold_statement()
    }

    /// Answers [`WitnessMessage::Query`], if the witness serves.
    #[must_use]
    pub fn on_query(&self, nonce: Nonce) -> Option<WitnessMessage> {
        Some(WitnessMessage::Reply { nonce, answer: self.answer()? })
    }

    /// The statement of what is held, if the witness serves; also repeated to a reader that connects.
    #[must_use]
    pub fn hold_statement(&self) -> Option<WitnessMessage> {
        self.answer().map(WitnessMessage::Hold)
    }

    /// What the witness holds, if it serves.
    #[must_use]
    pub fn answer(&self) -> Option<WitnessAnswer> {
        if !self.is_serving() {
            return None;
        }
        let (version, witnesses) = self.held.clone()?;
        Some(WitnessAnswer { node: self.node.clone(), incarnation: self.incarnation, version, witnesses })
    }

    fn recover(&mut self, input: impl FnOnce(&mut FloorRound) -> RoundState) -> Option<WitnessMessage> {
        let was_serving = self.is_serving();
        if matches!(self.recovery.state(), RoundState::Asking) {
            input(&mut self.recovery);
        }
        if was_serving { None } else { self.hold_statement() }
    }
}
