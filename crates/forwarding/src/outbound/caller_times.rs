//! Tells a caller's first try of a request from its later ones.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use umberpond_model::RouteName;

/// Most routes followed; on further ones every try counts as a first one.
const MAX_ROUTES: usize = 256;
/// Most times followed for one route.
const MAX_TIMES: usize = 4;
/// Two times that differ by less are the same.
const TOLERANCE: Duration = Duration::from_millis(20);
/// A time is usual if one request in so many brings it.
const USUAL_ONE_IN: u32 = 8;
/// Requests of a route from which on anything is concluded.
const ENOUGH_REQUESTS: u32 = 20;
/// Requests after which what was learnt counts half.
const REMEMBERED_REQUESTS: u32 = 400;
/// Times of first tries that are kept for one route.
const KEPT_FIRST_TIMES: usize = 48;
/// Kept times from which on a time is judged by them.
const ENOUGH_FIRST_TIMES: usize = 12;
/// A time is that of a first try if one kept time in so many is the same: a later try may be among them.
const SAME_ONE_IN: usize = 16;

/// The times that callers say they will wait, by route.
///
/// While nobody is refused all tries are first ones, so the times that come then are those of first tries, and a shorter one that is unlike them is
/// that of a later try. As long as few of them are known, a time that is common counts as that of first tries: a later try brings what
/// is left of its caller's time, which is never the same twice.
#[derive(Debug, Default)]
pub(super) struct CallerTimes {
    routes: HashMap<RouteName, RouteCallers>,
}

#[derive(Debug, Default)]
struct RouteCallers {
    times: Vec<CommonTime>,
    requests: u32,
    /// Times that came while no caller was known to come back.
    first_times: VecDeque<Duration>,
    /// Until when callers that were refused may come back.
    come_back_until: Option<Instant>,
}

#[derive(Debug)]
struct CommonTime {
    time: Duration,
    requests: u32,
}

impl CallerTimes {
    /// Takes in a request of `route` whose caller will wait for `time`; tells whether it is a later try.
    pub(super) fn record(&mut self, route: &RouteName, time: Duration) -> bool {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= MAX_ROUTES {
                return false;
            }
            self.routes.insert(route.clone(), RouteCallers::default());
        }
        let Some(callers) = self.routes.get_mut(route) else { return false };
        callers.record(time);
        callers.record_first_time(time);
        callers.is_caller_retry(time)
    }

    /// Takes in that a caller of `route` was refused which waits for `left` longer, and may come back within that time.
    pub(super) fn on_refused(&mut self, route: &RouteName, left: Duration) {
        let Some(callers) = self.routes.get_mut(route) else { return };
        let until = Instant::now() + left;
        callers.come_back_until = callers.come_back_until.max(Some(until));
    }

    /// Time since the first try of a request of `route` whose caller will wait for `time`, as far as is known; zero for a first try.
    pub(super) fn spent_before(&self, route: &RouteName, time: Duration) -> Duration {
        let callers = self.routes.get(route);
        callers.and_then(|callers| callers.spent_before(time)).unwrap_or_default()
    }
}

impl RouteCallers {
    /// Counts the commonest times in bounded space: one that finds no room makes the others count less.
    fn record(&mut self, time: Duration) {
        if self.requests >= REMEMBERED_REQUESTS {
            self.forget_half();
        }
        self.requests += 1;
        if let Some(common) = self.times.iter_mut().find(|common| is_same(common.time, time)) {
            common.requests += 1;
        } else if self.times.len() < MAX_TIMES {
            self.times.push(CommonTime { time, requests: 1 });
        } else {
            self.times.iter_mut().for_each(|common| common.requests -= 1);
            self.times.retain(|common| common.requests > 0);
        }
    }

    fn record_first_time(&mut self, time: Duration) {
        if self.come_back_until.is_some_and(|until| Instant::now() < until) {
            return;
        }
        if self.first_times.len() >= KEPT_FIRST_TIMES {
            self.first_times.pop_front();
        }
        self.first_times.push_back(time);
    }

    fn forget_half(&mut self) {
        self.requests /= 2;
        self.times.iter_mut().for_each(|common| common.requests /= 2);
        self.times.retain(|common| common.requests > 0);
    }

    fn is_caller_retry(&self, time: Duration) -> bool {
        self.spent_before(time).is_some()
    }

    /// Time since the first try, if `time` is that of a later one.
    fn spent_before(&self, time: Duration) -> Option<Duration> {
        if self.first_times.len() >= ENOUGH_FIRST_TIMES {
            self.spent_by_first_times(time)
        } else {
            self.spent_by_common_times(time)
        }
    }

    /// The next longer time of first tries counts as that of the first try.
    fn spent_by_first_times(&self, time: Duration) -> Option<Duration> {
        let same = self.first_times.iter().filter(|first| is_same(**first, time));
        if same.count() * SAME_ONE_IN >= self.first_times.len() {
            return None;
        }
        let longer = self.first_times.iter().filter(|first| time < **first);
        longer.min().map(|first| *first - time)
    }

    /// Of several usual times the next longer one counts as that of the first try.
    fn spent_by_common_times(&self, time: Duration) -> Option<Duration> {
        if self.requests < ENOUGH_REQUESTS {
            return None;
        }
        let is_usual = |common: &&CommonTime| common.requests * USUAL_ONE_IN >= self.requests;
        let usual = || self.times.iter().filter(is_usual).map(|common| common.time);
        if usual().any(|common| is_same(common, time)) {
            return None;
        }
        usual().filter(|common| time < *common).min().map(|first| first - time)
    }
}

fn is_same(one: Duration, other: Duration) -> bool {
    one.abs_diff(other) < TOLERANCE
}
