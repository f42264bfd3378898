//! Faults of one request.

use std::time::Duration;

use crate::ObjectKind;

/// What a request does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verb {
    /// Read one object.
    Get,
    /// Read a page of names.
    List,
    /// Create an object.
    Create,
    /// Replace an object under a condition.
    Put,
    /// Delete an object under a condition.
    Delete,
    /// Open a watch.
    Watch,
}

/// A request as a fault plan sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestNote {
    /// Count of the client's requests before this one.
    pub index: u64,
    /// What the request does.
    pub verb: Verb,
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object; empty for lists and watches.
    pub name: String,
}

/// The fault that a request meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// None.
    None,
    /// The platform can't be reached: the request is not sent.
    NotSent,
    /// The platform refuses for overload.
    Refused {
        /// The wait that it asks for.
        retry_after: Option<Duration>,
    },
    /// The request is lost on its way: no effect, and the caller can't tell.
    LostRequest,
    /// The request takes effect, and its answer is lost.
    LostAnswer,
    /// The caller gives up, and the request arrives at [`super::MemoryPlatform::release_delayed`].
    Delayed,
    /// The request takes effect after this time and is answered then.
    Slow(Duration),
}
