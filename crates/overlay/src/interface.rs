//! Inputs and outputs of the overlay core.

use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_config::{Delta, Snapshot};
use umberpond_endpoints::LifeCycleError;
use umberpond_model::{
    EndpointRecord, Incarnation, Member, Millis, NodeName, Nonce, Timestamp, Version, VersionRecord,
};
use umberpond_versions::StepError;

use crate::Role;

/// Number of one control connection, chosen by the driver and never reused in a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Input<M> {
    /// The process has started; sent once, first.
    Started,
    /// The time asked for by [`Output::WakeAt`] has come. Early and doubled wake-ups are harmless.
    Wake,
    /// A connection asked for by [`Output::Connect`] stands.
    Connected {
        /// The new connection.
        connection: ConnectionId,
        /// The address that was asked for.
        to: SocketAddr,
    },
    /// A connection asked for by [`Output::Connect`] could not be made.
    ConnectFailed {
        /// The address that was asked for.
        to: SocketAddr,
    },
    /// Another node has connected to this one.
    Accepted {
        /// The new connection.
        connection: ConnectionId,
    },
    /// A connection has ended, whoever ended it.
    Disconnected {
        /// The connection that ended.
        connection: ConnectionId,
    },
    /// A message has arrived.
    Received {
        /// The connection it came over.
        connection: ConnectionId,
        /// The message.
        message: M,
    },
    /// The platform has answered or told something.
    Platform(PlatformEvent),
    /// The back end beside this node has changed; `record` carries the new status and sequence.
    OwnRecord(EndpointRecord),
}

/// What the platform says to a reader.
#[derive(Debug, Clone)]
pub enum PlatformEvent {
    /// The reader lease was granted; the driver renews it until told to release it.
    LeaseGranted,
    /// The reader lease was refused or lost.
    LeaseLost,
    /// A newer version, in order of the chain, together with its delta from the version before.
    Accepted(Arc<AcceptedVersion>),
    /// A whole configuration, read because the chain's deltas were not at hand.
    Whole(Arc<WholeVersion>),
    /// Answer to [`PlatformRequest::ReadHeadVersion`]: the newest accepted version, read after the request.
    HeadVersion {
        /// Number of the request.
        nonce: Nonce,
        /// Newest accepted version.
        version: Version,
    },
    /// The machine list, whole: members and whether each is leaving. A hint that lags.
    Machines(Arc<Vec<Machine>>),
    /// The platform does not answer; the driver goes on trying with backoff.
    Unavailable,
}

/// One accepted version with its delta.
#[derive(Debug, Clone)]
pub struct AcceptedVersion {
    /// The durable record.
    pub record: VersionRecord,
    /// Change from the version before.
    pub delta: Delta,
}

/// One accepted version with its whole snapshot.
#[derive(Debug, Clone)]
pub struct WholeVersion {
    /// The durable record.
    pub record: VersionRecord,
    /// The last witness set that differs from the record's own, needed for the commit rule; a copy of
    /// [`VersionRecord::previous_witnesses`]. Empty if the set never changed since the first version.
    pub previous_witnesses: Vec<umberpond_model::NodeName>,
    /// The whole configuration.
    pub snapshot: Snapshot,
}

/// One entry of the platform's machine list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Machine {
    /// The node and its address.
    pub member: Member,
    /// Whether the platform is taking the machine away.
    pub leaving: bool,
}

/// What a node asks its driver to do.
#[derive(Debug, Clone)]
pub enum Output<M> {
    /// Open a control connection; answered by [`Input::Connected`] or [`Input::ConnectFailed`].
    Connect {
        /// Where to.
        to: SocketAddr,
    },
    /// Send a message. Messages of one connection arrive in order or not at all.
    Send {
        /// Over which connection.
        connection: ConnectionId,
        /// The message.
        message: M,
    },
    /// Close a connection once what was sent on it is written.
    Close {
        /// The connection.
        connection: ConnectionId,
    },
    /// Ask the platform for something.
    Platform(PlatformRequest),
    /// Put this configuration in force, by one swap. Versions only grow.
    Activate {
        /// Its version.
        version: Version,
        /// The configuration, restricted to the node's own scope.
        snapshot: Arc<Snapshot>,
    },
    /// The endpoint records that callers on this node use have changed; these are the new ones.
    Endpoints(Vec<EndpointRecord>),
    /// Feed [`Input::Wake`] at this time; replaces the time asked for before.
    WakeAt(Timestamp),
    /// A decision worth telling, with its reason.
    Decision(Decision),
}

/// What a node asks of the platform. A request that is no longer wanted may still be answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformRequest {
    /// Try for a reader lease of the node's zone and keep it.
    AcquireReaderLease,
    /// Give the lease back and stop watching.
    ReleaseReaderLease,
    /// Watch the head from the version after this one, and the machine list.
    Watch {
        /// The newest version held.
        after: Version,
    },
    /// Read the head now, for a version floor.
    ReadHeadVersion {
        /// Number of the request.
        nonce: Nonce,
    },
}

/// A decision and its reason; for logs, status and replay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A version was put in force.
    Activated {
        /// The version.
        version: Version,
    },
    /// The role changed.
    RoleChanged {
        /// Role before.
        from: Role,
        /// Role from now on.
        to: Role,
        /// Why.
        reason: RoleReason,
    },
    /// A parent has accepted this node.
    Attached {
        /// The parent.
        parent: NodeName,
        /// Hops from this node to a reader.
        depth: Option<u8>,
    },
    /// The connection to the parent is gone.
    ParentLost {
        /// The parent.
        parent: NodeName,
        /// Why.
        reason: LossReason,
    },
    /// A child was sent the whole configuration in its scope.
    WholeSent {
        /// The child.
        to: NodeName,
        /// Version of the content.
        version: Version,
    },
    /// A whole transfer was put off, since too many are under way.
    TransferPutOff {
        /// The child.
        child: NodeName,
        /// When it should ask again.
        retry_after: Millis,
    },
    /// Configuration content was refused; what is held stays.
    TransferRefused {
        /// Why.
        error: StepError,
    },
    /// The commit index grew by the word of the witnesses.
    Committed {
        /// The new commit index.
        version: Version,
    },
    /// The version floor of this process is proved.
    FloorProved {
        /// The floor.
        floor: Version,
    },
    /// A floor round of this reader has ended.
    FloorRoundEnded {
        /// The floor found.
        floor: Version,
        /// What proved it.
        by: FloorProofKind,
    },
    /// This node doubts another one.
    Suspected {
        /// The node.
        node: NodeName,
    },
    /// This node was doubted and has overruled the doubt.
    SuspicionRefuted {
        /// Sequence of the overruling record.
        sequence: u64,
    },
    /// A later process runs under this node's name; this one no longer writes its record.
    Superseded {
        /// Incarnation of the later process.
        by: Incarnation,
    },
    /// A change of the own record was refused.
    OwnRecordRefused {
        /// Why.
        error: LifeCycleError,
    },
    /// A peer speaks another protocol; its connection is closed.
    ProtocolUnknown {
        /// The connection.
        connection: ConnectionId,
        /// The number it gave.
        theirs: u16,
    },
    /// A message was not understood or not expected; its connection is closed.
    MessageRefused {
        /// The connection.
        connection: ConnectionId,
        /// Why.
        reason: MessageFault,
    },
}

/// Why a role changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RoleReason {
    /// The parent, or the node that refused the connection, said so.
    Told,
    /// The own view of the zone says so.
    OwnView,
    /// The node is a member of the witness set in force, or no longer is.
    WitnessSet,
}

/// Why a parent was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// The connection ended.
    Disconnected,
    /// Nothing arrived for the idle timeout.
    Silent,
    /// The parent has no way to a reader.
    Orphaned,
    /// The tree has a loop.
    Loop,
    /// Another parent fits better.
    Moved,
}

/// What proved a floor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FloorProofKind {
    /// A majority of the witnesses.
    Witnesses,
    /// A read of the platform's head.
    PlatformHead,
}

/// Why a message was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageFault {
    /// The driver could not decode it.
    Undecodable,
    /// It doesn't belong on this connection.
    Unexpected,
}
