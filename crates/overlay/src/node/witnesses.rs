//! The witness duty of a node, and the commit index of a reader.

use std::sync::Arc;

use umberpond_model::{Millis, NodeName, Nonce, Timestamp, Version};
use umberpond_versions::{Witness, WitnessAnswer, WitnessMessage};

use super::OverlayNode;
use crate::interface::{ConnectionId, Decision};
use crate::{CompactAnswer, CompactWitnessMessage, PeerMessage, Role, RoutedWitnessMessage, WitnessSets};

/// Readers that witnesses tell what they hold; the others learn the commit index from these. More than one, so that
/// one may fail.
const COMMIT_READERS: usize = 3;

/// Wait of each further one of those readers before it checks the commit index itself.
const CHECK_STAGGER: Millis = Millis(400);

/// A check, or a recovery query, without enough replies is repeated after this time.
const CHECK_TIMEOUT: Millis = Millis(1_000);

/// The witness protocol on a node that a record names.
#[derive(Debug)]
pub(super) struct WitnessDuty {
    core: Witness,
    asked_at: Option<Timestamp>,
}

impl OverlayNode {
    pub(super) fn is_witness(&self) -> bool {
        self.chain.names_witness(&self.own.record().node)
    }

    /// The witness sets have changed.
    pub(super) fn after_witness_sets_changed(&mut self) {
        self.feed_tracker();
        self.feed_round();
        self.feed_witness();
        self.role.placements_due = true;
        self.schedule.peers_changed = true;
    }

    /// A reader takes this node for a witness; it takes part as soon as it holds the record that says so.
    pub(super) fn on_called_witness(&mut self) {
        if self.role.current == Role::Leaf {
            self.role.told = Some(Role::Witness);
        }
    }

    /// Brings the witness duty up to what is held, and begins it if a record names this node.
    pub(super) fn feed_witness(&mut self) {
        if !self.is_witness() || !self.role.current.holds_everything() {
            return;
        }
        if self.witness.is_none() {
            let nonce = self.nonce();
            let own = self.own.record();
            let core = Witness::new(own.node.clone(), own.incarnation, nonce);
            self.witness = Some(Box::new(WitnessDuty { core, asked_at: None }));
        }
        let Some(held) = self.chain.held_version() else { return };
        let sets = Arc::clone(self.chain.sets());
        let Some(duty) = &mut self.witness else { return };
        let begun = duty.core.on_record(held, &sets.current);
        let grown = duty.core.on_held(held, &sets.current);
        self.spread_hold(begun.or(grown));
    }

    /// Asks other witnesses and the platform while this one recovers.
    pub(super) fn tend_witness(&mut self) {
        let now = self.now;
        let Some(duty) = &mut self.witness else { return };
        if duty.core.is_serving() {
            return;
        }
        if duty.asked_at.is_some_and(|asked| now.since(asked) < CHECK_TIMEOUT) {
            return;
        }
        duty.asked_at = Some(now);
        duty.core.ask_again();
        let nonce = duty.core.recovery_nonce();
        let unasked = duty.core.take_unasked();
        for witness in unasked {
            self.query_witness(&witness, nonce, true);
        }
        self.ask_head_for_witness(nonce);
    }

    pub(super) fn next_witness_work(&self) -> Option<Timestamp> {
        let recovery = self
            .witness
            .as_ref()
            .filter(|duty| !duty.core.is_serving())
            .map(|duty| duty.asked_at.map_or(self.now, |asked| asked + CHECK_TIMEOUT));
        let reader = self.reader.as_ref();
        let check = reader.and_then(|reader| reader.check_since).map(|since| since + CHECK_TIMEOUT);
        let wanted = reader.and_then(|reader| reader.check_wanted_since);
        let wanted = wanted.map(|since| since + self.check_delay());
        recovery.into_iter().chain(check).chain(wanted).min()
    }

    /// The platform's head was read for this witness.
    pub(super) fn on_witness_head(&mut self, nonce: Nonce, version: Version) {
        let Some(duty) = &mut self.witness else { return };
        let statement = duty.core.on_head_read(nonce, version);
        self.spread_hold(statement);
    }

    /// Says again what is held, on a new link.
    pub(super) fn repeat_hold(&mut self, connection: ConnectionId) {
        let statement = self.witness.as_ref().and_then(|duty| duty.core.hold_statement());
        if let Some(WitnessMessage::Hold(answer)) = statement {
            let hold = CompactWitnessMessage::Hold(self.compact(&answer, false));
            self.send_witness_message(connection, None, hold);
        }
    }

    fn spread_hold(&mut self, statement: Option<WitnessMessage>) {
        let Some(WitnessMessage::Hold(answer)) = statement else { return };
        if let Some(reader) = &mut self.reader {
            reader.tracker.on_hold(&answer);
            self.schedule.holds_changed = true;
        }
        let hold = CompactWitnessMessage::Hold(self.compact(&answer, false));
        for connection in self.commit_readers() {
            self.send_witness_message(connection, None, hold.clone());
        }
    }

    /// Links to the readers that work out the commit index: those of the lowest names.
    fn commit_readers(&self) -> Vec<ConnectionId> {
        let mut readers: Vec<(&NodeName, ConnectionId)> = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.role == Role::Reader)
            .map(|(connection, peer)| (&peer.node, *connection))
            .collect();
        readers.sort_unstable();
        readers.into_iter().take(COMMIT_READERS).map(|(_, connection)| connection).collect()
    }

    /// The reader of the lowest name checks at once, the others only if its result doesn't come.
    fn check_delay(&self) -> Millis {
        let own = &self.own.record().node;
        let before = self.peers.values().filter(|peer| peer.role == Role::Reader && peer.node < *own).count();
        Millis(CHECK_STAGGER.0 * before.min(COMMIT_READERS * 2) as u64)
    }

    fn compact(&self, answer: &WitnessAnswer, with_names: bool) -> CompactAnswer {
        CompactAnswer {
            incarnation: answer.incarnation,
            version: answer.version,
            set: WitnessSets::identify(&answer.witnesses),
            witnesses: with_names.then(|| answer.witnesses.clone()),
        }
    }

    /// The answer in full; none if it names a witness set that isn't known here.
    fn expand(&self, node: &NodeName, answer: &CompactAnswer) -> Option<WitnessAnswer> {
        let known = self.chain.sets().named(answer.set).cloned();
        let witnesses = answer.witnesses.clone().or(known)?;
        let node = node.clone();
        Some(WitnessAnswer { node, incarnation: answer.incarnation, version: answer.version, witnesses })
    }

    /// Asks a witness what it holds; the own one answers at once.
    pub(super) fn query_witness(&mut self, witness: &NodeName, nonce: Nonce, names_wanted: bool) {
        if *witness == self.own.record().node {
            self.answer_own_query(nonce);
            return;
        }
        let query = CompactWitnessMessage::Query { nonce, names_wanted };
        if let Some(connection) = self.witness_route(witness) {
            self.send_witness_message(connection, Some(witness.clone()), query);
        }
    }

    fn answer_own_query(&mut self, nonce: Nonce) {
        let reply = self.witness.as_ref().and_then(|duty| duty.core.on_query(nonce));
        if let Some(WitnessMessage::Reply { nonce, answer }) = reply {
            self.on_witness_reply(nonce, &answer);
        }
    }

    /// The link to a witness, or the one to a node that can pass a message on.
    fn witness_route(&self, node: &NodeName) -> Option<ConnectionId> {
        let direct = self.peer_connection(node).or_else(|| {
            self.children.iter().find(|(_, child)| child.node == *node).map(|(connection, _)| *connection)
        });
        let up = || self.parent.attached.as_ref().map(|attached| attached.connection);
        let reader = || self.commit_readers().first().copied();
        let is_reader = self.is_reader();
        direct.or_else(|| if is_reader { None } else { up().or_else(reader) })
    }

    fn send_witness_message(
        &mut self,
        connection: ConnectionId,
        to: Option<NodeName>,
        message: CompactWitnessMessage,
    ) {
        let from = self.own.record().node.clone();
        let routed = RoutedWitnessMessage { from, to, message };
        self.send(connection, PeerMessage::Witness(Arc::new(routed)));
    }

    pub(super) fn on_witness_message(
        &mut self,
        connection: ConnectionId,
        routed: &Arc<RoutedWitnessMessage>,
    ) {
        let is_own = routed.to.as_ref().is_none_or(|to| *to == self.own.record().node);
        if !is_own {
            self.pass_witness_message_on(connection, routed);
            return;
        }
        match &routed.message {
            CompactWitnessMessage::Hold(answer) => self.on_hold(&routed.from, answer),
            CompactWitnessMessage::Query { nonce, names_wanted } => {
                self.on_query(connection, &routed.from, *nonce, *names_wanted);
            }
            CompactWitnessMessage::Reply { nonce, answer } => {
                if let Some(answer) = self.expand(&routed.from, answer) {
                    self.on_witness_reply(*nonce, &answer);
                }
            }
        }
    }

    fn pass_witness_message_on(&mut self, from: ConnectionId, routed: &Arc<RoutedWitnessMessage>) {
        let Some(to) = &routed.to else { return };
        let route = self.witness_route(to).filter(|route| *route != from);
        if let Some(route) = route {
            self.send(route, PeerMessage::Witness(Arc::clone(routed)));
        }
    }

    fn on_query(&mut self, connection: ConnectionId, from: &NodeName, nonce: Nonce, names_wanted: bool) {
        let reply = self.witness.as_ref().and_then(|duty| duty.core.on_query(nonce));
        let Some(WitnessMessage::Reply { nonce, answer }) = reply else { return };
        let answer = self.compact(&answer, names_wanted);
        let reply = CompactWitnessMessage::Reply { nonce, answer };
        self.send_witness_message(connection, Some(from.clone()), reply);
    }

    fn on_hold(&mut self, from: &NodeName, answer: &CompactAnswer) {
        let Some(answer) = self.expand(from, answer) else { return };
        if let Some(reader) = &mut self.reader {
            reader.tracker.on_hold(&answer);
            self.schedule.holds_changed = true;
        }
    }

    /// A reply may belong to the recovery, to the check of the commit index or to a floor round.
    fn on_witness_reply(&mut self, nonce: Nonce, answer: &WitnessAnswer) {
        let statement = self.witness.as_mut().and_then(|duty| duty.core.on_reply(nonce, answer));
        self.spread_hold(statement);
        self.on_round_reply(nonce, answer);
        self.schedule.holds_changed = true;
        let Some(reader) = &mut self.reader else { return };
        if let Some(version) = reader.tracker.on_reply(nonce, answer) {
            reader.check_since = None;
            reader.check_wanted_since = None;
            reader.own_commit = version;
            self.decide(Decision::Committed { version });
            self.on_commit_index(version);
        }
    }

    /// Brings a reader's commit tracker up to the records known.
    pub(super) fn feed_tracker(&mut self) {
        let Some(held) = self.chain.held_version() else { return };
        let sets = Arc::clone(self.chain.sets());
        let Some(reader) = &mut self.reader else { return };
        let tracker = &mut reader.tracker;
        while tracker.newest() < held {
            let next = tracker.newest().next();
            let set = if next < sets.since { &sets.previous } else { &sets.current };
            let follows = next > sets.since || tracker.witnesses() == sets.previous.as_slice();
            let is_known = follows && (tracker.newest() > Version::GENESIS || next == sets.since);
            if !is_known || tracker.on_record(next, set).is_err() {
                tracker.on_base(held, &sets.current, &sets.previous);
            }
        }
        let committed = tracker.committed();
        self.schedule.holds_changed = true;
        self.on_commit_index(committed);
    }

    /// Checks the commit index with the witnesses where their holds allow a higher one.
    pub(super) fn tend_commit_check(&mut self) {
        let now = self.now;
        let Some(reader) = &mut self.reader else { return };
        let waits = reader.check_since.is_some() || reader.check_wanted_since.is_some();
        if !waits && !std::mem::take(&mut self.schedule.holds_changed) {
            return;
        }
        if reader.check_since.is_some_and(|since| now.since(since) >= CHECK_TIMEOUT) {
            reader.tracker.abandon_check();
            reader.check_since = None;
        }
        if !reader.tracker.needs_check() {
            reader.check_wanted_since = None;
            return;
        }
        let wanted_since = *reader.check_wanted_since.get_or_insert(now);
        let delay = self.check_delay();
        if now.since(wanted_since) >= delay {
            self.begin_commit_check();
        }
    }

    fn begin_commit_check(&mut self) {
        let nonce = self.nonce();
        let now = self.now;
        let Some(reader) = &mut self.reader else { return };
        reader.check_since = Some(now);
        reader.check_wanted_since = None;
        for witness in reader.tracker.begin_check(nonce) {
            self.query_witness(&witness, nonce, false);
        }
    }
}
