//! One node of the model; the quorum parts are the crate's own cores.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use umberpond_model::{Incarnation, Nonce, Version};
use umberpond_versions::{CommitTracker, FloorBatcher, FloorRound, RoundState, Witness, WitnessMessage};

use crate::checker::Event;
use crate::world::{FloorOption, Message, NODES, Purpose, READERS, Variant, World, index, name};

/// Peers that keep a node's record in option (c).
const PEERS: usize = 3;
/// A round or check without an end is begun anew after this many milliseconds.
const RETRY_AFTER: u64 = 300;

pub struct Node {
    pub me: usize,
    pub held: Option<Version>,
    pub committed: Version,
    pub active: Option<Version>,
    pub floor: Option<Version>,
    parent: usize,
    question: Nonce,
    reader: Option<Reader>,
    /// Versions that other nodes wrote here, in option (c).
    records: BTreeMap<usize, Version>,
    peer_replies: BTreeMap<usize, Version>,
    written: BTreeMap<Version, BTreeSet<usize>>,
}

struct Reader {
    tracker: CommitTracker,
    witness: Witness,
    batcher: FloorBatcher<usize>,
    round: Option<FloorRound>,
    round_began: u64,
    check_began: u64,
}

impl Node {
    pub fn new(world: &mut World, me: usize, process: u64) -> Self {
        let parent = if me < READERS { me } else { world.rng.random_range(0..READERS) };
        let question = Nonce(world.rng.random::<u64>() & !1);
        let reader = (me < READERS).then(|| Reader::new(world, me, process));
        Self {
            me,
            held: None,
            committed: Version::GENESIS,
            active: None,
            floor: None,
            parent,
            question,
            reader,
            records: BTreeMap::new(),
            peer_replies: BTreeMap::new(),
            written: BTreeMap::new(),
        }
    }

    pub fn on_tick(&mut self, world: &mut World) {
        self.parent = world.live_reader(self.parent);
        let source = if self.reader.is_some() { world.rng.random_range(0..READERS) } else { self.parent };
        world.send(Purpose::Spread, self.me, source, Message::Sync { held: self.held });
        if self.floor.is_none() {
            self.ask_for_floor(world);
        }
        if let Some(reader) = &mut self.reader {
            reader.on_tick(world, self.me);
        }
        self.advance(world);
    }

    pub fn on_message(&mut self, world: &mut World, from: usize, message: Message) {
        match message {
            Message::Sync { held } => self.on_sync(world, from, held),
            Message::Newer { held, committed } => self.on_newer(world, held, committed),
            Message::Question { nonce } => self.on_question(world, from, nonce),
            Message::Answer { nonce, floor } => {
                if nonce == self.question {
                    self.floor = Some(floor);
                }
            }
            Message::Witness(message) => {
                if let Some(reader) = &mut self.reader {
                    reader.on_witness(world, self.me, from, message);
                }
            }
            Message::HeadAnswer { nonce, version } => {
                if let Some(reader) = &mut self.reader {
                    reader.on_head(world, self.me, nonce, version);
                }
            }
            Message::PeerWrite { version } => {
                let newest = self.records.entry(from).or_insert(version);
                *newest = (*newest).max(version);
                world.send(Purpose::Commit, self.me, from, Message::PeerWritten { version });
            }
            Message::PeerWritten { version } => {
                self.written.entry(version).or_default().insert(from);
            }
            Message::PeerQuery { nonce } => {
                let version = self.records.get(&from).copied().unwrap_or_default();
                world.send(Purpose::Restart, self.me, from, Message::PeerReply { nonce, version });
            }
            Message::PeerReply { nonce, version } => self.on_peer_reply(nonce, from, version),
        }
        self.advance(world);
    }

    fn on_sync(&mut self, world: &mut World, from: usize, held: Option<Version>) {
        if let Some(mine) = self.held.filter(|mine| Some(*mine) >= held) {
            let message = Message::Newer { held: mine, committed: self.committed };
            world.send(Purpose::Spread, self.me, from, message);
        }
    }

    fn on_newer(&mut self, world: &mut World, held: Version, committed: Version) {
        self.committed = self.committed.max(committed);
        self.held = self.held.max(Some(held));
        if let (Some(reader), Some(held)) = (&mut self.reader, self.held) {
            reader.tracker.on_committed_elsewhere(self.committed);
            reader.on_held(world, self.me, held);
        }
    }

    fn on_question(&mut self, world: &mut World, from: usize, nonce: Nonce) {
        if world.option == FloorOption::TrustParent {
            if let Some(floor) = self.held {
                world.send(Purpose::Restart, self.me, from, Message::Answer { nonce, floor });
            }
        } else if let Some(reader) = &mut self.reader {
            reader.batcher.ask(from, nonce);
        }
    }

    fn ask_for_floor(&mut self, world: &mut World) {
        if world.option != FloorOption::PeerRecords {
            let question = Message::Question { nonce: self.question };
            world.send(Purpose::Restart, self.me, self.parent, question);
            return;
        }
        for peer in self.peers(world) {
            world.send(Purpose::Restart, self.me, peer, Message::PeerQuery { nonce: self.question });
        }
    }

    fn on_peer_reply(&mut self, nonce: Nonce, from: usize, version: Version) {
        if nonce != self.question {
            return;
        }
        self.peer_replies.insert(from, version);
        if self.peer_replies.len() > PEERS / 2 {
            self.floor = self.peer_replies.values().copied().max();
        }
    }

    /// The first live nodes by hash, as the machine list shows them.
    fn peers(&self, world: &World) -> Vec<usize> {
        let mut peers: Vec<usize> =
            (0..NODES).filter(|node| *node != self.me && world.is_up(*node)).collect();
        peers.sort_by_key(|node| ((node + 1) * 7_919 * (self.me + 1)) % 1_009);
        peers.truncate(PEERS);
        peers
    }

    fn advance(&mut self, world: &mut World) {
        if let Some(reader) = &mut self.reader {
            reader.advance(world, self.me);
            self.committed = self.committed.max(reader.tracker.committed());
        }
        world.committed_anywhere = world.committed_anywhere.max(self.committed);
        let Some((floor, held)) = self.floor.zip(self.held) else { return };
        let target = match world.option {
            FloorOption::Witnesses(_) => held.min(self.committed),
            _ => held,
        };
        if target < floor || self.active.is_some_and(|active| target <= active) {
            return;
        }
        if world.option == FloorOption::PeerRecords && !self.is_written(world, target) {
            return;
        }
        self.active = Some(target);
        world.record(self.me, Event::Activated(target));
    }

    fn is_written(&mut self, world: &mut World, version: Version) -> bool {
        if let Some(writers) = self.written.get(&version) {
            return writers.len() > PEERS / 2;
        }
        self.written.insert(version, BTreeSet::new());
        for peer in self.peers(world) {
            world.send(Purpose::Commit, self.me, peer, Message::PeerWrite { version });
        }
        false
    }
}

impl Reader {
    fn new(world: &mut World, me: usize, process: u64) -> Self {
        let nonce = Nonce(world.rng.random::<u64>() & !1);
        let mut witness = Witness::new(name(me), Incarnation(process), nonce);
        if world.option == FloorOption::Witnesses(Variant::AnswersAtOnce) {
            witness.on_head_read(nonce, Version::GENESIS);
        }
        Self {
            tracker: CommitTracker::new(),
            witness,
            batcher: FloorBatcher::new(),
            round: None,
            round_began: 0,
            check_began: 0,
        }
    }

    fn on_held(&mut self, world: &mut World, me: usize, held: Version) {
        let FloorOption::Witnesses(variant) = world.option else { return };
        let set = world.witnesses_of(held).to_vec();
        if variant == Variant::NewSetOnly {
            self.tracker.on_base(held, &set, &[]);
        } else if world.starts_over_at(held) || self.tracker.on_record(held, &set).is_err() {
            let previous = match variant {
                Variant::SetJustBefore => world.witnesses_of(Version(held.0.saturating_sub(1))).to_vec(),
                _ => world.previous_set(held).to_vec(),
            };
            self.tracker.on_base(held, &set, &previous);
        }
        let recovered = self.witness.on_record(held, &set);
        let grown = self.witness.on_held(held, &set);
        self.tell(world, me, grown.or(recovered));
    }

    fn on_witness(&mut self, world: &mut World, me: usize, from: usize, message: WitnessMessage) {
        match message {
            WitnessMessage::Hold(answer) => {
                self.tracker.on_hold(&answer);
            }
            WitnessMessage::Query { nonce } => {
                if let Some(reply) = self.witness.on_query(nonce) {
                    world.send(purpose_of(nonce), me, from, Message::Witness(reply));
                }
            }
            WitnessMessage::Reply { nonce, answer } => {
                self.tracker.on_reply(nonce, &answer);
                let recovered = self.witness.on_reply(nonce, &answer);
                self.tell(world, me, recovered);
                let counts_always = world.option == FloorOption::Witnesses(Variant::IgnoresNonce);
                if let Some(round) = &mut self.round {
                    let nonce = if counts_always { round.nonce() } else { nonce };
                    round.on_reply(nonce, &answer);
                }
            }
        }
    }

    fn on_head(&mut self, world: &mut World, me: usize, nonce: Nonce, version: Version) {
        if let Some(round) = &mut self.round {
            round.on_head_read(nonce, version);
        }
        let recovered = self.witness.on_head_read(nonce, version);
        self.tell(world, me, recovered);
    }

    fn on_tick(&mut self, world: &mut World, me: usize) {
        if world.now >= self.check_began + RETRY_AFTER {
            self.tracker.abandon_check();
        }
        if self.round.is_some() && world.now >= self.round_began + RETRY_AFTER {
            self.round = None;
            self.batcher.abandon();
        }
        if matches!(world.option, FloorOption::Witnesses(_)) {
            if !self.witness.is_serving() {
                self.witness.ask_again();
                world.read_head(me, self.witness.recovery_nonce());
            }
            if self.tracker.committed() < self.tracker.newest() {
                self.tell(world, me, self.witness.hold_statement());
            }
        }
    }

    fn advance(&mut self, world: &mut World, me: usize) {
        match world.option {
            FloorOption::WaitForPlatform => self.begin_round(world, me),
            FloorOption::Witnesses(_) => {
                self.begin_round(world, me);
                self.begin_check(world, me);
                let nonce = self.witness.recovery_nonce();
                for witness in self.witness.take_unasked() {
                    query(world, me, index(&witness), nonce);
                }
                if let Some(round) = &mut self.round {
                    for witness in round.take_unasked() {
                        query(world, me, index(&witness), round.nonce());
                    }
                }
            }
            FloorOption::TrustParent | FloorOption::PeerRecords => return,
        }
        if let Some(RoundState::Proved(floor)) = self.round.as_ref().map(FloorRound::state) {
            let nonce = self.round.take().unwrap().nonce();
            for answer in self.batcher.finish(nonce, floor) {
                let message = Message::Answer { nonce: answer.nonce, floor };
                world.send(Purpose::Restart, me, answer.asker, message);
            }
        }
    }

    fn begin_round(&mut self, world: &mut World, me: usize) {
        let nonce = Nonce(world.rng.random::<u64>() & !1);
        if self.batcher.begin(nonce) {
            let newest = self.tracker.newest();
            self.round = Some(FloorRound::new(nonce, newest, self.tracker.witnesses()));
            self.round_began = world.now;
            world.read_head(me, nonce);
        }
    }

    fn begin_check(&mut self, world: &mut World, me: usize) {
        if !self.tracker.needs_check() {
            return;
        }
        let nonce = Nonce(world.rng.random::<u64>() | 1);
        self.check_began = world.now;
        for witness in self.tracker.begin_check(nonce) {
            query(world, me, index(&witness), nonce);
        }
    }

    /// Sends a statement to all readers, the own tracker included.
    fn tell(&self, world: &mut World, me: usize, statement: Option<WitnessMessage>) {
        let Some(statement) = statement else { return };
        let newest = self.tracker.newest();
        let named = world.witnesses_of(newest).iter().chain(world.previous_set(newest));
        if !named.into_iter().any(|witness| *witness == name(me)) {
            return;
        }
        for reader in 0..READERS {
            world.send(Purpose::Commit, me, reader, Message::Witness(statement.clone()));
        }
    }
}

/// Checks ask with odd numbers, rounds and recoveries with even ones, so that replies are counted apart.
fn purpose_of(nonce: Nonce) -> Purpose {
    if nonce.0 % 2 == 1 { Purpose::Commit } else { Purpose::Restart }
}

fn query(world: &mut World, from: usize, to: usize, nonce: Nonce) {
    world.send(purpose_of(nonce), from, to, Message::Witness(WitnessMessage::Query { nonce }));
}
