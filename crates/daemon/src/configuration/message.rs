//! Messages of the configuration actor.

use std::net::SocketAddr;
use std::sync::Arc;

use ractor::RpcReplyPort;
use umberpond_distribution::Held;
use umberpond_model::Version;

use super::source::Sourced;

/// What the configuration actor is told and asked.
pub(crate) enum ConfigurationMessage {
    /// Another node, perhaps one of the same zone, holds this version.
    Told { version: Version, by: SocketAddr, is_near: bool },
    /// What came of asking another node.
    Fetched { fetched: Fetched, from: SocketAddr },
    /// The pause after a busy node is over.
    AskAnother,
    /// What the store holds.
    Sourced(Box<Sourced>),
    /// Another node asks for what is newer than it holds; the answer is an encoded transfer.
    Pull { held: Option<Held>, reply: RpcReplyPort<Arc<[u8]>> },
}

/// What came of asking another node.
#[derive(Debug)]
pub(crate) enum Fetched {
    /// It answered with an encoded [`Transfer`](umberpond_distribution::Transfer).
    Transfer(Vec<u8>),
    /// It serves others just now.
    Busy,
    /// It did not answer, or not to the end.
    NoAnswer,
}
