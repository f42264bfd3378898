//! Nodes, links, time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, Member, Millis, NodeName, Timestamp, Version,
};
use umberpond_overlay::interface::{
    ConnectionId, Decision, Input, Machine, Output, PlatformEvent, PlatformRequest,
};
use umberpond_overlay::{OverlayConfig, OverlayNode, PeerMessage, Transfer};

use super::checks::History;
use super::content;
use super::platform::Platform;
pub use super::settings::WorldSettings;

#[derive(Debug)]
pub struct Machinery {
    pub name: NodeName,
    pub locality: Locality,
    pub address: SocketAddr,
    pub service: usize,
    pub core: Option<OverlayNode>,
    pub record: EndpointRecord,
    /// Endpoint records as the driver was told.
    pub known: BTreeMap<NodeName, EndpointRecord>,
    pub bytes_sent: u64,
    pub messages_sent: u64,
    pub wholes_sent: Vec<Timestamp>,
    pub(super) incarnation: u64,
    pub(super) wake: u64,
    pub(super) frozen: bool,
    pub(super) waiting: VecDeque<Input<PeerMessage>>,
}

#[derive(Debug, Clone)]
pub(super) struct Pipe {
    pub(super) ends: [(NodeName, u64); 2],
    ids: [ConnectionId; 2],
    latest: [Timestamp; 2],
    pub(super) open: bool,
}

#[derive(Debug)]
pub(super) enum Event {
    Connect { from: NodeName, incarnation: u64, to: SocketAddr },
    Deliver { to: NodeName, incarnation: u64, input: Box<Input<PeerMessage>> },
    Wake { node: NodeName, incarnation: u64, number: u64 },
    Platform { node: NodeName, incarnation: u64, request: PlatformRequest },
    Lapse { node: NodeName, incarnation: u64 },
}

pub struct World {
    pub settings: WorldSettings,
    pub now: Timestamp,
    pub platform: Platform,
    pub nodes: BTreeMap<NodeName, Machinery>,
    pub history: History,
    pub decisions: Vec<(Timestamp, NodeName, Decision)>,
    /// Pairs of zones without a way between them.
    pub cut: BTreeSet<(Locality, Locality)>,
    by_address: BTreeMap<SocketAddr, NodeName>,
    pub(super) pipes: BTreeMap<ConnectionId, usize>,
    pub(super) all_pipes: Vec<Pipe>,
    queue: BTreeMap<(Timestamp, u64), Event>,
    next_event: u64,
    next_connection: u64,
    rng: ChaCha8Rng,
    trace: blake3::Hasher,
    pub events: u64,
}

pub fn node_name(zone: usize, number: usize) -> NodeName {
    NodeName::new(&format!("node-{zone}-{number:03}")).unwrap()
}

impl World {
    pub fn new(settings: WorldSettings) -> Self {
        let mut world = Self {
            now: Timestamp(0),
            platform: Platform::default(),
            nodes: BTreeMap::new(),
            history: History::default(),
            decisions: Vec::new(),
            cut: BTreeSet::new(),
            by_address: BTreeMap::new(),
            pipes: BTreeMap::new(),
            all_pipes: Vec::new(),
            queue: BTreeMap::new(),
            next_event: 0,
            next_connection: 0,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            trace: blake3::Hasher::new(),
            events: 0,
            settings,
        };
        for zone in 0..world.settings.zones {
            for number in 0..world.settings.nodes_per_zone {
                world.add_node(zone, number);
            }
        }
        world.refresh_machines();
        world
    }

    fn add_node(&mut self, zone: usize, number: usize) {
        let name = node_name(zone, number);
        let host = Ipv4Addr::new(10, zone as u8, (number / 250) as u8, (number % 250) as u8 + 1);
        let address = SocketAddr::new(IpAddr::V4(host), 7000);
        let service = (zone * self.settings.nodes_per_zone + number) % self.settings.services;
        let record = EndpointRecord {
            node: name.clone(),
            service: Some(content::service_name(service)),
            locality: content::locality(zone),
            inbound: SocketAddr::new(IpAddr::V4(host), 8000),
            control: address,
            incarnation: Incarnation(0),
            sequence: 0,
            status: EndpointStatus::Ready,
            suspect: false,
        };
        self.by_address.insert(address, name.clone());
        let machinery = Machinery {
            name: name.clone(),
            locality: content::locality(zone),
            address,
            service,
            core: None,
            record,
            known: BTreeMap::new(),
            bytes_sent: 0,
            messages_sent: 0,
            wholes_sent: Vec::new(),
            incarnation: 0,
            wake: 0,
            frozen: false,
            waiting: VecDeque::new(),
        };
        self.nodes.insert(name, machinery);
    }

    /// The platform's machine list becomes what the nodes are now; until then it lags.
    pub fn refresh_machines(&mut self) {
        let machine = |node: &Machinery| Machine {
            member: Member {
                node: node.name.clone(),
                locality: node.locality.clone(),
                control: node.address,
            },
            leaving: false,
        };
        self.platform.machines = std::sync::Arc::new(self.nodes.values().map(machine).collect());
    }

    pub fn start_all(&mut self) {
        let names: Vec<NodeName> = self.nodes.keys().cloned().collect();
        for name in names {
            self.start(&name);
        }
    }

    pub fn start(&mut self, name: &NodeName) {
        let seeds = self.seeds();
        let seed = self.rng.next_u64();
        let limits = self.settings.limits;
        let now = self.now;
        let node = self.nodes.get_mut(name).unwrap();
        assert!(node.core.is_none(), "{name} runs already");
        node.incarnation += 1;
        node.record.incarnation = Incarnation(now.0 * 1_000 + node.incarnation);
        node.record.sequence = 0;
        node.record.status = EndpointStatus::Ready;
        node.known.clear();
        node.frozen = false;
        node.waiting.clear();
        let callers = BTreeSet::from([content::service_name(node.service)]);
        let mut config = OverlayConfig::new(seeds, callers);
        config.limits = limits;
        node.core = Some(OverlayNode::new(config, node.record.clone(), seed));
        self.input(name, Input::Started);
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        let zones = 0..self.settings.zones;
        let numbers = |zone| (0..self.settings.seeds_per_zone).map(move |number| node_name(zone, number));
        zones.flat_map(numbers).map(|name| self.nodes[&name].address).collect()
    }

    pub fn accept(&mut self, witnesses: &[NodeName]) -> Version {
        let version = self.platform.accept(self.settings.services, self.settings.zones, witnesses);
        self.history.accepted.insert(version, self.now);
        self.tell_watchers();
        version
    }

    pub fn replace_witnesses(&mut self, witnesses: &[NodeName]) -> Version {
        let version = self.platform.replace_witnesses(witnesses);
        self.history.accepted.insert(version, self.now);
        self.tell_watchers();
        version
    }

    pub fn platform_back(&mut self) {
        self.platform.down = false;
        self.tell_watchers();
    }

    fn tell_watchers(&mut self) {
        let watchers: Vec<NodeName> = self.platform.watches.keys().cloned().collect();
        for watcher in watchers {
            let zone = self.nodes[&watcher].locality.clone();
            if self.platform.is_reachable(&zone) && self.nodes[&watcher].core.is_some() {
                let events = self.platform.news(&watcher);
                self.answer_platform(&watcher, events);
            }
        }
    }

    fn answer_platform(&mut self, node: &NodeName, events: Vec<PlatformEvent>) {
        let delay = self.delay(5, 15);
        let incarnation = self.nodes[node].incarnation;
        for event in events {
            let input = Box::new(Input::Platform(event));
            self.push(delay, Event::Deliver { to: node.clone(), incarnation, input });
        }
    }

    pub fn run_for(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(((time, _), _)) = self.queue.first_key_value() {
            if *time > end {
                break;
            }
            let Some(((time, _), event)) = self.queue.pop_first() else { break };
            self.now = time;
            self.events += 1;
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs until `done` holds, looking every 50 ms; tells how long it took.
    pub fn run_until(&mut self, limit: Millis, done: impl Fn(&Self) -> bool) -> Option<Millis> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.run_for(Millis(50));
        }
        Some(self.now.since(start))
    }

    pub fn trace_digest(&self) -> String {
        self.trace.finalize().to_hex().to_string()
    }

    pub fn live(&self) -> impl Iterator<Item = (&Machinery, &OverlayNode)> {
        self.nodes.values().filter_map(|node| node.core.as_ref().map(|core| (node, core)))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Connect { from, incarnation, to } => self.connect(&from, incarnation, to),
            Event::Deliver { to, incarnation, input } => {
                if self.nodes[&to].incarnation == incarnation {
                    self.input(&to, *input);
                }
            }
            Event::Wake { node, incarnation, number } => {
                let current = &self.nodes[&node];
                if current.incarnation == incarnation && current.wake == number {
                    self.input(&node, Input::Wake);
                }
            }
            Event::Platform { node, incarnation, request } => {
                if self.nodes[&node].incarnation == incarnation {
                    self.ask_platform(&node, request);
                }
            }
            Event::Lapse { node, incarnation } => {
                let current = &self.nodes[&node];
                if current.core.is_none() || current.incarnation != incarnation {
                    self.platform.release(&node, incarnation);
                }
            }
        }
    }

    fn ask_platform(&mut self, node: &NodeName, request: PlatformRequest) {
        let zone = self.nodes[node].locality.clone();
        let incarnation = self.nodes[node].incarnation;
        if self.platform.is_reachable(&zone) {
            let events = self.platform.handle(self.now, (node, incarnation), &zone, request);
            self.answer_platform(node, events);
            return;
        }
        self.answer_platform(node, vec![PlatformEvent::Unavailable]);
        let wait = self.delay(500, 1_500);
        self.push(wait, Event::Platform { node: node.clone(), incarnation, request });
    }

    fn is_cut(&self, left: &NodeName, right: &NodeName) -> bool {
        let left = self.nodes[left].locality.clone();
        let right = self.nodes[right].locality.clone();
        self.cut.contains(&(left, right))
    }

    fn connect(&mut self, from: &NodeName, incarnation: u64, to: SocketAddr) {
        if self.nodes[from].incarnation != incarnation || self.nodes[from].core.is_none() {
            return;
        }
        let target = self.by_address.get(&to).cloned();
        let open = target.filter(|target| {
            let node = &self.nodes[target];
            node.core.is_some() && !self.is_cut(from, target)
        });
        let Some(target) = open else {
            self.input(from, Input::ConnectFailed { to });
            return;
        };
        let ids = [ConnectionId(self.next_connection), ConnectionId(self.next_connection + 1)];
        self.next_connection += 2;
        let target_incarnation = self.nodes[&target].incarnation;
        let ends = [(from.clone(), incarnation), (target.clone(), target_incarnation)];
        let pipe = Pipe { ends, ids, latest: [self.now; 2], open: true };
        self.all_pipes.push(pipe);
        let index = self.all_pipes.len() - 1;
        self.pipes.insert(ids[0], index);
        self.pipes.insert(ids[1], index);
        self.input(&target, Input::Accepted { connection: ids[1] });
        self.input(from, Input::Connected { connection: ids[0], to });
    }

    pub(super) fn end_pipe(&mut self, connection: ConnectionId, by: Option<&NodeName>) {
        let Some(index) = self.pipes.get(&connection).copied() else { return };
        let pipe = self.all_pipes[index].clone();
        if !pipe.open {
            return;
        }
        self.all_pipes[index].open = false;
        for side in 0..2 {
            let (end, incarnation) = &pipe.ends[side];
            if by != Some(end) {
                let arrival = self.arrival(index, side);
                let input = Box::new(Input::Disconnected { connection: pipe.ids[side] });
                let event = Event::Deliver { to: end.clone(), incarnation: *incarnation, input };
                self.push_at(arrival, event);
            }
        }
    }

    /// Time at which something sent now to one side of a pipe arrives, behind everything sent before.
    fn arrival(&mut self, index: usize, side: usize) -> Timestamp {
        let pipe = &self.all_pipes[index];
        let (left, right) = (&self.nodes[&pipe.ends[0].0], &self.nodes[&pipe.ends[1].0]);
        let delay = if left.locality == right.locality { self.delay(1, 4) } else { self.delay(10, 60) };
        let pipe = &mut self.all_pipes[index];
        let arrival = (self.now + delay).max(pipe.latest[side]);
        pipe.latest[side] = arrival;
        arrival
    }

    fn send(&mut self, from: &NodeName, connection: ConnectionId, message: PeerMessage) {
        let Some(index) = self.pipes.get(&connection).copied() else { return };
        let pipe = &self.all_pipes[index];
        if !pipe.open {
            return;
        }
        let side = usize::from(pipe.ids[0] == connection);
        let (target, incarnation) = pipe.ends[side].clone();
        let id = pipe.ids[side];
        let message = self.count(from, message);
        if self.is_cut(from, &target) {
            return;
        }
        let arrival = self.arrival(index, side);
        let input = Box::new(Input::Received { connection: id, message });
        self.push_at(arrival, Event::Deliver { to: target, incarnation, input });
    }

    fn count(&mut self, from: &NodeName, message: PeerMessage) -> PeerMessage {
        let now = self.now;
        let node = self.nodes.get_mut(from).unwrap();
        if let PeerMessage::Update(update) = &message
            && matches!(update.transfer, Some(Transfer::Whole { .. }))
        {
            node.wholes_sent.push(now);
        }
        node.messages_sent += 1;
        if !self.settings.encode {
            return message;
        }
        let bytes = bitcode::encode(&message);
        // The frame adds a length of four bytes.
        node.bytes_sent += bytes.len() as u64 + 4;
        self.history.count_bytes(now, from, bytes.len() as u64 + 4);
        let decoded: PeerMessage = bitcode::decode(&bytes).unwrap();
        assert_eq!(decoded, message, "a message changed on its way");
        decoded
    }

    pub(super) fn input(&mut self, name: &NodeName, input: Input<PeerMessage>) {
        let now = self.now;
        let node = self.nodes.get_mut(name).unwrap();
        if node.frozen {
            node.waiting.push_back(input);
            return;
        }
        let Some(core) = &mut node.core else { return };
        let outputs = core.on(now, input);
        for output in outputs {
            self.note(name, &output);
            self.output(name, output);
        }
    }

    fn note(&mut self, name: &NodeName, output: &Output<PeerMessage>) {
        if !self.settings.trace {
            return;
        }
        self.trace.update(format!("{} {name} {output:?}\n", self.now.0).as_bytes());
    }

    fn output(&mut self, name: &NodeName, output: Output<PeerMessage>) {
        let incarnation = self.nodes[name].incarnation;
        match output {
            Output::Connect { to } => {
                let delay = self.delay(1, 5);
                self.push(delay, Event::Connect { from: name.clone(), incarnation, to });
            }
            Output::Send { connection, message } => self.send(name, connection, message),
            Output::Close { connection } => self.end_pipe(connection, Some(name)),
            Output::Platform(request) => {
                let delay = self.delay(3, 10);
                self.push(delay, Event::Platform { node: name.clone(), incarnation, request });
            }
            Output::Activate { version, snapshot } => {
                self.history.activate(self.now, name, incarnation, version, &snapshot);
            }
            Output::Endpoints(records) => {
                let node = self.nodes.get_mut(name).unwrap();
                for record in records {
                    node.known.insert(record.node.clone(), record);
                }
            }
            Output::WakeAt(time) => {
                let node = self.nodes.get_mut(name).unwrap();
                node.wake += 1;
                let number = node.wake;
                self.push_at(time, Event::Wake { node: name.clone(), incarnation, number });
            }
            Output::Decision(decision) => self.decisions.push((self.now, name.clone(), decision)),
        }
    }

    fn delay(&mut self, low: u64, high: u64) -> Millis {
        Millis(low + self.rng.next_u64() % (high - low + 1))
    }

    pub(super) fn push(&mut self, after: Millis, event: Event) {
        self.push_at(self.now + after, event);
    }

    fn push_at(&mut self, time: Timestamp, event: Event) {
        self.next_event += 1;
        self.queue.insert((time.max(self.now), self.next_event), event);
    }
}
