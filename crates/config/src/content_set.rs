//! A set of fixed-size leaves with an incremental hash: the cost of an update is proportional to the change.
//!
//! The leaves are sorted into buckets by their first byte; the set's hash covers the hashes of all non-empty
//! buckets. Copies share their buckets, including the bucket hashes computed so far. The hash depends only on
//! the leaves in the set, not on the order of the changes.

use std::sync::{Arc, OnceLock};

use umberpond_model::ContentHash;

/// Number of buckets: about the square root of the number of entries in a large configuration, so that
/// hashing one bucket costs as much as hashing the list of buckets.
const BUCKETS: usize = 64;

/// First byte of each hash input, so that leaves, buckets and sets never have the same input.
const LEAF: u8 = 0;
const BUCKET: u8 = 1;
const SET: u8 = 2;

#[derive(Debug, Clone, Default)]
struct Bucket {
    /// Sorted and without duplicates.
    leaves: Vec<ContentHash>,
    /// Cached hash; cleared by every change and computed on demand.
    hash: OnceLock<ContentHash>,
}

/// A set of leaves and its hash.
#[derive(Debug, Clone)]
pub(crate) struct ContentSet {
    /// Empty buckets are `None`, so that a bucket that became empty does not affect the hash.
    buckets: Arc<[Option<Arc<Bucket>>; BUCKETS]>,
    hash: OnceLock<ContentHash>,
}

impl Default for ContentSet {
    fn default() -> Self {
        Self { buckets: Arc::new([const { None }; BUCKETS]), hash: OnceLock::new() }
    }
}

/// Returns the leaf of an entry: the hash of its length-prefixed name and the entry's own hash.
pub(crate) fn leaf(name: &str, entry: ContentHash) -> ContentHash {
    let mut input = Vec::with_capacity(1 + 8 + name.len() + entry.as_bytes().len());
    input.push(LEAF);
    input.extend_from_slice(&(name.len() as u64).to_le_bytes());
    input.extend_from_slice(name.as_bytes());
    input.extend_from_slice(entry.as_bytes());
    ContentHash::of(&input)
}

impl ContentSet {
    /// Adds a leaf; has no effect if the set contains it.
    pub(crate) fn insert(&mut self, leaf: ContentHash) {
        let bucket = Arc::make_mut(self.bucket_mut(leaf).get_or_insert_default());
        if let Err(index) = bucket.leaves.binary_search(&leaf) {
            bucket.leaves.insert(index, leaf);
            bucket.hash.take();
        }
        self.hash.take();
    }

    /// Removes a leaf; has no effect if the set does not contain it.
    pub(crate) fn remove(&mut self, leaf: ContentHash) {
        let slot = self.bucket_mut(leaf);
        let Some(shared) = slot else { return };
        let bucket = Arc::make_mut(shared);
        if let Ok(index) = bucket.leaves.binary_search(&leaf) {
            bucket.leaves.remove(index);
            bucket.hash.take();
        }
        if bucket.leaves.is_empty() {
            *slot = None;
        }
        self.hash.take();
    }

    /// Returns the hash of the set. Only buckets changed since the last call are hashed again.
    pub(crate) fn hash(&self) -> ContentHash {
        *self.hash.get_or_init(|| {
            let mut input = vec![SET];
            for (number, bucket) in (0u8..).zip(self.buckets.iter()) {
                if let Some(bucket) = bucket {
                    input.push(number);
                    input.extend_from_slice(bucket.hash().as_bytes());
                }
            }
            ContentHash::of(&input)
        })
    }

    fn bucket_mut(&mut self, leaf: ContentHash) -> &mut Option<Arc<Bucket>> {
        let number = usize::from(leaf.as_bytes()[0]) % BUCKETS;
        &mut Arc::make_mut(&mut self.buckets)[number]
    }
}

impl Bucket {
    fn hash(&self) -> ContentHash {
        *self.hash.get_or_init(|| {
            let mut input = Vec::with_capacity(1 + self.leaves.len() * size_of::<ContentHash>());
            input.push(BUCKET);
            for leaf in &self.leaves {
                input.extend_from_slice(leaf.as_bytes());
            }
            ContentHash::of(&input)
        })
    }
}

#[cfg(test)]
mod tests;
