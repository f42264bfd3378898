//! Distinguishes the first try of a caller from its retries.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use umberpond_model::RouteName;

/// Maximum number of routes that are tracked; on other routes, every try counts as a first one.
const MAX_ROUTES: usize = 256;
/// Maximum number of distinct timeouts that are counted per route.
const MAX_COMMON_TIMEOUTS: usize = 4;
/// Timeouts that differ by less than this are treated as equal.
const TOLERANCE: Duration = Duration::from_millis(20);
/// A timeout is common if at least one request in this many has it.
const COMMON_ONE_IN: u32 = 8;
/// Minimum number of requests on a route before common timeouts are used.
const MIN_REQUESTS: u32 = 20;
/// Number of requests after which the counts are halved.
const HALVING_INTERVAL: u32 = 400;
/// Maximum number of first-try timeouts that are kept per route.
const MAX_FIRST_TRY_TIMEOUTS: usize = 48;
/// Minimum number of kept timeouts before they are used to classify a request.
const MIN_FIRST_TRY_TIMEOUTS: usize = 12;
/// A timeout belongs to a first try if at least one kept timeout in this many equals it. A share is required
/// instead of a single match, since the kept timeouts may include some of retries.
const FIRST_TRY_ONE_IN: usize = 16;

/// The timeouts that callers send, by route.
///
/// While no caller is refused, all tries are first ones, so the timeouts seen then are those of first tries,
/// and a shorter timeout unlike them belongs to a retry. As long as few of these are known, a common timeout
/// counts as that of a first try: a retry carries what is left of its caller's time, which is hardly ever the
/// same twice.
#[derive(Debug, Default)]
pub(super) struct CallerTimeouts {
    routes: HashMap<RouteName, RouteTimeouts>,
}

#[derive(Debug, Default)]
struct RouteTimeouts {
    common_timeouts: Vec<TimeoutCount>,
    requests: u32,
    /// Timeouts seen while no caller was expected to retry.
    first_try_timeouts: VecDeque<Duration>,
    /// Until when refused callers may retry.
    retries_until: Option<Instant>,
}

#[derive(Debug)]
struct TimeoutCount {
    time: Duration,
    requests: u32,
}

impl CallerTimeouts {
    /// Records a request on `route` whose caller waits for `time`. Returns whether it is a retry by the
    /// caller.
    pub(super) fn record(&mut self, route: &RouteName, time: Duration) -> bool {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return false;
            }
            self.routes.insert(route.clone(), RouteTimeouts::default());
        }
        let Some(callers) = self.routes.get_mut(route) else { return false };
        callers.record(time);
        callers.record_first_try(time);
        callers.is_caller_retry(time)
    }

    /// Records that a caller on `route` was refused and waits for `left` longer, so that it may retry within
    /// that time.
    pub(super) fn on_refused(&mut self, route: &RouteName, left: Duration) {
        let Some(callers) = self.routes.get_mut(route) else { return };
        let until = Instant::now() + left;
        callers.retries_until = callers.retries_until.max(Some(until));
    }

    /// Estimated time since the first try of a request on `route` whose caller waits for `time`; zero for a
    /// first try.
    pub(super) fn time_since_first_try(&self, route: &RouteName, time: Duration) -> Duration {
        let callers = self.routes.get(route);
        callers.and_then(|callers| callers.time_since_first_try(time)).unwrap_or_default()
    }
}

impl RouteTimeouts {
    /// Counts the most common timeouts in bounded space (the Misra-Gries algorithm): a timeout that finds no
    /// free entry decrements the count of all others.
    fn record(&mut self, time: Duration) {
        if self.requests >= HALVING_INTERVAL {
            self.halve_counts();
        }
        self.requests += 1;
        if let Some(common) = self.common_timeouts.iter_mut().find(|common| is_same(common.time, time)) {
            common.requests += 1;
        } else if self.common_timeouts.len() < MAX_COMMON_TIMEOUTS {
            self.common_timeouts.push(TimeoutCount { time, requests: 1 });
        } else {
            self.common_timeouts.iter_mut().for_each(|common| common.requests -= 1);
            self.common_timeouts.retain(|common| common.requests > 0);
        }
    }

    fn record_first_try(&mut self, time: Duration) {
        if self.retries_until.is_some_and(|until| Instant::now() < until) {
            return;
        }
        if self.first_try_timeouts.len() >= MAX_FIRST_TRY_TIMEOUTS {
            self.first_try_timeouts.pop_front();
        }
        self.first_try_timeouts.push_back(time);
    }

    fn halve_counts(&mut self) {
        self.requests /= 2;
        self.common_timeouts.iter_mut().for_each(|common| common.requests /= 2);
        self.common_timeouts.retain(|common| common.requests > 0);
    }

    fn is_caller_retry(&self, time: Duration) -> bool {
        self.time_since_first_try(time).is_some()
    }

    /// Time since the first try if `time` is that of a retry, `None` for a first try.
    fn time_since_first_try(&self, time: Duration) -> Option<Duration> {
        if self.first_try_timeouts.len() >= MIN_FIRST_TRY_TIMEOUTS {
            self.elapsed_by_first_tries(time)
        } else {
            self.elapsed_by_common_timeouts(time)
        }
    }

    /// Takes the next longer timeout among the kept ones as that of the first try.
    fn elapsed_by_first_tries(&self, time: Duration) -> Option<Duration> {
        let same = self.first_try_timeouts.iter().filter(|first| is_same(**first, time));
        if same.count() * FIRST_TRY_ONE_IN >= self.first_try_timeouts.len() {
            return None;
        }
        let longer = self.first_try_timeouts.iter().filter(|first| time < **first);
        longer.min().map(|first| *first - time)
    }

    /// Takes the next longer timeout among the common ones as that of the first try.
    fn elapsed_by_common_timeouts(&self, time: Duration) -> Option<Duration> {
        if self.requests < MIN_REQUESTS {
            return None;
        }
        let is_common = |common: &&TimeoutCount| common.requests * COMMON_ONE_IN >= self.requests;
        let common_values = || self.common_timeouts.iter().filter(is_common).map(|common| common.time);
        if common_values().any(|common| is_same(common, time)) {
            return None;
        }
        common_values().filter(|common| time < *common).min().map(|first| first - time)
    }
}

fn is_same(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) < TOLERANCE
}
