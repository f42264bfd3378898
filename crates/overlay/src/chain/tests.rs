use std::collections::BTreeSet;

use umberpond_config::Snapshot;
use umberpond_model::{ContentHash, NodeName, SubmissionId, Version, VersionRecord};

use super::Chain;
use crate::interface::WholeVersion;

#[test]
fn a_whole_configuration_brings_the_version_that_changed_the_witnesses() {
    let node = |name: &str| NodeName::new(name).unwrap();
    let snapshot = Snapshot::default();
    let record = VersionRecord {
        version: Version(9),
        previous: None,
        submission: SubmissionId(9),
        manifest: ContentHash::of(b"manifest"),
        delta: ContentHash::of(b"delta"),
        snapshot: snapshot.content_hash(),
        witnesses: vec![node("b")],
        witnesses_since: Version(4),
        previous_witnesses: vec![node("a")],
        accepted_at_unix_millis: 0,
    };
    let previous_witnesses = record.previous_witnesses.clone();
    let mut chain = Chain::new(BTreeSet::new());
    chain.on_whole_version(&WholeVersion { record, previous_witnesses, snapshot }).unwrap();
    let sets = chain.sets();
    assert_eq!((sets.since, &sets.previous), (Version(4), &vec![node("a")]));
}
