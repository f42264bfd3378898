//! A set of fixed-size leaves with a hash that costs in proportion to what changed.
//!
//! The leaves stand sorted in buckets by their first bits; the hash is taken over the hashes of the buckets that hold
//! anything. Copies share their buckets, and with them the bucket hashes computed so far. Which leaves are in the
//! set decides its hash, not the way there.

use std::sync::{Arc, OnceLock};

use umberpond_model::ContentHash;

/// About the square root of the entries in a large configuration: hashing one bucket then costs as much as
/// hashing the list of buckets.
const BUCKETS: usize = 64;

/// First bytes of what is hashed, so that no leaf, bucket or set shares an input with one of another kind.
const LEAF: u8 = 0;
const BUCKET: u8 = 1;
const SET: u8 = 2;

#[derive(Debug, Clone, Default)]
struct Bucket {
    /// Sorted, each once.
    leaves: Vec<ContentHash>,
    /// Empty after a change until it is asked for.
    hash: OnceLock<ContentHash>,
}

/// A set of leaves and its hash.
#[derive(Debug, Clone)]
pub(crate) struct ContentSet {
    /// Without the buckets that hold nothing, so that a bucket that was emptied leaves no trace.
    buckets: Arc<[Option<Arc<Bucket>>; BUCKETS]>,
    hash: OnceLock<ContentHash>,
}

impl Default for ContentSet {
    fn default() -> Self {
        Self { buckets: Arc::new([const { None }; BUCKETS]), hash: OnceLock::new() }
    }
}

/// The leaf of an entry: its name behind the name's length, and the entry's own hash.
pub(crate) fn leaf(name: &str, entry: ContentHash) -> ContentHash {
    let mut input = Vec::with_capacity(1 + 8 + name.len() + entry.as_bytes().len());
    input.push(LEAF);
    input.extend_from_slice(&(name.len() as u64).to_le_bytes());
    input.extend_from_slice(name.as_bytes());
    input.extend_from_slice(entry.as_bytes());
    ContentHash::of(&input)
}

impl ContentSet {
    /// Adds a leaf; changes nothing if it is there.
    pub(crate) fn insert(&mut self, leaf: ContentHash) {
        let bucket = Arc::make_mut(self.bucket_mut(leaf).get_or_insert_default());
        if let Err(place) = bucket.leaves.binary_search(&leaf) {
            bucket.leaves.insert(place, leaf);
            bucket.hash.take();
        }
        self.hash.take();
    }

    /// Removes a leaf; changes nothing if it isn't there.
    pub(crate) fn remove(&mut self, leaf: ContentHash) {
        let slot = self.bucket_mut(leaf);
        let Some(shared) = slot else { return };
        let bucket = Arc::make_mut(shared);
        if let Ok(place) = bucket.leaves.binary_search(&leaf) {
            bucket.leaves.remove(place);
            bucket.hash.take();
        }
        if bucket.leaves.is_empty() {
            *slot = None;
        }
        self.hash.take();
    }

    /// Hash of the set. Computes what changed since it was asked for last.
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
