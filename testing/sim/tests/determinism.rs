//! The same seed gives the same digest: twice in one process, and in two other processes.

use std::process::Command;

use umberpond_sim::cluster::{RunOptions, run};
use umberpond_sim::schedule::{FaultKind, Schedule};

/// A seed whose schedule holds several kinds of fault.
const SEED: u64 = 3;

fn digest_here() -> String {
    let schedule = Schedule::from_seed(SEED, &FaultKind::ALL);
    run(&RunOptions { seed: SEED, schedule }).digest.to_string()
}

fn digest_of_another_process() -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_umberpond-sim"))
        .args(["replay", "--seed", &SEED.to_string()])
        .output()
        .expect("the program of this package runs");
    let text = String::from_utf8_lossy(&output.stdout);
    let last = text.lines().last().unwrap_or_default();
    last.rsplit(' ').next().unwrap_or_default().to_owned()
}

#[test]
fn the_same_seed_gives_the_same_digest() {
    let first = digest_here();
    assert_eq!(first, digest_here(), "twice in one process");
    assert_eq!(first, digest_of_another_process(), "in another process");
    assert_eq!(first, digest_of_another_process(), "in a third process");
}

#[test]
fn another_seed_gives_another_digest() {
    let schedule = Schedule::from_seed(SEED + 1, &FaultKind::ALL);
    assert_ne!(digest_here(), run(&RunOptions { seed: SEED + 1, schedule }).digest.to_string());
}
