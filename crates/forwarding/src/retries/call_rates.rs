//! Moving averages of the calls that the runs of each route make, learned from runs that have ended.

use std::collections::BTreeMap;

use umberpond_model::ServiceName;

/// Weight of the latest run in the moving average.
const LAST_WEIGHT: f64 = 0.1;

/// Number of calls of a run by called service. A run calls only a few services.
pub(crate) type RunCalls = Vec<(ServiceName, u32)>;

/// Mean number of calls per run by route and called service, over the runs that call the service.
#[derive(Debug, Default)]
pub(crate) struct CallRates {
    by_route: BTreeMap<u32, BTreeMap<ServiceName, f64>>,
}

impl CallRates {
    /// Records the calls of a run that has ended. Runs without calls are left out: a run is mostly retried
    /// because a call failed, so a retried run is expected to make as many calls as a run that makes any.
    pub(crate) fn record(&mut self, route: u32, calls: &RunCalls) {
        if calls.is_empty() {
            return;
        }
        let rates = self.by_route.entry(route).or_default();
        for (service, count) in calls {
            let count = f64::from(*count);
            let rate = rates.entry(service.clone()).or_insert(count);
            *rate += LAST_WEIGHT * (count - *rate);
        }
    }

    /// The services that runs of `route` call, with the mean number of calls of the runs that call them.
    pub(crate) fn of_route(&self, route: u32) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.by_route.get(&route).into_iter().flatten().map(|(service, rate)| (service, *rate))
    }
}
