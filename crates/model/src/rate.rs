//! Request rates.

use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

const THOUSANDTHS: f64 = 1_000.0;
/// Maximum rate, in requests per second.
const MAX_PER_SECOND: f64 = 1e9;

/// A rate outside the allowed range.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("invalid rate {0}: it must be above 0 and at most {MAX_PER_SECOND} requests per second")]
pub struct InvalidRate(pub f64);

/// A rate in requests per second, stored in thousandths so that equal rates compare and hash equal.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// Creates a rate from requests per second, which may be fractional.
    ///
    /// # Errors
    /// Returns [`InvalidRate`] if the rate rounds to less than a thousandth or exceeds the maximum.
    pub fn per_second(rate: f64) -> Result<Self, InvalidRate> {
        let thousandths = (rate * THOUSANDTHS).round();
        if !(1.0..=MAX_PER_SECOND * THOUSANDTHS).contains(&thousandths) {
            return Err(InvalidRate(rate));
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked above")]
        Ok(Self(thousandths as u64))
    }

    /// Requests per second.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
    pub const fn as_f64(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }

    /// Requests per second, rounded down to a whole number, at least 1.
    #[must_use]
    pub const fn whole(self) -> u64 {
        let whole = self.0 / 1_000;
        if whole == 0 { 1 } else { whole }
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.as_f64())
    }
}
