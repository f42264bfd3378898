//! Incarnation numbers, which order the processes of a node.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Start count of a node's process: higher than that of every earlier process of the node that any other node
/// remembers. It is derived from what other nodes remember, never from the wall clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
