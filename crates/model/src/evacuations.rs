//! Zones that operators have evacuated.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};

use crate::{StoreRevision, ZoneName};

/// The zones whose back ends receive no new requests, as read from the store at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Evacuations {
    /// Store revision at which the zones were read.
    pub revision: StoreRevision,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Whether this was read at a later revision than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self.revision > other.revision
    }
}
