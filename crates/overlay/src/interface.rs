//! Inputs and outputs of the overlay core.

use std::net::SocketAddr;
use std::sync::Arc;

use umberpond_config::{Delta, Snapshot};
use umberpond_model::{EndpointRecord, Member, Nonce, Timestamp, Version, VersionRecord};

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
    /// Witnesses of the version before, needed for the quorum rule; empty at the first version.
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

/// A decision and its reason; for logs, status and replay. The core's owner extends this list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// A version was put in force.
    Activated {
        /// The version.
        version: Version,
    },
}
