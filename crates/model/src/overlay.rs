//! Small records that the overlay's slices share.

use std::net::SocketAddr;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

use crate::{Locality, NodeName};

/// A random number that ties an answer to its question; a restarted process never reuses one.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
pub struct Nonce(pub u64);

/// A node as a possible peer of the overlay.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Encode, Decode, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node.
    pub node: NodeName,
    /// Where it runs.
    pub locality: Locality,
    /// Address of its control listener.
    pub control: SocketAddr,
}
