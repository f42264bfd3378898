//! Describes one back end and tracks what the calling node knows about it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use umberpond_model::{Locality, NodeName, ReleaseName, RequestRate};
use umberpond_scheduling::{LoadReport, Slowdown};

/// Weight of a new latency sample in the moving average.
const LATENCY_WEIGHT: f64 = 0.1;
/// Half-life of the weight of a failure.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// How long an endpoint is excluded after a connection to its node was refused.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(500);

/// A back end that accepts new requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Node in front of the back end.
    pub node: NodeName,
    /// Address at which that node accepts requests for the back end.
    pub address: SocketAddr,
    /// Region and zone in which it runs.
    pub locality: Locality,
    /// Identity of the current back-end process.
    pub instance: String,
    /// Software version of the back end, if known.
    pub release: Option<ReleaseName>,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Whether it is slow because it has just started (cold start).
    pub is_cold: bool,
    /// Limit on the requests of all nodes together that it advertises.
    pub request_limit: Option<RequestRate>,
}

/// Outcome of one request sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The endpoint sent a response, with this load report.
    Answered(LoadReport),
    /// The request was refused without having run, with this load report.
    Refused(LoadReport),
    /// The node could not be reached.
    Unreachable,
    /// The response was lost, invalid or late.
    Failed,
    /// The caller disconnected, so the outcome is unknown.
    Abandoned,
}

/// State tracked per endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
    /// Requests sent by this node that have not ended.
    outstanding: u32,
    report: Option<LoadReport>,
    /// When the report arrived; absent if its age is unknown.
    reported_at: Option<Instant>,
    /// Slowdown of the back end by the last report that included it.
    slowdown: Slowdown,
    /// Requests sent since the last report, minus those that ended since.
    since_report: i64,
    failures: f64,
    failures_at: Option<Instant>,
    unreachable_until: Option<Instant>,
    overhead_micros: f64,
}

impl EndpointState {
    pub(crate) fn new(endpoint: Endpoint) -> Self {
        Self {
            endpoint,
            outstanding: 0,
            report: None,
            reported_at: None,
            slowdown: Slowdown::default(),
            since_report: 0,
            failures: 0.0,
            failures_at: None,
            unreachable_until: None,
            overhead_micros: 0.0,
        }
    }

    /// Replaces the description of the endpoint. If its back-end process was replaced, drops the state of the
    /// old process and returns `true`.
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
            Observation::Unreachable => self.unreachable_until = Some(now + UNREACHABLE_BACKOFF),
            Observation::Failed => {
                self.failures = self.decayed_failures(now) + 1.0;
                self.failures_at = Some(now);
            }
            Observation::Abandoned => {}
        }
    }

    /// Applies a load report unless a report at least as new is held. `now` is the time of arrival if the
    /// report is fresh; a report of unknown age has none.
    pub(crate) fn on_report(&mut self, now: Option<Instant>, report: LoadReport) {
        if self.report.is_some_and(|held| held.number >= report.number) {
            return;
        }
        self.report = Some(report);
        self.reported_at = now;
        self.since_report = 0;
        self.slowdown = Slowdown::default();
        if let Some(now) = now {
            // A report without a valid slowdown leaves it unset.
            let _ = self.slowdown.on_report(now, report.slowdown_percent);
        }
    }

    /// Records the time that a request spent outside the back end and its queue.
    pub(crate) fn on_overhead(&mut self, overhead: Duration) {
        let micros = overhead.as_secs_f64() * 1e6;
        let weight = if self.overhead_micros == 0.0 { 1.0 } else { LATENCY_WEIGHT };
        self.overhead_micros += (micros - self.overhead_micros) * weight;
    }

    pub(crate) fn is_reachable(&self, now: Instant) -> bool {
        self.unreachable_until.is_none_or(|until| until <= now)
    }

    /// Recent failures, with a weight that decreases with age.
    pub(crate) fn decayed_failures(&self, now: Instant) -> f64 {
        let Some(at) = self.failures_at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64() / FAILURE_HALF_LIFE.as_secs_f64();
        self.failures * 0.5_f64.powf(age)
    }

    pub(crate) fn failed_share(&self) -> f64 {
        self.report.map_or(0.0, |report| f64::from(report.failed_permille) / 1000.0)
    }

    /// Estimated number of requests that the back end holds.
    pub(crate) fn estimated_load(&self) -> f64 {
        let reported = self.report.map_or(0, |report| i64::from(report.running) + i64::from(report.waiting));
        let known = (reported + self.since_report).max(i64::from(self.outstanding));
        f64::from(u32::try_from(known).unwrap_or(0))
    }

    pub(crate) fn slots(&self) -> f64 {
        let reported = self.report.map_or(0, |report| report.slots);
        let slots = if reported > 0 { reported } else { self.endpoint.slots };
        f64::from(slots.max(1))
    }

    /// Share of its slots that the back end can keep busy within its request limit; 1 without a limit.
    pub(crate) fn usable_share(&self, service_seconds: f64) -> f64 {
        let Some(limit) = self.endpoint.request_limit else { return 1.0 };
        (limit.as_f64() * service_seconds / self.slots()).min(1.0)
    }

    /// Estimated time in seconds until a further request may start at the request limit.
    pub(crate) fn limit_wait_seconds(&self, now: Instant) -> f64 {
        let Some(limit) = self.endpoint.request_limit else { return 0.0 };
        let age = self.reported_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let reported = self.report.map_or(Duration::ZERO, |report| report.limit_wait());
        let own = f64::from(u32::try_from(self.since_report).unwrap_or(0));
        reported.saturating_sub(age).as_secs_f64() + own / limit.as_f64()
    }

    /// Current service time as a multiple of the usual one; 1 if unknown.
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
