//! Protocol between two nodes: one exchange at a time on a connection, in bitcode frames.

mod client;
mod protocol;
mod server;

pub use client::HopResponseBody;
pub(crate) use client::{HopPool, HopPoolSettings};
pub(crate) use server::serve_hop_connection;
