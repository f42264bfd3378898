//! When callers of tenants at their limits come back.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::come_back_with_token;

/// Callers that are refused at the same moment and wait for little longer.
#[test]
fn callers_come_back_after_the_next_token_and_not_together() {
    let mut random = SmallRng::seed_from_u64(1);
    let (left, next_token_in) = (Duration::from_millis(300), Duration::from_millis(200));
    let mut times: Vec<Duration> =
        (0..100).map(|_| come_back_with_token(left, next_token_in, &mut random)).collect();
    times.sort();
    assert!(times[0] >= next_token_in);
    assert!(times[99] <= next_token_in * 2);
    assert!(times[90] - times[10] >= next_token_in / 2, "{times:?}");
}
