//! Distributes the requests of a route among services by weight.

use std::collections::HashMap;

use rand::{Rng, RngExt};
use umberpond_model::{RouteName, ServiceName};

use super::table::{CompiledRoute, WeightedService};

/// Maximum number of tracked routes; requests of other routes are distributed at random.
const MAX_ROUTES: usize = 4_096;
/// Step between two positions in the sequence, the inverse of the golden ratio: multiples of it are
/// distributed over any interval as evenly as possible (low discrepancy), whatever the weights are.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// Position of each split route in its low-discrepancy sequence.
///
/// Requests are distributed by a sequence rather than independently at random: independent random choices of
/// many nodes, each with few requests, deviate from the shares as much as those of one node with all
/// requests. The sequence starts at a random position on each node, so that the nodes don't all begin with
/// the same service, and continues when a new configuration is activated.
#[derive(Debug, Default)]
pub struct SplitSequences {
    positions: HashMap<RouteName, f64>,
}

impl SplitSequences {
    /// Selects the service for the next request of `route`.
    pub fn next<'a>(&mut self, random: &mut impl Rng, route: &'a CompiledRoute) -> &'a ServiceName {
        if route.destinations.len() == 1 {
            return &route.destinations[0].service;
        }
        destination_at(&route.destinations, self.position(random, &route.name))
    }

    /// Advances the position of the route, which is in the range from 0 to below 1.
    fn position(&mut self, random: &mut impl Rng, route: &RouteName) -> f64 {
        if let Some(position) = self.positions.get_mut(route) {
            *position = (*position + GOLDEN_STEP).fract();
            return *position;
        }
        let first = random.random();
        if self.positions.len() < MAX_ROUTES {
            self.positions.insert(route.clone(), first);
        }
        first
    }
}

/// The service whose part of the total weight contains `position`.
fn destination_at(destinations: &[WeightedService], position: f64) -> &ServiceName {
    let sum: u32 = destinations.iter().map(|destination| destination.weight).sum();
    let mut left = position * f64::from(sum);
    for destination in destinations {
        left -= f64::from(destination.weight);
        if left < 0.0 {
            return &destination.service;
        }
    }
    &destinations[0].service
}
