//! Divides the requests of a route among services.

use std::collections::HashMap;

use rand::{Rng, RngExt};
use umberpond_model::{RouteName, ServiceName};

use super::table::{CompiledRoute, WeightedService};

/// Most routes followed; on further ones each request is drawn for itself.
const MAX_ROUTES: usize = 4_096;
/// Step between two places in the sequence, the inverse of the golden ratio: places so far apart fill every interval as evenly
/// as can be, whatever the weights are.
const GOLDEN_STEP: f64 = 0.618_033_988_749_895;

/// Where each split route stands in its sequence.
///
/// Requests are dealt in a sequence that fills the shares evenly, instead of drawn one by one: draws of many nodes, each with few
/// requests, miss the shares by as much as those of one node with all of them. The sequence starts at random on each node, so
/// that the nodes don't all begin with the same service, and goes on when a newer configuration is put in force.
#[derive(Debug, Default)]
pub struct SplitSequences {
    places: HashMap<RouteName, f64>,
}

impl SplitSequences {
    /// The service for the next request of `route`.
    pub fn next<'a>(&mut self, random: &mut impl Rng, route: &'a CompiledRoute) -> &'a ServiceName {
        if route.destinations.len() == 1 {
            return &route.destinations[0].service;
        }
        destination_at(&route.destinations, self.place(random, &route.name))
    }

    /// The next place of the route, from 0 to below 1.
    fn place(&mut self, random: &mut impl Rng, route: &RouteName) -> f64 {
        if let Some(place) = self.places.get_mut(route) {
            *place = (*place + GOLDEN_STEP).fract();
            return *place;
        }
        let first = random.random();
        if self.places.len() < MAX_ROUTES {
            self.places.insert(route.clone(), first);
        }
        first
    }
}

/// The service whose share of the whole contains `place`.
fn destination_at(destinations: &[WeightedService], place: f64) -> &ServiceName {
    let sum: u32 = destinations.iter().map(|destination| destination.weight).sum();
    let mut left = place * f64::from(sum);
    for destination in destinations {
        left -= f64::from(destination.weight);
        if left < 0.0 {
            return &destination.service;
        }
    }
    &destinations[0].service
}
