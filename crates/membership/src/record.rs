//! What a node says of itself.

use std::net::SocketAddr;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use umberpond_model::{Evacuations, Incarnation, Locality, NodeName, ReleaseName, ServiceName};
use umberpond_rollouts::RolloutPlan;

/// How far a node's process is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum MemberPhase {
    /// It serves.
    Running,
    /// It was told to stop: it takes no new work for its back end.
    Leaving,
    /// It has stopped.
    Left,
}

/// State of a back end by its node's word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Encode, Decode)]
pub enum BackEndState {
    /// It takes new work.
    Ready,
    /// It finishes what it holds and takes nothing new.
    Draining,
    /// It can't be reached by its node.
    Unreachable,
}

/// A back end by its node's word.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct BackEndRecord {
    /// Identity of its present life.
    pub instance: String,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version of its software; absent if it has not told it to this process.
    pub release: Option<ReleaseName>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: BackEndState,
    /// Whether it is slow because it has just started.
    pub is_cold: bool,
}

/// What a node says of itself. Only the node itself writes it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct MemberRecord {
    /// The node.
    pub node: NodeName,
    /// Random number of the process, by which a node knows its own word from that of an earlier process.
    pub life: u64,
    /// Start count: higher than that of every earlier process of the node that anybody remembers.
    pub incarnation: Incarnation,
    /// Count of the changes in this incarnation.
    pub sequence: u64,
    /// Address for datagrams and for control connections.
    pub control: SocketAddr,
    /// Address for requests to the back end.
    pub inbound: SocketAddr,
    /// Where it runs.
    pub locality: Locality,
    /// How far its process is in its life.
    pub phase: MemberPhase,
    /// The back end beside it, if one is known.
    pub back_end: Option<BackEndRecord>,
    /// The plans of rollouts that the node tells, if it is one of those that coordinate them.
    pub rollouts: Vec<RolloutPlan>,
    /// The evacuated zones, if the node has read them from the store; otherwise revision 0 without any.
    pub evacuations: Evacuations,
}

/// Order of the records of one node; the later one wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct RecordOrder {
    /// Start count of the process.
    pub incarnation: Incarnation,
    /// Breaks the tie of two processes that took the same start count.
    pub life: u64,
    /// Count of the changes.
    pub sequence: u64,
}

impl MemberRecord {
    /// Position among all records of the node.
    #[must_use]
    pub const fn order(&self) -> RecordOrder {
        RecordOrder { incarnation: self.incarnation, life: self.life, sequence: self.sequence }
    }
}

/// How to reach a node of which nothing else is known; what a node writes of itself to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The node.
    pub node: NodeName,
    /// Its address for datagrams.
    pub control: SocketAddr,
    /// Where it runs; absent in entries of versions that did not write it.
    #[serde(default)]
    pub locality: Option<Locality>,
}
