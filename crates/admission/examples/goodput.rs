//! Prints the table of the design note on overload: goodput and recovery with and without protection.
//!
//! `cargo run --release -p umberpond-admission --example goodput [SECONDS]`

#[path = "../tests/support/mod.rs"]
mod support;

use support::goodput::{Protection, run};
use umberpond_model::Millis;

const SEED: u64 = 20_260;

fn main() {
    let seconds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    println!(
        "| load | budget | shedding | goodput | reporting | status | transaction | internal | attempts | recovery ms |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|");
    for load in [1.0, 2.0, 4.0, 10.0] {
        for (budget, shedding) in [(false, false), (true, false), (false, true), (true, true)] {
            let figures = run(load, Millis(seconds * 1_000), Protection { budget, shedding }, SEED);
            let [reporting, status, transaction, internal] = figures.answered;
            let recovery =
                figures.recovery_millis.map_or("not in 15 s".to_owned(), |millis| millis.to_string());
            println!(
                "| {load} | {budget} | {shedding} | {:.2} | {reporting:.2} | {status:.2} | {transaction:.2} | {internal:.2} | {:.2} | {recovery} |",
                figures.goodput, figures.attempts
            );
        }
    }
}
