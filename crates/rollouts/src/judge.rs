//! Detects a bad target release by comparing it with the other releases over the same period.
//!
//! Failures: a sequential test of the failure rate of each route (Page's CUSUM of Wald's log-likelihood
//! ratio). The null hypothesis is that the target fails as often as the other releases, or slightly more; the
//! alternative is that it fails [`ADDED_FAILURES`] more often. The sum never falls below zero, so a release
//! that turns bad late is detected as fast as one that is bad from the start.
//!
//! The other releases may have too few responses for a comparison, because they no longer get requests or
//! because everything has just started. Failures may then have a cause that affects the whole service, such
//! as refused calls or cold back ends. In that case the target is allowed a failure rate of
//! [`MIN_ALLOWED_FAILURES_NO_BASELINE`], and is bad if it fails [`ADDED_FAILURES_NO_BASELINE`] more often
//! than that.
//!
//! Times: the mean time of recent responses of warm back ends on each route is compared with that of the
//! other releases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::evidence::ReleaseEvidence;
use crate::windows::{NewResponses, ReleaseGroup, ResponseCounts, ResponseWindows};

/// Probability that one run of the test reports a sound release as bad. The threshold of the sum is the
/// logarithm of the inverse.
const FALSE_ALARM_PROBABILITY: f64 = 1e-5;
/// Failure rate that is allowed even if the other releases have no failures, since back ends fail now and
/// then.
const MIN_ALLOWED_FAILURES: f64 = 0.02;
/// Factor by which the failure rate of a sound release may exceed that of the others: another fault may
/// affect its few back ends more strongly.
const TOLERANCE_FACTOR: f64 = 1.5;
/// Additional failure rate that is assumed for a bad release.
const ADDED_FAILURES: f64 = 0.15;
/// Failure rate that is allowed if there is nothing to compare with. Bursts of refused calls caused a failure
/// rate of 0.24, and a simultaneous start of all back ends 0.15.
const MIN_ALLOWED_FAILURES_NO_BASELINE: f64 = 0.1;
/// Additional failure rate that is assumed for a bad release if there is nothing to compare with.
const ADDED_FAILURES_NO_BASELINE: f64 = 0.3;
/// Minimum number of responses of the other releases within [`TIMES_WINDOW`] for a comparison.
const MIN_BASELINE_RESPONSES: u32 = 20;
/// Upper limit of the failure rates in the test.
const MAX_FAILURES: f64 = 0.9;
/// Weight of one response in the moving average of the other releases' failure rate.
const SHARE_WEIGHT: f64 = 0.01;
/// Window of the compared response times, long enough for some tens of responses at a small share.
const TIMES_WINDOW: Duration = Duration::from_secs(3);
/// Minimum number of responses on a route for a comparison of times. If the standard deviation equals the
/// mean, the mean of this many responses is wrong by half or more in only one of ten thousand cases.
const MIN_TIMED_RESPONSES: u32 = 25;
/// Factor by which the mean time of a bad release exceeds that of the others. Back ends of one service differ
/// by a factor of up to 2.5, but the means over several back ends differ less.
const SLOW_FACTOR: f64 = 2.2;
/// The same factor if the times of the other releases are older, since they no longer get requests.
const SLOW_FACTOR_HISTORICAL: f64 = 3.0;

/// Evaluation of the target release.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Verdict {
    /// No fault was detected so far.
    Sound,
    /// The target fails more often than the other releases.
    Fails {
        /// Hash of the route's name.
        route: u32,
        /// Recent failed responses.
        bad: u32,
        /// All recent responses.
        responses: u32,
    },
    /// The target takes several times as long as the other releases.
    Slow {
        /// Hash of the route's name.
        route: u32,
        /// Recent mean time of the target, in milliseconds.
        millis: u64,
        /// Mean time of the other releases, in milliseconds.
        others_millis: u64,
    },
}

/// Past failure rate and mean time of the other releases on one route.
#[derive(Debug, Clone, Copy, Default)]
struct BaselineStatistics {
    failed_share: f64,
    mean_millis: Option<f64>,
}

/// Compares the responses of the target with those of the other releases.
#[derive(Debug)]
pub struct ReleaseJudge {
    windows: ResponseWindows,
    others: BTreeMap<u32, BaselineStatistics>,
    failure_cusums: BTreeMap<u32, f64>,
    responses: u32,
}

impl Default for ReleaseJudge {
    fn default() -> Self {
        Self::new()
    }
}

impl ReleaseJudge {
    /// Creates a judge without any reports.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            windows: ResponseWindows::new(TIMES_WINDOW),
            others: BTreeMap::new(),
            failure_cusums: BTreeMap::new(),
            responses: 0,
        }
    }

    /// Processes the report of a node. `is_target` is whether its back end belongs to the target release.
    pub fn on_evidence(&mut self, is_target: bool, evidence: ReleaseEvidence) {
        let group = if is_target { ReleaseGroup::Target } else { ReleaseGroup::Others };
        self.windows.on_evidence(group, evidence);
    }

    /// Number of responses of the target so far.
    #[must_use]
    pub const fn responses(&self) -> u32 {
        self.responses
    }

    /// The latest report of a node.
    #[must_use]
    pub fn last_report(&self, node: &umberpond_model::NodeName) -> Option<&ReleaseEvidence> {
        self.windows.last_report(node)
    }

    /// Evaluates the responses reported since the last call. `others_get_requests` is whether the other
    /// releases still get requests.
    pub fn judge(&mut self, now: Instant, others_get_requests: bool) -> Verdict {
        let new_responses = self.windows.take_new_responses(now);
        self.update_baseline(&new_responses);
        let failing = self.add_failures(&new_responses, others_get_requests);
        failing.or_else(|| self.compare_service_times()).unwrap_or(Verdict::Sound)
    }

    fn update_baseline(&mut self, new_responses: &NewResponses) {
        for ((route, group), responses) in new_responses {
            if *group == ReleaseGroup::Others && responses.count() > 0 {
                let statistics = self.others.entry(*route).or_default();
                let share = f64::from(responses.bad) / f64::from(responses.count());
                let weight = (SHARE_WEIGHT * f64::from(responses.count())).min(0.5);
                statistics.failed_share += (share - statistics.failed_share) * weight;
            }
        }
        for (route, responses) in self.windows.recent(ReleaseGroup::Others) {
            if responses.timed >= MIN_TIMED_RESPONSES {
                self.others.entry(route).or_default().mean_millis = responses.mean_millis();
            }
        }
    }

    fn add_failures(&mut self, new_responses: &NewResponses, others_get_requests: bool) -> Option<Verdict> {
        let limit = -FALSE_ALARM_PROBABILITY.ln();
        let others_recent = self.windows.recent(ReleaseGroup::Others);
        let mut found = None;
        for ((route, group), responses) in new_responses {
            if *group != ReleaseGroup::Target {
                continue;
            }
            self.responses = self.responses.saturating_add(responses.count());
            let lacks_baseline = !others_get_requests
                || others_recent.get(route).is_none_or(|others| others.count() < MIN_BASELINE_RESPONSES);
            let others = self.others.get(route).map_or(0.0, |statistics| statistics.failed_share);
            let sum = self.failure_cusums.entry(*route).or_default();
            *sum = (*sum + likelihood_ratio(others, lacks_baseline, *responses)).max(0.0);
            if *sum >= limit {
                found = Some(*route);
            }
        }
        let route = found?;
        let recent = self.windows.recent(ReleaseGroup::Target).get(&route).copied().unwrap_or_default();
        Some(Verdict::Fails { route, bad: recent.bad, responses: recent.count() })
    }

    fn compare_service_times(&self) -> Option<Verdict> {
        let others = self.windows.recent(ReleaseGroup::Others);
        for (route, target) in self.windows.recent(ReleaseGroup::Target) {
            if target.timed < MIN_TIMED_RESPONSES {
                continue;
            }
            let concurrent = others.get(&route).filter(|responses| responses.timed >= MIN_TIMED_RESPONSES);
            let historical = self.others.get(&route).and_then(|statistics| statistics.mean_millis);
            let (factor, baseline_millis) = match concurrent.and_then(|responses| responses.mean_millis()) {
                Some(mean) => (SLOW_FACTOR, Some(mean)),
                None => (SLOW_FACTOR_HISTORICAL, historical),
            };
            let (Some(baseline_millis), Some(mean)) = (baseline_millis, target.mean_millis()) else {
                continue;
            };
            if mean > baseline_millis * factor {
                return Some(Verdict::Slow {
                    route,
                    millis: truncate_millis(mean),
                    others_millis: truncate_millis(baseline_millis),
                });
            }
        }
        None
    }
}

/// Log-likelihood ratio of the responses: a bad release against a sound one.
fn likelihood_ratio(others: f64, lacks_baseline: bool, responses: ResponseCounts) -> f64 {
    let (least, added) = if lacks_baseline {
        (MIN_ALLOWED_FAILURES_NO_BASELINE, ADDED_FAILURES_NO_BASELINE)
    } else {
        (MIN_ALLOWED_FAILURES, ADDED_FAILURES)
    };
    let sound = (others * TOLERANCE_FACTOR).clamp(least, MAX_FAILURES - added);
    let bad = sound + added;
    f64::from(responses.bad) * (bad / sound).ln()
        + f64::from(responses.good) * ((1.0 - bad) / (1.0 - sound)).ln()
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "a time of some seconds")]
fn truncate_millis(millis: f64) -> u64 {
    millis.max(0.0) as u64
}
