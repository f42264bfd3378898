//! What a caller is told in the end.

use umberpond_model::Millis;

/// Final result of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The back end answered, and the caller has the whole answer.
    Answered,
    /// The request did not run; this is known for every attempt.
    Rejected {
        /// When the caller may try again.
        retry_after: Millis,
    },
    /// The request may or may not have run.
    Unknown,
}
