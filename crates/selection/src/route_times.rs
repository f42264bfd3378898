//! Tracks how long requests of each route take at each endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use umberpond_model::{NodeName, RouteName};

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Number of samples from which on the mean of an endpoint is used.
const MIN_SAMPLES: u32 = 3;
/// Maximum number of tracked routes; requests of other routes are estimated by the mean of the endpoint over
/// all requests.
const MAX_ROUTES: usize = 64;

#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    seconds: f64,
    samples: u32,
}

impl Mean {
    fn record(&mut self, seconds: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        self.seconds += (seconds - self.seconds) * weight;
    }
}

#[derive(Debug, Default)]
struct RouteTimes {
    overall: Mean,
    by_node: BTreeMap<NodeName, Mean>,
}

/// Mean service times at the usual speed, by route and endpoint.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    routes: BTreeMap<RouteName, RouteTimes>,
}

impl ServiceTimes {
    /// Records that the back end of `node` took `taken` for a request of `route`, converted to its usual
    /// speed.
    pub(crate) fn record(&mut self, route: &RouteName, node: &NodeName, taken: Duration) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let times = self.routes.entry(route.clone()).or_default();
        times.overall.record(taken.as_secs_f64());
        times.by_node.entry(node.clone()).or_default().record(taken.as_secs_f64());
    }

    /// Expected service time in seconds of a request of `route` at `node`. `relative` is the mean service
    /// time of the endpoint relative to the mean over its service. Returns `None` if nothing is known about
    /// the route.
    pub(crate) fn expected(&self, route: &RouteName, node: &NodeName, relative: f64) -> Option<f64> {
        let times = self.routes.get(route)?;
        match times.by_node.get(node) {
            Some(mean) if mean.samples >= MIN_SAMPLES => Some(mean.seconds),
            _ => Some(times.overall.seconds * relative),
        }
    }

    /// Drops the samples of `node`, whose back end has been replaced.
    pub(crate) fn remove_node(&mut self, node: &NodeName) {
        for times in self.routes.values_mut() {
            times.by_node.remove(node);
        }
    }
}
