//! One back end as a caller's node sees it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use umberpond_model::{Locality, NodeName, ReleaseName};
use umberpond_scheduling::{LoadReport, Slowdown};

/// Weight of one new latency sample.
const LATENCY_WEIGHT: f64 = 0.1;
/// Time after which a failure is half forgotten.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long an endpoint is left out after a connection to its node was refused.
const UNREACHABLE_TIME: Duration = Duration::from_millis(500);

/// A back end that takes new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Node beside the back end.
    pub node: NodeName,
    /// Address at which that node takes requests for it.
    pub address: SocketAddr,
    /// Where it runs.
    pub locality: Locality,
    /// Identity of the back end's present life.
    pub instance: String,
    /// Version of its software, if it is known.
    pub release: Option<ReleaseName>,
    /// Requests it works on at once.
    pub slots: u32,
    /// Whether it is slow because it has just started.
    pub is_cold: bool,
}

/// What came of one request sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// It was answered; with the load told in the answer.
    Answered(LoadReport),
    /// It was refused without having run; with the load told.
    Refused(LoadReport),
    /// The node could not be reached.
    Unreachable,
    /// The answer was lost, spoiled or late.
    Failed,
    /// Nothing was learnt: the caller left.
    Abandoned,
}

/// What is known of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct Tracked {
    pub(crate) endpoint: Endpoint,
    /// Requests of this node that it holds.
    outstanding: u32,
    report: Option<LoadReport>,
    /// How long work takes there, by the last report that told it.
    slowdown: Slowdown,
    /// Requests sent since the report was received, less those ended since.
    since_report: i64,
    failures: f64,
    failures_at: Option<Instant>,
    unreachable_until: Option<Instant>,
    overhead_micros: f64,
}

impl Tracked {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            outstanding: 0,
            report: None,
            slowdown: Slowdown::default(),
            since_report: 0,
            failures: 0.0,
            failures_at: None,
            unreachable_until: None,
            overhead_micros: 0.0,
        }
    }

    /// Takes in a newer description. What was learnt of another life of the back end is dropped; tells whether.
    pub(crate) fn update(&mut self, endpoint: Endpoint) -> bool {
        if endpoint.instance != self.endpoint.instance {
            *self = Self { outstanding: self.outstanding, ..Self::new(endpoint) };
            return true;
        }
        self.endpoint = endpoint;
        false
    }

    pub(crate) fn on_sent(&mut self) {
        self.outstanding += 1;
        self.since_report += 1;
    }

    pub(crate) fn on_ended(&mut self, now: Instant, observation: Observation) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.since_report -= 1;
        match observation {
            Observation::Answered(report) => {
                self.on_report(Some(now), report);
                self.unreachable_until = None;
            }
            Observation::Refused(report) => self.on_report(Some(now), report),
            Observation::Unreachable => self.unreachable_until = Some(now + UNREACHABLE_TIME),
            Observation::Failed => {
                self.failures = self.failures_now(now) + 1.0;
                self.failures_at = Some(now);
            }
            Observation::Abandoned => {}
        }
    }

    /// Takes in a load report unless it is older than the one held. It has come at `now`, if that is known.
    pub(crate) fn on_report(&mut self, now: Option<Instant>, report: LoadReport) {
        if self.report.is_some_and(|held| held.number >= report.number) {
            return;
        }
        self.report = Some(report);
        self.since_report = 0;
        self.slowdown = Slowdown::default();
        if let Some(now) = now {
            // A report without it, or with one that can't be, leaves none.
            let _ = self.slowdown.on_word(now, report.slowdown_percent);
        }
    }

    /// Takes in the time that a request spent outside the back end and its queue.
    pub(crate) fn on_overhead(&mut self, overhead: Duration) {
        let micros = overhead.as_secs_f64() * 1e6;
        let weight = if self.overhead_micros == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.overhead_micros += (micros - self.overhead_micros) * weight;
    }

    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_none_or(|until| until <= now)
    }

    /// Failures lately, each counted less with time.
    pub(crate) fn failures_now(&self, now: Instant) -> f64 {
        let Some(at) = self.failures_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(age)
    }

    pub(crate) fn failed_share(&self) -> f64 {
        self.report.map_or(0.0, |report| f64::from(report.failed_permille) / 1000.0)
    }

    /// Requests that the back end holds, as well as can be known here.
    pub(crate) fn held(&self) -> f64 {
        let reported = self.report.map_or(0, |report| i64::from(report.running) + i64::from(report.waiting));
        let known = (reported + self.since_report).max(i64::from(self.outstanding));
        f64::from(u32::try_from(known).unwrap_or(0))
    }

    pub(crate) fn slots(&self) -> f64 {
        let reported = self.report.map_or(0, |report| report.slots);
        let slots = if reported > 0 { reported } else { self.endpoint.slots };
        f64::from(slots.max(1))
    }

    /// Time that work takes there now as a multiple of the usual one; 1 if that isn't known.
    pub(crate) fn slowdown_factor(&self, now: Instant) -> f64 {
        self.slowdown.factor(now)
    }

    /// Mean service time in seconds at the usual speed, if known.
    pub(crate) fn service_seconds(&self) -> Option<f64> {
        self.report.and_then(|report| report.service_time()).map(|time| time.as_secs_f64())
    }

    pub(crate) fn overhead_seconds(&self) -> f64 {
        self.overhead_micros / 1e6
    }
}
