//! An immutable entry of a snapshot, shared between snapshots and hashed once.

use std::ops::Deref;
use std::sync::Arc;

use bitcode::Encode;
use umberpond_model::ContentHash;

/// A shared value together with the hash of its encoding.
#[derive(Debug, Clone)]
pub struct Entry<T> {
    hash: ContentHash,
    value: Arc<T>,
}

impl<T: Encode> Entry<T> {
    /// Hashes and wraps `value`.
    #[must_use]
    pub fn new(value: T) -> Self {
        Self { hash: ContentHash::of(&bitcode::encode(&value)), value: Arc::new(value) }
    }
}

impl<T> Entry<T> {
    /// Hash of the value's encoding.
    #[must_use]
    pub const fn hash(&self) -> ContentHash {
        self.hash
    }
}

impl<T> Deref for Entry<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.hash == other.hash
    }
}

impl<T> Eq for Entry<T> {}
