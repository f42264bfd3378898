//! Prints the table of the design note on endpoint choice: ways of choosing on the same schedules.
//!
//! `cargo run --release -p umberpond-balance --example balance_comparison [SECONDS]`

#[path = "../tests/support/mod.rs"]
mod support;

use support::comparison::{Fault, Scenario, Way, gridwell, run, tasmania};
use umberpond_balance::Strategy;
use umberpond_model::Millis;

const SEED: u64 = 20_260;

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(60);
    let length = Millis(seconds * 1_000);
    println!("| deployment | fault | way | p50 ms | p99 ms | evenness | connections | most at one |");
    println!("|---|---|---|---|---|---|---|---|");
    for (name, scenario) in [("gridwell", gridwell(length)), ("tasmania", tasmania(length))] {
        compare(name, &scenario, &ways(2));
    }
    let zonal = Scenario { zonal: true, ..gridwell(length) };
    compare("gridwell, zone first", &zonal, &[Way::Plain(Strategy::PowerOfTwoChoices)]);
    let large = Scenario { endpoints: 31, callers: 200, ..gridwell(length) };
    compare("31 endpoints, 200 callers", &large, &ways(8));
}

fn ways(aperture: usize) -> [Way; 5] {
    [
        Way::Plain(Strategy::RoundRobin),
        Way::Plain(Strategy::Random),
        Way::Plain(Strategy::PowerOfTwoChoices),
        Way::LocalLoadOnly,
        Way::Aperture(aperture),
    ]
}

fn compare(name: &str, scenario: &Scenario, ways: &[Way]) {
    for fault in [Fault::None, Fault::Slow, Fault::Misleading] {
        for way in ways {
            let figures = run(scenario, fault, *way, SEED);
            println!(
                "| {name} | {fault:?} | {way:?} | {:.1} | {:.1} | {:.2} | {} | {} |",
                figures.p50, figures.p99, figures.evenness, figures.connections, figures.most_connections
            );
        }
    }
}
