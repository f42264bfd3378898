//! Helpers shared by the balancer's tests, its bench and its comparison.
#![allow(dead_code, missing_docs)]

pub mod comparison;

use std::collections::BTreeSet;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use umberpond_balance::{
    AllowedEndpoint, Balancer, BalancerSettings, LocalityFilter, Observation, RequestResult,
};
use umberpond_config::Service;
use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, LocalityRule, NodeName, Timestamp,
};

pub fn locality(region: &str, zone: &str) -> Locality {
    Locality { region: region.parse().expect("region"), zone: zone.parse().expect("zone") }
}

pub fn node(number: usize) -> NodeName {
    format!("node-{number}").parse().expect("name")
}

pub fn record(number: usize, locality: &Locality) -> EndpointRecord {
    let address = ([10, 0, (number / 250) as u8, (number % 250) as u8], 8080).into();
    EndpointRecord {
        node: node(number),
        service: Some("solver".parse().expect("service")),
        locality: locality.clone(),
        inbound: address,
        control: address,
        incarnation: Incarnation(1),
        sequence: 1,
        status: EndpointStatus::Ready,
        suspect: false,
    }
}

pub fn filter(regions: &[&str]) -> LocalityFilter {
    filter_with_slots(regions, 10)
}

pub fn filter_with_slots(regions: &[&str], slots: u32) -> LocalityFilter {
    let rule = |region: &&str| LocalityRule { region: region.parse().expect("region"), zone: None };
    let service = Service {
        name: "solver".parse().expect("service"),
        allowed: regions.iter().map(rule).collect(),
        slots,
        connections: 1_000,
        seal_key: None,
        health_path: None,
    };
    LocalityFilter::of(&service)
}

pub fn north() -> Locality {
    locality("eu-north", "hall-1")
}

/// `count` endpoints in the caller's own zone.
pub fn endpoints(count: usize) -> Vec<AllowedEndpoint> {
    filter(&["eu-north"]).allow_all((0..count).map(|number| record(number, &north())))
}

pub fn balancer(count: usize, settings: BalancerSettings) -> Balancer {
    let balancer = Balancer::new(north(), settings);
    balancer.update(Timestamp(0), endpoints(count));
    balancer
}

pub fn seeded(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn ended(result: RequestResult, latency_millis: u64) -> Observation {
    Observation { result, latency: Duration::from_millis(latency_millis), report: None }
}

/// Nodes met by `picks` picks, each released at once.
pub fn nodes_met(balancer: &Balancer, now: Timestamp, picks: usize) -> BTreeSet<NodeName> {
    let mut rng = seeded(7);
    let pick = |_| balancer.pick(now, &mut rng, &[]).expect("an endpoint").node().clone();
    (0..picks).map(pick).collect()
}
