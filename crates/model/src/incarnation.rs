//! Which process of a node is meant.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Start count of a node's process: higher than that of every earlier process of the node that anybody remembers. It
/// is taken from what others remember, never from the time of day.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);
