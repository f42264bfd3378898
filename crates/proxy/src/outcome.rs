//! Outcomes: what is known about a request when its answer leaves.

use http::HeaderValue;

/// What is known about a request. Travels in the header `umberpond-outcome` of every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The back end answered this request.
    Answered,
    /// It is known that the request did not run. It may be sent again.
    Rejected,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// The outcome as header text.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Rejected => "rejected",
            Self::Unknown => "unknown",
        }
    }

    /// The outcome as a header value.
    #[must_use]
    pub fn to_header(self) -> HeaderValue {
        HeaderValue::from_static(self.as_str())
    }

    /// Reads an outcome; `None` for any other text.
    #[must_use]
    pub fn from_header(value: &HeaderValue) -> Option<Self> {
        match value.as_bytes() {
            b"answered" => Some(Self::Answered),
            b"rejected" => Some(Self::Rejected),
            b"unknown" => Some(Self::Unknown),
            _ => None,
        }
    }
}
