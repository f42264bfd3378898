//! How often something may happen.

use std::fmt;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Thousandths in one.
const THOUSANDTHS: f64 = 1_000.0;
/// Highest rate, in requests a second.
const HIGHEST: f64 = 1e9;

/// A rate that is no rate.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
#[error("{0} is no rate: it must be above 0 and at most {HIGHEST} a second")]
pub struct InvalidRate(pub f64);

/// Requests a second, in thousandths, so that equal rates are equal and hash alike.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u64);

impl RequestRate {
    /// So many requests a second, which may be a fraction.
    ///
    /// # Errors
    /// Returns [`InvalidRate`] unless it is above 0 and not beyond all measure.
    pub fn per_second(rate: f64) -> Result<Self, InvalidRate> {
        let thousandths = (rate * THOUSANDTHS).round();
        if !(1.0..=HIGHEST * THOUSANDTHS).contains(&thousandths) {
            return Err(InvalidRate(rate));
        }
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked above")]
        Ok(Self(thousandths as u64))
    }

    /// Requests a second.
    #[must_use]
    #[allow(clippy::cast_precision_loss, reason = "far below 2^52")]
    pub const fn as_f64(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }

    /// Whole requests a second, at least 1.
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
