use std::collections::BTreeSet;

use umberpond_config::{Entry, Scope, Service, Snapshot};
use umberpond_model::{
    ContentHash, LocalityRule, NodeName, RegionName, ServiceName, SubmissionId, Version, VersionRecord,
    ZoneName,
};

use super::{Chain, Sent};
use crate::interface::WholeVersion;

fn record(
    version: u64,
    snapshot: &Snapshot,
    witnesses: Vec<NodeName>,
    previous_witnesses: Vec<NodeName>,
) -> VersionRecord {
    VersionRecord {
        version: Version(version),
        previous: None,
        submission: SubmissionId(u128::from(version)),
        manifest: ContentHash::of(b"manifest"),
        delta: ContentHash::of(b"delta"),
        snapshot: snapshot.content_hash(),
        witnesses,
        witnesses_since: Version(4),
        previous_witnesses,
        accepted_at_unix_millis: 0,
    }
}

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

fn snapshot_of(services: &[&str]) -> Snapshot {
    let region = RegionName::new("north").unwrap();
    let allowed = vec![LocalityRule { region: region.clone(), zone: None }];
    let mut snapshot = Snapshot::default();
    snapshot.topology.insert(region, BTreeSet::from([ZoneName::new("one").unwrap()]));
    for name in services.iter().map(|name| service(name)) {
        let entry = Service {
            name: name.clone(),
            allowed: allowed.clone(),
            slots: 1,
            connections: 1,
            seal_key: None,
            health_path: None,
        };
        snapshot.services.insert(name, Entry::new(entry));
    }
    snapshot
}

fn whole(version: u64, snapshot: Snapshot) -> WholeVersion {
    let record = record(version, &snapshot, Vec::new(), Vec::new());
    WholeVersion { record, previous_witnesses: Vec::new(), snapshot }
}

/// A leaf with version 5 in force in its own scope becomes a reader; version 7 is held and not committed.
#[test]
fn nothing_is_cut_for_a_child_from_what_was_held_in_a_narrower_scope() {
    let mut chain = Chain::new(BTreeSet::from([service("solver")]));
    let everything = snapshot_of(&["billing", "solver"]);
    let narrow = everything.restrict(&Scope::Callers(BTreeSet::from([service("solver")])));
    chain.on_whole_version(&whole(5, narrow)).unwrap();
    chain.on_committed(Version(5));
    chain.on_floor(Version(5));
    assert!(chain.take_activation().is_some());
    chain.hold_everything(true);
    chain.on_whole_version(&whole(7, everything)).unwrap();

    let billing = Scope::Callers(BTreeSet::from([service("billing")]));
    let mut sent = Sent::Nothing;
    let target = chain.target(false);
    let content = target.and_then(|target| chain.whole(&mut sent, &billing, target));
    assert!(content.is_none(), "content was cut from a narrow snapshot: {content:?}");

    chain.on_committed(Version(7));
    let target = chain.target(false);
    assert_eq!(target, Some(Version(7)));
    assert!(chain.whole(&mut sent, &billing, Version(7)).is_some());
}

#[test]
fn a_whole_configuration_brings_the_version_that_changed_the_witnesses() {
    let node = |name: &str| NodeName::new(name).unwrap();
    let snapshot = Snapshot::default();
    let record = record(9, &snapshot, vec![node("b")], vec![node("a")]);
    let previous_witnesses = record.previous_witnesses.clone();
    let mut chain = Chain::new(BTreeSet::new());
    chain.on_whole_version(&WholeVersion { record, previous_witnesses, snapshot }).unwrap();
    let sets = chain.sets();
    assert_eq!((sets.since, &sets.previous), (Version(4), &vec![node("a")]));
}
