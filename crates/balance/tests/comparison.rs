//! The strategy in use is the better one where a back end is slow, and costs little where none is.

mod support;

use support::comparison::{Fault, Way, gridwell, run, tasmania};
use umberpond_balance::Strategy;
use umberpond_model::Millis;

const SEEDS: [u64; 2] = [1, 2];

#[test]
fn power_of_two_choices_beats_round_robin_and_random_beside_a_slow_back_end() {
    for scenario in [gridwell(Millis(30_000)), tasmania(Millis(30_000))] {
        for seed in SEEDS {
            let p99 = |fault, strategy| run(&scenario, fault, Way::Plain(strategy), seed).p99;
            let chosen = p99(Fault::Slow, Strategy::PowerOfTwoChoices);
            assert!(chosen < p99(Fault::Slow, Strategy::RoundRobin), "{seed}");
            assert!(chosen < p99(Fault::Slow, Strategy::Random), "{seed}");
            let (calm, round_robin) =
                (p99(Fault::None, Strategy::PowerOfTwoChoices), p99(Fault::None, Strategy::RoundRobin));
            assert!(calm < round_robin * 1.05, "{calm} against {round_robin}");
        }
    }
}
