//! Merge, digests, changes and removal, over random deliveries of owners' records.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use quickcheck::{Arbitrary, Gen, quickcheck};
use umberpond_endpoints::{
    EndpointTable, GONE_KEEP, Interest, MAX_TOMBSTONES, MergeOutcome, OwnRecord, TOMBSTONE_KEEP, suspect,
};
use umberpond_model::{
    EndpointRecord, EndpointStatus, Incarnation, Locality, Millis, NodeName, RegionName, ServiceName,
    Timestamp, ZoneName,
};

const NOW: Timestamp = Timestamp(1_000);
const NODES: u8 = 4;

fn service(number: u8) -> ServiceName {
    ServiceName::new(&format!("service-{number}")).unwrap()
}

fn locality(number: u8) -> Locality {
    let zone = ZoneName::new(&format!("zone-{number}")).unwrap();
    Locality { region: RegionName::new("north").unwrap(), zone }
}

fn record(node: &str, incarnation: u64) -> EndpointRecord {
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    EndpointRecord {
        node: NodeName::new(node).unwrap(),
        service: Some(service(0)),
        locality: locality(0),
        inbound: address,
        control: address,
        incarnation: Incarnation(incarnation),
        sequence: 0,
        status: EndpointStatus::Starting,
        suspect: false,
    }
}

/// Any record, equal orders with unequal content included.
#[derive(Debug, Clone)]
struct Any(EndpointRecord);

impl Arbitrary for Any {
    fn arbitrary(generator: &mut Gen) -> Self {
        let statuses =
            [EndpointStatus::Starting, EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone];
        let mut any = record(&format!("n{}", u8::arbitrary(generator) % NODES), 0);
        any.incarnation = Incarnation(u64::arbitrary(generator) % 2);
        any.sequence = u64::arbitrary(generator) % 3;
        any.status = *generator.choose(&statuses).unwrap();
        any.suspect = bool::arbitrary(generator);
        any.service = Some(service(u8::arbitrary(generator) % 3));
        any.locality = locality(u8::arbitrary(generator) % 2);
        Self(any)
    }
}

fn merged<'a>(records: impl IntoIterator<Item = &'a Any>) -> EndpointTable {
    let mut table = EndpointTable::new();
    for any in records {
        table.merge(NOW, any.0.clone());
    }
    table
}

fn content(table: &EndpointTable) -> Vec<EndpointRecord> {
    table.records().cloned().collect()
}

fn counted(table: &EndpointTable) -> Vec<EndpointRecord> {
    let is_counted = |record: &&EndpointRecord| record.status != EndpointStatus::Gone && !record.suspect;
    table.records().filter(is_counted).cloned().collect()
}

/// Everything that one owner writes in its life, and a suspicion of each record.
fn life(incarnation: u64) -> Vec<EndpointRecord> {
    let mut owner = OwnRecord::new(record("n0", incarnation));
    let mut written = vec![owner.record().clone()];
    for status in [EndpointStatus::Ready, EndpointStatus::Draining, EndpointStatus::Gone] {
        written.push(owner.set_status(status).unwrap().unwrap());
        written.push(owner.announce());
    }
    let doubts: Vec<EndpointRecord> = written.iter().map(suspect).collect();
    written.extend(doubts);
    written
}

quickcheck! {
    fn merge_is_commutative_and_idempotent(records: Vec<Any>, rotate: usize) -> bool {
        let mut crossed: Vec<Any> = records.iter().rev().cloned().collect();
        let shift = rotate % records.len().max(1);
        crossed.rotate_left(shift);
        let doubled = records.iter().chain(&records);
        content(&merged(&records)) == content(&merged(&crossed))
            && content(&merged(&records)) == content(&merged(doubled))
    }

    fn merge_is_associative(left: Vec<Any>, middle: Vec<Any>, right: Vec<Any>) -> bool {
        let join = |first: &EndpointTable, second: &EndpointTable| {
            let mut joined = first.clone();
            second.records().for_each(|record| { joined.merge(NOW, record.clone()); });
            joined
        };
        let (left, middle, right) = (merged(&left), merged(&middle), merged(&right));
        let one_way = join(&join(&left, &middle), &right);
        let other_way = join(&left, &join(&middle, &right));
        content(&one_way) == content(&other_way)
    }

    fn digests_are_equal_exactly_for_equal_records(left: Vec<Any>, right: Vec<Any>) -> bool {
        let (left, right) = (merged(&left), merged(&right));
        let same_digest = left.differing_zones(right.digests()).is_empty();
        same_digest == (counted(&left) == counted(&right))
    }

    fn a_digest_does_not_depend_on_the_way(records: Vec<Any>) -> bool {
        let way = merged(&records);
        let direct = merged(&content(&way).into_iter().map(Any).collect::<Vec<_>>());
        way.digests() == direct.digests()
    }

    fn a_draining_endpoint_never_takes_work_again(deliveries: Vec<u8>) -> bool {
        let written = life(1);
        let mut table = EndpointTable::new();
        let mut has_drained = false;
        for delivery in deliveries {
            table.merge(NOW, written[usize::from(delivery) % written.len()].clone());
            let held = table.get(&written[0].node).unwrap();
            has_drained |= held.status >= EndpointStatus::Draining;
            if has_drained && held.takes_new_work() {
                return false;
            }
        }
        true
    }

    fn changes_since_rebuild_a_follower(first: Vec<Any>, second: Vec<Any>) -> bool {
        let mut table = merged(&first);
        let mut follower = EndpointTable::new();
        let changes = table.changes_since(0, &Interest::All);
        changes.records.into_iter().for_each(|record| { follower.merge(NOW, record); });
        second.iter().for_each(|any| { table.merge(NOW, any.0.clone()); });
        let later = table.changes_since(changes.position, &Interest::All);
        later.records.into_iter().for_each(|record| { follower.merge(NOW, record); });
        content(&follower) == content(&table)
    }

    fn an_interested_follower_never_keeps_an_endpoint_that_left_its_service(
        first: Vec<Any>, second: Vec<Any>
    ) -> bool {
        let wanted = service(1);
        let interest = Interest::Services(BTreeSet::from([wanted.clone()]));
        let mut table = merged(&first);
        let mut follower = EndpointTable::new();
        let changes = table.changes_since(0, &interest);
        changes.records.into_iter().for_each(|record| { follower.merge(NOW, record); });
        second.iter().for_each(|any| { table.merge(NOW, any.0.clone()); });
        let later = table.changes_since(changes.position, &interest);
        later.records.into_iter().for_each(|record| { follower.merge(NOW, record); });
        table.of_service(&wanted).eq(follower.of_service(&wanted))
    }
}

#[test]
fn the_checks_of_this_file_can_fail() {
    let mut backwards = record("n0", 1);
    backwards.status = EndpointStatus::Ready;
    backwards.sequence = 99;
    let mut table = merged(&life(1).into_iter().map(Any).collect::<Vec<_>>());
    assert!(!table.get(&backwards.node).unwrap().takes_new_work());
    table.merge(NOW, backwards.clone());
    assert!(
        table.get(&backwards.node).unwrap().takes_new_work(),
        "an owner that breaks its life cycle shows"
    );
}

#[test]
fn a_removed_record_stays_away_until_a_later_incarnation() {
    let written = life(1);
    let gone = written.iter().rfind(|record| record.status == EndpointStatus::Gone).unwrap().clone();
    let mut table = EndpointTable::new();
    table.merge(NOW, gone.clone());
    table.expire(NOW + Millis(GONE_KEEP.0 - 1));
    assert_eq!(table.len(), 1);
    let removed = NOW + GONE_KEEP;
    table.expire(removed);
    assert_eq!((table.len(), table.tombstones()), (0, 1));
    for old in &written {
        assert_eq!(table.merge(removed, old.clone()), MergeOutcome::Buried);
    }
    assert_eq!(table.merge(removed, record("n0", 2)), MergeOutcome::Added);
    assert_eq!(table.tombstones(), 0);
    assert_eq!(table.merge(removed, gone), MergeOutcome::Outdated);
}

#[test]
fn tombstones_are_bounded_in_count_and_time() {
    let mut table = EndpointTable::new();
    for number in 0..=MAX_TOMBSTONES {
        let mut gone = record(&format!("n{number}"), 1);
        gone.status = EndpointStatus::Gone;
        table.merge(NOW, gone);
    }
    let removed = NOW + GONE_KEEP;
    table.expire(removed);
    assert_eq!((table.len(), table.tombstones()), (0, MAX_TOMBSTONES));
    table.expire(removed + TOMBSTONE_KEEP);
    assert_eq!(table.tombstones(), 0);
}
