//! Tests of the limit that a shutdown sets for requests.

use super::*;

const fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[tokio::test(start_paused = true)]
async fn request_is_allowed_if_its_response_is_expected_well_before_the_end() {
    let now = Instant::now();
    let limit = ShutdownLimit { response_deadline: now + millis(4_000) };
    assert!(limit.allows(now, Duration::ZERO));
    assert!(limit.allows(now, millis(2_000)));
    assert!(!limit.allows(now, millis(2_001)));
    assert!(limit.allows(now + millis(2_000), millis(1_000)));
    assert!(!limit.allows(now + millis(2_000), millis(1_001)));
    assert!(!limit.allows(now + millis(5_000), millis(1)));
}
