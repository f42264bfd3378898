//! Zones that operators have emptied.

use std::collections::BTreeSet;

use bitcode::{Decode, Encode};

use crate::ZoneName;

/// The zones whose back ends get nothing new, as the store held them at one moment.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Evacuations {
    /// Revision of the store at that moment.
    pub revision: u64,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

impl Evacuations {
    /// Whether this tells of a later moment than `other`.
    #[must_use]
    pub const fn supersedes(&self, other: &Self) -> bool {
        self.revision > other.revision
    }

    /// The zones in one text, for logs.
    #[must_use]
    pub fn zone_list(&self) -> String {
        let zones: Vec<&str> = self.zones.iter().map(ZoneName::as_str).collect();
        zones.join(",")
    }
}
