//! Durations in settings: a whole number with a unit, such as `250ms`, `10s` or `2m`.

use std::time::Duration;

use thiserror::Error;

/// A text that is no duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a duration is a whole number followed by `ms`, `s` or `m`")]
pub struct InvalidDuration;

const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_MINUTE: u64 = 60 * MILLIS_PER_SECOND;

/// Reads a duration.
///
/// # Errors
/// Returns [`InvalidDuration`] for anything but a whole number and one of the units, or one too large.
pub fn parse_duration(text: &str) -> Result<Duration, InvalidDuration> {
    let digits = text.len() - text.trim_start_matches(|character: char| character.is_ascii_digit()).len();
    let (number, unit) = text.split_at(digits);
    let number: u64 = number.parse().map_err(|_| InvalidDuration)?;
    let millis_per_unit = match unit {
        "ms" => 1,
        "s" => MILLIS_PER_SECOND,
        "m" => MILLIS_PER_MINUTE,
        _ => return Err(InvalidDuration),
    };
    number.checked_mul(millis_per_unit).map(Duration::from_millis).ok_or(InvalidDuration)
}
