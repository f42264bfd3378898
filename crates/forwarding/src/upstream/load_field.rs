//! The field in which a back end tells its load: `running,waiting,slots`, and with some back ends how long work takes there at this moment.

/// Positions of the values in the field, which commas separate.
const SLOTS_PLACE: usize = 2;
const SLOWDOWN_PLACE: usize = 3;

/// What the node beside a back end does with its load field.
pub(crate) trait LoadListener: Send + Sync {
    /// Called for each answer with such a field, as it stands there.
    fn on_load_field(&self, field: &str);
}

/// How long work takes at the back end at this moment, as it tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedSlowdown {
    /// It doesn't tell.
    Unreported,
    /// In hundredths of the usual time.
    Percent(u16),
    /// Its fourth value is not a slowdown.
    Invalid,
}

/// The slots in a load field, if they are told.
pub(super) fn told_slots(field: &str) -> Option<u32> {
    field.split(',').nth(SLOTS_PLACE)?.trim().parse().ok()
}

/// The slowdown in a load field.
pub(crate) fn told_slowdown(field: &str) -> ReportedSlowdown {
    let Some(figure) = field.split(',').nth(SLOWDOWN_PLACE) else { return ReportedSlowdown::Unreported };
    match figure.trim().parse::<f64>() {
        Ok(percent) if (0.0..=f64::from(u16::MAX)).contains(&percent) => {
            ReportedSlowdown::Percent(rounded(percent))
        }
        Ok(_) | Err(_) => ReportedSlowdown::Invalid,
    }
}

/// `percent` is from 0 to the highest that a `u16` holds.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn rounded(percent: f64) -> u16 {
    percent.round() as u16
}

#[cfg(test)]
mod tests;
