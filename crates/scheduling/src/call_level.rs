//! Levels of requests, by which the calls of one run are served or refused together.

use bitcode::{Decode, Encode};

/// Share of its patience with which a call beyond the last level would be taken in: one that waits for less than half of what it can is refused at no level.
const LAST_PATIENCE_SHARE: f64 = 0.5;

/// Level of a request that a caller has sent; all calls of its runs, and the calls of these, take it over.
///
/// A run that makes several calls fails if one of them is refused, and what the others took is lost. Were calls refused as they come, two of them would
/// both be served in a quarter of the cases where each is in a half. All nodes give the same request the same level, so that where there is room for half
/// of the calls the runs of the lower half of the levels get all of theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CallLevel(u8);

impl CallLevel {
    /// Number of levels.
    pub const COUNT: usize = 32;
    /// The level that goes first.
    pub const FIRST: Self = Self(0);

    /// The level of the request with this hash of its identity.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "less than the number of levels")]
    pub const fn from_hash(hash: u64) -> Self {
        Self((hash % Self::COUNT as u64) as u8)
    }

    /// Number of bands, whose calls fare alike.
    pub(crate) const BANDS: usize = 4;

    /// The band of the level.
    pub(crate) const fn band(self) -> usize {
        self.0 as usize * Self::BANDS / Self::COUNT % Self::BANDS
    }

    /// Share of its patience up to which a call of this level is taken in.
    pub(crate) fn patience_share(self) -> f64 {
        1.0 - (1.0 - LAST_PATIENCE_SHARE) * f64::from(self.0) / Self::COUNT as f64
    }
}
