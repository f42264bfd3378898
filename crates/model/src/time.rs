//! Durations in configurations and settings.

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);
