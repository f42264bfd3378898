//! Estimated load of one endpoint: own outstanding requests, plus what it reported of others, fading with age.

use umberpond_model::{Millis, Timestamp};

use crate::{BalancerSettings, LoadReport};

/// What is remembered of the last load report.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReportedLoad {
    others: f64,
    at: Timestamp,
    slots: Option<u32>,
    distrusted_until: Timestamp,
}

impl ReportedLoad {
    /// Takes a report in. `own` is this node's outstanding work at the endpoint, the answered request included.
    ///
    /// A report below `own` contradicts what is known here, so it and the following ones are ignored for a while.
    pub(crate) fn on_report(
        &mut self,
        now: Timestamp,
        report: LoadReport,
        own: u32,
        settings: &BalancerSettings,
    ) {
        if report.slots > 0 {
            self.slots = Some(report.slots);
        }
        if report.outstanding < own {
            self.distrust(now, settings);
        }
        if now < self.distrusted_until {
            return;
        }
        self.others = f64::from(report.outstanding.saturating_sub(own));
        self.at = now;
    }

    /// A refusal shows that the endpoint is full, whatever it reported.
    pub(crate) fn on_rejected(&mut self, now: Timestamp, own: u32, settings: &BalancerSettings) {
        let slots = self.slots(settings);
        if self.estimate(now, own, settings) < f64::from(slots) / 2.0 {
            self.distrust(now, settings);
        }
        self.others = f64::from(slots.saturating_sub(own));
        self.at = now;
    }

    /// Requests the endpoint is thought to hold: own ones fully, others' by the age of the report.
    pub(crate) fn estimate(&self, now: Timestamp, own: u32, settings: &BalancerSettings) -> f64 {
        f64::from(own) + self.others * weight_at(now.since(self.at), settings.report_half_life)
    }

    /// Requests the endpoint runs at once.
    pub(crate) fn slots(&self, settings: &BalancerSettings) -> u32 {
        self.slots.unwrap_or(settings.slots).max(1)
    }

    fn distrust(&mut self, now: Timestamp, settings: &BalancerSettings) {
        self.distrusted_until = now + settings.distrust_time;
        self.others = 0.0;
    }
}

/// Weight of a report: 1 when fresh, 1/2 after one half-life, 1/3 after two (a hyperbola: cheap, and never zero).
fn weight_at(age: Millis, half_life: Millis) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let (age, half_life) = (age.0 as f64, half_life.0.max(1) as f64);
    half_life / (half_life + age)
}
