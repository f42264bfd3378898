//! The record that a node publishes about itself.

use std::net::SocketAddr;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{
    BackEndProcess, Evacuations, Incarnation, Locality, NodeName, ReleaseName, RequestRate, ServiceName,
    StoreEra,
};
use umberpond_rollouts::RolloutPlan;

/// Lifecycle phase of a node's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberPhase {
    /// It is serving requests.
    Running,
    /// It was asked to stop: it accepts no new requests for its back end.
    Leaving,
    /// It has stopped.
    Left,
}

/// State of a back end as reported by its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum BackEndState {
    /// It accepts new requests.
    Ready,
    /// It finishes its current requests and accepts no new ones.
    Draining,
    /// Its node can't reach it.
    Unreachable,
}

/// A back end as reported by its node.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct BackEndRecord {
    /// Identity of its current process.
    pub instance: String,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Version of its software; absent if it has not reported it to this process.
    pub release: Option<ReleaseName>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: BackEndState,
    /// Whether it is slow because it has recently started.
    pub is_cold: bool,
    /// Limit on the requests of all nodes together that it advertises.
    pub request_limit: Option<RequestRate>,
}

impl BackEndRecord {
    /// The current process of the back end.
    #[must_use]
    pub fn process(&self) -> BackEndProcess {
        BackEndProcess::parse(&self.instance)
    }

    /// Whether this record says that the process of `other` accepts no new requests any more.
    #[must_use]
    pub fn is_departure_of(&self, other: &Self) -> bool {
        self.state == BackEndState::Draining && other.process().may_have_departed_as(&self.process())
    }
}

/// What a node publishes about itself. Only the node itself writes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct MemberRecord {
    /// The node.
    pub node: NodeName,
    /// Random ID of the process, by which a node distinguishes its own record from that of an earlier
    /// process.
    pub process_id: u64,
    /// Start count: higher than that of every earlier process of the node that any other node remembers.
    pub incarnation: Incarnation,
    /// Number of changes in this incarnation.
    pub sequence: u64,
    /// Address for datagrams and for control connections.
    pub control: SocketAddr,
    /// Address for requests to the back end.
    pub inbound: SocketAddr,
    /// Locality of the node.
    pub locality: Locality,
    /// Lifecycle phase of the process.
    pub phase: MemberPhase,
    /// The node's back end, if known.
    pub back_end: Option<BackEndRecord>,
    /// Rollout plans that the node publishes, if it is one of their coordinators.
    pub rollouts: Vec<RolloutPlan>,
    /// The evacuated zones, if the node has read them from the store; otherwise revision 0 with no zones.
    pub evacuations: Evacuations,
    /// Latest era of the store in which the node has read a configuration; 0 if it has read none.
    pub store_era: StoreEra,
}

/// Version of a node's record: its place in the order of all records of the node. The highest one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RecordOrder {
    /// Start count of the process.
    pub incarnation: Incarnation,
    /// Breaks the tie between two processes that took the same start count.
    pub process_id: u64,
    /// Number of changes.
    pub sequence: u64,
}

impl MemberRecord {
    /// Version of the record, which orders it among all records of the node.
    #[must_use]
    pub const fn order(&self) -> RecordOrder {
        RecordOrder { incarnation: self.incarnation, process_id: self.process_id, sequence: self.sequence }
    }
}

/// A node's entry in the store, from which other nodes learn its address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The node.
    pub node: NodeName,
    /// Its address for datagrams and control connections.
    pub control: SocketAddr,
    /// Its locality; absent in entries written by versions that did not include it.
    #[serde(default)]
    pub locality: Option<Locality>,
}
