//! What follows from a report about the back end.

use umberpond_forwarding::BackEnd;
use umberpond_model::BackEndProcess;

/// Why a back end accepts no new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// It announced that it is draining.
    Draining,
    /// It withdrew itself because it is shutting down.
    Withdrawn,
    /// It said in a response that it is about to shut down.
    Leaving,
    /// An announcement tells the start time of the process that has departed.
    Identified,
    /// An earlier process of this node has published that it is draining.
    Remembered,
}

impl CloseReason {
    /// The reason as text, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Draining => "the back end announced that it is draining",
            Self::Withdrawn => "the back end withdrew itself",
            Self::Leaving => "a response says that the back end is about to shut down",
            Self::Identified => "an announcement tells when the back end that has departed was started",
            Self::Remembered => "an earlier process of this node has published that the back end is draining",
        }
    }
}

/// Why an announcement has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IgnoreReason {
    /// Its process has ended.
    Ended,
    /// Its process started before the current one, which is alive.
    StartedEarlier,
    /// A later announcement of the same process has arrived before.
    Outdated,
    /// Its process has announced before that it is leaving.
    Leaving,
    /// A process of another identity is in service; a health check has to find the announced one first.
    OtherIdentity,
}

impl IgnoreReason {
    /// The reason as text, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Ended => "its process has ended",
            Self::StartedEarlier => "its process started before the current one",
            Self::Outdated => "a later announcement has arrived before",
            Self::Leaving => "its process is leaving",
            Self::OtherIdentity => "a back end of another identity is in service",
        }
    }
}

/// Action that the caller has to take after an event of the back end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// No action.
    None,
    /// Accept new requests for this back end.
    Open(BackEnd),
    /// Accept no new requests, for this reason.
    Close(CloseReason),
    /// Check the health of the back end before accepting new requests.
    Confirm(BackEnd),
    /// Check which back end answers, this one or the current one, which goes on accepting requests meanwhile.
    Identify(BackEnd),
}

/// An announcement that had no effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IgnoredAnnouncement {
    /// Its process.
    pub process: BackEndProcess,
    /// The process that counted as the current one.
    pub current: Option<BackEndProcess>,
    /// Why it had no effect.
    pub reason: IgnoreReason,
}
