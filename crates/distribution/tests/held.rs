//! From one configuration to the next, and who reads the store.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use umberpond_config::{RequestLimits, Snapshot};
use umberpond_distribution::{
    ConfigurationHistory, NewerPeers, ReaderContext, ReaderSettings, Transfer, TransferError,
    VersionedConfiguration, reader_role,
};
use umberpond_model::{NodeName, Version};

/// A configuration that differs from that of every other number.
fn versioned(number: u64) -> VersionedConfiguration {
    let limits = RequestLimits { head_bytes: number, ..RequestLimits::default() };
    VersionedConfiguration::new(Version(number), Snapshot { limits, ..Snapshot::default() })
}

fn holding(numbers: &[u64]) -> ConfigurationHistory {
    let mut held = ConfigurationHistory::default();
    for number in numbers {
        assert!(held.offer(versioned(*number)));
    }
    held
}

#[test]
fn only_a_higher_version_is_taken() {
    let mut held = holding(&[3, 7]);
    assert!(!held.offer(versioned(7)));
    assert!(!held.offer(versioned(5)));
    assert_eq!(held.version(), Some(Version(7)));
}

#[test]
fn a_node_without_a_configuration_gets_the_whole_and_one_with_an_earlier_one_the_difference() {
    let giver = holding(&[1, 2, 5]);
    let whole = giver.transfer_for(None);
    assert!(matches!(whole, Transfer::Whole { .. }));
    assert_eq!(ConfigurationHistory::default().receive(whole).unwrap(), Some(versioned(5)));
    let receiver = holding(&[2]);
    let difference = giver.transfer_for(Some(versioned(2).held()));
    assert!(matches!(difference, Transfer::Difference { .. }));
    assert_eq!(receiver.receive(difference).unwrap(), Some(versioned(5)));
}

#[test]
fn nothing_is_sent_to_a_node_that_holds_the_same_or_a_newer_one() {
    let giver = holding(&[5]);
    assert_eq!(giver.transfer_for(Some(versioned(5).held())), Transfer::NothingNewer);
    assert_eq!(giver.transfer_for(Some(versioned(9).held())), Transfer::NothingNewer);
    assert_eq!(ConfigurationHistory::default().transfer_for(None), Transfer::NothingNewer);
    assert_eq!(giver.receive(Transfer::NothingNewer).unwrap(), None);
}

#[test]
fn a_transfer_travels_whole_and_damaged_bytes_are_none() {
    let long = Transfer::Whole { to: versioned(5).held(), content: vec![7; 100_000] };
    let short = holding(&[1, 5]).transfer_for(Some(versioned(1).held()));
    for transfer in [long, short, Transfer::NothingNewer] {
        let bytes = transfer.to_bytes();
        assert!(bytes.len() < 10_000, "a long transfer is compressed");
        assert_eq!(Transfer::from_bytes(&bytes).unwrap(), transfer);
        let cut = &bytes[..bytes.len() - 1];
        assert_eq!(Transfer::from_bytes(cut), Err(TransferError::Damaged));
    }
    assert_eq!(Transfer::from_bytes(b"rubbish"), Err(TransferError::Damaged));
}

#[test]
fn an_encoded_transfer_is_made_once_and_leads_to_the_newest() {
    let mut giver = holding(&[1, 2]);
    let held = Some(versioned(1).held());
    let first = giver.encoded_transfer_for(held);
    assert!(std::sync::Arc::ptr_eq(&first, &giver.encoded_transfer_for(held)));
    assert!(giver.offer(versioned(5)));
    let transfer = Transfer::from_bytes(&giver.encoded_transfer_for(held)).unwrap();
    assert_eq!(holding(&[1]).receive(transfer).unwrap(), Some(versioned(5)));
}

#[test]
fn one_of_those_that_hold_the_newest_is_asked() {
    let address = |number: u8| SocketAddr::from(([10, 0, 0, number], 1));
    let mut random = SmallRng::seed_from_u64(1);
    let mut holders = NewerPeers::default();
    assert_eq!(holders.choose(&mut random), None);
    holders.on_peer_version(address(1), Version(3), Some(Version(3)), true);
    assert_eq!(holders.choose(&mut random), None, "nobody holds anything newer");
    for (number, version) in [(1, 4), (2, 5), (3, 5)] {
        holders.on_peer_version(address(number), Version(version), Some(Version(3)), true);
    }
    let asked: BTreeSet<SocketAddr> = (0..50).filter_map(|_| holders.choose(&mut random)).collect();
    assert_eq!(asked, [address(2), address(3)].into());
    holders.on_no_response(address(2));
    holders.on_no_response(address(3));
    assert_eq!(holders.choose(&mut random), Some(address(1)), "an older one is better than none");
    holders.on_own_version(Version(4));
    assert_eq!(holders.choose(&mut random), None);
}

#[test]
fn another_content_under_the_same_version_is_replaced_whole() {
    let giver = holding(&[1, 2, 5]);
    let mut other = versioned(2).held();
    other.hash = versioned(9).hash;
    assert!(matches!(giver.transfer_for(Some(other)), Transfer::Whole { .. }));
}

#[test]
fn a_difference_that_does_not_fit_or_lead_where_it_says_changes_nothing() {
    let giver = holding(&[1, 2, 5]);
    let difference = giver.transfer_for(Some(versioned(2).held()));
    assert_eq!(holding(&[1]).receive(difference.clone()), Err(TransferError::OtherBase));
    let Transfer::Difference { from, mut to, delta } = difference else { panic!("a difference") };
    to.hash = versioned(9).hash;
    let wrong = Transfer::Difference { from, to, delta };
    assert_eq!(holding(&[2]).receive(wrong), Err(TransferError::OtherContent));
    let rubbish = Transfer::Whole { to, content: b"rubbish".to_vec() };
    assert!(matches!(holding(&[2]).receive(rubbish), Err(TransferError::Unreadable(_))));
}

#[test]
fn a_transfer_that_was_overtaken_changes_nothing() {
    let giver = holding(&[1, 2, 5]);
    let difference = giver.transfer_for(None);
    assert_eq!(holding(&[6]).receive(difference).unwrap(), None);
}

#[test]
fn earlier_versions_are_kept_so_that_differences_can_be_told_and_not_without_end() {
    let numbers: Vec<u64> = (1..=200).collect();
    let giver = holding(&numbers);
    assert!(matches!(giver.transfer_for(Some(versioned(190).held())), Transfer::Difference { .. }));
    assert!(matches!(giver.transfer_for(Some(versioned(3).held())), Transfer::Whole { .. }));
}

fn nodes(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| format!("node-{number}").parse().unwrap()).collect()
}

/// The nodes that read the store, none of them having heard of it for `silent_for`.
fn readers(nodes: &[NodeName], silent_for: Duration) -> Vec<&NodeName> {
    let settings = ReaderSettings::default();
    let mut readers = Vec::new();
    for own in nodes {
        let others: Vec<&NodeName> = nodes.iter().filter(|node| *node != own).collect();
        if reader_role(&settings, ReaderContext { own, others: &others, silent_for, has_store_contact: true })
            .is_some()
        {
            readers.push(own);
        }
    }
    readers
}

#[test]
fn a_few_nodes_read_the_store_while_it_answers_them() {
    for count in [1, 2, 3, 12, 300] {
        let nodes = nodes(count);
        assert_eq!(readers(&nodes, Duration::from_millis(300)).len(), count.min(2));
    }
}

#[test]
fn everybody_reads_when_nobody_has_heard_from_the_store() {
    let nodes = nodes(12);
    assert_eq!(readers(&nodes, Duration::from_millis(1_600)).len(), 12);
    assert_eq!(readers(&nodes, Duration::from_secs(3)).len(), 12);
}

/// After a start of all at once callers wait for the first configuration, whoever the store lists but does not run any more.
#[test]
fn a_process_that_has_heard_of_no_reader_soon_reads_itself() {
    let nodes = nodes(195);
    let reading = |millis: u64| {
        let silent_for = Duration::from_millis(millis);
        let turns = nodes.iter().filter(|own| {
            let others: Vec<&NodeName> = nodes.iter().filter(|node| node != own).collect();
            let question = ReaderContext { own, others: &others, silent_for, has_store_contact: false };
            reader_role(&ReaderSettings::default(), question).is_some()
        });
        turns.count()
    };
    assert_eq!((reading(10), reading(90), reading(150), reading(500)), (2, 4, 8, 195));
}

/// A store that refuses everybody hears from the next nodes as rarely as there are more of them.
#[test]
fn the_calls_to_a_store_that_refuses_all_grow_slower_than_the_nodes() {
    let calls_in_a_pause = |count: usize| -> f64 {
        let nodes = nodes(count);
        let settings = ReaderSettings::default();
        let silent_for = Duration::from_secs(10);
        let turns = nodes.iter().map(|own| {
            let others: Vec<&NodeName> = nodes.iter().filter(|node| *node != own).collect();
            reader_role(
                &settings,
                ReaderContext { own, others: &others, silent_for, has_store_contact: true },
            )
            .unwrap()
        });
        turns.map(|turn| 1.0 / f64::from(turn.backoff_factor)).sum()
    };
    assert!((calls_in_a_pause(4) - 4.0).abs() < 0.01);
    assert!(calls_in_a_pause(195) < 40.0, "{}", calls_in_a_pause(195));
}

/// Were it all of them at once, 195 nodes would ask a store that has just begun to refuse.
#[test]
fn nodes_step_in_by_and_by_each_time_as_many_as_before() {
    let nodes = nodes(195);
    let mut before = 2;
    let mut silent_for = Duration::from_millis(1_200);
    while silent_for < Duration::from_secs(3) {
        let count = readers(&nodes, silent_for).len();
        assert!(count <= before * 2, "{count} of {before} after {silent_for:?}");
        before = count;
        silent_for += Duration::from_millis(50);
    }
    assert_eq!(before, 195, "in the end everybody reads");
}

#[test]
fn the_next_nodes_read_when_the_readers_are_gone() {
    let all = nodes(12);
    let age = Duration::from_millis(300);
    let first: Vec<NodeName> = readers(&all, age).into_iter().cloned().collect();
    let left: Vec<NodeName> = all.into_iter().filter(|node| !first.contains(node)).collect();
    assert_eq!(readers(&left, age).len(), 2);
}

#[test]
fn another_reader_steps_in_if_those_that_should_read_are_out_of_touch_with_the_store() {
    let nodes = nodes(3);
    let silent_for = Duration::from_millis(1_500);
    for own in &nodes {
        let others: Vec<&NodeName> = nodes.iter().filter(|node| *node != own).collect();
        assert!(
            reader_role(
                &ReaderSettings::default(),
                ReaderContext { own, others: &others, silent_for, has_store_contact: true }
            )
            .is_some()
        );
    }
}
