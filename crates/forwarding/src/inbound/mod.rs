//! The inbound side, on the node of the back end: admits, queues and forwards requests. Every request to the
//! back end passes through it.

mod admission;
mod back_end;
mod crash_watch;
mod request_checks;
mod response_observer;
mod serving;
mod suspect_limiter;
mod tenant_shares;
mod transfer_scheduler;

pub(crate) use admission::Permit;
pub use back_end::{BackEnd, BackEndFinding, Inbound, InboundSettings};
pub(crate) use back_end::{InboundAccess, millis};
pub(crate) use response_observer::limit_text;
