//! Version floor: the own question, those of children, and the rounds of a reader.
//!
//! A question travels up; each node on the way joins the questions that came before its own next round began. A
//! reader's round asks the witnesses and, after a while or without witnesses, the platform's head.

use umberpond_model::{Nonce, Timestamp, Version};
use umberpond_versions::{FloorAnswer, FloorBatcher, FloorRound, RoundState, WitnessAnswer};

use super::OverlayNode;
use crate::PeerMessage;
use crate::interface::{ConnectionId, Decision, FloorProofKind, Output, PlatformRequest};

/// Who asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Asker {
    /// This node, for its own floor.
    Own,
    /// The witness duty of this node, which must recover.
    Witness,
    /// A child.
    Child(ConnectionId),
}

/// Questions of one kind and the round that answers them.
#[derive(Debug, Default)]
pub(super) struct Desk {
    batcher: FloorBatcher<Asker>,
    began: Timestamp,
}

/// Floor questions on one node.
#[derive(Debug, Default)]
pub(super) struct FloorDesk {
    /// Questions that a majority of witnesses may answer.
    any: Desk,
    /// Questions that only a read of the platform's head answers.
    head: Desk,
    /// The running quorum read of a reader.
    round: Option<FloorRound>,
    /// Whether the running round has asked the platform too, and when.
    head_asked: Option<Timestamp>,
    own_nonce: Option<Nonce>,
    /// When a reader's next round may begin.
    next_round: Timestamp,
}

impl OverlayNode {
    pub(super) fn ask_own_floor(&mut self) {
        let nonce = self.nonce();
        self.floor.own_nonce = Some(nonce);
        self.floor.any.batcher.ask(Asker::Own, nonce);
    }

    /// A restarted witness needs a read of the platform's head.
    pub(super) fn ask_head_for_witness(&mut self, nonce: Nonce) {
        self.floor.head.batcher.ask(Asker::Witness, nonce);
    }

    pub(super) fn on_floor_question(&mut self, connection: ConnectionId, nonce: Nonce, head_only: bool) {
        let desk = if head_only { &mut self.floor.head } else { &mut self.floor.any };
        desk.batcher.ask(Asker::Child(connection), nonce);
    }

    pub(super) fn forget_floor_asker(&mut self, connection: ConnectionId) {
        self.floor.any.batcher.forget(&Asker::Child(connection));
        self.floor.head.batcher.forget(&Asker::Child(connection));
    }

    /// The way up has changed: what was asked there is asked anew.
    pub(super) fn on_floor_way_changed(&mut self) {
        self.floor.any.batcher.abandon();
        self.floor.head.batcher.abandon();
        self.floor.round = None;
    }

    /// Begins rounds that are needed and repeats those that stay without an answer.
    pub(super) fn tend_floor(&mut self) {
        if self.is_reader() {
            self.tend_reader_rounds();
        } else if self.parent.attached.is_some() {
            self.ask_parent(false);
            self.ask_parent(true);
        }
    }

    fn ask_parent(&mut self, head_only: bool) {
        let Some(attached) = &self.parent.attached else { return };
        let connection = attached.connection;
        let retry = self.config.timing.floor_retry;
        let nonce = self.nonce_if_needed(head_only, retry);
        if let Some(nonce) = nonce {
            self.send(connection, PeerMessage::FloorQuestion { nonce, head_only });
        }
    }

    /// Begins a round of one desk, if one is due, and returns its number.
    fn nonce_if_needed(&mut self, head_only: bool, retry: umberpond_model::Millis) -> Option<Nonce> {
        let now = self.now;
        let desk = if head_only { &mut self.floor.head } else { &mut self.floor.any };
        if desk.batcher.running().is_some() && now.since(desk.began) >= retry {
            desk.batcher.abandon();
        }
        if !desk.batcher.needs_round() {
            return None;
        }
        let nonce = Nonce(rand::Rng::next_u64(&mut self.rng));
        desk.batcher.begin(nonce);
        desk.began = now;
        Some(nonce)
    }

    fn tend_reader_rounds(&mut self) {
        let retry = self.config.timing.floor_retry;
        if let Some(nonce) = self.nonce_if_needed(true, retry) {
            self.out.push(Output::Platform(PlatformRequest::ReadHeadVersion { nonce }));
        }
        if self.floor.any.batcher.needs_round() && self.now >= self.floor.next_round {
            self.begin_round();
        }
        self.continue_round();
    }

    fn begin_round(&mut self) {
        let nonce = self.nonce();
        self.floor.any.batcher.begin(nonce);
        self.floor.any.began = self.now;
        self.floor.next_round = self.now + self.config.timing.floor_round_interval;
        self.floor.head_asked = None;
        let newest = self.chain.held_version().unwrap_or(Version::GENESIS);
        self.floor.round = Some(FloorRound::new(nonce, newest, &self.chain.sets().current));
        self.query_round_witnesses();
    }

    fn query_round_witnesses(&mut self) {
        let Some(round) = &mut self.floor.round else { return };
        let nonce = round.nonce();
        for witness in round.take_unasked() {
            self.query_witness(&witness, nonce, true);
        }
    }

    /// Asks the platform where the witnesses don't answer, and asks again what got lost.
    fn continue_round(&mut self) {
        let timing = self.config.timing;
        let may_ask_platform = self.now >= self.platform_allowed_at();
        let Some(round) = &mut self.floor.round else { return };
        let has_no_witnesses = self.chain.sets().current.is_empty();
        let is_late = self.now.since(self.floor.any.began) >= timing.floor_round_timeout;
        if !has_no_witnesses && !is_late {
            return;
        }
        let is_head_due =
            self.floor.head_asked.is_none_or(|asked| self.now.since(asked) >= timing.floor_retry);
        if is_head_due && may_ask_platform {
            let nonce = round.nonce();
            round.ask_again();
            self.floor.head_asked = Some(self.now);
            self.out.push(Output::Platform(PlatformRequest::ReadHeadVersion { nonce }));
            self.query_round_witnesses();
        }
    }

    /// The platform's head was read.
    pub(super) fn on_head_version(&mut self, nonce: Nonce, version: Version) {
        let answers = self.floor.head.batcher.finish(nonce, version);
        if !answers.is_empty() {
            self.decide(Decision::FloorRoundEnded { floor: version, by: FloorProofKind::PlatformHead });
            self.deliver_floor(answers);
        }
        let Some(round) = &mut self.floor.round else { return };
        let state = round.on_head_read(nonce, version);
        self.conclude_round(state, FloorProofKind::PlatformHead);
    }

    /// A witness has answered a query of the running round.
    pub(super) fn on_round_reply(&mut self, nonce: Nonce, answer: &WitnessAnswer) {
        let Some(round) = &mut self.floor.round else { return };
        let state = round.on_reply(nonce, answer);
        self.conclude_round(state, FloorProofKind::Witnesses);
        self.query_round_witnesses();
    }

    /// The running round learns of a newer record.
    pub(super) fn feed_round(&mut self) {
        let newest = self.chain.held_version().unwrap_or(Version::GENESIS);
        let sets = std::sync::Arc::clone(self.chain.sets());
        let Some(round) = &mut self.floor.round else { return };
        let state = round.on_record(newest, &sets.current);
        self.conclude_round(state, FloorProofKind::Witnesses);
        self.query_round_witnesses();
    }

    fn conclude_round(&mut self, state: RoundState, by: FloorProofKind) {
        let RoundState::Proved(floor) = state else { return };
        let Some(round) = self.floor.round.take() else { return };
        self.decide(Decision::FloorRoundEnded { floor, by });
        let answers = self.floor.any.batcher.finish(round.nonce(), floor);
        self.deliver_floor(answers);
    }

    /// A question that was asked upwards is answered.
    pub(super) fn on_floor_proof(&mut self, nonce: Nonce, floor: Version) {
        let mut answers = self.floor.any.batcher.finish(nonce, floor);
        answers.extend(self.floor.head.batcher.finish(nonce, floor));
        self.deliver_floor(answers);
    }

    fn deliver_floor(&mut self, answers: Vec<FloorAnswer<Asker>>) {
        for answer in answers {
            match answer.asker {
                Asker::Own => self.on_own_floor(answer.nonce, answer.floor),
                Asker::Witness => self.on_witness_head(answer.nonce, answer.floor),
                Asker::Child(connection) => {
                    let proof = PeerMessage::FloorProof { nonce: answer.nonce, floor: answer.floor };
                    self.send(connection, proof);
                }
            }
        }
    }

    fn on_own_floor(&mut self, nonce: Nonce, floor: Version) {
        if self.floor.own_nonce != Some(nonce) {
            return;
        }
        self.floor.own_nonce = None;
        self.chain.on_floor(floor);
        self.progress.report_due = true;
        self.decide(Decision::FloorProved { floor });
    }

    /// When the floor next needs something.
    pub(super) fn next_floor_work(&self) -> Option<Timestamp> {
        let timing = &self.config.timing;
        let retry = |desk: &Desk| desk.batcher.running().map(|_| desk.began + timing.floor_retry);
        let may_ask = self.is_reader() || self.parent.attached.is_some();
        if !may_ask {
            return None;
        }
        let round = self.floor.round.as_ref().map(|_| match self.floor.head_asked {
            Some(asked) => asked + timing.floor_retry,
            None => (self.floor.any.began + timing.floor_round_timeout).max(self.platform_allowed_at()),
        });
        let next = self.floor.any.batcher.needs_round().then_some(self.floor.next_round);
        let any = if self.is_reader() { round.or(next) } else { retry(&self.floor.any) };
        any.into_iter().chain(retry(&self.floor.head)).min()
    }
}
