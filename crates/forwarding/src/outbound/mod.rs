//! The half beside the caller: finds the route, chooses back ends, sends attempts and answers the caller.

mod attempts;
mod caller_times;
mod handler;
mod reply;

pub use handler::{Outbound, OutboundIdentity, OutboundSettings, StaleVersion};
pub(crate) use reply::{Reply, ReplyReason};
