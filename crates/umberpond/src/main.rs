//! The `umberpond` binary; `umberpond --help` lists its subcommands.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main().into()
}
