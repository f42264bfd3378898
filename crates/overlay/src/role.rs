//! Roles of nodes.

use bitcode::{Decode, Encode};
use serde::Serialize;

/// What a node does besides carrying traffic. Derived, never configured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Holds its own scope only.
    #[default]
    Leaf,
    /// Named by a version record; holds everything and tells the readers what it holds.
    Witness,
    /// Passes versions and endpoint records on to its children.
    Relay,
    /// Reads the platform and feeds the zone's relays.
    Reader,
}

impl Role {
    /// Whether nodes of this role accept children.
    #[must_use]
    pub const fn has_children(self) -> bool {
        matches!(self, Self::Relay | Self::Reader)
    }

    /// Whether nodes of this role hold the whole configuration.
    #[must_use]
    pub const fn holds_everything(self) -> bool {
        !matches!(self, Self::Leaf)
    }
}
