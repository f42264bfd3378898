//! `umberpond-sim`: invariants under faults, and replay of a seed.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run(cli::Simulate::from_env_or_exit())
}
