//! Positions in the version chain and identifiers of submissions.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use bitcode::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Position in the chain of accepted configurations; 0 is the empty configuration.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl Version {
    /// The empty configuration at the start of every chain.
    pub const GENESIS: Self = Self(0);

    /// The version that follows this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for Version {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

/// Identifier of a submission, chosen at random by the operator's client. If the response is lost, the client
/// uses it to look up the outcome.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct SubmissionId(pub u128);

impl fmt::Display for SubmissionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl fmt::Debug for SubmissionId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for SubmissionId {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        u128::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for SubmissionId {
    type Error = ParseIntError;

    fn try_from(text: String) -> Result<Self, ParseIntError> {
        text.parse()
    }
}

impl From<SubmissionId> for String {
    fn from(id: SubmissionId) -> String {
        id.to_string()
    }
}
