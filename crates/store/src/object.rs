//! Objects, versions and revisions of the platform.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;

/// Position in the platform's single sequence of changes across all kinds of objects. Never reused.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

/// The [`Revision`] of an object's last change. No two states of an object have the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(pub u64);

impl ObjectVersion {
    /// The revision that wrote this state; a watch that starts after it receives every later change.
    #[must_use]
    pub const fn revision(self) -> Revision {
        Revision(self.0)
    }
}

/// The kinds of objects that umberpond stores on the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ObjectKind {
    /// The only mutable configuration object; refers to the newest version.
    Head,
    /// Immutable, content-addressed objects: each is named by the hash of its bytes.
    Content,
    /// Aggregated status written by readers.
    Status,
    /// The directory entry that each node writes so that other nodes can discover it.
    Nodes,
    /// The requests that are refused because they crash back ends, named by their fingerprint.
    Quarantine,
}

impl ObjectKind {
    /// The kind's name in request paths.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Head => "head",
            Self::Content => "content",
            Self::Status => "status",
            Self::Nodes => "nodes",
            Self::Quarantine => "quarantine",
        }
    }
}

impl fmt::Display for ObjectKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// One object in the state in which it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Version of this state.
    pub version: ObjectVersion,
    /// Content of the object.
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

/// One page of a list, ordered by name.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct ListPage {
    /// Revision of the platform at which the page was read.
    pub revision: Revision,
    /// The objects of the page.
    pub items: Vec<ListItem>,
    /// Whether there are further objects after the last item.
    pub more: bool,
}

/// One change reported by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchEvent {
    /// Revision of the change.
    pub revision: Revision,
    /// Name of the object.
    pub name: String,
    /// The object's new bytes; absent if it was deleted.
    pub value: Option<Bytes>,
}
