//! Command line interface of `umberpond-sim`.

mod invariants;
mod output;

use std::path::PathBuf;
use std::process::ExitCode;

xflags::xflags! {
    /// Simulates umberpond in virtual time. A run is reproducible from its seed.
    cmd simulate {
        /// Runs the real daemon under fault schedules and checks every invariant.
        cmd invariants {
            /// Number of seeds (default 50).
            optional --seeds count: u64
            /// First seed (default 0).
            optional --first-seed seed: u64
            /// Checks only this invariant.
            optional --invariant name: String
            /// Injects only these kinds of fault, separated by commas.
            optional --fault names: String
            /// Number of parallel runs (default 1); does not affect the results.
            optional --jobs count: usize
            /// Writes the table to this file as JSON.
            optional --json file: PathBuf
        }

        /// Runs one seed and prints its trace.
        cmd replay {
            /// Seed of the run.
            required --seed seed: u64
            /// Kinds of fault that the seed was run with, separated by commas.
            optional --fault names: String
        }
    }
}

/// Exit code if an invariant was violated or the report could not be written.
pub const VIOLATION: u8 = 1;
/// Exit code for an invalid option value.
pub const USAGE: u8 = 2;

/// Runs the selected subcommand.
pub fn run(simulate: Simulate) -> ExitCode {
    match simulate.subcommand {
        SimulateCmd::Invariants(options) => invariants::run(&options),
        SimulateCmd::Replay(options) => invariants::replay(&options),
    }
}
