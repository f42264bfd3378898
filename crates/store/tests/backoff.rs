//! Tests of the backoff's bounds and of the spread of its delays over many processes.

use std::collections::BTreeSet;
use std::time::Duration;

use quickcheck::quickcheck;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use umberpond_store::{Backoff, BackoffSettings};

const SETTINGS: BackoffSettings =
    BackoffSettings { base: Duration::from_millis(100), cap: Duration::from_secs(10) };

quickcheck! {
    fn a_delay_is_never_below_retry_after_or_above_the_bound(
        seed: u64,
        failures: u8,
        retry_after_seconds: Option<u8>
    ) -> bool {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut backoff = Backoff::new(SETTINGS);
        let retry_after = retry_after_seconds.map(|seconds| Duration::from_secs(seconds.into()));
        (0..=failures).all(|failure| {
            let delay = backoff.next_wait(&mut rng, retry_after);
            let bound = (SETTINGS.base * 2_u32.pow(u32::from(failure).min(16))).min(SETTINGS.cap);
            let retry_after = retry_after.unwrap_or_default();
            delay >= retry_after && delay <= retry_after + bound
        })
    }
}

#[test]
fn delays_of_many_processes_are_spread_over_the_whole_range() {
    let delays = (0..1_000).map(|seed| {
        let mut backoff = Backoff::new(SETTINGS);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        (0..8).map(|_| backoff.next_wait(&mut rng, None)).last().expect("eight waits")
    });
    // The eighth bound is the cap of ten seconds; a delay falls into every second of it.
    let seconds: BTreeSet<u64> = delays.map(|delay| delay.as_secs()).collect();
    assert_eq!(seconds, (0..10).collect());
}
