//! Everything that can stop a task before its checks.

use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;

use thiserror::Error;
use umberpond_model::InvalidName;
use umberpond_net::HttpClientError;

/// A task that could not be carried out.
#[derive(Debug, Error)]
pub enum XtaskError {
    /// A file or folder could not be read or written.
    #[error("the file {path} can't be used", path = path.display())]
    File {
        /// Its path.
        path: PathBuf,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A process could not be started.
    #[error("{name} can't be started")]
    Start {
        /// Name of the process.
        name: String,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A process could not be signalled or waited for.
    #[error("{name} can't be signalled or waited for")]
    Control {
        /// Name of the process.
        name: String,
        /// Why.
        #[source]
        source: io::Error,
    },
    /// A process did not say in time that it is ready.
    #[error("{name} did not get ready in time; its log is {log}", log = log.display())]
    NotReady {
        /// Name of the process.
        name: String,
        /// Its log file.
        log: PathBuf,
    },
    /// A process did not end in time.
    #[error("{name} did not end in time; its log is {log}", log = log.display())]
    NotEnded {
        /// Name of the process.
        name: String,
        /// Its log file.
        log: PathBuf,
    },
    /// A process ended with an error.
    #[error("{name} ended with {status}; its log is {log}", log = log.display())]
    Failed {
        /// Name of the process.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// Its log file.
        log: PathBuf,
    },
    /// An HTTP exchange with a process failed.
    #[error("{name} did not answer")]
    Http {
        /// Name of the process.
        name: String,
        /// Why.
        #[source]
        source: HttpClientError,
    },
    /// An HTTP exchange with a process took too long.
    #[error("{name} did not answer in time")]
    HttpTimeout {
        /// Name of the process.
        name: String,
    },
    /// A process answered something else than expected.
    #[error("{name} answered with status {status}")]
    BadAnswer {
        /// Name of the process.
        name: String,
        /// Status code of the answer.
        status: u16,
    },
    /// A request could not be put together.
    #[error("the request is malformed")]
    Request(#[from] http::Error),
    /// A text that should be JSON is not, or a value can't be written as JSON.
    #[error("bad JSON")]
    Json(#[from] serde_json::Error),
    /// A file is no TOML, or has other keys than expected.
    #[error("the file {path} can't be understood", path = path.display())]
    Unreadable {
        /// Its path.
        path: PathBuf,
        /// Why.
        #[source]
        source: Box<toml::de::Error>,
    },
    /// Files of the users would be written into the repository.
    #[error("{path} is inside the repository; choose a folder outside it", path = path.display())]
    InsideRepository {
        /// The folder asked for.
        path: PathBuf,
    },
    /// A table can't be written as TOML.
    #[error("bad TOML")]
    Toml(#[from] toml::ser::Error),
    /// A name breaks the naming rule.
    #[error("bad name")]
    Name(#[from] InvalidName),
    /// A condition did not come about in time.
    #[error("gave up waiting until {condition}")]
    TimedOut {
        /// What was waited for.
        condition: &'static str,
    },
    /// The task was interrupted by a signal.
    #[error("interrupted; every process was ended")]
    Interrupted,
}

impl XtaskError {
    /// A file error at `path`.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        move |source| Self::File { path, source }
    }
}
