//! Why a process of hollow nodes ended early.

use std::io;
use std::path::PathBuf;

use thiserror::Error;
use umberpond_daemon::StartError;
use umberpond_model::InvalidName;
use umberpond_standins::program::ProgramError;

/// A process of hollow nodes that could not do its work.
#[derive(Debug, Error)]
pub enum HollowError {
    /// A file could not be read or written.
    #[error("the file {path} can't be used", path = path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// The plan is no plan, or the report can't be written as JSON.
    #[error("bad JSON")]
    Json(#[from] serde_json::Error),
    /// A made name breaks the naming rule.
    #[error("bad name")]
    Name(#[from] InvalidName),
    /// There are no regions, zones or services, or more nodes than addresses.
    #[error("the plan has no place for node {number}")]
    NoPlace {
        /// Number of the node.
        number: usize,
    },
    /// A node could not be started.
    #[error("node {number} can't be started")]
    Start {
        /// Number of the node.
        number: usize,
        /// Why.
        #[source]
        source: StartError,
    },
    /// Processor time and memory can't be read.
    #[error("the process's own figures can't be read")]
    Usage(#[source] io::Error),
    /// Signals or standard output can't be used.
    #[error("the program can't talk to its surroundings")]
    Program(#[from] ProgramError),
}
