//! Submissions and their results.

use std::time::Duration;

use thiserror::Error;
use umberpond_config::{Bundle, CheckReport};
use umberpond_model::{BundleName, SubmissionId, Version, VersionRecord};

use crate::ChainError;

/// The change that a submission makes to a bundle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Adds the bundle or replaces the one of the same name.
    Put(Bundle),
    /// Removes the bundle.
    Withdraw,
}

/// A submission that the chain contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// The version that it became.
    pub version: Version,
    /// The record of that version.
    pub record: VersionRecord,
}

/// A version that was accepted while this submission was being checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Winner {
    /// Version number.
    pub version: Version,
    /// Submission that became this version.
    pub submission: SubmissionId,
}

/// Why nothing was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotAcceptedReason {
    /// The platform did not respond in time, and the head was certainly not replaced.
    #[error("the platform did not respond in time")]
    PlatformUnavailable,
    /// Other submissions were accepted first in every attempt.
    #[error("other submissions were accepted first in each of {tries} attempts")]
    Contention {
        /// Number of attempts.
        tries: u32,
    },
    /// This node has reached its limit on concurrent submissions.
    #[error("this node has reached its limit on concurrent submissions")]
    Busy,
    /// The bundle exceeds the size limit.
    #[error("the bundle is {bytes} bytes long; at most {limit} are allowed")]
    TooLarge {
        /// Size of the bundle, in bytes.
        bytes: usize,
        /// Largest size, in bytes.
        limit: usize,
    },
    /// The chain can't be read or extended by this program.
    #[error("the chain can't be extended by this program")]
    Chain(#[source] ChainError),
}

/// Why a call did not get its submission accepted.
///
/// All variants except [`Self::Unknown`] concern the attempts of this call only: none of them replaced the
/// head, and none can still take effect. If an earlier call with the same id returned `Unknown`, that call
/// may still succeed until the chain contains the id; see [`Resolution`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// This bundle can't be joined with the active bundles.
    #[error("the configuration would be faulty")]
    Invalid(#[source] CheckReport),
    /// The bundle to withdraw is not active.
    #[error("the bundle `{bundle}` is not in force at version {version}")]
    NotInForce {
        /// The bundle.
        bundle: BundleName,
        /// The version that was checked.
        version: Version,
    },
    /// The submission passed the check, but another one was accepted first and makes this one faulty.
    #[error("version {} was accepted first, and with it the configuration would be faulty", winner.version)]
    Conflict {
        /// The newest version accepted since this submission passed the check.
        winner: Winner,
        /// The faults, with file and line.
        #[source]
        report: CheckReport,
    },
    /// The chain contains the id for another bundle or for the other kind of change.
    #[error("the submission id was used before, for version {version}")]
    IdReused {
        /// The version accepted under this id.
        version: Version,
    },
    /// The submission was abandoned.
    #[error("the submission was abandoned at version {version}")]
    Abandoned {
        /// The version that records it.
        version: Version,
    },
    /// Nothing was accepted.
    #[error("not accepted: {reason}")]
    NotAccepted {
        /// Why.
        reason: NotAcceptedReason,
        /// Delay before the next attempt.
        retry_after: Duration,
    },
    /// This submission may have replaced the head, or may still do so. Resolve it by its id.
    #[error("the outcome of submission {submission} is unknown")]
    Unknown {
        /// The id with which the outcome can be resolved.
        submission: SubmissionId,
    },
}

/// State of a submission according to the chain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// It was accepted as this version.
    Accepted(Version),
    /// It was abandoned at this version and can't be accepted any more.
    NotAccepted(Version),
    /// The chain does not contain it, or can't be read now. An attempt of any node may still be in flight.
    /// Submitting again with the same id or abandoning the submission determines the outcome.
    Unknown,
}

/// Result of abandoning a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Abandonment {
    /// The submission can't be accepted any more.
    Abandoned(Version),
    /// It had been accepted as this version.
    AlreadyAccepted(Version),
}

/// A failed abandonment. It implies nothing about the submission, which may have been accepted or may still
/// be; retry with the same id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AbandonError {
    /// The chain does not contain the abandonment, and this call can't add it later.
    #[error("not abandoned: {reason}")]
    NotAbandoned {
        /// Why.
        reason: NotAcceptedReason,
        /// Delay before the next attempt.
        retry_after: Duration,
    },
    /// The chain may contain the abandonment, now or later.
    #[error("whether submission {submission} is abandoned is unknown")]
    Unknown {
        /// The id with which the outcome can be resolved.
        submission: SubmissionId,
    },
}
