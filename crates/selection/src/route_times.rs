//! How long requests of each route take at each endpoint.

use std::collections::BTreeMap;
use std::time::Duration;

use umberpond_model::{NodeName, RouteName};

/// Weight of one new sample.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Samples of an endpoint after which its own mean is used.
const ENOUGH_SAMPLES: u32 = 3;
/// Most routes followed; further ones are estimated by the endpoint's mean over all requests.
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
    everywhere: Mean,
    by_node: BTreeMap<NodeName, Mean>,
}

/// Mean times in the back end at its usual speed, by route and endpoint.
#[derive(Debug, Default)]
pub(crate) struct ServiceTimes {
    routes: BTreeMap<RouteName, RouteTimes>,
}

impl ServiceTimes {
    /// Takes in that a request of `route` took `taken` in the back end of `node`, or would have at its usual speed.
    pub(crate) fn record(&mut self, route: &RouteName, node: &NodeName, taken: Duration) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            return;
        }
        let times = self.routes.entry(route.clone()).or_default();
        times.everywhere.record(taken.as_secs_f64());
        times.by_node.entry(node.clone()).or_default().record(taken.as_secs_f64());
    }

    /// Expected seconds of a request of `route` at `node`. `relative`: how slow the endpoint is, relative to the
    /// others of its service; absent if nothing is known of the route.
    pub(crate) fn expected(&self, route: &RouteName, node: &NodeName, relative: f64) -> Option<f64> {
        let times = self.routes.get(route)?;
        match times.by_node.get(node) {
            Some(mean) if mean.samples >= ENOUGH_SAMPLES => Some(mean.seconds),
            _ => Some(times.everywhere.seconds * relative),
        }
    }

    /// Drops what is known of `node`, whose back end has been replaced.
    pub(crate) fn forget(&mut self, node: &NodeName) {
        for times in self.routes.values_mut() {
            times.by_node.remove(node);
        }
    }
}
