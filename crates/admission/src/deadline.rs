//! Deadlines: the time left travels with each request, so that no two clocks are ever compared.

use thiserror::Error;
use umberpond_model::{Millis, Timestamp};

/// Longest time that a request may take, all attempts included. Half of the duplicate window, see
/// [`crate::AdmissionSettings::window`].
pub const LONGEST_DEADLINE: Millis = Millis(60_000);

/// A deadline header that holds something other than a count of milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the deadline `{text}` is not a count of milliseconds")]
pub struct InvalidDeadline {
    /// The header's value.
    pub text: String,
}

/// The time on the local clock at which the caller gives up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(Timestamp);

impl Deadline {
    /// A deadline `remaining` from now, at most [`LONGEST_DEADLINE`] ahead.
    #[must_use]
    pub fn after(now: Timestamp, remaining: Millis) -> Self {
        Self(now + remaining.min(LONGEST_DEADLINE))
    }

    /// The nearer of the route's timeout and the remaining milliseconds of a header, if there is one.
    ///
    /// # Errors
    /// Returns [`InvalidDeadline`] when the header is not a decimal count of milliseconds.
    pub fn from_header(
        now: Timestamp,
        header: Option<&str>,
        timeout: Millis,
    ) -> Result<Self, InvalidDeadline> {
        let Some(text) = header else { return Ok(Self::after(now, timeout)) };
        let is_decimal = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
        let millis = if is_decimal { text.parse().ok() } else { None };
        let Some(millis) = millis else { return Err(InvalidDeadline { text: text.to_owned() }) };
        Ok(Self::after(now, timeout.min(Millis(millis))))
    }

    /// Time left; zero once the deadline has passed. This is what travels on with the request.
    #[must_use]
    pub const fn remaining(self, now: Timestamp) -> Millis {
        self.0.since(now)
    }

    /// Whether the caller has given up.
    #[must_use]
    pub fn has_passed(self, now: Timestamp) -> bool {
        now >= self.0
    }

    /// The point on the local clock.
    #[must_use]
    pub const fn at(self) -> Timestamp {
        self.0
    }
}
