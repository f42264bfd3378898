//! Faults that can be injected into a request.

use std::time::Duration;

use crate::ObjectKind;

/// The operation of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// Read one object.
    Get,
    /// Read a page of names.
    List,
    /// Create an object.
    Create,
    /// Replace an object if it has the expected version.
    Put,
    /// Delete an object if it has the expected version.
    Delete,
    /// Open a watch.
    Watch,
}

/// Description of a request that is passed to a fault plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestInfo {
    /// Number of requests of the client before this one.
    pub index: u64,
    /// Operation of the request.
    pub verb: Verb,
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object; empty for lists and watches.
    pub name: String,
}

/// The fault injected into a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    None,
    /// The platform can't be reached: the request is not sent.
    NotSent,
    /// The platform refuses the request because of overload.
    Refused {
        /// The `Retry-After` delay.
        retry_after: Option<Duration>,
    },
    /// The request is lost in transit: it has no effect, but the caller only knows that the outcome is
    /// unknown.
    LostRequest,
    /// The request takes effect, and its response is lost.
    LostResponse,
    /// The caller gives up, and the change arrives at the next call of
    /// [`super::MemoryPlatform::release_delayed`].
    Delayed,
    /// The request takes effect and completes after this time.
    Slow(Duration),
}
