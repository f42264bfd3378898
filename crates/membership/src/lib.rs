//! Which nodes there are, which of them can be reached, and what each says of its back end.
//!
//! Every node tells every other one about itself in datagrams; only a node itself writes its record, and the later
//! record wins, so lost, doubled and crossed datagrams do no harm. Whether a node can be reached is each node's own
//! finding and is told to nobody, so a cut between two nodes concerns these two only.
//!
//! The core has no I/O and reads no clock: time is an argument, datagrams are results.

mod heartbeat;
mod member;
mod membership;
mod record;
mod settings;

pub use heartbeat::{ConfigurationWord, Echo, Heartbeat, SenderWord};
pub use member::{MemberView, Reachability};
pub use membership::{Membership, Outgoing};
pub use record::{BackEndRecord, BackEndState, Introduction, MemberPhase, MemberRecord, RecordOrder};
pub use settings::MembershipSettings;
