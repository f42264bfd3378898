//! Messages of the configuration actor.

use std::net::SocketAddr;
use std::sync::Arc;

use ractor::RpcReplyPort;
use umberpond_distribution::ConfigurationId;
use umberpond_model::Version;

use super::source::Sourced;

/// A message to the configuration actor.
pub(crate) enum ConfigurationMessage {
    /// Another node holds this version; `is_same_zone` if that node is in the same zone.
    PeerVersion { version: Version, peer: SocketAddr, is_same_zone: bool },
    /// A fetch from another node has ended.
    Fetched { fetched: Fetched, from: SocketAddr },
    /// The delay after a busy peer has passed.
    RetryFetch,
    /// A configuration read from the store.
    Sourced(Box<Sourced>),
    /// Another node requests changes since the configuration it holds; the reply is an encoded transfer.
    Pull { held: Option<ConfigurationId>, reply: RpcReplyPort<Arc<[u8]>> },
}

/// Result of a fetch from another node.
#[derive(Debug)]
pub(crate) enum Fetched {
    /// The node responded with an encoded [`Transfer`](umberpond_distribution::Transfer).
    Transfer(Vec<u8>),
    /// The node is busy with transfers to other nodes.
    Busy,
    /// There was no response, or it was incomplete.
    NoResponse,
}
