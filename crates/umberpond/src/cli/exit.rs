//! Exit codes. They are part of the interface: scripts rest on them.

use std::process::ExitCode;

/// How a subcommand ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Ok = 0,
    /// Refused: faults were found, a submission clashes, or a replay disagrees. Nothing changed.
    Refused = 1,
    /// The command line or the settings are faulty. Nothing was started.
    Usage = 2,
    /// Not accepted: nothing changed, and the same can be tried again.
    NotAccepted = 3,
    /// The outcome is unknown: ask with `umberpond submission ID`.
    Unknown = 4,
    /// The node could not be reached, or answered something else than expected. Nothing was sent that changes anything.
    Unreachable = 5,
    /// Accepted, but not in force everywhere within `--wait`.
    NotInForce = 6,
    /// A node ended against plan, or had to cut requests to leave.
    Cut = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
