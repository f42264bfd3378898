//! The header field in which a back end reports its load: `running,waiting,slots`, and with some back ends
//! the current slowdown as a fourth value.

/// Positions of the values in the comma-separated field.
const SLOTS_POSITION: usize = 2;
const SLOWDOWN_POSITION: usize = 3;

/// Current slowdown of a back end, as it reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedSlowdown {
    /// The field has no slowdown.
    Unreported,
    /// In hundredths of the usual time.
    Percent(u16),
    /// The fourth value of the field is not a valid slowdown.
    Invalid,
}

/// Parses the number of slots in a load field, if present.
pub(super) fn parse_slots(field: &str) -> Option<u32> {
    field.split(',').nth(SLOTS_POSITION)?.trim().parse().ok()
}

/// Parses the slowdown in a load field.
pub(crate) fn parse_slowdown(field: &str) -> ReportedSlowdown {
    let Some(value) = field.split(',').nth(SLOWDOWN_POSITION) else { return ReportedSlowdown::Unreported };
    match value.trim().parse::<f64>() {
        Ok(percent) if (0.0..=f64::from(u16::MAX)).contains(&percent) => {
            ReportedSlowdown::Percent(rounded(percent))
        }
        Ok(_) | Err(_) => ReportedSlowdown::Invalid,
    }
}

/// Rounds `percent`, which must be from 0 to the maximum of a `u16`.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded(percent: f64) -> u16 {
    percent.round() as u16
}

#[cfg(test)]
mod tests;
