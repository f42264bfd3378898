//! Parser for durations in settings: a number with a unit, such as `250ms`, `10s` or `2m`.

use std::time::Duration;

use thiserror::Error;

/// A text that is not a valid duration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a duration is a number followed by `ms`, `s` or `m`, and at most 100 years")]
pub struct InvalidDuration;

/// Maximum duration. The sum of a point in time and a much longer duration can't be represented.
const MAX_DURATION: Duration = Duration::from_secs(100 * 365 * 24 * 3_600);

/// Parses a duration.
///
/// # Errors
/// Returns [`InvalidDuration`] if `text` isn't a number followed by one of the units, or the duration is too
/// large.
pub fn parse_duration(text: &str) -> Result<Duration, InvalidDuration> {
    let is_of_number = |character: char| character.is_ascii_digit() || character == '.';
    let digits = text.len() - text.trim_start_matches(is_of_number).len();
    let (number, unit) = text.split_at(digits);
    let number: f64 = number.parse().map_err(|_| InvalidDuration)?;
    let seconds_per_unit = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => return Err(InvalidDuration),
    };
    let duration = Duration::try_from_secs_f64(number * seconds_per_unit).ok();
    duration.filter(|duration| *duration <= MAX_DURATION).ok_or(InvalidDuration)
}
