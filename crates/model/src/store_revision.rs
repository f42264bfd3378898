//! Revisions of the store, over all of its histories.

use std::fmt;
use std::time::Duration;

use bitcode::{Decode, Encode};

/// Time after a restore of the store within which operators have written lost orders again.
pub const ORDER_REWRITE_TIME: Duration = Duration::from_secs(5);

/// Number of a history of the store. Each time the store is restored from an older copy a new history begins,
/// which shares its revisions with the one before up to the copy and gives out later ones again.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StoreEra(pub u64);

/// A revision in one history of the store. Revisions of a later history are later, whatever their numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct StoreRevision {
    /// The history.
    pub era: StoreEra,
    /// Number within the history.
    pub number: u64,
}

impl StoreRevision {
    /// The revision `number` of the history `era`.
    #[must_use]
    pub const fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}
