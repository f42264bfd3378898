//! The world of a scale run: nodes, connections, the platform and the event loop.

use std::net::SocketAddr;
use std::time::Instant;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use umberpond_model::{EndpointStatus, Timestamp};
use umberpond_overlay::PeerMessage;
use umberpond_overlay::interface::{ConnectionId, Input, PlatformRequest};

use super::course::CourseEvent;
use super::hollow::{Connections, HollowNode, control_address};
use super::links::Links;
use super::measure::Measurement;
use super::platform::{PlatformModel, Process};
use super::queue::EventQueue;
use super::report::ScaleReport;
use super::scenario::Scenario;
use super::workload::{Places, Workload};

/// Seeds that each node's settings name: nodes of its own zone, and one elsewhere.
const SEEDS: usize = 4;

/// What is scheduled.
#[derive(Debug)]
pub(super) enum Event {
    /// A node's process starts.
    Start { node: usize },
    /// A node's back end changes its status.
    Status { process: Process, status: EndpointStatus },
    /// A node's core wants to be woken.
    Wake { process: Process },
    /// A connection attempt arrives.
    Arrive { caller: Process, to: SocketAddr },
    /// An input arrives that belongs to a process, not to a connection.
    Feed { process: Process, input: Box<Input<PeerMessage>> },
    /// A message arrives at one end of a connection.
    Deliver { to: ConnectionId, message: Box<PeerMessage> },
    /// One end of a connection learns that the other is closed.
    Closed { at: ConnectionId },
    /// A request reaches the platform.
    Request { process: Process, request: PlatformRequest, attempt: u32 },
    /// A lease is renewed, or found lapsed.
    RenewLease { process: Process },
    /// Something of the scenario happens.
    Course(CourseEvent),
}

/// Everything in a run.
#[derive(Debug)]
pub struct World {
    pub(super) scenario: Scenario,
    pub(super) now: Timestamp,
    pub(super) queue: EventQueue<Event>,
    pub(super) nodes: Vec<HollowNode>,
    pub(super) connections: Connections,
    pub(super) links: Links,
    pub(super) platform: PlatformModel,
    pub(super) workload: Workload,
    pub(super) measurement: Measurement,
    pub(super) rng: ChaCha8Rng,
}

impl World {
    /// A world in which nothing has started.
    #[must_use]
    pub fn new(scenario: Scenario) -> Self {
        let places = Places::new(scenario.regions, scenario.zones);
        let nodes = (0..scenario.nodes).map(|number| HollowNode::new(number, &places, scenario.services));
        Self {
            now: Timestamp::default(),
            queue: EventQueue::default(),
            nodes: nodes.collect(),
            connections: Connections::default(),
            links: Links::new(scenario.regions),
            platform: PlatformModel::default(),
            workload: Workload::new(scenario.services, &places),
            measurement: Measurement::default(),
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            scenario,
        }
    }

    /// Runs the scenario to its end.
    pub fn run(&mut self) {
        self.schedule_course();
        let end = Timestamp(self.scenario.warm_up.0 + self.scenario.measured.0);
        while let Some((at, event)) = self.queue.next_before(end) {
            self.now = at;
            self.handle(event);
        }
        self.now = end;
        self.measurement.finish(&self.nodes, self.now);
    }

    /// What was measured.
    #[must_use]
    pub fn report(&self) -> ScaleReport {
        ScaleReport::of(self)
    }

    fn handle(&mut self, event: Event) {
        self.measurement.events += 1;
        match event {
            Event::Start { node } => self.start(node),
            Event::Status { process, status } => self.change_status(process, status),
            Event::Wake { process } => self.wake(process),
            Event::Arrive { caller, to } => self.arrive(caller, to),
            Event::Feed { process, input } => self.feed(process, *input),
            Event::Deliver { to, message } => self.deliver(to, *message),
            Event::Closed { at } => self.closed(at),
            Event::Request { process, request, attempt } => self.platform_request(process, request, attempt),
            Event::RenewLease { process } => self.renew_lease(process),
            Event::Course(event) => self.course(event),
        }
    }

    pub(super) fn is_running(&self, (node, generation): Process) -> bool {
        self.nodes[node].generation == generation && self.nodes[node].core.is_some()
    }

    fn start(&mut self, node: usize) {
        if self.nodes[node].core.is_some() {
            return;
        }
        let seeds = self.seeds_of(node);
        let newest = self.platform.head();
        self.nodes[node].start(self.now, seeds, self.scenario.seed, newest);
        let process = (node, self.nodes[node].generation);
        self.feed(process, Input::Started);
        let ready_at = self.now + super::course::BACK_END_START;
        self.queue.schedule(ready_at, Event::Status { process, status: EndpointStatus::Ready });
    }

    fn seeds_of(&mut self, node: usize) -> Vec<SocketAddr> {
        let zones = self.scenario.zones;
        let in_zone = self.nodes.len().div_ceil(zones);
        let own_zone = node % zones;
        let mut seeds: Vec<SocketAddr> = (0..SEEDS)
            .map(|_| own_zone + zones * self.rng.random_range(0..in_zone))
            .filter(|number| *number < self.nodes.len() && *number != node)
            .map(control_address)
            .collect();
        seeds.push(control_address(self.rng.random_range(0..self.nodes.len())));
        seeds
    }

    /// Ends a process. A crash is seen by its peers at once; with a lost machine they hear nothing.
    pub(super) fn stop(&mut self, node: usize, machine_lost: bool) {
        let zone = self.nodes[node].zone;
        let process = (node, self.nodes[node].generation);
        self.platform.forget_watch(process);
        for connection in self.nodes[node].stop() {
            self.connections.end(connection).open = false;
            if !machine_lost {
                self.tell_closed(connection, zone);
            }
        }
    }

    fn change_status(&mut self, process: Process, status: EndpointStatus) {
        if !self.is_running(process) {
            return;
        }
        let record = self.nodes[process.0].change_status(status);
        if status == EndpointStatus::Draining {
            self.measurement.drain_began(self.now, &record);
        }
        self.feed(process, Input::OwnRecord(record));
    }

    fn wake(&mut self, process: Process) {
        let is_due = self.nodes[process.0].wake_at == Some(self.now);
        if is_due && self.is_running(process) {
            self.nodes[process.0].wake_at = None;
            self.feed(process, Input::Wake);
        }
    }

    fn arrive(&mut self, caller: Process, to: SocketAddr) {
        if !self.is_running(caller) {
            return;
        }
        let callee = super::hollow::number_at(to).filter(|number| *number < self.nodes.len());
        let from_zone = self.nodes[caller.0].zone;
        let running = callee.filter(|number| self.nodes[*number].core.is_some());
        let Some(callee) = running else {
            let back = callee.map_or(super::links::SAME_ZONE, |number| {
                self.links.delay(self.nodes[number].zone, from_zone)
            });
            let input = Box::new(Input::ConnectFailed { to });
            self.queue.schedule(self.now + back, Event::Feed { process: caller, input });
            return;
        };
        let callee_process = (callee, self.nodes[callee].generation);
        let (near, far) = self.connections.open(caller, callee_process);
        self.nodes[caller.0].connections.insert(near);
        self.nodes[callee].connections.insert(far);
        self.feed(callee_process, Input::Accepted { connection: far });
        let back = self.links.delay(self.nodes[callee].zone, from_zone);
        // Messages that the callee sends at once must not overtake the news of the connection.
        let connected_at = self.now + back;
        let end = self.connections.end(near);
        end.last_delivery = end.last_delivery.max(connected_at);
        let input = Box::new(Input::Connected { connection: near, to });
        self.queue.schedule(connected_at, Event::Feed { process: caller, input });
    }

    fn deliver(&mut self, to: ConnectionId, message: PeerMessage) {
        let end = *self.connections.end(to);
        if end.open && self.is_running((end.node, end.generation)) {
            self.feed((end.node, end.generation), Input::Received { connection: to, message });
        }
    }

    fn closed(&mut self, at: ConnectionId) {
        let end = *self.connections.end(at);
        if !end.open {
            return;
        }
        self.connections.end(at).open = false;
        if self.is_running((end.node, end.generation)) {
            self.nodes[end.node].connections.remove(&at);
            self.feed((end.node, end.generation), Input::Disconnected { connection: at });
        }
    }

    /// Hands an input to a node's core and carries out what it asks for.
    pub(super) fn feed(&mut self, process: Process, input: Input<PeerMessage>) {
        if !self.is_running(process) {
            return;
        }
        let node = &mut self.nodes[process.0];
        let Some(core) = node.core.as_mut() else { return };
        let begun = Instant::now();
        let outputs = core.on(self.now, input);
        node.core_time += begun.elapsed();
        for output in outputs {
            self.carry_out(process, output);
        }
    }
}
