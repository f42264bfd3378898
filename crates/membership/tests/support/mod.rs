//! Simulated cluster: several memberships on a virtual clock, with datagrams that are delayed, lost or
//! blocked in one direction.

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
use umberpond_model::{Evacuations, Incarnation, Locality, NodeName, StoreEra, Version};

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

/// The number of the node at `address`.
fn number_at(address: SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = address.ip() else { panic!("not an address of a node: {address}") };
    let [_, _, high, low] = ip.octets();
    usize::from(u16::from_be_bytes([high, low]))
}

/// Distributes the nodes over the zones round-robin.
pub fn locality(number: usize, zones: usize) -> Locality {
    Locality { region: name("north"), zone: name(&format!("zone-{}", number % zones)) }
}

fn record(name_number: usize, number: usize, process_id: u64, zones: usize) -> MemberRecord {
    MemberRecord {
        node: node(name_number),
        process_id,
        incarnation: Incarnation(1),
        sequence: 0,
        control: address(number),
        inbound: address(number),
        locality: locality(name_number, zones),
        phase: MemberPhase::Running,
        back_end: None,
        rollouts: Vec::new(),
        evacuations: Evacuations::default(),
        store_era: StoreEra::default(),
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
        request_limit: None,
    }
}

struct InTransit {
    from: SocketAddr,
    to: SocketAddr,
    datagram: Datagram,
}

pub struct Cluster {
    pub now: Instant,
    start: Instant,
    pub nodes: BTreeMap<usize, Membership>,
    /// Datagrams in transit, by arrival time and sequence number.
    in_transit: BTreeMap<(Instant, u64), InTransit>,
    random: ChaCha8Rng,
    /// Fraction of the datagrams that are lost.
    pub loss: f64,
    /// Pairs of sender and receiver between which no datagrams pass.
    pub blocked_links: BTreeSet<(usize, usize)>,
    pub datagrams: u64,
    pub bytes: u64,
    pub bytes_between_zones: u64,
    pub bytes_by_kind: BTreeMap<&'static str, u64>,
    events: Vec<(usize, MembershipEvent)>,
    process_count: u64,
    zones: usize,
    /// Nodes whose processes are stalled; datagrams to them wait.
    pub stalled: BTreeSet<usize>,
}

impl Cluster {
    pub fn new(seed: u64) -> Self {
        let now = Instant::now();
        Self {
            now,
            start: now,
            nodes: BTreeMap::new(),
            in_transit: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            loss: 0.0,
            blocked_links: BTreeSet::new(),
            datagrams: 0,
            bytes: 0,
            bytes_between_zones: 0,
            bytes_by_kind: BTreeMap::new(),
            events: Vec::new(),
            process_count: 0,
            zones: 1,
            stalled: BTreeSet::new(),
        }
    }

    /// `count` nodes that have read each other's entries from the store.
    pub fn joined(seed: u64, count: usize) -> Self {
        Self::joined_in_zones(seed, count, 1)
    }

    /// Like [`joined`](Self::joined), in several zones.
    pub fn joined_in_zones(seed: u64, count: usize, zones: usize) -> Self {
        let mut cluster = Self::started_in_zones(seed, count, zones);
        for number in 0..count {
            cluster.add_directory_entries(number, 0..count);
        }
        cluster
    }

    /// `count` nodes that know no other node.
    pub fn started_in_zones(seed: u64, count: usize, zones: usize) -> Self {
        let mut cluster = Self { zones, ..Self::new(seed) };
        for number in 0..count {
            cluster.start(number);
        }
        cluster
    }

    /// Records of nodes that are not simulated.
    pub fn records(numbers: std::ops::Range<usize>, zones: usize) -> Vec<MemberRecord> {
        numbers.map(|number| record(number, number, number as u64 + 1, zones)).collect()
    }

    /// Starts a process of the node, replacing the running one.
    pub fn start(&mut self, number: usize) {
        self.start_at(number, number);
    }

    /// Starts a process of the node `name_number` at the address of the node `number`.
    pub fn start_at(&mut self, name_number: usize, number: usize) {
        self.process_count += 1;
        self.start_with(name_number, number, self.process_count);
    }

    /// Starts a process with the random ID `process_id`.
    pub fn start_with_process_id(&mut self, number: usize, process_id: u64) {
        self.start_with(number, number, process_id);
    }

    fn start_with(&mut self, name_number: usize, number: usize, process_id: u64) {
        let record = record(name_number, number, process_id, self.zones);
        self.nodes.insert(number, Membership::new(MembershipSettings::default(), record));
    }

    pub fn kill(&mut self, number: usize) {
        self.nodes.remove(&number);
    }

    pub fn add_directory_entries(&mut self, number: usize, others: impl IntoIterator<Item = usize>) {
        let entries = others.into_iter().map(|other| DirectoryEntry {
            node: node(other),
            control: address(other),
            locality: Some(locality(other, self.zones)),
        });
        let now = self.now;
        self.nodes.get_mut(&number).unwrap().on_directory_entries(now, entries.collect());
    }

    /// Calls `action` on the membership of a node and sends the resulting datagrams.
    pub fn update_node(
        &mut self,
        number: usize,
        action: impl FnOnce(&mut Membership, Instant) -> Vec<Outgoing>,
    ) {
        let outgoing = action(self.nodes.get_mut(&number).unwrap(), self.now);
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
        let running = self.nodes.keys().copied().filter(|number| !self.stalled.contains(number));
        let numbers: Vec<usize> = running.collect();
        for number in numbers {
            let outgoing = self.nodes.get_mut(&number).unwrap().on_tick(now);
            self.send(number, outgoing);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let later = self.in_transit.split_off(&(now + Duration::from_nanos(1), 0));
        let due = std::mem::replace(&mut self.in_transit, later);
        let (waiting, due): (BTreeMap<_, _>, BTreeMap<_, _>) =
            due.into_iter().partition(|(_, in_transit)| self.stalled.contains(&number_at(in_transit.to)));
        self.in_transit.extend(waiting);
        for InTransit { from, to, datagram } in due.into_values() {
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
            if self.blocked_links.contains(&(from, receiver)) || self.random.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_millis(self.random.random_range(1..15));
            self.in_transit
                .insert((self.now + delay, self.datagrams), InTransit { from: address(from), to, datagram });
        }
    }

    pub fn numbers(&self) -> Vec<usize> {
        self.nodes.keys().copied().collect()
    }

    /// Takes the events that all nodes have recorded since the last call.
    pub fn take_events(&mut self) -> Vec<(usize, MembershipEvent)> {
        for (number, membership) in &mut self.nodes {
            self.events.extend(membership.take_events().into_iter().map(|event| (*number, event)));
        }
        std::mem::take(&mut self.events)
    }

    /// The nodes from which the node receives heartbeats regularly.
    pub fn neighbours_of(&mut self, number: usize) -> Vec<usize> {
        let mut neighbours = self.numbers();
        for _ in 0..4 {
            self.run_millis(300);
            let recent = self.recently_heard(number);
            neighbours.retain(|neighbour| recent.contains(neighbour));
        }
        neighbours
    }

    fn recently_heard(&self, number: usize) -> Vec<usize> {
        let is_recent = |last_seen_at: Instant| self.now - last_seen_at < Duration::from_millis(300);
        let recent =
            self.nodes[&number].members().filter(|member| member.last_seen_at.is_some_and(is_recent));
        recent.map(|member| number_at(member.record.control)).collect()
    }

    /// Whether the node has received a heartbeat from a node that holds the version.
    pub fn knows_version(&self, number: usize, version: Version) -> bool {
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

    /// Whether every node reaches every other node.
    pub fn all_reach_all(&self) -> bool {
        let running: BTreeSet<&NodeName> =
            self.nodes.values().map(|membership| &membership.own().node).collect();
        self.nodes.values().all(|membership| {
            let reachable = membership.reachable().filter(|record| running.contains(&record.node));
            reachable.count() == running.len() - 1
        })
    }
}
