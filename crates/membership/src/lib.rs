//! Membership and failure detection: which nodes exist, which are reachable, and the state of each node's
//! back end.
//!
//! Every node holds the records of all other nodes. A record is written only by its own node, and a later
//! version replaces an earlier one, so lost, duplicated and reordered datagrams are harmless. Heartbeats pass
//! only between a few neighbours, so that the traffic of a node does not grow with the number of nodes.
//! Updates are gossiped: each node that receives one forwards it to a few others, and digests reveal missed
//! updates. A node that two of its neighbours accuse of being silent is excluded by all nodes until it
//! publishes a later record version.
//!
//! This crate does no I/O and reads no clock: the time is an argument, and the datagrams to send are return
//! values.

mod digest;
mod event;
mod heartbeat;
mod member;
mod membership;
mod neighbours;
mod record;
mod settings;

pub use digest::{BUCKETS, BucketDigest};
pub use event::MembershipEvent;
pub use heartbeat::{
    Accusation, BucketContents, ConfigurationStatus, Datagram, Echo, Heartbeat, MembershipUpdate,
    SenderRecord, SuspectMessage,
};
pub use member::{MemberView, Reachability};
pub use membership::{Membership, Outgoing};
pub use record::{BackEndRecord, BackEndState, DirectoryEntry, MemberPhase, MemberRecord, RecordOrder};
pub use settings::MembershipSettings;
