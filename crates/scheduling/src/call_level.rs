//! Shedding levels of requests, by which the calls of one run are admitted or refused together.

use bitcode::{Decode, Encode};

/// Lower bound of [`CallLevel::max_wait_share`]. A call whose expected wait is below half of its limit is
/// admitted at any level.
const MIN_WAIT_SHARE: f64 = 0.5;

/// Shedding level of a request from a caller. All calls of its runs, and the calls of these in turn, inherit
/// it.
///
/// A run that makes several calls fails if one of them is refused, and the work spent on the others is
/// wasted. If calls were refused independently with probability one half, a run with two calls would succeed
/// in only a quarter of the cases. All nodes assign the same level to the same request, so if there is
/// capacity for half of the calls, the runs in the lower half of the levels get all of theirs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct CallLevel(u8);

impl CallLevel {
    /// Number of levels.
    pub const COUNT: usize = 32;
    /// The lowest level, which is shed last.
    pub const FIRST: Self = Self(0);

    /// Derives the level from a hash of the request's identity.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "less than the number of levels")]
    pub const fn from_hash(hash: u64) -> Self {
        Self((hash % Self::COUNT as u64) as u8)
    }

    /// Number of bands. Statistics are kept by band instead of by level.
    pub(crate) const BANDS: usize = 4;

    /// The band that the level belongs to.
    pub(crate) const fn band(self) -> usize {
        self.0 as usize * Self::BANDS / Self::COUNT % Self::BANDS
    }

    /// Fraction of the maximum wait up to which a call of this level is admitted.
    pub(crate) fn max_wait_share(self) -> f64 {
        1.0 - (1.0 - MIN_WAIT_SHARE) * f64::from(self.0) / Self::COUNT as f64
    }
}
