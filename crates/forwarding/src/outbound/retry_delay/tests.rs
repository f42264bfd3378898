//! Tests of the retry delay for callers whose tenant is at its quota.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::delay_until_token;

/// Guards against callers that are refused at the same moment, with little time left, all retrying at once or
/// before a token is available.
#[test]
fn retries_over_quota_are_spread_and_not_earlier_than_the_next_token() {
    let mut random = SmallRng::seed_from_u64(1);
    let (left, next_token_in) = (Duration::from_millis(300), Duration::from_millis(200));
    let mut delays: Vec<Duration> =
        (0..100).map(|_| delay_until_token(left, next_token_in, &mut random)).collect();
    delays.sort();
    assert!(delays[0] >= next_token_in);
    assert!(delays[99] <= next_token_in * 2);
    assert!(delays[90] - delays[10] >= next_token_in / 2, "{delays:?}");
}
