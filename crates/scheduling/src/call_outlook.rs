//! Whether a run that is about to begin will get the calls that it makes.
//!
//! A run whose call is refused fails, and the time is lost for which it held its slot. Where that is likely, the node beside the run's back end does better
//! to refuse it before it runs. All that it needs to know is how its own calls have fared, so it works without messages; and since fewer runs make fewer
//! calls, the runs that are left get theirs.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use umberpond_model::ServiceName;

use crate::CallLevel;

/// Time after which what is known of calls counts half. A caller waits for about as long: what is older says nothing of its time.
const HALF_LIFE: Duration = Duration::from_secs(1);
/// Served calls assumed beside those seen, so that one refused call alone proves little.
const ASSUMED_CALLS: f64 = 2.0;
/// Weight of the run that ended last in the share of runs that make calls.
const LAST_WEIGHT: f64 = 0.1;
/// Greatest share of the runs that are refused: the others find out whether calls are served again.
const MOST_REFUSED: f64 = 0.9;
/// Share of failing runs below which none is refused: nine in ten are served if they begin.
const LEAST_REFUSED: f64 = 0.1;
/// Chance of success below which runs are refused whatever the reason. Where back ends turn calls away that have room, fewer calls don't help, so
/// that a run is worth its slot as long as it succeeds at times.
const SMALL_CHANCE: f64 = 1.0 / 3.0;

/// How a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// It may have run.
    Run,
    /// It was refused for want of room.
    NoRoom,
    /// It was refused for another reason.
    Refused,
}

/// A run that is about to begin.
#[derive(Debug, Clone, Copy)]
pub struct PendingRun<'a> {
    /// Its route, by the hash of the name.
    pub route: u32,
    /// Its rank, which its calls take over.
    pub rank: u8,
    /// Its level, which its calls take over too.
    pub level: CallLevel,
    /// Services that runs of the route call, with the calls of a run that makes any.
    pub calls: &'a [(ServiceName, f64)],
}

/// A run that is refused, since its calls would be.
#[derive(Debug, Clone, PartialEq)]
pub struct RunRefusal {
    /// The called service that refuses most.
    pub called: ServiceName,
    /// Share of such runs that would fail.
    pub failing: f64,
    /// Time after which it has better hope.
    pub come_back: Duration,
}

/// Calls to one service lately, by the end that they took.
#[derive(Debug, Clone, Copy, Default)]
struct Treatment {
    calls: f64,
    no_room: f64,
    refused: f64,
    told_at: Option<Instant>,
}

impl Treatment {
    fn record(&mut self, now: Instant, end: CallOutcome) {
        let kept = self.kept(now);
        for count in [&mut self.calls, &mut self.no_room, &mut self.refused] {
            *count *= kept;
        }
        self.told_at = Some(now);
        self.calls += 1.0;
        match end {
            CallOutcome::Run => {}
            CallOutcome::NoRoom => self.no_room += 1.0,
            CallOutcome::Refused => self.refused += 1.0,
        }
    }

    /// Shares of the calls that are refused, for want of room and for any reason. Without news both halve with each half-life.
    fn shares(&self, now: Instant) -> (f64, f64) {
        let kept = self.kept(now);
        let calls = self.calls + ASSUMED_CALLS;
        (kept * self.no_room / calls, kept * (self.no_room + self.refused) / calls)
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = self.told_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        0.5_f64.powf(age.as_secs_f64() / HALF_LIFE.as_secs_f64())
    }
}

/// Runs of one route.
#[derive(Debug, Clone, Copy, Default)]
struct RouteRuns {
    /// Share of the runs that make calls; absent before the first one has ended.
    calling_share: Option<f64>,
    /// Part of a run that is due to be refused, by band of levels. Whole runs are taken out of it, so that refusals come evenly.
    due: [f64; CallLevel::BANDS],
}

/// Shares of runs that would fail.
#[derive(Debug, Clone, Copy)]
struct Prospect {
    for_room: f64,
    for_any: f64,
}

impl Prospect {
    /// Share of the runs that are refused.
    fn refused_share(self) -> f64 {
        let failing = if 1.0 - self.for_any < SMALL_CHANCE { self.for_any } else { self.for_room };
        if failing < LEAST_REFUSED { 0.0 } else { failing.min(MOST_REFUSED) }
    }
}

/// How the calls of the runs at one back end fare.
#[derive(Debug, Default)]
pub struct CallFailureEstimator {
    /// By called service, and rank and band of levels of the run.
    treatments: BTreeMap<(ServiceName, u8, usize), Treatment>,
    routes: BTreeMap<u32, RouteRuns>,
}

impl CallFailureEstimator {
    /// Takes in how a call to `service` ended that a run of `rank` and `level` made.
    pub fn record_call(
        &mut self,
        now: Instant,
        service: &ServiceName,
        rank: u8,
        level: CallLevel,
        end: CallOutcome,
    ) {
        self.treatments.entry((service.clone(), rank, level.band())).or_default().record(now, end);
    }

    /// Takes in whether a run that has ended made calls.
    pub fn record_run(&mut self, route: u32, has_called: bool) {
        let sample = if has_called { 1.0 } else { 0.0 };
        let share = self.routes.entry(route).or_default().calling_share.get_or_insert(sample);
        *share += LAST_WEIGHT * (sample - *share);
    }

    /// Whether a run may begin, while others want its slot. Of many the share is refused that would fail.
    ///
    /// # Errors
    /// Returns [`RunRefusal`] if it is better refused.
    pub fn begin_run(&mut self, now: Instant, plan: &PendingRun<'_>) -> Result<(), RunRefusal> {
        let prospect = self.prospect(now, plan);
        let share = prospect.refused_share();
        let runs = self.routes.entry(plan.route).or_default();
        let due = &mut runs.due[plan.level.band()];
        *due = if share > 0.0 { *due + share } else { 0.0 };
        if *due < 1.0 {
            return Ok(());
        }
        *due -= 1.0;
        let Some(called) = self.most_refusing(now, plan) else { return Ok(()) };
        Err(RunRefusal { called, failing: prospect.for_any, come_back: HALF_LIFE.mul_f64(share) })
    }

    fn prospect(&self, now: Instant, plan: &PendingRun<'_>) -> Prospect {
        let (mut gets_room, mut gets_all) = (1.0, 1.0);
        for (service, count) in plan.calls {
            let (no_room, any) = self.shares(now, service, plan);
            gets_room *= (1.0 - no_room).powf(*count);
            gets_all *= (1.0 - any).powf(*count);
        }
        let runs = self.routes.get(&plan.route);
        let calling = runs.and_then(|runs| runs.calling_share).unwrap_or_default();
        Prospect { for_room: calling * (1.0 - gets_room), for_any: calling * (1.0 - gets_all) }
    }

    fn most_refusing(&self, now: Instant, plan: &PendingRun<'_>) -> Option<ServiceName> {
        let refused = |service: &ServiceName| self.shares(now, service, plan).1;
        let services = plan.calls.iter().map(|(service, _)| service);
        services.max_by(|one, other| refused(one).total_cmp(&refused(other))).cloned()
    }

    fn shares(&self, now: Instant, service: &ServiceName, plan: &PendingRun<'_>) -> (f64, f64) {
        let treatment = self.treatments.get(&(service.clone(), plan.rank, plan.level.band()));
        treatment.map_or((0.0, 0.0), |treatment| treatment.shares(now))
    }
}
