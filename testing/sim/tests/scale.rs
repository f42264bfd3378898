//! A calm scale run stays within its bounds, in virtual time and counts only.

use umberpond_model::Millis;
use umberpond_sim::scale::{Scenario, run};

/// Nodes of the run: each zone gets twelve, so that all roles occur.
const NODES: usize = 180;
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
    // Every node says hello when it starts; nobody starts in the measured time but a few restarted ones.
    let hellos = report.messages.get("hello").map_or(0, |count| count.messages);
    assert!(hellos <= 60, "links are not stable: {hellos} hellos\n{report}");
    assert!(report.most_platform_readers <= MOST_READERS, "{report}");
}
