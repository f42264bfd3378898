//! Submissions and their answers.

use std::time::Duration;

use thiserror::Error;
use umberpond_config::{Bundle, CheckReport};
use umberpond_model::{BundleName, SubmissionId, Version, VersionRecord};

use crate::ChainError;

/// What a submission does with the bundle that it names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Puts the bundle in force, in place of one of the same name.
    Put(Bundle),
    /// Withdraws the bundle.
    Withdraw,
}

/// A submission that stands in the chain.
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
    /// Its position.
    pub version: Version,
    /// Its submission.
    pub submission: SubmissionId,
}

/// Why nothing was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotAcceptedReason {
    /// The platform did not answer in time, and the head was surely not moved.
    #[error("the platform did not answer in time")]
    PlatformUnavailable,
    /// Other submissions won each try.
    #[error("other submissions won every one of {tries} tries")]
    Contention {
        /// Tries made.
        tries: u32,
    },
    /// This node handles as many submissions as it may.
    #[error("this node handles as many submissions as it may")]
    Busy,
    /// The bundle is over the size limit.
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

/// A submission that this call did not get accepted.
///
/// All variants but [`Self::Unknown`] speak of the tries of this call: none of them moved the head, and none can
/// still arrive. If an earlier call with the same id ended in `Unknown`, that call may yet succeed until the id
/// stands in the chain; see [`Resolution`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SubmitError {
    /// The bundles in force and this one do not join.
    #[error("the configuration would be faulty")]
    Invalid(#[source] CheckReport),
    /// The bundle to withdraw is not in force.
    #[error("the bundle `{bundle}` is not in force at version {version}")]
    NotInForce {
        /// The bundle.
        bundle: BundleName,
        /// The version looked at.
        version: Version,
    },
    /// The submission passed the check, another was accepted first, and together with it this one is faulty.
    #[error("version {} was accepted first, and with it the configuration would be faulty", winner.version)]
    Conflict {
        /// The newest version accepted since this submission passed the check.
        winner: Winner,
        /// The faults, with file and line.
        #[source]
        report: CheckReport,
    },
    /// The id stands in the chain for another bundle, or for putting where this one withdraws, or the reverse.
    #[error("the submission id was used before, for version {version}")]
    IdReused {
        /// The version that has the id.
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
        /// When to try again.
        retry_after: Duration,
    },
    /// The head may have been moved by this submission, or may yet be. Resolve it by its id.
    #[error("the outcome of submission {submission} is unknown")]
    Unknown {
        /// The id to ask with.
        submission: SubmissionId,
    },
}

/// What the chain says about a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// It is accepted as this version.
    Accepted(Version),
    /// It is not accepted and never will be: it was abandoned at this version.
    NotAccepted(Version),
    /// It does not stand in the chain (or the chain can't be read now). A try may still be on its way, from
    /// whatever node it was given to. Submit again with the same id, or abandon it: both settle it.
    Unknown,
}

/// Outcome of abandoning a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Abandonment {
    /// The submission can't be accepted any more.
    Abandoned(Version),
    /// It had been accepted as this version.
    AlreadyAccepted(Version),
}

/// An abandonment that failed. It says nothing of the submission, which may be accepted or may yet be; ask again
/// with the same id.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum AbandonError {
    /// The abandonment is not in the chain, and nothing will come of this call.
    #[error("not abandoned: {reason}")]
    NotAbandoned {
        /// Why.
        reason: NotAcceptedReason,
        /// When to try again.
        retry_after: Duration,
    },
    /// The abandonment may be in the chain, or may yet be.
    #[error("whether submission {submission} is abandoned is unknown")]
    Unknown {
        /// The id to ask with.
        submission: SubmissionId,
    },
}
