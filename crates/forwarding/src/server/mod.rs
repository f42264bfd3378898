//! Accepting connections, and the requests of callers on them.

mod caller;
mod listener;
mod pending;
mod receive;
mod writer;

pub use listener::{ServerControl, ServerPhase, serve_inbound, serve_outbound};
