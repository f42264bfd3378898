//! A calm scale run stays within its bounds, in virtual time and counts only.

use umberpond_model::Millis;
use umberpond_sim::scale::{Scenario, run};

/// Nodes of the run: each zone gets twelve, so that all roles occur.
const NODES: usize = 180;
/// Links that the few nodes restarted in the measured time may open or close.
const MOST_STARTS: u64 = 60;
/// Each of 30 readers tries its five seeds once in 30 s; split views of a zone find each other that way.
const SEED_TRIES: u64 = 30 * 5;
/// Readers that the platform may meet at once.
const MOST_READERS: usize = 40;

#[test]
fn a_calm_run_stays_within_its_bounds() {
    let mut scenario = Scenario::planned(NODES, 1);
    scenario.services = 60;
    scenario.measured = Millis(30_000);
    let report = run(&scenario);
    assert!(report.holds(), "{report}");
    assert!(report.versions > 100, "too few versions to prove anything\n{report}");
    assert!(report.convergence.p99 <= 2_000, "{report}");
    let count = |kind: &str| report.messages.get(kind).map_or(0, |count| count.messages);
    assert!(count("hello") <= MOST_STARTS + SEED_TRIES, "links are not stable\n{report}");
    assert!(count("leaving") <= MOST_STARTS, "links are replaced again and again\n{report}");
    assert!(count("request-transfer") <= MOST_STARTS, "content is asked for again and again\n{report}");
    assert!(report.most_platform_readers <= MOST_READERS, "{report}");
}
