//! A run is reproducible from its seed: equal digests twice in one process and in two other processes.

use std::process::Command;

use umberpond_sim::cluster::{RunOptions, run};
use umberpond_sim::schedule::{FaultKind, Schedule};

/// A seed whose schedule has several kinds of fault.
const SEED: u64 = 3;
/// A seed that is run with herd restarts only: whole zones start at the same time, which wakes the most tasks
/// at once.
const HERD_SEED: u64 = 1;

fn digest_here(seed: u64, kinds: &[FaultKind]) -> String {
    let schedule = Schedule::from_seed(seed, kinds);
    run(&RunOptions { seed, schedule }).digest.to_string()
}

fn digest_of_another_process(seed: u64, kinds: &[FaultKind]) -> String {
    let names: Vec<&str> = kinds.iter().map(|kind| kind.name()).collect();
    let output = Command::new(env!("CARGO_BIN_EXE_umberpond-sim"))
        .args(["replay", "--seed", &seed.to_string(), "--fault", &names.join(",")])
        .output()
        .expect("the program of this package can be run");
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().unwrap_or_default();
    last.rsplit(' ').next().unwrap_or_default().to_owned()
}

#[test]
fn the_same_seed_gives_the_same_digest() {
    assert_same_digests(SEED, &FaultKind::ALL);
}

#[test]
fn the_same_seed_of_herd_restarts_gives_the_same_digest() {
    assert_same_digests(HERD_SEED, &[FaultKind::HerdRestart]);
}

#[track_caller]
fn assert_same_digests(seed: u64, kinds: &[FaultKind]) {
    let first = digest_here(seed, kinds);
    assert_eq!(first, digest_here(seed, kinds), "twice in one process");
    assert_eq!(first, digest_of_another_process(seed, kinds), "in another process");
    assert_eq!(first, digest_of_another_process(seed, kinds), "in a third process");
}

#[test]
fn another_seed_gives_another_digest() {
    assert_ne!(digest_here(SEED, &FaultKind::ALL), digest_here(SEED + 1, &FaultKind::ALL));
}
