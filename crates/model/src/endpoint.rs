//! Endpoint records: what the node beside a back end says about it.

use std::net::SocketAddr;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::{Locality, NodeName, ServiceName};

/// Start count of a node's process: wall-clock microseconds at its start, so that a replacement under the
/// same name comes later. Two processes of one name are told apart by it; see [`RecordOrder`].
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Life of a back end as its owner tells it.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum EndpointStatus {
    /// The process runs; the back end takes no work yet.
    Starting,
    /// The back end takes new work.
    Ready,
    /// The back end finishes what it holds and takes nothing new.
    Draining,
    /// The back end has left.
    Gone,
}

/// Key of an endpoint: one back end per node.
pub type EndpointKey = NodeName;

/// What one node says about itself and the back end beside it. Only the node itself writes it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The node that owns the record.
    pub node: NodeName,
    /// Service of the back end; absent at an edge node, which has none.
    pub service: Option<ServiceName>,
    /// Where the node runs.
    pub locality: Locality,
    /// Address of the node's inbound proxy (callers' nodes send requests there).
    pub inbound: SocketAddr,
    /// Address of the node's control listener (overlay connections go there).
    pub control: SocketAddr,
    /// Start count of the owner's process.
    pub incarnation: Incarnation,
    /// Count of the owner's changes in this incarnation.
    pub sequence: u64,
    /// State of the back end.
    pub status: EndpointStatus,
    /// Set by an observer that lost the owner; the owner refutes it by a higher sequence (as in SWIM).
    pub suspect: bool,
}

/// Order of two records of one node: incarnation, then sequence, then suspicion. The later one wins, so
/// crossed updates can't bring a back end back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub struct RecordOrder {
    /// Start count of the owner's process.
    pub incarnation: Incarnation,
    /// Count of the owner's changes.
    pub sequence: u64,
    /// Whether an observer doubts the owner.
    pub suspect: bool,
}

impl EndpointRecord {
    /// Position of this record among all records of its node.
    #[must_use]
    pub const fn order(&self) -> RecordOrder {
        RecordOrder { incarnation: self.incarnation, sequence: self.sequence, suspect: self.suspect }
    }

    /// Whether callers may choose this endpoint for new work.
    #[must_use]
    pub const fn takes_new_work(&self) -> bool {
        matches!(self.status, EndpointStatus::Ready) && !self.suspect
    }
}
