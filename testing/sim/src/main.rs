//! `umberpond-sim`: invariants under faults, replay of a seed, and the scale run.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(cli::Simulate::from_env_or_exit())
}
