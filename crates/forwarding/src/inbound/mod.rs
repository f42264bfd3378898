//! The half beside the back end: admits, queues and hands over requests. It is the only way to the back end.

mod admission;
mod back_end;
mod body_link;
mod crash_watch;
mod serving;
mod suspect_lane;
mod tenant_shares;

pub(crate) use admission::Permit;
pub use back_end::{BackEnd, Inbound, InboundSettings};
pub(crate) use back_end::{InboundAccess, millis};
