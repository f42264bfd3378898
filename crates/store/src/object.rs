//! Objects as the platform keeps them.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;

/// Position in the platform's one sequence of changes, over all kinds of objects. Never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The [`Revision`] of an object's last change. Two states of one object never share a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// The revision at which the object took this state; a watch after it sees every later change.
    #[must_use]
    pub const fn revision(self) -> Revision {
        Revision(self.0)
    }
}

/// The kinds of objects that umberpond keeps on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The one mutable configuration object, which names the newest version.
    Head,
    /// Immutable objects named by the hash of their bytes.
    Content,
    /// Aggregated status written by readers.
    Status,
    /// What each node writes of itself, so that others find it.
    Nodes,
}

impl ObjectKind {
    /// The kind's name in the platform's paths.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Content => "content",
            Self::Status => "status",
            Self::Nodes => "nodes",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One object as it stood when it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version of this state.
    pub version: ObjectVersion,
    /// The bytes.
    pub value: Bytes,
}

/// Name and version of one listed object.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListItem {
    /// Name of the object.
    pub name: String,
    /// Its version.
    pub version: ObjectVersion,
}

/// One page of a list, in the order of the names.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListPage {
    /// Revision of the platform when the page was made.
    pub revision: Revision,
    /// The objects of the page.
    pub items: Vec<ListItem>,
    /// Whether objects follow after the last item.
    pub more: bool,
}

/// One change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// Revision of the change.
    pub revision: Revision,
    /// Name of the object.
    pub name: String,
    /// The object's new bytes; absent if it was deleted.
    pub value: Option<Bytes>,
}
