//! Owner-written endpoint state, merge, drain and failure suspicion.
//!
//! All cores here are plain state machines: no socket, no clock, no spawn. Time is handed in.
//!
//! | core | duty |
//! |---|---|
//! | [`EndpointTable`] | the records a node knows; merge, interest, digests by zone, changes since a position |
//! | [`OwnRecord`] | the record of the node itself: its life cycle, and how it refutes a suspicion |
//! | [`SuspicionTimer`] | which lost owners an observer marks as suspect, and when |

mod digest;
mod interest;
mod own;
mod suspicion;
mod table;
mod tombstones;

pub use digest::ZoneDigest;
pub use interest::Interest;
pub use own::{LifeCycleError, OwnRecord, Refutation};
pub use suspicion::{SUSPECT_AFTER, SuspicionTimer, suspect};
pub use table::{Changes, EndpointTable, GONE_KEEP, MergeOutcome, SUSPECT_KEEP};
pub use tombstones::{MAX_TOMBSTONES, TOMBSTONE_KEEP};
