//! Estimates whether the calls of a run that is about to begin will be admitted.
//!
//! A run fails if one of its calls is refused, and the time for which it held its slot is wasted. If that is
//! likely, the node beside the run's back end refuses the run before it begins. The estimate uses only the
//! results of this node's own calls, so it needs no messages between nodes. Fewer runs make fewer calls, so
//! the calls of the remaining runs succeed.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::ServiceName;

use crate::CallLevel;

/// Half-life of recorded call results. It is about as long as a caller waits; older results say nothing about
/// the present.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Successful calls assumed in addition to those recorded, so that a single refusal has little weight.
const ASSUMED_CALLS: f64 = 2.0;
/// Weight of the latest run in the moving average of the share of runs that make calls.
const LATEST_RUN_WEIGHT: f64 = 0.1;
/// Upper bound of the share of runs that are refused. The remaining runs detect when calls succeed again.
const MAX_REFUSED_SHARE: f64 = 0.9;
/// Expected failure share below which no run is refused, since at least nine in ten succeed.
const MIN_REFUSED_SHARE: f64 = 0.1;
/// Success probability below which runs are refused whatever the reason of the refusals. If back ends refuse
/// calls although they have free slots, fewer calls don't help, so a run is worth its slot as long as it
/// sometimes succeeds.
const LOW_SUCCESS_PROBABILITY: f64 = 1.0 / 3.0;

/// Result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call may have been executed.
    Run,
    /// The call was refused because the back end had no capacity.
    Overloaded,
    /// The call was refused for another reason.
    Refused,
}

/// A run that is about to begin.
#[derive(Debug, Clone, Copy)]
pub struct PendingRun<'a> {
    /// Hash of the route's name.
    pub route: u32,
    /// Priority of the run, which its calls inherit.
    pub priority: u8,
    /// Shedding level of the run, which its calls inherit.
    pub level: CallLevel,
    /// Services called by runs of the route, each with the mean number of calls of a run that makes any.
    pub calls: &'a [(ServiceName, f64)],
}

/// Refusal of a run whose calls are likely to be refused.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRefusal {
    /// The called service with the highest share of refused calls.
    pub called: ServiceName,
    /// Expected share of such runs that would fail.
    pub failure_share: f64,
    /// Time after which a retry has a better chance.
    pub retry_after: Duration,
}

/// Recent calls to one service by result, exponentially decayed.
#[derive(Debug, Clone, Copy, Default)]
struct CallStatistics {
    calls: f64,
    no_room: f64,
    refused: f64,
    updated_at: Option<Instant>,
}

impl CallStatistics {
    fn record(&mut self, now: Instant, outcome: CallOutcome) {
        let decay_factor = self.decay_factor(now);
        for count in [&mut self.calls, &mut self.no_room, &mut self.refused] {
            *count *= decay_factor;
        }
        self.updated_at = Some(now);
        self.calls += 1.0;
        match outcome {
            CallOutcome::Run => {}
            CallOutcome::Overloaded => self.no_room += 1.0,
            CallOutcome::Refused => self.refused += 1.0,
        }
    }

    /// Shares of the calls refused for lack of capacity and for any reason. Without new results both shares
    /// halve with each half-life.
    fn shares(&self, now: Instant) -> (f64, f64) {
        let decay_factor = self.decay_factor(now);
        let calls = self.calls + ASSUMED_CALLS;
        (decay_factor * self.no_room / calls, decay_factor * (self.no_room + self.refused) / calls)
    }

    fn decay_factor(&self, now: Instant) -> f64 {
        let age = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Statistics of the runs of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteRuns {
    /// Share of the runs that make calls; absent until the first run has ended.
    calling_share: Option<f64>,
    /// Accumulated fraction of a run to be refused, by level band. A run is refused whenever it reaches 1, so
    /// that refusals are spread evenly.
    refusal_debt: [f64; CallLevel::BANDS],
}

/// Expected shares of runs that fail, for lack of capacity and for any reason.
#[derive(Debug, Clone, Copy)]
struct FailureShares {
    no_room_share: f64,
    any_reason_share: f64,
}

impl FailureShares {
    /// Share of the runs to refuse.
    fn refused_share(self) -> f64 {
        let refused_share = if 1.0 - self.any_reason_share < LOW_SUCCESS_PROBABILITY {
            self.any_reason_share
        } else {
            self.no_room_share
        };
        if refused_share < MIN_REFUSED_SHARE { 0.0 } else { refused_share.min(MAX_REFUSED_SHARE) }
    }
}

/// Call statistics of the runs at one back end.
#[derive(Debug, Default)]
pub struct CallFailureEstimator {
    /// Keyed by called service, and by priority and level band of the run.
    statistics: BTreeMap<(ServiceName, u8, usize), CallStatistics>,
    routes: BTreeMap<u32, RouteRuns>,
}

impl CallFailureEstimator {
    /// Records the result of a call to `service` made by a run of `priority` and `level`.
    pub fn record_call(
        &mut self,
        now: Instant,
        service: &ServiceName,
        priority: u8,
        level: CallLevel,
        outcome: CallOutcome,
    ) {
        self.statistics.entry((service.clone(), priority, level.band())).or_default().record(now, outcome);
    }

    /// Records whether a finished run made calls.
    pub fn record_run(&mut self, route: u32, has_called: bool) {
        let sample = if has_called { 1.0 } else { 0.0 };
        let share = self.routes.entry(route).or_default().calling_share.get_or_insert(sample);
        *share += LATEST_RUN_WEIGHT * (sample - *share);
    }

    /// Decides whether a run may begin while other requests compete for its slot. Refuses the share of runs
    /// that is expected to fail.
    ///
    /// # Errors
    /// Returns [`RunRefusal`] if the run is refused.
    pub fn begin_run(&mut self, now: Instant, run: &PendingRun<'_>) -> Result<(), RunRefusal> {
        let failure_shares = self.failure_shares(now, run);
        let share = failure_shares.refused_share();
        let runs = self.routes.entry(run.route).or_default();
        let refusal_debt = &mut runs.refusal_debt[run.level.band()];
        *refusal_debt = if share > 0.0 { *refusal_debt + share } else { 0.0 };
        if *refusal_debt < 1.0 {
            return Ok(());
        }
        *refusal_debt -= 1.0;
        let Some(called) = self.most_refusing(now, run) else { return Ok(()) };
        Err(RunRefusal {
            called,
            failure_share: failure_shares.any_reason_share,
            retry_after: HALF_LIFE.mul_f64(share),
        })
    }

    fn failure_shares(&self, now: Instant, run: &PendingRun<'_>) -> FailureShares {
        let (mut room_probability, mut success_probability) = (1.0, 1.0);
        for (service, count) in run.calls {
            let (no_room, any_reason) = self.shares(now, service, run);
            room_probability *= (1.0 - no_room).powf(*count);
            success_probability *= (1.0 - any_reason).powf(*count);
        }
        let runs = self.routes.get(&run.route);
        let calling = runs.and_then(|runs| runs.calling_share).unwrap_or_default();
        FailureShares {
            no_room_share: calling * (1.0 - room_probability),
            any_reason_share: calling * (1.0 - success_probability),
        }
    }

    fn most_refusing(&self, now: Instant, run: &PendingRun<'_>) -> Option<ServiceName> {
        let refused = |service: &ServiceName| self.shares(now, service, run).1;
        let services = run.calls.iter().map(|(service, _)| service);
        services.max_by(|one, other| refused(one).total_cmp(&refused(other))).cloned()
    }

    fn shares(&self, now: Instant, service: &ServiceName, run: &PendingRun<'_>) -> (f64, f64) {
        let statistics = self.statistics.get(&(service.clone(), run.priority, run.level.band()));
        statistics.map_or((0.0, 0.0), |statistics| statistics.shares(now))
    }
}
