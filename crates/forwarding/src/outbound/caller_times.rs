//! Tells a caller's first try of a request from its later ones.

use std::collections::HashMap;
use std::time::Duration;

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

/// The times that callers say they will wait, by route.
///
/// All first tries of one kind of caller bring the same time; a later try brings what is left of it, which is never the same
/// twice. So a time that is common is that of first tries, and one that is rare and shorter is that of a later try.
#[derive(Debug, Default)]
pub(super) struct CallerTimes {
    routes: HashMap<RouteName, RouteCallers>,
}

#[derive(Debug, Default)]
struct RouteCallers {
    times: Vec<CommonTime>,
    requests: u32,
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
        callers.is_later_try(time)
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

    fn forget_half(&mut self) {
        self.requests /= 2;
        self.times.iter_mut().for_each(|common| common.requests /= 2);
        self.times.retain(|common| common.requests > 0);
    }

    fn is_later_try(&self, time: Duration) -> bool {
        self.spent_before(time).is_some()
    }

    /// Time since the first try, if `time` is that of a later one. Of several usual times the next longer one counts as that of the first try.
    fn spent_before(&self, time: Duration) -> Option<Duration> {
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
