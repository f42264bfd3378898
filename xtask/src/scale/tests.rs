//! Figures from hand-made observations, broken ones included.

use std::collections::BTreeMap;

use umberpond_hollow::{Activation, Places, ProcessUsage, Sample};

use super::bundles::BundleSet;
use super::changes::AcceptedChange;
use super::figures::{Convergence, Cost, Percentiles, requests_between};

fn activation(version: u64, at_unix_millis: u64) -> Activation {
    Activation { version, at_unix_millis }
}

fn change(version: u64, sent: u64) -> AcceptedChange {
    AcceptedChange { version, sent_unix_millis: sent, answered_unix_millis: sent + 10 }
}

fn sample(at_unix_millis: u64, processor_millis: u64, control_bytes: &[u64]) -> Sample {
    let usage = ProcessUsage { processor_millis, resident_bytes: 4_000 };
    Sample { at_unix_millis, usage, control_bytes: control_bytes.to_vec() }
}

#[test]
fn percentiles_are_values_that_occurred() {
    let values = Percentiles::of((1..=200).rev().collect());
    assert_eq!(values, Percentiles { p50: 100, p99: 198, max: 200, count: 200 });
    assert_eq!(Percentiles::of(Vec::new()), Percentiles::default());
}

#[test]
fn a_skipped_version_counts_from_the_later_one() {
    let nodes = [vec![activation(1, 100), activation(3, 390)]];
    let found = Convergence::of(&nodes, &[change(2, 200), change(3, 300)]);
    assert_eq!(found.from_submission, Percentiles { p50: 90, p99: 190, max: 190, count: 2 });
    assert_eq!(found.from_answer.max, 180);
    assert_eq!((found.missing, found.went_back), (0, 0));
}

#[test]
fn a_missing_version_and_a_step_back_are_told() {
    let behind = vec![activation(1, 100)];
    let back = vec![activation(1, 100), activation(2, 250), activation(1, 260)];
    let found = Convergence::of(&[behind, back], &[change(2, 200)]);
    assert_eq!((found.missing, found.went_back), (1, 1));
}

#[test]
fn cost_is_shared_by_the_nodes_of_a_process() {
    let idle = vec![sample(0, 0, &[0]), sample(20_000, 0, &[0])];
    let shared = vec![
        sample(0, 0, &[0, 0, 0]),
        sample(10_000, 200, &[40_000, 0, 0]),
        sample(20_000, 400, &[40_000, 20_000, 0]),
        sample(90_000, 9_000, &[9_999_999, 0, 0]),
    ];
    let cost = Cost::of(&[idle, shared], 0, 20_000);
    assert_eq!(cost.nodes, 4);
    assert!((cost.mean_bytes_per_second - 750.0).abs() < 1e-9);
    assert!((cost.highest_mean_bytes_per_second - 2_000.0).abs() < 1e-9);
    assert!((cost.busiest_bytes_per_second - 4_000.0).abs() < 1e-9);
    assert!((cost.mean_processor_percent - 0.5).abs() < 1e-9);
    assert!((cost.highest_resident_bytes - 4_000.0).abs() < 1e-9);
}

#[test]
fn only_requests_of_the_measured_time_count() {
    let count = |get| BTreeMap::from([("head get".to_owned(), get), ("lease put".to_owned(), 3)]);
    assert_eq!(requests_between(&count(5), &count(9)), BTreeMap::from([("head get".to_owned(), 4)]));
}

#[test]
fn the_bundles_pass_the_checker_before_and_after_changes() {
    let places = Places { regions: 6, zones: 15, services: 137 };
    let mut set = BundleSet::new(&places).unwrap();
    let mut joined = BTreeMap::new();
    let first: Vec<_> =
        set.first_submissions().into_iter().map(|(name, bytes)| (name.clone(), bytes)).collect();
    for (name, bytes) in first {
        joined.insert(name, std::sync::Arc::new(umberpond_config::Bundle::from_bytes(&bytes).unwrap()));
        umberpond_config::join(&joined).unwrap();
    }
    let mut rng = <rand_chacha::ChaCha8Rng as rand::SeedableRng>::seed_from_u64(1);
    let before = umberpond_config::join(&joined).unwrap().content_hash();
    let (name, bytes) = set.change(&mut rng).unwrap();
    joined.insert(name.clone(), std::sync::Arc::new(umberpond_config::Bundle::from_bytes(&bytes).unwrap()));
    assert_ne!(umberpond_config::join(&joined).unwrap().content_hash(), before);
}
