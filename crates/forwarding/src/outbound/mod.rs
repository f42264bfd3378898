//! The half beside the caller: finds the route, chooses back ends, sends attempts and answers the caller.

mod attempts;
mod caller_times;
mod come_back;
mod expected_end;
mod failed_answer;
mod handler;
mod prepared;
mod reply;
mod state;
#[cfg(test)]
mod tests;

pub(crate) use reply::{Reply, ReplyReason};
pub use state::{Outbound, OutboundIdentity, OutboundSettings, StaleVersion};
