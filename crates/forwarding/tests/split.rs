//! Tests the shares of services in the requests of a split route.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use umberpond_config::{RequestClass, RouteAccess};
use umberpond_forwarding::{CompiledRoute, SplitSequences, WeightedService};

/// Number of requests over all nodes that the shares are computed from.
const REQUESTS: usize = 300;
/// Largest difference between a measured share and its weight.
const MAX_DIFFERENCE: f64 = 0.1;

fn route(weights: &[u32]) -> CompiledRoute {
    let destinations = weights.iter().enumerate().map(|(number, weight)| WeightedService {
        service: format!("part-{number}").parse().unwrap(),
        weight: *weight,
    });
    CompiledRoute {
        name: "route".parse().unwrap(),
        number: 1,
        destinations: destinations.collect(),
        is_idempotent: true,
        class: RequestClass::Status,
        priority: 1,
        attempts: 2,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        credentials: Vec::new(),
        access: RouteAccess::default(),
    }
}

/// Shares of the services if `nodes` nodes distribute the requests independently, ignoring the first
/// `skipped` requests.
fn shares(seed: u64, nodes: usize, weights: &[u32], skipped: usize) -> Vec<f64> {
    let route = route(weights);
    let mut all: Vec<(SplitSequences, SmallRng)> = (0..nodes)
        .map(|node| (SplitSequences::default(), SmallRng::seed_from_u64(seed * 1_000 + node as u64)))
        .collect();
    let mut counts = vec![0.0; weights.len()];
    for request in 0..skipped + REQUESTS {
        let (sequences, random) = &mut all[request % nodes];
        let service = sequences.next(random, &route);
        let part = route.destinations.iter().position(|part| part.service == *service).unwrap();
        if request >= skipped {
            counts[part] += 1.0;
        }
    }
    counts.into_iter().map(|count| count / REQUESTS as f64).collect()
}

#[test]
fn shares_hold_over_few_requests_for_any_number_of_nodes() {
    for weights in [&[75, 25][..], &[90, 10], &[50, 30, 20], &[1, 1], &[97, 3]] {
        let sum: u32 = weights.iter().sum();
        for nodes in [1, 2, 20, 80, 200] {
            for seed in 0..60 {
                let measured = shares(seed, nodes, weights, seed as usize * 7);
                for (share, weight) in measured.iter().zip(weights) {
                    let expected = f64::from(*weight) / f64::from(sum);
                    let difference = (share - expected).abs();
                    assert!(
                        difference < MAX_DIFFERENCE,
                        "{nodes} nodes, {weights:?}: share {share} instead of {expected}"
                    );
                }
            }
        }
    }
}

#[test]
fn single_node_deviates_by_few_requests() {
    for seed in 0..60 {
        let measured = shares(seed, 1, &[75, 25], 0);
        assert!((measured[0] - 0.75).abs() <= 3.0 / REQUESTS as f64, "{measured:?}");
    }
}
