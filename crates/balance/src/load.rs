//! Estimated load of one endpoint: own outstanding requests, plus what others are thought to have there.
//!
//! Reports are noisy and old when they are used. So the work of others is a running mean of the reports, and with
//! the age of the last one it moves towards what is typical of all endpoints: an endpoint that nothing fresh is known
//! of counts as an ordinary one, not as an idle one.

use std::sync::atomic::{AtomicU64, Ordering};

use umberpond_model::{Millis, Timestamp};

use crate::{BalancerSettings, LoadReport};

/// Weight of the newest report in the running mean of one endpoint.
const REPORT_GAIN: f64 = 0.3;
/// Own requests that may be on their way to an endpoint without being a sign of anything.
const ON_THE_WAY: u32 = 3;
/// Weight of the newest report in the running mean of all endpoints.
const TYPICAL_GAIN: f64 = 1.0 / 64.0;
/// A report above the mean pulls this many times as hard as one below, so that an endpoint which always reports too
/// little can't make all the honest ones look busier than usual.
const UPWARD_PULL: f64 = 16.0;

/// Work of others at a typical endpoint of the service, in shares of its slots.
///
/// Updates may be lost between threads, which costs only smoothness.
#[derive(Debug, Default)]
pub(crate) struct TypicalLoad(AtomicU64);

impl TypicalLoad {
    /// Takes in the work of others at one endpoint.
    fn on_report(&self, share: f64) {
        let before = self.share();
        let pull = if share > before { UPWARD_PULL } else { 1.0 };
        self.0.store((before + (share - before) * pull * TYPICAL_GAIN).to_bits(), Ordering::Relaxed);
    }

    /// Work of others in shares of an endpoint's slots.
    pub(crate) fn share(&self) -> f64 {
        f64::from_bits(self.0.load(Ordering::Relaxed))
    }
}

/// What is remembered of the load reports of one endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReportedLoad {
    /// Running mean of the work of others; absent while no report is trusted.
    others: Option<f64>,
    at: Timestamp,
    /// Requests the endpoint runs at once: as reported, or as configured until it reports.
    slots: u32,
    configured_slots: u32,
    distrusted_until: Timestamp,
}

impl ReportedLoad {
    /// Nothing is reported yet; the endpoint runs `slots` requests at once by the configuration.
    pub(crate) const fn new(slots: u32) -> Self {
        let (at, distrusted_until) = (Timestamp(0), Timestamp(0));
        Self { others: None, at, slots, configured_slots: slots, distrusted_until }
    }

    /// Takes up what the configuration says; a change of it counts until the endpoint's next report.
    pub(crate) const fn set_configured_slots(&mut self, slots: u32) {
        if slots != self.configured_slots {
            self.configured_slots = slots;
            self.slots = slots;
        }
    }

    /// Takes a report in. `own` is this node's outstanding work at the endpoint, the answered request included.
    ///
    /// A report far below `own` contradicts what is known here, so it and the following ones are ignored for a while.
    /// Not any report below it: requests that are still on their way are not at the endpoint yet.
    pub(crate) fn on_report(
        &mut self,
        now: Timestamp,
        report: LoadReport,
        own: u32,
        typical: &TypicalLoad,
        settings: &BalancerSettings,
    ) {
        if report.slots > 0 {
            self.slots = report.slots;
        }
        if report.outstanding < own.saturating_sub(ON_THE_WAY) / 2 {
            self.distrust(now, settings);
        }
        if now < self.distrusted_until {
            return;
        }
        let others = f64::from(report.outstanding.saturating_sub(own));
        let before = self.others.unwrap_or(others);
        self.others = Some(before + (others - before) * REPORT_GAIN);
        self.at = now;
        typical.on_report(others / f64::from(self.slots()));
    }

    /// A refusal shows that the endpoint is full, whatever it reported.
    pub(crate) fn on_rejected(
        &mut self,
        now: Timestamp,
        own: u32,
        typical: &TypicalLoad,
        settings: &BalancerSettings,
    ) {
        let slots = self.slots();
        if self.estimate(now, own, typical, settings) < f64::from(slots) / 2.0 {
            self.distrust(now, settings);
        }
        self.others = Some(f64::from(slots.saturating_sub(own)));
        self.at = now;
    }

    /// Requests the endpoint is thought to hold.
    pub(crate) fn estimate(
        &self,
        now: Timestamp,
        own: u32,
        typical: &TypicalLoad,
        settings: &BalancerSettings,
    ) -> f64 {
        let typical = typical.share() * f64::from(self.slots());
        let weight = weight_at(now.since(self.at), settings.report_half_life);
        let others = self.others.map_or(typical, |others| typical + (others - typical).max(0.0) * weight);
        f64::from(own) + others
    }

    /// Requests the endpoint runs at once.
    pub(crate) fn slots(&self) -> u32 {
        self.slots.max(1)
    }

    fn distrust(&mut self, now: Timestamp, settings: &BalancerSettings) {
        self.distrusted_until = now + settings.distrust_time;
        self.others = None;
    }
}

/// Weight of a report: 1 when fresh, 1/2 after one half-life, 1/3 after two (a hyperbola: cheap, and never zero).
fn weight_at(age: Millis, half_life: Millis) -> f64 {
    #[allow(clippy::cast_precision_loss)]
    let (age, half_life) = (age.0 as f64, half_life.0.max(1) as f64);
    half_life / (half_life + age)
}
