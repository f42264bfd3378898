//! How many calls the runs of each route make, learnt from those that have ended.

use std::collections::BTreeMap;

use umberpond_model::ServiceName;

/// Weight of the run that ended last in the mean.
const LAST_WEIGHT: f64 = 0.1;

/// Calls of a run by the service that they were for. A run calls a few services at most.
pub(crate) type RunCalls = Vec<(ServiceName, u32)>;

/// Calls by the runs of each route that make any, in the mean.
#[derive(Debug, Default)]
pub(crate) struct CallRates {
    by_route: BTreeMap<u32, BTreeMap<ServiceName, f64>>,
}

impl CallRates {
    /// Takes in the calls of a run that has ended. Runs without calls are left out: a run is repeated mostly because a call failed, so what a
    /// repeated run is going to make is what a calling run makes.
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

    /// The services that runs of `route` call, with the calls of a run.
    pub(crate) fn of_route(&self, route: u32) -> impl Iterator<Item = (&ServiceName, f64)> {
        self.by_route.get(&route).into_iter().flatten().map(|(service, rate)| (service, *rate))
    }
}
