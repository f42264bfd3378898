//! Back ends of unequal speed, of which some are slow for a moment, replayed with several callers' nodes whose news is old.

mod replay;

use std::time::Duration;

use replay::{Load, Tally, play};
use umberpond_selection::SamplingSettings;

/// Work that comes, as a share of what all slots can do at their usual speed.
const CALM: f64 = 0.33;
const BUSY: f64 = 0.6;
const FULL: f64 = 1.2;
/// Two endpoints are drawn, all with the same weight.
const EVEN_DRAW: SamplingSettings = SamplingSettings { count: 2, uneven_count: 2, speed_power: 0.0 };
/// Part of the requests by which two ways may differ where neither is meant to be better: chance alone makes up less.
const TOLERANCE: f64 = 0.005;

const fn load(share: f64) -> Load {
    Load {
        share,
        speeds: [0.5, 1.0, 1.0, 1.5],
        has_spells: false,
        tells: false,
        reaches_callers: false,
        news_every: Duration::from_millis(300),
        draw: EVEN_DRAW,
        seed: 0,
    }
}

/// What became of the requests over some seeds.
fn play_seeds(load: Load, seeds: u64) -> Tally {
    let playing = (1..=seeds).map(|seed| std::thread::spawn(move || play(Load { seed, ..load })));
    let playing: Vec<_> = playing.collect();
    let tallies = playing.into_iter().map(|playing| playing.join().expect("it is played to its end"));
    tallies.fold(Tally::default(), Tally::plus)
}

fn is_no_less(after: u32, before: u32) -> bool {
    f64::from(after) >= f64::from(before) * (1.0 - TOLERANCE)
}

/// With a third of the slots in use, two drawn at random are now and then both slow.
#[test]
fn in_a_calm_half_as_many_answers_are_late_though_another_back_end_was_free() {
    let before = play_seeds(load(CALM), 12);
    let after = play_seeds(Load { draw: SamplingSettings::BY_SPEED, ..load(CALM) }, 12);
    assert!(after.avoidable * 2 <= before.avoidable, "{before:?}, {after:?}");
    assert!(after.late < before.late && after.refused <= before.refused + 5, "{before:?}, {after:?}");
}

/// With more work than the slots can do, each slot counts alike.
#[test]
fn under_more_work_than_can_be_done_as_many_requests_are_in_time() {
    let before = play_seeds(load(FULL), 4);
    let after = play_seeds(Load { draw: SamplingSettings::BY_SPEED, ..load(FULL) }, 4);
    assert!(is_no_less(after.in_time, before.in_time), "{before:?}, {after:?}");
}

/// The nodes beside the back ends refuse what would be late there, and callers' nodes go by what is told while it is fresh.
#[test]
fn reading_how_slow_a_back_end_is_spares_a_third_of_the_late_answers_that_another_had_given_in_time() {
    let silent = Load { has_spells: true, draw: SamplingSettings::BY_SPEED, ..load(BUSY) };
    let before = play_seeds(silent, 4);
    let after = play_seeds(Load { tells: true, reaches_callers: true, ..silent }, 4);
    assert!(after.avoidable * 3 <= before.avoidable * 2, "{before:?}, {after:?}");
    assert!(after.late < before.late && after.refused <= before.refused, "{before:?}, {after:?}");
}

/// Also of those that no other back end would have answered in time as it stood when they were sent.
#[test]
fn reading_how_slow_a_back_end_is_spares_a_third_of_all_late_answers() {
    let silent = Load { has_spells: true, draw: SamplingSettings::BY_SPEED, ..load(BUSY) };
    let before = play_seeds(silent, 4);
    let after = play_seeds(Load { tells: true, reaches_callers: true, ..silent }, 4);
    assert!(after.late * 3 <= before.late * 2, "{before:?}, {after:?}");
}

#[test]
fn under_more_work_than_can_be_done_reading_it_costs_no_answer_in_time() {
    let silent = Load { has_spells: true, draw: SamplingSettings::BY_SPEED, ..load(FULL) };
    let before = play_seeds(silent, 4);
    let after = play_seeds(Load { tells: true, reaches_callers: true, ..silent }, 4);
    assert!(after.late < before.late, "{before:?}, {after:?}");
    assert!(is_no_less(after.in_time, before.in_time), "{before:?}, {after:?}");
}

/// Callers' nodes that are cut off from the news of slow back ends go by the means; the nodes beside the back ends still refuse.
#[test]
fn without_fresh_news_at_the_callers_the_refusals_alone_spare_late_answers() {
    let silent = Load { has_spells: true, draw: SamplingSettings::BY_SPEED, ..load(BUSY) };
    let before = play_seeds(silent, 4);
    let after = play_seeds(Load { tells: true, ..silent }, 4);
    assert!(after.late < before.late && after.slowed > 0, "{before:?}, {after:?}");
    assert!(is_no_less(after.in_time, before.in_time), "{before:?}, {after:?}");
}
