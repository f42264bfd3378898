//! Messages between nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bitcode::{Decode, Encode};
use umberpond_config::{Delta, Scope};
use umberpond_endpoints::ZoneDigest;
use umberpond_model::{
    ContentHash, EndpointRecord, Incarnation, Locality, Member, Millis, NodeName, Nonce, RecordOrder,
    ServiceName, Version,
};
use umberpond_versions::ComposedStep;

use crate::{Report, Role};

/// Number of this protocol. It changes with every change of a message's layout.
pub const PROTOCOL: u16 = 1;

/// A message between two nodes.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum PeerMessage {
    /// First message of the node that connected; on a link between readers also the answer to it.
    Hello(Arc<Hello>),
    /// A parent accepts a child.
    Welcome(Arc<Welcome>),
    /// The connection is refused; the sender closes it.
    Refuse(Refusal),
    /// A parent tells a child its role and where else it may attach.
    Placement(Arc<Placement>),
    /// A child tells which endpoint records it needs.
    Interest(Arc<Interest>),
    /// Versions, commit index and endpoint records.
    Update(Arc<Update>),
    /// The receiver's content is unchanged up to a newer version: the short form of an update.
    Advance {
        /// Newest version that the content stands for.
        to: Version,
        /// Commit index.
        committed: Version,
    },
    /// A child goes to another parent; it isn't lost.
    Leaving,
    /// The sender has taken in this many updates since the last acknowledgement.
    Acknowledge {
        /// Count of updates.
        updates: u32,
    },
    /// The sender needs what follows the version it holds, or the whole content if it holds none.
    RequestTransfer {
        /// What the sender holds.
        held: Option<Held>,
    },
    /// The whole transfer must wait: too many are under way.
    Busy {
        /// Ask again after this time.
        retry_after: Millis,
    },
    /// Progress of a child and all nodes below it.
    Report(Arc<Report>),
    /// Progress of all nodes below a reader, for the other readers.
    Summary(Arc<ReaderSummary>),
    /// What a reader holds, for the other readers.
    ReaderState(Arc<ReaderState>),
    /// Readers of the sender's zone that it is linked to, for the other readers of that zone.
    Colleagues(Arc<Vec<Member>>),
    /// Asks for a proof of the version floor.
    FloorQuestion {
        /// Number of the question.
        nonce: Nonce,
        /// Whether only a read of the platform's head will do (a restarted witness asks so).
        head_only: bool,
    },
    /// Answers [`PeerMessage::FloorQuestion`].
    FloorProof {
        /// Number of the question.
        nonce: Nonce,
        /// Proved floor.
        floor: Version,
    },
    /// A message of the witness protocol; readers pass it on to a witness that the sender isn't connected to.
    Witness(Arc<RoutedWitnessMessage>),
    /// Asks all nodes below to say that they are there; readers of one zone ask each other too.
    RollCall {
        /// Number of the roll call.
        nonce: Nonce,
    },
    /// Answers [`PeerMessage::RollCall`]; every node with children answers for itself and for them.
    Present(Arc<Present>),
    /// All records that the child asked for have been sent.
    Synced,
    /// Digests of the endpoint records of each zone, for comparison.
    Digests(Arc<BTreeMap<Locality, ZoneDigest>>),
    /// Positions of all records of one zone that differed; answered by the records that are newer at the receiver.
    Positions(Arc<ZonePositions>),
    /// Nothing else was sent for a while.
    Heartbeat {
        /// Hops from the sender to a reader; absent while the sender has no way to one.
        depth: Option<u8>,
    },
    /// Stands for a frame that the driver could not decode. Never sent.
    Unknown,
}

/// First message on a connection.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Hello {
    /// [`PROTOCOL`] of the sender.
    pub protocol: u16,
    /// Own record of the sender; names it and tells where it runs.
    pub record: EndpointRecord,
    /// What the sender wants.
    pub purpose: Purpose,
}

/// What a connection is for.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Purpose {
    /// The sender wants to be a child of the receiver.
    Attach(Attach),
    /// The sender wants a link between readers, or between a reader and a witness.
    Peer {
        /// Role of the sender.
        role: Role,
        /// Whether the sender knows the receiver as a witness.
        to_witness: bool,
    },
}

/// What a child brings along.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Attach {
    /// Role of the child.
    pub role: Role,
    /// Part of the configuration that it needs.
    pub scope: Scope,
    /// What it holds in that scope.
    pub held: Option<Held>,
    /// Endpoint records that it needs.
    pub interest: Interest,
    /// Digest of the records that it has of those; equal digests save the transfer.
    pub endpoint_digest: u64,
}

/// A version held and the hash of its content in the holder's scope.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Held {
    /// The version.
    pub version: Version,
    /// Content hash in the holder's scope.
    pub hash: ContentHash,
}

/// Endpoint records that a node needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Interest {
    /// Records of these services, of any zone.
    pub services: BTreeSet<ServiceName>,
    /// All records of the node's own zone; they are its view of the membership.
    pub own_zone: bool,
}

/// A parent's answer to a child.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct Welcome {
    /// Own record of the parent.
    pub record: EndpointRecord,
    /// Whether all records that the child asked for follow; it drops those of them that don't come.
    pub resync: bool,
    /// Hops from the parent to a reader.
    pub depth: Option<u8>,
    /// Where the parent sees the child.
    pub placement: Placement,
}

/// A node's role in its zone and the nodes that it may attach to, as seen by the sender.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct Placement {
    /// Role of the receiver.
    pub role: Role,
    /// Nodes to attach to, best first.
    pub parents: Vec<Member>,
    /// Readers of the receiver's zone.
    pub readers: Vec<Member>,
}

/// Why a connection is refused.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Refusal {
    /// The protocol number is unknown here.
    Protocol {
        /// The number spoken here.
        supported: u16,
    },
    /// The receiver belongs elsewhere in the tree.
    Elsewhere(Arc<Placement>),
    /// The receiver's role and parents aren't known yet.
    NotYetKnown,
    /// Another connection between the same two nodes is kept.
    Duplicate,
}

/// Versions, commit index and endpoint records, as far as they are new to the receiver.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct Update {
    /// New configuration content.
    pub transfer: Option<Transfer>,
    /// Commit index, if it has grown.
    pub committed: Option<Version>,
    /// Witness sets, if they have changed; only for nodes that hold everything.
    pub witness_sets: Option<Arc<WitnessSets>>,
    /// Endpoint records.
    pub endpoints: Vec<EndpointRecord>,
}

impl Update {
    /// Whether the update says nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.transfer.is_none()
            && self.committed.is_none()
            && self.witness_sets.is_none()
            && self.endpoints.is_empty()
    }
}

/// Configuration content in the receiver's scope.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Transfer {
    /// The change from a version that the receiver holds.
    Step(Arc<ComposedStep>),
    /// Everything, as the delta from the empty configuration.
    Whole {
        /// Version of the content.
        version: Version,
        /// The content.
        content: Arc<Delta>,
        /// Its content hash.
        hash: ContentHash,
    },
}

/// The witness set in force and the one before it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Encode, Decode)]
pub struct WitnessSets {
    /// Version that brought the current set.
    pub since: Version,
    /// Witnesses from that version on.
    pub current: Vec<NodeName>,
    /// Witnesses before that version.
    pub previous: Vec<NodeName>,
}

impl WitnessSets {
    /// A short name of a witness set.
    #[must_use]
    pub fn identify(witnesses: &[NodeName]) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&ContentHash::of(&bitcode::encode(witnesses)).as_bytes()[..8]);
        u64::from_le_bytes(bytes)
    }

    /// The set of that name, if it is one of the two.
    #[must_use]
    pub fn named(&self, set: u64) -> Option<&Vec<NodeName>> {
        [&self.current, &self.previous].into_iter().find(|witnesses| Self::identify(witnesses) == set)
    }
}

/// What a reader tells the other readers.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ReaderState {
    /// Newest version held.
    pub held: Option<Version>,
    /// Commit index.
    pub committed: Version,
    /// Role of the sender.
    pub role: Role,
    /// Whether it watches the platform; if not, it must be told of new versions at once.
    pub watches: bool,
}

/// Progress of all nodes below one reader.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ReaderSummary {
    /// Zone of the reader.
    pub locality: Locality,
    /// Progress of the nodes below it, itself included.
    pub report: Arc<Report>,
}

/// Nodes that are attached.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Present {
    /// Number of the roll call.
    pub nonce: Nonce,
    /// The nodes.
    pub nodes: Vec<NodeName>,
}

/// A message of the witness protocol with its way.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RoutedWitnessMessage {
    /// Sender.
    pub from: NodeName,
    /// Receiver; whoever gets it if absent.
    pub to: Option<NodeName>,
    /// The message.
    pub message: CompactWitnessMessage,
}

/// A [`umberpond_versions::WitnessMessage`] in few bytes: the witness set is named by a hash.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum CompactWitnessMessage {
    /// The sender holds a version.
    Hold(CompactAnswer),
    /// Asks for the newest version held.
    Query {
        /// Number of the question.
        nonce: Nonce,
        /// Whether the names of the witness set are wanted in the reply.
        names_wanted: bool,
    },
    /// Answer to a query.
    Reply {
        /// Number of the question.
        nonce: Nonce,
        /// What the sender holds.
        answer: CompactAnswer,
    },
}

/// What a witness holds.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct CompactAnswer {
    /// Start count of the witness's process.
    pub incarnation: Incarnation,
    /// Newest version that it holds.
    pub version: Version,
    /// [`WitnessSets::identify`] of the witness set of that version.
    pub set: u64,
    /// That set, if it was asked for.
    pub witnesses: Option<Vec<NodeName>>,
}

/// Positions of the endpoint records of one zone.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ZonePositions {
    /// The zone.
    pub locality: Locality,
    /// Position of each record at the sender.
    pub records: Vec<RecordPosition>,
    /// Whether the sender wants the receiver's positions too, to send what is newer at its side.
    pub answer_wanted: bool,
}

/// Position of one endpoint record.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct RecordPosition {
    /// Owner of the record.
    pub node: NodeName,
    /// Its position.
    pub order: RecordOrder,
}
