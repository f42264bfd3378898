//! Fault schedules made from a seed.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::world::{NODES, READERS};

/// Faults end here, in milliseconds; the platform is up and all links work from then on.
pub const FAULTS_END: u64 = 12_000;

#[derive(Debug, Clone)]
pub enum Fault {
    PlatformDown(bool),
    /// The processes of these nodes end together and start again.
    Herd(Vec<usize>),
    /// A reader stops for a while and then goes on, unaware.
    Pause {
        reader: usize,
        until: u64,
    },
    /// These readers reach each other and their children, but neither the platform nor other readers.
    Cut {
        readers: Vec<usize>,
        until: u64,
    },
    /// A majority of the newest witness set ends for good.
    LoseMajority,
    /// An operator replaces the lost witnesses.
    ReplaceWitnesses,
}

/// A long outage of the platform, in which one zone restarts: its reader and all its nodes.
pub fn zone_restart_in_outage(rng: &mut ChaCha8Rng) -> Vec<(u64, Fault)> {
    let zone = rng.random_range(0..READERS);
    let herd = (0..NODES).filter(|node| node % READERS == zone).collect();
    let restart = rng.random_range(3_000..6_000);
    vec![
        (2_000, Fault::PlatformDown(true)),
        (restart, Fault::Herd(herd)),
        (10_000, Fault::PlatformDown(false)),
    ]
}

/// All faults of the model at once, at random.
pub fn everything(rng: &mut ChaCha8Rng) -> Vec<(u64, Fault)> {
    let outage = rng.random_range(1_000..6_000);
    let outage_end = rng.random_range(outage + 500..FAULTS_END);
    let mut faults = vec![(outage, Fault::PlatformDown(true)), (outage_end, Fault::PlatformDown(false))];
    for _ in 0..rng.random_range(3..7) {
        faults.push((rng.random_range(1_000..FAULTS_END), herd(rng)));
    }
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(500..FAULTS_END - 100);
        let until = (at + rng.random_range(100..4_000)).min(FAULTS_END);
        faults.push((at, Fault::Pause { reader: rng.random_range(0..READERS), until }));
    }
    for _ in 0..rng.random_range(3..8) {
        let reader = rng.random_range(0..READERS);
        faults.push((rng.random_range(1_000..FAULTS_END), Fault::Herd(vec![reader])));
    }
    for _ in 0..rng.random_range(2..6) {
        let at = rng.random_range(500..FAULTS_END - 100);
        let until = (at + rng.random_range(300..5_000)).min(FAULTS_END);
        let readers = (0..READERS).filter(|_| rng.random_bool(0.4)).collect();
        faults.push((at, Fault::Cut { readers, until }));
    }
    faults
}

/// A majority of the witnesses is lost for good while the platform is up, an operator replaces them, and nodes
/// restart before and after, also in an outage of the platform.
pub fn lost_majority(rng: &mut ChaCha8Rng) -> Vec<(u64, Fault)> {
    let lost = rng.random_range(1_500..3_000);
    let mut faults = vec![
        (lost, Fault::LoseMajority),
        (lost + rng.random_range(0..2_000), Fault::ReplaceWitnesses),
        (rng.random_range(5_500..7_000), Fault::PlatformDown(true)),
        (rng.random_range(7_500..FAULTS_END), Fault::PlatformDown(false)),
    ];
    for _ in 0..rng.random_range(4..9) {
        faults.push((rng.random_range(1_000..FAULTS_END), herd(rng)));
    }
    for _ in 0..rng.random_range(1..4) {
        let at = rng.random_range(500..FAULTS_END - 100);
        let until = (at + rng.random_range(100..4_000)).min(FAULTS_END);
        faults.push((at, Fault::Pause { reader: rng.random_range(0..READERS), until }));
    }
    faults
}

/// The same without the operator.
pub fn lost_majority_left_alone(rng: &mut ChaCha8Rng) -> Vec<(u64, Fault)> {
    let mut faults = lost_majority(rng);
    faults.retain(|(_, fault)| !matches!(fault, Fault::ReplaceWitnesses));
    faults
}

fn herd(rng: &mut ChaCha8Rng) -> Fault {
    const SHARES: [f64; 4] = [0.1, 0.3, 0.6, 1.0];
    let share = SHARES[rng.random_range(0..SHARES.len())];
    Fault::Herd((0..NODES).filter(|_| rng.random_bool(share)).collect())
}
