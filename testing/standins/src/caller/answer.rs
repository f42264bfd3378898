//! What a caller was told of each call.

use std::fmt;

use serde::{Deserialize, Serialize};
use umberpond_model::ServiceName;

/// What became of a call, as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The whole answer to this very call came.
    Answered,
    /// It was said that the call did not run, or it was never sent.
    Rejected,
    /// Nobody could say whether the call ran.
    Unknown,
    /// An answer began and broke off, and the caller could see that it did.
    Truncated,
    /// An answer ended cleanly, but was not the whole answer to this call.
    WrongAnswer,
}

impl fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Answered => "answered",
            Self::Rejected => "rejected",
            Self::Unknown => "unknown",
            Self::Truncated => "truncated",
            Self::WrongAnswer => "wrong answer",
        })
    }
}

/// The record of one call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The caller's own key of the call, part of its path.
    pub key: String,
    /// Path and query.
    pub path: String,
    /// Service called.
    pub service: ServiceName,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// Request id that the answer named.
    pub request_id: Option<String>,
    /// What became of it.
    pub outcome: Outcome,
    /// Status code, if an answer began.
    pub status: Option<u16>,
    /// When the call was due, in milliseconds since the caller started.
    pub due_millis: u64,
    /// Time from when the call was due until its end, in microseconds.
    pub latency_micros: u64,
    /// Node that served it, as the answer says.
    pub served_by: Option<String>,
    /// Locality that served it, as the answer says.
    pub locality: Option<String>,
    /// Version of the configuration under which it was routed, as the answer says.
    pub config_version: Option<String>,
}
