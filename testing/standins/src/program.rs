//! What the stand-in programs share: the ready line, the end after a set time or a signal, and their errors.

use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;
use umberpond_model::InvalidName;

use crate::caller::InvalidPlan;

/// Longest time that a stand-in program runs unless told otherwise, in seconds.
pub const DEFAULT_SECONDS: u64 = 600;

/// Why a stand-in program ended early.
#[derive(Debug, Error)]
pub enum ProgramError {
    /// The address is not on the loopback interface; the stand-ins take no other.
    #[error("{address} is not a loopback address")]
    NotLoopback {
        /// The address asked for.
        address: SocketAddr,
    },
    /// Listening, or writing to standard output, failed.
    #[error("input or output failed")]
    Io(#[from] io::Error),
    /// A name among the flags breaks the naming rule.
    #[error("bad name")]
    Name(#[from] InvalidName),
    /// A file could not be read or written.
    #[error("the file {path} can't be used", path = path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A file, or a line to be printed, is no JSON of the right form.
    #[error("bad JSON")]
    Json(#[from] serde_json::Error),
    /// The load can't be made.
    #[error("the plan can't be carried out")]
    Plan(#[from] InvalidPlan),
}

/// The one line that a server prints when it takes connections.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyLine {
    /// Where it listens.
    pub address: SocketAddr,
}

/// Prints a value as one line of JSON and flushes it.
///
/// # Errors
/// Fails when standard output is closed.
pub fn print_line<T: Serialize>(value: &T) -> Result<(), ProgramError> {
    let mut output = io::stdout().lock();
    serde_json::to_writer(&mut output, value)?;
    output.write_all(b"\n")?;
    output.flush()?;
    Ok(())
}

/// Refuses every address that is not on the loopback interface.
///
/// # Errors
/// [`ProgramError::NotLoopback`] for any other address.
pub fn check_loopback(address: SocketAddr) -> Result<SocketAddr, ProgramError> {
    if address.ip().is_loopback() { Ok(address) } else { Err(ProgramError::NotLoopback { address }) }
}

/// Waits for SIGTERM, SIGINT or the end of `seconds`, whichever comes first.
///
/// # Errors
/// Fails when signals can't be received.
pub async fn wait_for_end(seconds: u64) -> Result<(), ProgramError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        biased;
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = sleep(Duration::from_secs(seconds)) => {}
    }
    Ok(())
}

/// Turns a program's result into its exit code and prints the error with its causes.
pub fn exit_code(result: Result<(), ProgramError>) -> ExitCode {
    let Err(error) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("error: {error}");
    let mut cause = std::error::Error::source(&error);
    while let Some(inner) = cause {
        eprintln!("  caused by: {inner}");
        cause = inner.source();
    }
    ExitCode::FAILURE
}
