//! Under overload the gate keeps goodput up, sheds by class, and recovers; the budget bounds what retries add.

mod support;

use support::goodput::{Figures, Protection, run};
use umberpond_model::Millis;

const LENGTH: Millis = Millis(2_000);
const SEEDS: [u64; 2] = [1, 2];
const BOTH: Protection = Protection { budget: true, shedding: true };

fn figures(load: f64, seed: u64) -> Figures {
    run(load, LENGTH, BOTH, seed)
}

#[test]
fn goodput_holds_and_classes_are_shed_in_order() {
    for seed in SEEDS {
        for load in [2.0, 4.0, 10.0] {
            let figures = figures(load, seed);
            let [reporting, status, transaction, internal] = figures.answered;
            assert!(figures.goodput > 0.9, "{load}x: {figures:?}");
            assert!(internal > 0.9, "{load}x: {figures:?}");
            assert!(reporting <= status && status <= transaction && transaction <= internal, "{figures:?}");
            assert!(figures.attempts < 1.2, "{load}x: {figures:?}");
            assert!(figures.recovery_millis.is_some_and(|millis| millis <= 500), "{load}x: {figures:?}");
        }
        assert!(figures(1.0, seed).answered[3] > 0.99);
    }
}

#[test]
fn the_bounds_fail_without_protection() {
    let figures = run(2.0, LENGTH, Protection { budget: false, shedding: false }, SEEDS[0]);
    assert!(figures.goodput < 0.9 && figures.attempts > 1.2, "{figures:?}");
    assert!(figures.recovery_millis.is_none_or(|millis| millis > 500), "{figures:?}");
}
