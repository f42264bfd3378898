//! Simulates back ends of unequal speed, some of which are temporarily slow, and calling nodes with outdated
//! load reports.

mod simulation;

use std::time::Duration;

use simulation::{Outcomes, Scenario, simulate};
use umberpond_selection::SamplingSettings;

/// Offered load as a share of the capacity of all slots at their usual speed.
const LOW_LOAD: f64 = 0.33;
const HIGH_LOAD: f64 = 0.6;
const OVERLOAD: f64 = 1.2;
/// Samples two endpoints with equal weights.
const UNIFORM_SAMPLING: SamplingSettings =
    SamplingSettings { count: 2, uneven_count: 2, speed_exponent: 0.0 };
/// Relative difference that is tolerated where neither variant should be better: chance accounts for less.
const TOLERANCE: f64 = 0.005;

const fn scenario(share: f64) -> Scenario {
    Scenario {
        share,
        speeds: [0.5, 1.0, 1.0, 1.5],
        has_slow_intervals: false,
        reports_slowdown: false,
        callers_get_slowdown: false,
        report_interval: Duration::from_millis(300),
        sampling: UNIFORM_SAMPLING,
        seed: 0,
    }
}

/// Outcomes of the requests over some seeds.
fn simulate_seeds(scenario: Scenario, seeds: u64) -> Outcomes {
    let threads = (1..=seeds).map(|seed| std::thread::spawn(move || simulate(Scenario { seed, ..scenario })));
    let threads: Vec<_> = threads.collect();
    let outcomes =
        threads.into_iter().map(|threads| threads.join().expect("the simulation should not panic"));
    outcomes.fold(Outcomes::default(), Outcomes::add)
}

fn is_no_less(after: u32, before: u32) -> bool {
    f64::from(after) >= f64::from(before) * (1.0 - TOLERANCE)
}

/// With a third of the slots in use, both of two endpoints sampled at random are sometimes slow.
#[test]
fn sampling_by_speed_halves_avoidable_late_responses_under_low_load() {
    let before = simulate_seeds(scenario(LOW_LOAD), 12);
    let after = simulate_seeds(Scenario { sampling: SamplingSettings::BY_SPEED, ..scenario(LOW_LOAD) }, 12);
    assert!(after.avoidable * 2 <= before.avoidable, "{before:?}, {after:?}");
    assert!(after.late < before.late && after.refused <= before.refused + 5, "{before:?}, {after:?}");
}

/// With more load than the slots can process, all slots count the same.
#[test]
fn sampling_by_speed_loses_no_timely_responses_under_overload() {
    let before = simulate_seeds(scenario(OVERLOAD), 4);
    let after = simulate_seeds(Scenario { sampling: SamplingSettings::BY_SPEED, ..scenario(OVERLOAD) }, 4);
    assert!(is_no_less(after.in_time, before.in_time), "{before:?}, {after:?}");
}

/// The nodes in front of the back ends refuse requests that would be late there, and the calling nodes use
/// the reported slowdown while it is fresh.
#[test]
fn reported_slowdowns_avoid_a_third_of_avoidable_late_responses() {
    let without_reports =
        Scenario { has_slow_intervals: true, sampling: SamplingSettings::BY_SPEED, ..scenario(HIGH_LOAD) };
    let before = simulate_seeds(without_reports, 4);
    let after =
        simulate_seeds(Scenario { reports_slowdown: true, callers_get_slowdown: true, ..without_reports }, 4);
    assert!(after.avoidable * 3 <= before.avoidable * 2, "{before:?}, {after:?}");
    assert!(after.late < before.late && after.refused <= before.refused, "{before:?}, {after:?}");
}

/// Includes late responses that no other back end could have given in time in its state when the request was
/// sent.
#[test]
fn reported_slowdowns_avoid_a_third_of_all_late_responses() {
    let without_reports =
        Scenario { has_slow_intervals: true, sampling: SamplingSettings::BY_SPEED, ..scenario(HIGH_LOAD) };
    let before = simulate_seeds(without_reports, 4);
    let after =
        simulate_seeds(Scenario { reports_slowdown: true, callers_get_slowdown: true, ..without_reports }, 4);
    assert!(after.late * 3 <= before.late * 2, "{before:?}, {after:?}");
}

#[test]
fn reported_slowdowns_lose_no_timely_responses_under_overload() {
    let without_reports =
        Scenario { has_slow_intervals: true, sampling: SamplingSettings::BY_SPEED, ..scenario(OVERLOAD) };
    let before = simulate_seeds(without_reports, 4);
    let after =
        simulate_seeds(Scenario { reports_slowdown: true, callers_get_slowdown: true, ..without_reports }, 4);
    assert!(after.late < before.late, "{before:?}, {after:?}");
    assert!(is_no_less(after.in_time, before.in_time), "{before:?}, {after:?}");
}

/// Calling nodes that do not receive the slowdown of back ends use the mean service times; the nodes in front
/// of the back ends still refuse requests.
#[test]
fn refusals_alone_avoid_late_responses_if_callers_get_no_slowdowns() {
    let without_reports =
        Scenario { has_slow_intervals: true, sampling: SamplingSettings::BY_SPEED, ..scenario(HIGH_LOAD) };
    let before = simulate_seeds(without_reports, 4);
    let after = simulate_seeds(Scenario { reports_slowdown: true, ..without_reports }, 4);
    assert!(after.late < before.late && after.refused_as_slow > 0, "{before:?}, {after:?}");
    assert!(is_no_less(after.in_time, before.in_time), "{before:?}, {after:?}");
}
