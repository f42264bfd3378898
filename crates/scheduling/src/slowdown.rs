//! Current slowdown of a back end, as reported by itself.

use std::time::{Duration, Instant};

use thiserror::Error;

/// Lifetime of a report. Slow phases last some hundreds of milliseconds, and a back end without requests
/// sends no reports. Without expiry a report from a slow phase would keep requests away forever.
const REPORT_LIFETIME: Duration = Duration::from_millis(300);
/// Reported value of a back end at its usual speed, in hundredths of the usual service time.
const USUAL_PERCENT: u16 = 100;
/// Weight of one report in the moving average. A slow phase spans some tens of reports and must not be taken
/// for the usual speed before it ends.
const REPORT_WEIGHT: f64 = 0.01;
/// Smallest valid slowdown, in hundredths of the usual service time.
const MIN_PERCENT: u16 = 10;
/// Largest valid slowdown, in hundredths of the usual service time.
const MAX_PERCENT: u16 = 10_000;

/// Reported slowdown outside the valid range.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("slowdown of {percent} percent is outside the range {MIN_PERCENT} to {MAX_PERCENT}")]
pub struct InvalidSlowdown {
    /// The reported value, in hundredths of the usual service time.
    pub percent: u16,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    /// Slowdown relative to the moving average at the time of the report, in hundredths.
    percent: u16,
    reported_at: Instant,
}

/// Latest slowdown reported by a back end, relative to the moving average of its reports. Measured service
/// times already include that average.
///
/// The latest report isn't smoothed: a slow phase spans only a few reports, so any average would react too
/// late.
#[derive(Debug, Clone, Copy)]
pub struct Slowdown {
    report: Option<Report>,
    /// Moving average of the reports, in hundredths of the usual service time.
    mean_percent: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self { report: None, mean_percent: f64::from(USUAL_PERCENT) }
    }
}

impl Slowdown {
    /// Records a report that requests take `percent` hundredths of the usual service time.
    ///
    /// # Errors
    /// Returns [`InvalidSlowdown`] if the value is outside the valid range; the previous report stays in
    /// effect.
    pub fn on_report(&mut self, now: Instant, percent: u16) -> Result<(), InvalidSlowdown> {
        if !(MIN_PERCENT..=MAX_PERCENT).contains(&percent) {
            return Err(InvalidSlowdown { percent });
        }
        let reported = f64::from(percent);
        self.report =
            Some(Report { percent: relative_percent(reported, self.mean_percent), reported_at: now });
        self.mean_percent += (reported - self.mean_percent) * REPORT_WEIGHT;
        Ok(())
    }

    /// Current service time in hundredths of the average one; absent without an unexpired report.
    #[must_use]
    pub fn percent(&self, now: Instant) -> Option<u16> {
        let report = self.report?;
        let age = now.saturating_duration_since(report.reported_at);
        (age <= REPORT_LIFETIME).then_some(report.percent)
    }

    /// Current service time as a multiple of the average one; 1 without an unexpired report.
    #[must_use]
    pub fn factor(&self, now: Instant) -> f64 {
        f64::from(self.percent(now).unwrap_or(USUAL_PERCENT)) / f64::from(USUAL_PERCENT)
    }

    /// Normalizes the service time `taken` of a request that ends at `now` to the average speed.
    #[must_use]
    pub fn normalized_time(&self, now: Instant, taken: Duration) -> Duration {
        taken.div_f64(self.factor(now))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn relative_percent(reported: f64, mean: f64) -> u16 {
    let percent = (reported / mean * f64::from(USUAL_PERCENT)).round();
    percent.clamp(f64::from(MIN_PERCENT), f64::from(MAX_PERCENT)) as u16
}
