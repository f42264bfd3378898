//! Exit codes. They are part of the interface: scripts depend on them.

use std::process::ExitCode;

/// Exit code of a subcommand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Success.
    Ok = 0,
    /// Refused: faults were found, a submission conflicts, or a replay differs. Nothing changed.
    Refused = 1,
    /// The command line or the settings are invalid. Nothing was started.
    Usage = 2,
    /// Not accepted: nothing changed, and a retry may succeed.
    NotAccepted = 3,
    /// The outcome is unknown: query it with `umberpond submission ID`.
    Unknown = 4,
    /// The node could not be reached, or sent an unexpected response. No change was requested.
    Unreachable = 5,
    /// Accepted, but not active on all nodes within `--wait`.
    NotActive = 6,
    /// A node stopped unexpectedly, or aborted requests in flight when it stopped.
    Aborted = 7,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
