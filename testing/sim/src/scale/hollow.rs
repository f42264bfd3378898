//! One hollow node: the overlay core and what the driver keeps beside it.

use std::collections::BTreeSet;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, Member, Millis, NodeName, Timestamp, Version,
};
use umberpond_overlay::interface::ConnectionId;
use umberpond_overlay::{OverlayConfig, OverlayNode};

use super::workload::{Places, service_name};

/// Port of every control listener.
const CONTROL_PORT: u16 = 7_000;
/// Port of every inbound proxy.
const INBOUND_PORT: u16 = 7_001;
/// Time over which bytes are averaged to find the busiest node.
pub const BYTES_WINDOW: Millis = Millis(10_000);

/// Control bytes of one node.
#[derive(Debug, Default, Clone, Copy)]
pub struct ByteMeter {
    /// Bytes sent and received since the start of the measurement.
    pub total: u64,
    /// Most bytes in one [`BYTES_WINDOW`].
    pub busiest_window: u64,
    window: u64,
    window_bytes: u64,
}

impl ByteMeter {
    /// Counts bytes sent or received.
    pub fn count(&mut self, now: Timestamp, bytes: u64) {
        let window = now.0 / BYTES_WINDOW.0;
        if window != self.window {
            self.window = window;
            self.window_bytes = 0;
        }
        self.window_bytes += bytes;
        self.busiest_window = self.busiest_window.max(self.window_bytes);
        self.total += bytes;
    }
}

/// One hollow node.
#[derive(Debug)]
pub struct HollowNode {
    /// Number of the node; its address and name follow from it.
    pub number: usize,
    /// Zone number.
    pub zone: usize,
    /// Service number.
    pub service: usize,
    /// The core, while the process runs.
    pub core: Option<OverlayNode>,
    /// Counts the processes of this node.
    pub generation: u64,
    /// Own record as last written.
    pub record: EndpointRecord,
    /// Open connections of the running process.
    pub connections: BTreeSet<ConnectionId>,
    /// Time at which the core wants to be woken.
    pub wake_at: Option<Timestamp>,
    /// Version in force in the running process.
    pub active: Option<Version>,
    /// Highest version that was ever in force.
    pub highest_active: Version,
    /// Versions up to this one are not measured: they were accepted before the process was ready.
    pub measured_after: Version,
    /// Control bytes.
    pub bytes: ByteMeter,
    /// Real time spent in the core; no figure of the run's outcome rests on it.
    pub core_time: Duration,
}

/// Address of node `number`.
#[must_use]
pub fn control_address(number: usize) -> SocketAddr {
    SocketAddr::new(host_address(number), CONTROL_PORT)
}

/// Number of the node at `address`.
#[must_use]
pub fn number_at(address: SocketAddr) -> Option<usize> {
    match address.ip() {
        IpAddr::V4(ip) => usize::try_from(u32::from(ip) - u32::from(Ipv4Addr::new(10, 0, 0, 0))).ok(),
        IpAddr::V6(_) => None,
    }
}

fn host_address(number: usize) -> IpAddr {
    let offset = u32::try_from(number).expect("fewer nodes than addresses");
    IpAddr::V4(Ipv4Addr::from(u32::from(Ipv4Addr::new(10, 0, 0, 0)) + offset))
}

impl HollowNode {
    /// A node that has not started yet.
    ///
    /// # Panics
    /// Never: the made names follow the naming rule.
    #[must_use]
    pub fn new(number: usize, places: &Places, services: usize) -> Self {
        let zone = number % places.zones.len();
        // All services are in all zones, as evenly as the numbers allow.
        let service = (number / places.zones.len()) % services;
        let (region, zone_name) = places.zones[zone].clone();
        let record = EndpointRecord {
            node: NodeName::new(&format!("node-{number}")).expect("a valid name"),
            service: Some(service_name(service)),
            locality: Locality { region, zone: zone_name },
            inbound: SocketAddr::new(host_address(number), INBOUND_PORT),
            control: control_address(number),
            incarnation: Incarnation(0),
            sequence: 0,
            status: EndpointStatus::Gone,
            suspect: false,
        };
        Self {
            number,
            zone,
            service,
            core: None,
            generation: 0,
            record,
            connections: BTreeSet::new(),
            wake_at: None,
            active: None,
            highest_active: Version::GENESIS,
            measured_after: Version::GENESIS,
            bytes: ByteMeter::default(),
            core_time: Duration::ZERO,
        }
    }

    /// Starts a process without memory.
    pub fn start(&mut self, now: Timestamp, seeds: Vec<SocketAddr>, run_seed: u64, newest: Version) {
        self.generation += 1;
        self.record.incarnation = Incarnation(now.0 + 1);
        self.record.sequence = 1;
        self.record.status = EndpointStatus::Starting;
        let config = OverlayConfig::new(seeds, [service_name(self.service)].into());
        let seed = run_seed ^ (self.number as u64).rotate_left(32) ^ self.generation;
        self.core = Some(OverlayNode::new(config, self.record.clone(), seed));
        self.connections.clear();
        self.wake_at = None;
        self.active = None;
        self.measured_after = newest;
    }

    /// Ends the process; returns its open connections.
    pub fn stop(&mut self) -> BTreeSet<ConnectionId> {
        self.core = None;
        self.active = None;
        std::mem::take(&mut self.connections)
    }

    /// The record after a change of the back end's status.
    pub fn change_status(&mut self, status: EndpointStatus) -> EndpointRecord {
        self.record.sequence += 1;
        self.record.status = status;
        self.record.clone()
    }

    /// The node as the platform's machine list tells it.
    #[must_use]
    pub fn member(&self) -> Member {
        let record = &self.record;
        Member { node: record.node.clone(), locality: record.locality.clone(), control: record.control }
    }
}

/// Connections between hollow nodes. The two ends of connection `n` are the ids `2n` and `2n + 1`.
#[derive(Debug, Default)]
pub struct Connections {
    ends: Vec<End>,
}

/// One end of a connection.
#[derive(Debug, Clone, Copy)]
pub struct End {
    /// Node at this end.
    pub node: usize,
    /// The node's process.
    pub generation: u64,
    /// Whether the process still holds the connection.
    pub open: bool,
    /// Time of the latest delivery that is under way to this end.
    pub last_delivery: Timestamp,
}

impl Connections {
    /// Opens a connection; returns the caller's and the callee's id.
    pub fn open(&mut self, caller: (usize, u64), callee: (usize, u64)) -> (ConnectionId, ConnectionId) {
        let first = self.ends.len() as u64;
        for (node, generation) in [caller, callee] {
            self.ends.push(End { node, generation, open: true, last_delivery: Timestamp::default() });
        }
        (ConnectionId(first), ConnectionId(first + 1))
    }

    /// The end that `id` names.
    ///
    /// # Panics
    /// If the id was never given out.
    pub fn end(&mut self, id: ConnectionId) -> &mut End {
        &mut self.ends[usize::try_from(id.0).expect("an index")]
    }

    /// The id of the other end.
    #[must_use]
    pub const fn other(id: ConnectionId) -> ConnectionId {
        ConnectionId(id.0 ^ 1)
    }
}
