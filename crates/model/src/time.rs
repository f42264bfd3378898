//! Time as the decision cores see it: milliseconds handed in by the caller, never read from a clock.

use std::ops::{Add, Sub};

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

/// One second.
pub const ONE_SECOND: Millis = Millis(1_000);

/// A point on the local monotonic clock, in milliseconds since the process started. Not comparable between
/// processes; no decision about safety rests on it.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// Time since `earlier`, or zero if `earlier` lies ahead.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for Timestamp {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Millis> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Millis) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}
