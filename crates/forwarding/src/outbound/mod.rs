//! The outbound half of a node: matches requests of local callers to routes, chooses back ends, sends
//! attempts and replies to the callers.

mod attempts;
mod back_end_notices;
mod caller_timeouts;
mod expected_duration;
mod failed_response;
mod handler;
mod prepared;
mod reply;
mod retry_delay;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use reply::{Reply, ReplyReason};
pub use state::{Outbound, OutboundIdentity, OutboundSettings, StaleVersion};
