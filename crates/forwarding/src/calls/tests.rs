//! Tests the properties that calls inherit from their runs.

use std::time::Duration;

use tokio::time::Instant;
use umberpond_scheduling::CallLevel;

use super::{inherited_priority, inherited_timeout};
use crate::retries::RunContext;

fn run(priority: u8, deadline: Instant) -> RunContext {
    RunContext { priority, level: CallLevel::FIRST, tenant: None, deadline }
}

#[tokio::test(start_paused = true)]
async fn call_inherits_the_priority_and_deadline_of_its_run() {
    let now = Instant::now();
    let own = Duration::from_millis(400);
    let run_of = |priority, left| run(priority, now + Duration::from_millis(left));
    assert_eq!(inherited_priority(9, Some(&run_of(1, 100))), 1);
    assert_eq!(inherited_priority(0, Some(&run_of(1, 100))), 0, "its own rank is more urgent");
    assert_eq!(inherited_priority(9, None), 9);
    assert_eq!(inherited_timeout(own, now, Some(&run_of(1, 100))), Duration::from_millis(100));
    assert_eq!(inherited_timeout(own, now, Some(&run_of(1, 900))), own);
    assert_eq!(inherited_timeout(own, now, None), own);
}
