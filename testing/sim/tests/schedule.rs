//! Schedules are reproducible from their seed and shrink to the shortest that still fails.

use umberpond_sim::schedule::{FaultKind, Schedule};

#[test]
fn the_same_seed_gives_the_same_schedule() {
    for seed in 0..50 {
        let schedule = Schedule::from_seed(seed, &FaultKind::ALL);
        assert_eq!(schedule, Schedule::from_seed(seed, &FaultKind::ALL));
        assert!(!schedule.faults.is_empty());
    }
    assert_ne!(Schedule::from_seed(1, &FaultKind::ALL), Schedule::from_seed(2, &FaultKind::ALL));
}

#[test]
fn a_failing_schedule_shrinks_to_the_fault_that_makes_it_fail() {
    let has_freeze =
        |schedule: &Schedule| schedule.faults.iter().any(|fault| fault.kind == FaultKind::Freeze);
    let schedule = (0..).map(|seed| Schedule::from_seed(seed, &FaultKind::ALL));
    let failing = schedule.into_iter().find(|schedule| schedule.faults.len() > 3 && has_freeze(schedule));
    let shrunk = failing.expect("some seed has a freeze").shrink(has_freeze);
    assert_eq!(shrunk.faults.len(), 1);
    assert!(shrunk.faults[0].duration.0 < 1_000);
}
