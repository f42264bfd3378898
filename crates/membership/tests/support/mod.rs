//! Several memberships on a virtual clock, with datagrams that are delayed, lost or cut one way.

#![allow(dead_code, reason = "not every test uses every part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_membership::{
    BackEndRecord, BackEndState, Datagram, DirectoryEntry, MemberPhase, MemberRecord, MemberView, Membership,
    MembershipEvent, MembershipSettings, Outgoing,
};
use umberpond_model::{Evacuations, Incarnation, Locality, NodeName, Version};

const TICK: Duration = Duration::from_millis(50);
const STEP: Duration = Duration::from_millis(10);

pub fn name<N: std::str::FromStr>(text: &str) -> N {
    text.parse().ok().expect("a valid name")
}

pub fn node(number: usize) -> NodeName {
    name(&format!("node-{number}"))
}

pub fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(number).unwrap().to_be_bytes();
    SocketAddr::from(([10, 0, high, low], 7000))
}

/// The number of the node at this address.
fn number_at(address: SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("not an address of a node: {address}") };
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

/// Nodes take turns over the zones.
pub fn locality(number: usize, zones: usize) -> Locality {
    Locality { region: name("north"), zone: name(&format!("zone-{}", number % zones)) }
}

fn record(named: usize, number: usize, life: u64, zones: usize) -> MemberRecord {
    MemberRecord {
        node: node(named),
        life,
        incarnation: Incarnation(1),
        sequence: 0,
        control: address(number),
        inbound: address(number),
        locality: locality(named, zones),
        phase: MemberPhase::Running,
        back_end: None,
        rollouts: Vec::new(),
        evacuations: Evacuations::default(),
    }
}

pub fn back_end(instance: &str, state: BackEndState) -> BackEndRecord {
    BackEndRecord {
        instance: instance.to_owned(),
        service: name("archive"),
        release: None,
        slots: 10,
        state,
        is_cold: false,
    }
}

struct Flying {
    from: SocketAddr,
    to: SocketAddr,
    datagram: Datagram,
}

pub struct World {
    pub now: Instant,
    start: Instant,
    pub nodes: BTreeMap<usize, Membership>,
    /// Datagrams on their way, by the time of arrival and their count.
    flying: BTreeMap<(Instant, u64), Flying>,
    random: ChaCha8Rng,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Directions in which nothing passes.
    pub cut: BTreeSet<(usize, usize)>,
    pub datagrams: u64,
    pub bytes: u64,
    pub bytes_between_zones: u64,
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    notes: Vec<(usize, MembershipEvent)>,
    lives: u64,
    zones: usize,
    /// Nodes whose processes do not run for now; what is sent to them waits.
    pub frozen: BTreeSet<usize>,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            start: now,
            nodes: BTreeMap::new(),
            flying: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            cut: BTreeSet::new(),
            datagrams: 0,
            bytes: 0,
            bytes_between_zones: 0,
            bytes_by_kind: BTreeMap::new(),
            notes: Vec::new(),
            lives: 0,
            zones: 1,
            frozen: BTreeSet::new(),
        }
    }

    /// `count` nodes that have read one another from the store.
    pub fn joined(seed: u64, count: usize) -> Self {
        Self::joined_in_zones(seed, count, 1)
    }

    /// The same in several zones.
    pub fn joined_in_zones(seed: u64, count: usize, zones: usize) -> Self {
        let mut world = Self::started_in_zones(seed, count, zones);
        for number in 0..count {
            world.introduce(number, 0..count);
        }
        world
    }

    /// `count` nodes that know nobody.
    pub fn started_in_zones(seed: u64, count: usize, zones: usize) -> Self {
        let mut world = Self { zones, ..Self::new(seed) };
        for number in 0..count {
            world.start(number);
        }
        world
    }

    /// What nodes that don't run here say of themselves.
    pub fn records(numbers: std::ops::Range<usize>, zones: usize) -> Vec<MemberRecord> {
        numbers.map(|number| record(number, number, number as u64 + 1, zones)).collect()
    }

    /// Starts a process of the node, in place of the one that runs.
    pub fn start(&mut self, number: usize) {
        self.start_at(number, number);
    }

    /// Starts a process of the node called by `named` at the address of the node `number`.
    pub fn start_at(&mut self, named: usize, number: usize) {
        self.lives += 1;
        self.start_with(named, number, self.lives);
    }

    /// Starts a process whose random number is `life`.
    pub fn start_as(&mut self, number: usize, life: u64) {
        self.start_with(number, number, life);
    }

    fn start_with(&mut self, named: usize, number: usize, life: u64) {
        let record = record(named, number, life, self.zones);
        self.nodes.insert(number, Membership::new(MembershipSettings::default(), record));
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&number);
    }

    pub fn introduce(&mut self, number: usize, others: impl IntoIterator<Item = usize>) {
        let introductions = others.into_iter().map(|other| DirectoryEntry {
            node: node(other),
            control: address(other),
            locality: Some(locality(other, self.zones)),
        });
        let now = self.now;
        self.nodes.get_mut(&number).unwrap().on_directory_entries(now, introductions.collect());
    }

    /// Lets a node say something at once.
    pub fn tell(&mut self, number: usize, say: impl FnOnce(&mut Membership, Instant) -> Vec<Outgoing>) {
        let outgoing = say(self.nodes.get_mut(&number).unwrap(), self.now);
        self.send(number, outgoing);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let is_tick = (self.now - self.start).as_millis().is_multiple_of(TICK.as_millis());
            if is_tick {
                self.tick();
            }
        }
    }

    pub fn run_millis(&mut self, millis: u64) {
        self.run(Duration::from_millis(millis));
    }

    fn tick(&mut self) {
        let now = self.now;
        let running = self.nodes.keys().copied().filter(|number| !self.frozen.contains(number));
        let numbers: Vec<usize> = running.collect();
        for number in numbers {
            let outgoing = self.nodes.get_mut(&number).unwrap().on_tick(now);
            self.send(number, outgoing);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let later = self.flying.split_off(&(now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.flying, later);
        let (waiting, due): (BTreeMap<_, _>, BTreeMap<_, _>) =
            due.into_iter().partition(|(_, flying)| self.frozen.contains(&number_at(flying.to)));
        self.flying.extend(waiting);
        for Flying { from, to, datagram } in due.into_values() {
            let number = number_at(to);
            let Some(membership) = self.nodes.get_mut(&number) else { continue };
            let outgoing = membership.on_datagram(now, from, &datagram);
            self.send(number, outgoing);
        }
    }

    fn send(&mut self, from: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, datagram } in outgoing {
            self.datagrams += 1;
            let receiver = number_at(to);
            let length = bitcode::encode(&datagram).len() as u64;
            self.bytes += length;
            *self.bytes_by_kind.entry(datagram.kind()).or_default() += length;
            self.bytes_between_zones += if from % self.zones == receiver % self.zones { 0 } else { length };
            if self.cut.contains(&(from, receiver)) || self.random.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(1..15));
            self.flying
                .insert((self.now + delay, self.datagrams), Flying { from: address(from), to, datagram });
        }
    }

    pub fn numbers(&self) -> Vec<usize> {
        self.nodes.keys().copied().collect()
    }

    /// What the nodes have found out since this was asked last.
    pub fn take_events(&mut self) -> Vec<(usize, MembershipEvent)> {
        for (number, membership) in &mut self.nodes {
            self.notes.extend(membership.take_events().into_iter().map(|note| (*number, note)));
        }
        std::mem::take(&mut self.notes)
    }

    /// The nodes that the node hears all the time.
    pub fn neighbours_of(&mut self, number: usize) -> Vec<usize> {
        let mut neighbours = self.numbers();
        for _ in 0..4 {
            self.run_millis(300);
            let heard = self.heard_lately(number);
            neighbours.retain(|neighbour| heard.contains(neighbour));
        }
        neighbours
    }

    fn heard_lately(&self, number: usize) -> Vec<usize> {
        let is_recent = |last_seen_at: Instant| self.now - last_seen_at < Duration::from_millis(300);
        let heard = self.nodes[&number].members().filter(|member| member.last_seen_at.is_some_and(is_recent));
        heard.map(|member| number_at(member.record.control)).collect()
    }

    /// Whether somebody has told the node of the version, or it holds it.
    pub fn has_heard_of(&self, number: usize, version: Version) -> bool {
        let mut members = self.nodes[&number].members();
        members.any(|member| member.configuration.version >= Some(version))
    }

    pub fn view(&self, from: usize, of: usize) -> Option<MemberView> {
        let of = node(of);
        self.nodes[&from].members().find(|member| member.record.node == of)
    }

    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let to = node(to);
        self.nodes[&from].reachable().any(|record| record.node == to)
    }

    /// Whether every node reaches every other one.
    pub fn all_reach_all(&self) -> bool {
        let running: BTreeSet<&NodeName> =
            self.nodes.values().map(|membership| &membership.own().node).collect();
        self.nodes.values().all(|membership| {
            let reachable = membership.reachable().filter(|record| running.contains(&record.node));
            reachable.count() == running.len() - 1
        })
    }
}
