//! Which nodes there are, which of them can be reached, and what each says of its back end.
//!
//! Every node holds the record of every other one; only a node itself writes its record, and the later record wins, so lost,
//! doubled and crossed datagrams do no harm. Heartbeats pass between a few neighbours only, so what a node spends does not
//! grow with the count of nodes. What changes is passed on by everybody who learns of it to a few others, and sums of what
//! two nodes know show what was missed. A node that two of its neighbours find silent is left out by all, until it writes a
//! later record.
//!
//! The core has no I/O and reads no clock: time is an argument, datagrams are results.

mod digest;
mod heartbeat;
mod member;
mod membership;
mod neighbours;
mod note;
mod record;
mod settings;

pub use digest::{BUCKETS, BucketDigest};
pub use heartbeat::{
    Accusation, BucketOrders, ConfigurationWord, Datagram, Echo, Heartbeat, News, SenderWord, SuspectMessage,
};
pub use member::{MemberView, Reachability};
pub use membership::{Membership, Outgoing};
pub use note::MembershipEvent;
pub use record::{BackEndRecord, BackEndState, DirectoryEntry, MemberPhase, MemberRecord, RecordOrder};
pub use settings::MembershipSettings;
