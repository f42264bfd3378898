//! Errors of the tasks.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

use thiserror::Error;
use umberpond_model::InvalidName;
use umberpond_net::HttpClientError;

/// An error that keeps a task from running to its end.
#[derive(Debug, Error)]
pub enum XtaskError {
    /// A file or directory could not be read or written.
    #[error("can't read or write {path}", path = path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A process could not be started.
    #[error("can't start {name}")]
    Start {
        /// Name of the process.
        name: String,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A process could not be signalled or waited for.
    #[error("can't signal or wait for {name}")]
    ProcessControl {
        /// Name of the process.
        name: String,
        /// The cause.
        #[source]
        source: io::Error,
    },
    /// A process did not become ready, or did not print the expected output, in time.
    #[error("{name} did not become ready in time; see its log {log}", log = log.display())]
    NotReady {
        /// Name of the process.
        name: String,
        /// Its log file.
        log: PathBuf,
    },
    /// A process did not exit in time.
    #[error("{name} did not exit in time; see its log {log}", log = log.display())]
    NotExited {
        /// Name of the process.
        name: String,
        /// Its log file.
        log: PathBuf,
    },
    /// A process exited without success.
    #[error("{name} failed with {status}; see its log {log}", log = log.display())]
    Failed {
        /// Name of the process.
        name: String,
        /// Its exit status.
        status: ExitStatus,
        /// Its log file.
        log: PathBuf,
    },
    /// An HTTP exchange with a process failed.
    #[error("the HTTP request to {name} failed")]
    Http {
        /// Name of the process.
        name: String,
        /// The cause.
        #[source]
        source: HttpClientError,
    },
    /// An HTTP exchange with a process took too long.
    #[error("the HTTP request to {name} timed out")]
    HttpTimeout {
        /// Name of the process.
        name: String,
    },
    /// A process responded with an unexpected status code.
    #[error("{name} responded with status {status}")]
    UnexpectedStatus {
        /// Name of the process.
        name: String,
        /// Status code of the response.
        status: u16,
    },
    /// An HTTP request could not be built.
    #[error("can't build the HTTP request")]
    Request(#[from] http::Error),
    /// A text could not be parsed as JSON, or a value could not be serialized to it.
    #[error("invalid JSON")]
    Json(#[from] serde_json::Error),
    /// A file is not valid TOML, or has unexpected keys.
    #[error("can't parse {path}", path = path.display())]
    InvalidToml {
        /// Its path.
        path: PathBuf,
        /// The cause.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// The output directory is inside the repository, where the users' files must not be written.
    #[error("{path} is inside the repository; choose a directory outside it", path = path.display())]
    InsideRepository {
        /// The requested directory.
        path: PathBuf,
    },
    /// A value could not be serialized to TOML.
    #[error("can't serialize TOML")]
    Toml(#[from] toml::ser::Error),
    /// A name is not valid.
    #[error("invalid name")]
    Name(#[from] InvalidName),
    /// A condition was not met in time, or a required resource is missing.
    #[error("timed out waiting until {condition}")]
    TimedOut {
        /// The condition.
        condition: &'static str,
    },
    /// The task was interrupted by SIGINT or SIGTERM.
    #[error("interrupted; all child processes are killed")]
    Interrupted,
}

impl XtaskError {
    /// Returns a function that wraps an I/O error on `path`.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::File { path, source }
    }
}
