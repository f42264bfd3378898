//! `umberpond-sim`: checks invariants under faults and replays single seeds.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(cli::Simulate::from_env_or_exit())
}
