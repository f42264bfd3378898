//! The bounds of the backoff, and that processes that failed together do not return together.

use std::collections::BTreeSet;
use std::time::Duration;

use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberpond_store::{Backoff, BackoffSettings};

const SETTINGS: BackoffSettings =
    BackoffSettings { base: Duration::from_millis(100), cap: Duration::from_secs(10) };

quickcheck! {
    fn a_wait_stays_between_what_was_asked_for_and_the_bound(
        seed: u64,
        failures: u8,
        asked_seconds: Option<u8>
    ) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut backoff = Backoff::new(SETTINGS);
        let asked = asked_seconds.map(|seconds| Duration::from_secs(seconds.into()));
        (0..=failures).all(|failure| {
            let wait = backoff.next_wait(&mut rng, asked);
            let bound = (SETTINGS.base * 2_u32.pow(u32::from(failure).min(16))).min(SETTINGS.cap);
            let asked = asked.unwrap_or_default();
            wait >= asked && wait <= asked + bound
        })
    }
}

#[test]
fn waits_of_many_processes_are_spread_over_the_whole_range() {
    let waits = (0..1_000).map(|seed| {
        let mut backoff = Backoff::new(SETTINGS);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        (0..8).map(|_| backoff.next_wait(&mut rng, None)).last().expect("eight waits")
    });
    // The eighth bound is the cap of ten seconds; every second of it is hit.
    let seconds: BTreeSet<u64> = waits.map(|wait| wait.as_secs()).collect();
    assert_eq!(seconds, (0..10).collect());
}
