//! Accepts connections and serves the requests of callers on them.

mod caller;
mod control;
mod listener;
mod pending;
mod receive;
mod writer;

pub use control::{ServerControl, ServerPhase};
pub use listener::{serve_inbound, serve_outbound};
