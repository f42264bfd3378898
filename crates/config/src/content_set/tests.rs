//! Compares the incremental hash with one computed from scratch, and verifies that the comparison detects a
//! stale bucket hash.

use std::collections::BTreeSet;
use std::sync::Arc;

use quickcheck::quickcheck;
use umberpond_model::ContentHash;

use super::ContentSet;

fn leaf(number: u8) -> ContentHash {
    ContentHash::of(&[number])
}

/// Whether the incremental hash equals the hash of a new set with the same leaves.
fn matches_recomputed_hash(set: &ContentSet) -> bool {
    let mut rebuilt = ContentSet::default();
    for bucket in set.buckets.iter().flatten() {
        bucket.leaves.iter().for_each(|leaf| rebuilt.insert(*leaf));
    }
    rebuilt.hash() == set.hash()
}

/// A faulty insertion that does not clear the cached hash of the bucket.
fn insert_with_stale_bucket_hash(set: &mut ContentSet, leaf: ContentHash) {
    let bucket = Arc::make_mut(set.bucket_mut(leaf).get_or_insert_default());
    if let Err(index) = bucket.leaves.binary_search(&leaf) {
        bucket.leaves.insert(index, leaf);
    }
    set.hash.take();
}

quickcheck! {
    fn the_incremental_hash_matches_the_recomputed_hash(changes: Vec<(bool, u8)>) -> bool {
        let mut set = ContentSet::default();
        changes.into_iter().all(|(inserted, number)| {
            if inserted { set.insert(leaf(number)) } else { set.remove(leaf(number)) }
            matches_recomputed_hash(&set)
        })
    }

    fn only_equal_sets_have_equal_hashes(one: BTreeSet<u8>, other: BTreeSet<u8>) -> bool {
        let of = |numbers: &BTreeSet<u8>| {
            let mut set = ContentSet::default();
            numbers.iter().for_each(|number| set.insert(leaf(*number)));
            set.hash()
        };
        (one == other) == (of(&one) == of(&other))
    }
}

#[test]
fn a_stale_bucket_hash_is_detected() {
    let mut set = ContentSet::default();
    set.insert(leaf(0));
    let bucket_of = |number: u8| leaf(number).as_bytes()[0] % 64;
    let neighbour =
        (1..=u8::MAX).find(|number| bucket_of(*number) == bucket_of(0)).expect("255 leaves, 64 buckets");
    assert!(matches_recomputed_hash(&set));
    insert_with_stale_bucket_hash(&mut set, leaf(neighbour));
    assert!(!matches_recomputed_hash(&set));
}
