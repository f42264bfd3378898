//! Joins many floor questions into one round.
//!
//! Invariants:
//! 1. A question is answered only by a round that began after the question arrived.
//! 2. One round runs at a time, whatever the count of questions, and each asker waits with one question at most.

use std::collections::BTreeMap;

use umberpond_model::{Nonce, Version};

/// The answer to one question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FloorAnswer<Asker> {
    /// Who asked.
    pub asker: Asker,
    /// Number of the question.
    pub nonce: Nonce,
    /// Proved floor.
    pub floor: Version,
}

/// Floor questions of children and of the own node. At a reader a round is a [`crate::FloorRound`]; at a relay
/// it is one question to the parent.
#[derive(Debug, Clone)]
pub struct FloorBatcher<Asker> {
    waiting: BTreeMap<Asker, Nonce>,
    running: Option<Round<Asker>>,
}

#[derive(Debug, Clone)]
struct Round<Asker> {
    nonce: Nonce,
    questions: BTreeMap<Asker, Nonce>,
}

impl<Asker: Ord> Default for FloorBatcher<Asker> {
    fn default() -> Self {
        Self::new()
    }
}

impl<Asker: Ord> FloorBatcher<Asker> {
    /// A batcher without questions.
    #[must_use]
    pub const fn new() -> Self {
        Self { waiting: BTreeMap::new(), running: None }
    }

    /// Takes a question; it replaces an earlier one of the same asker that still waits for a round.
    pub fn ask(&mut self, asker: Asker, nonce: Nonce) {
        self.waiting.insert(asker, nonce);
    }

    /// Whether a round must begin.
    #[must_use]
    pub fn needs_round(&self) -> bool {
        self.running.is_none() && !self.waiting.is_empty()
    }

    /// Number of the running round.
    #[must_use]
    pub fn running(&self) -> Option<Nonce> {
        self.running.as_ref().map(|round| round.nonce)
    }

    /// Begins a round with all waiting questions, if one is needed. Tells whether it began.
    pub fn begin(&mut self, nonce: Nonce) -> bool {
        if !self.needs_round() {
            return false;
        }
        let questions = std::mem::take(&mut self.waiting);
        self.running = Some(Round { nonce, questions });
        true
    }

    /// Ends the round `nonce` and answers its questions. Another number changes nothing.
    pub fn finish(&mut self, nonce: Nonce, floor: Version) -> Vec<FloorAnswer<Asker>> {
        let Some(round) = self.running.take_if(|round| round.nonce == nonce) else {
            return Vec::new();
        };
        let answers = round.questions.into_iter();
        answers.map(|(asker, nonce)| FloorAnswer { asker, nonce, floor }).collect()
    }

    /// Gives the running round up; its questions wait for the next one.
    pub fn abandon(&mut self) {
        let Some(round) = self.running.take() else { return };
        for (asker, nonce) in round.questions {
            self.waiting.entry(asker).or_insert(nonce);
        }
    }

    /// Forgets the questions of an asker that has left.
    pub fn forget(&mut self, asker: &Asker) {
        self.waiting.remove(asker);
        if let Some(round) = &mut self.running {
            round.questions.remove(asker);
        }
    }
}
