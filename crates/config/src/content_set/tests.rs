//! The kept hash against one computed from nothing, and a broken set that the comparison must catch.

use std::collections::BTreeSet;
use std::sync::Arc;

use quickcheck::quickcheck;
use umberpond_model::ContentHash;

use super::ContentSet;

fn leaf(number: u8) -> ContentHash {
    ContentHash::of(&[number])
}

/// Whether the kept hash is the hash of the same leaves in a new set.
fn agrees_with_scratch(set: &ContentSet) -> bool {
    let mut scratch = ContentSet::default();
    for bucket in set.buckets.iter().flatten() {
        bucket.leaves.iter().for_each(|leaf| scratch.insert(*leaf));
    }
    scratch.hash() == set.hash()
}

/// An insertion that forgets to drop the hash of the bucket it changes.
fn insert_and_forget_the_bucket(set: &mut ContentSet, leaf: ContentHash) {
    let bucket = Arc::make_mut(set.bucket_mut(leaf).get_or_insert_default());
    if let Err(place) = bucket.leaves.binary_search(&leaf) {
        bucket.leaves.insert(place, leaf);
    }
    set.hash.take();
}

quickcheck! {
    fn the_kept_hash_is_the_hash_from_scratch(changes: Vec<(bool, u8)>) -> bool {
        let mut set = ContentSet::default();
        changes.into_iter().all(|(inserted, number)| {
            if inserted { set.insert(leaf(number)) } else { set.remove(leaf(number)) }
            agrees_with_scratch(&set)
        })
    }

    fn sets_hash_alike_if_and_only_if_they_hold_the_same(one: BTreeSet<u8>, other: BTreeSet<u8>) -> bool {
        let of = |numbers: &BTreeSet<u8>| {
            let mut set = ContentSet::default();
            numbers.iter().for_each(|number| set.insert(leaf(*number)));
            set.hash()
        };
        (one == other) == (of(&one) == of(&other))
    }
}

#[test]
fn a_forgotten_bucket_is_caught() {
    let mut set = ContentSet::default();
    set.insert(leaf(0));
    let bucket_of = |number: u8| leaf(number).as_bytes()[0] % 64;
    let neighbour =
        (1..=u8::MAX).find(|number| bucket_of(*number) == bucket_of(0)).expect("255 leaves, 64 buckets");
    assert!(agrees_with_scratch(&set));
    insert_and_forget_the_bucket(&mut set, leaf(neighbour));
    assert!(!agrees_with_scratch(&set));
}
