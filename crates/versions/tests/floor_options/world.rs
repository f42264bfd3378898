//! A tiny discrete-event model: a platform, readers that may be witnesses, and nodes below them.

use std::collections::{BTreeMap, BTreeSet};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_model::{NodeName, Nonce, Version};
use umberpond_versions::WitnessMessage;

use crate::checker::{Entry, Event};
use crate::faults::{FAULTS_END, Fault};
use crate::node::Node;

/// Readers are the nodes below this number; one in each of as many zones.
pub const READERS: usize = 5;
pub const NODES: usize = 25;
/// Witnesses of a version, chosen among the readers.
const WITNESSES: usize = 3;
/// End of a run, in milliseconds.
pub const END: u64 = 20_000;
const ACCEPT_EVERY: u64 = 100;
const TICK: u64 = 100;

/// How a restarted node learns what it must not fall below.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloorOption {
    /// (none) It trusts what its parent holds.
    TrustParent,
    /// (a) It waits for a read of the platform's head.
    WaitForPlatform,
    /// (b) Its reader asks a majority of the witnesses.
    Witnesses(Variant),
    /// (c) It asks three peers chosen by hash, to which it wrote each version before putting it in force.
    PeerRecords,
}

/// The rule of option (b), and ways to break it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Variant {
    Sound,
    /// A restarted witness answers without having recovered.
    AnswersAtOnce,
    /// A reply to any question counts in the running round.
    IgnoresNonce,
    /// A majority of the version's own witness set suffices for its commit.
    NewSetOnly,
    /// Acceptors change the witness set although its last change isn't committed.
    ChangesUngated,
    /// A reader that starts at a whole transfer takes the set of the version just before as the previous one.
    SetJustBefore,
    /// Witnesses that an operator names as lost are only cut off.
    LostStillRun,
}

#[derive(Debug, Clone)]
pub enum Message {
    /// Asks for what is newer than `held`.
    Sync {
        held: Option<Version>,
    },
    /// The sender's newest version, with its records and content, and the commit index.
    Newer {
        held: Version,
        committed: Version,
    },
    Question {
        nonce: Nonce,
    },
    Answer {
        nonce: Nonce,
        floor: Version,
    },
    Witness(WitnessMessage),
    HeadAnswer {
        nonce: Nonce,
        version: Version,
    },
    PeerWrite {
        version: Version,
    },
    PeerWritten {
        version: Version,
    },
    PeerQuery {
        nonce: Nonce,
    },
    PeerReply {
        nonce: Nonce,
        version: Version,
    },
}

/// What a message is counted under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    Spread,
    Commit,
    Restart,
}

#[derive(Debug)]
enum Happening {
    Accept,
    Tick { node: usize },
    Deliver { from: usize, to: usize, process: u64, message: Message },
    HeadRead { node: usize, process: u64, nonce: Nonce },
    Fault(Fault),
}

/// Everything outside the nodes: time, links, the platform and the record of the run.
pub struct World {
    pub now: u64,
    pub option: FloorOption,
    pub rng: ChaCha8Rng,
    pub chain: Vec<Vec<NodeName>>,
    pub history: Vec<Entry>,
    pub counts: BTreeMap<Purpose, u64>,
    pub restarts: u64,
    pub committed_anywhere: Version,
    processes: [u64; NODES],
    platform_down: bool,
    cut_until: [u64; NODES],
    paused_until: [u64; NODES],
    changed_set_at: Version,
    /// The set that each version names as the one before, as records do.
    previous_sets: Vec<Vec<NodeName>>,
    /// Readers that the operator says have ended for good.
    lost: BTreeSet<usize>,
    /// The version by which the operator replaced lost witnesses.
    replaced_at: Option<Version>,
    queue: BTreeMap<(u64, u64), Happening>,
    queued: u64,
}

pub fn name(node: usize) -> NodeName {
    NodeName::new(&format!("n{node}")).unwrap()
}

pub fn index(node: &NodeName) -> usize {
    node.as_str()[1..].parse().unwrap()
}

impl World {
    fn new(option: FloorOption, seed: u64) -> Self {
        Self {
            now: 0,
            option,
            rng: ChaCha8Rng::seed_from_u64(seed),
            chain: vec![Vec::new()],
            history: Vec::new(),
            counts: BTreeMap::new(),
            restarts: 0,
            committed_anywhere: Version::GENESIS,
            processes: [0; NODES],
            platform_down: false,
            cut_until: [0; NODES],
            paused_until: [0; NODES],
            changed_set_at: Version::GENESIS,
            previous_sets: vec![Vec::new()],
            lost: BTreeSet::new(),
            replaced_at: None,
            queue: BTreeMap::new(),
            queued: 0,
        }
    }

    pub fn head(&self) -> Version {
        Version(self.chain.len() as u64 - 1)
    }

    pub fn witnesses_of(&self, version: Version) -> &[NodeName] {
        &self.chain[version.0 as usize]
    }

    /// The set that the record of `version` names as the previous one.
    pub fn previous_set(&self, version: Version) -> &[NodeName] {
        &self.previous_sets[version.0 as usize]
    }

    /// Whether commit starts over at `version`, by an operator's replacement of witnesses.
    pub fn starts_over_at(&self, version: Version) -> bool {
        self.replaced_at == Some(version)
    }

    /// The reader to turn to in place of `reader`: itself, unless its process has ended for good.
    pub fn live_reader(&self, reader: usize) -> usize {
        let order = (0..READERS).map(|step| (reader + step) % READERS);
        order.clone().find(|reader| !self.is_gone(*reader)).unwrap_or(reader)
    }

    pub fn is_replaced(&self) -> bool {
        self.replaced_at.is_some()
    }

    pub fn is_gone(&self, node: usize) -> bool {
        self.lost.contains(&node) && self.option != FloorOption::Witnesses(Variant::LostStillRun)
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.paused_until[node] <= self.now
    }

    pub fn send(&mut self, purpose: Purpose, from: usize, to: usize, message: Message) {
        *self.counts.entry(purpose).or_default() += 1;
        let between_readers = from < READERS && to < READERS && from != to;
        if between_readers && self.is_cut(from) != self.is_cut(to) {
            return;
        }
        let delay = if from == to { 0 } else { self.delay() };
        let process = self.processes[to];
        self.push(self.now + delay, Happening::Deliver { from, to, process, message });
    }

    pub fn read_head(&mut self, node: usize, nonce: Nonce) {
        *self.counts.entry(Purpose::Restart).or_default() += 1;
        if !self.is_cut(node) {
            let at = self.now + self.delay();
            self.push(at, Happening::HeadRead { node, process: self.processes[node], nonce });
        }
    }

    pub fn record(&mut self, node: usize, event: Event) {
        self.history.push(Entry { at: self.now, node, event });
    }

    fn is_cut(&self, node: usize) -> bool {
        self.cut_until[node] > self.now
    }

    fn delay(&mut self) -> u64 {
        if self.rng.random_bool(0.05) {
            self.rng.random_range(50..2_000)
        } else {
            self.rng.random_range(1..15)
        }
    }

    fn push(&mut self, at: u64, happening: Happening) {
        self.queued += 1;
        self.queue.insert((at, self.queued), happening);
    }

    fn accept(&mut self) {
        self.push(self.now + ACCEPT_EVERY, Happening::Accept);
        if self.platform_down || self.now > FAULTS_END + 4_000 {
            return;
        }
        let version = self.head().next();
        let set = self.chain.last().unwrap().clone();
        // Acceptors change the set only when the last change is committed.
        let may_change = self.committed_anywhere >= self.changed_set_at
            || self.option == FloorOption::Witnesses(Variant::ChangesUngated);
        let changes = set.is_empty() || (may_change && self.rng.random_bool(0.2));
        let set = if changes { self.choose_witnesses() } else { set };
        let unchanged = set == *self.chain.last().unwrap();
        let previous = if unchanged { &self.previous_sets } else { &self.chain };
        let previous = previous.last().unwrap().clone();
        if !unchanged {
            self.changed_set_at = version;
        }
        self.append(set, previous);
    }

    /// Appends a version and tells the readers that the platform reaches.
    fn append(&mut self, set: Vec<NodeName>, previous: Vec<NodeName>) {
        self.chain.push(set);
        self.previous_sets.push(previous);
        let version = self.head();
        let committed = Version::GENESIS;
        for reader in 0..READERS {
            if !self.is_cut(reader) {
                self.send(Purpose::Spread, reader, reader, Message::Newer { held: version, committed });
            }
        }
    }

    fn choose_witnesses(&mut self) -> Vec<NodeName> {
        let mut readers: Vec<usize> = (0..READERS).filter(|reader| !self.lost.contains(reader)).collect();
        while readers.len() > WITNESSES {
            readers.remove(self.rng.random_range(0..readers.len()));
        }
        readers.into_iter().map(name).collect()
    }

    /// A majority of the newest set ends for good.
    fn lose_majority(&mut self) {
        let set = self.chain.last().unwrap();
        self.lost = set.iter().take(set.len() / 2 + 1).map(index).collect();
        for reader in self.lost.clone() {
            if self.is_gone(reader) {
                self.processes[reader] += 1;
                self.paused_until[reader] = u64::MAX;
            } else {
                self.cut_until[reader] = FAULTS_END;
            }
        }
    }

    /// The operator replaces the lost witnesses, by the rule of acceptance: of the present set, and the one before
    /// it while the change isn't committed, each keeps its say unless it has lost its majority.
    fn replace_witnesses(&mut self) {
        let present = self.chain.last().unwrap().clone();
        let is_settled = self.committed_anywhere >= self.changed_set_at;
        let previous = if is_settled { Vec::new() } else { self.previous_sets.last().unwrap().clone() };
        let (present_lost, previous_lost) = (self.has_lost(&present), self.has_lost(&previous));
        if !present_lost && !previous_lost {
            return;
        }
        let set = if present_lost { self.choose_witnesses() } else { present };
        let keeps_say = if previous_lost { Vec::new() } else { previous };
        self.changed_set_at = self.head().next();
        self.replaced_at = Some(self.changed_set_at);
        self.append(set, keeps_say);
    }

    fn has_lost(&self, set: &[NodeName]) -> bool {
        let remaining = set.iter().filter(|node| !self.lost.contains(&index(node))).count();
        !set.is_empty() && remaining * 2 <= set.len()
    }

    fn on_fault(&mut self, fault: Fault, nodes: &mut [Node]) {
        match fault {
            Fault::PlatformDown(down) => self.platform_down = down,
            Fault::Pause { reader, .. } if self.is_gone(reader) => {}
            Fault::Pause { reader, until } => self.paused_until[reader] = until,
            Fault::LoseMajority => self.lose_majority(),
            Fault::ReplaceWitnesses => self.replace_witnesses(),
            Fault::Cut { readers, until } => {
                readers.iter().for_each(|reader| self.cut_until[*reader] = until)
            }
            Fault::Herd(herd) => {
                for node in herd.into_iter().filter(|node| !self.is_gone(*node)).collect::<Vec<_>>() {
                    self.restarts += 1;
                    self.processes[node] += 1;
                    self.paused_until[node] = self.now + self.rng.random_range(20..200);
                    self.record(node, Event::Restarted);
                    nodes[node] = Node::new(self, node, self.processes[node]);
                }
            }
        }
    }
}

/// Makes the faults of one run, with their times.
pub type Schedule = fn(&mut ChaCha8Rng) -> Vec<(u64, Fault)>;

/// Runs one seed to the end.
pub fn run(option: FloorOption, schedule: Schedule, seed: u64) -> (World, Vec<Node>) {
    let mut world = World::new(option, seed);
    let mut nodes: Vec<Node> = (0..NODES).map(|node| Node::new(&mut world, node, 0)).collect();
    for (at, fault) in schedule(&mut world.rng) {
        world.push(at, Happening::Fault(fault));
    }
    world.push(0, Happening::Accept);
    for node in 0..NODES {
        let first = world.rng.random_range(0..TICK);
        world.push(first, Happening::Tick { node });
    }
    while let Some(((at, _), happening)) = world.queue.pop_first() {
        if at > END {
            break;
        }
        world.now = at;
        step(&mut world, &mut nodes, happening);
    }
    (world, nodes)
}

fn step(world: &mut World, nodes: &mut [Node], happening: Happening) {
    match happening {
        Happening::Accept => world.accept(),
        Happening::Fault(fault) => world.on_fault(fault, nodes),
        Happening::Tick { node } => {
            world.push(world.now + TICK, Happening::Tick { node });
            if world.is_up(node) {
                nodes[node].on_tick(world);
            }
        }
        Happening::HeadRead { node, process, nonce } => {
            if !world.platform_down {
                let message = Message::HeadAnswer { nonce, version: world.head() };
                let at = world.now + world.delay();
                world.push(at, Happening::Deliver { from: node, to: node, process, message });
            }
        }
        Happening::Deliver { from, to, process, message } => {
            if process != world.processes[to] {
                return;
            }
            if world.is_up(to) {
                nodes[to].on_message(world, from, message);
            } else {
                world.push(world.paused_until[to], Happening::Deliver { from, to, process, message });
            }
        }
    }
}
