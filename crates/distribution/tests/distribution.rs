//! Transfers between configurations, and the selection of the nodes that read the store.

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

/// A configuration whose content is different for each number.
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
fn only_a_higher_version_replaces_the_current_one() {
    let mut held = holding(&[3, 7]);
    assert!(!held.offer(versioned(7)));
    assert!(!held.offer(versioned(5)));
    assert_eq!(held.version(), Some(Version(7)));
}

#[test]
fn a_node_without_a_configuration_gets_a_full_transfer_and_an_outdated_one_a_delta() {
    let sender = holding(&[1, 2, 5]);
    let full = sender.transfer_for(None);
    assert!(matches!(full, Transfer::Full { .. }));
    assert_eq!(ConfigurationHistory::default().receive(full).unwrap(), Some(versioned(5)));
    let receiver = holding(&[2]);
    let delta_transfer = sender.transfer_for(Some(versioned(2).held()));
    assert!(matches!(delta_transfer, Transfer::Delta { .. }));
    assert_eq!(receiver.receive(delta_transfer).unwrap(), Some(versioned(5)));
}

#[test]
fn no_content_is_sent_to_a_node_with_the_same_or_a_newer_version() {
    let sender = holding(&[5]);
    assert_eq!(sender.transfer_for(Some(versioned(5).held())), Transfer::UpToDate);
    assert_eq!(sender.transfer_for(Some(versioned(9).held())), Transfer::UpToDate);
    assert_eq!(ConfigurationHistory::default().transfer_for(None), Transfer::UpToDate);
    assert_eq!(sender.receive(Transfer::UpToDate).unwrap(), None);
}

#[test]
fn transfers_round_trip_and_malformed_bytes_are_rejected() {
    let long = Transfer::Full { to: versioned(5).held(), content: vec![7; 100_000] };
    let short = holding(&[1, 5]).transfer_for(Some(versioned(1).held()));
    for transfer in [long, short, Transfer::UpToDate] {
        let bytes = transfer.to_bytes();
        assert!(bytes.len() < 10_000, "long transfers are compressed");
        assert_eq!(Transfer::from_bytes(&bytes).unwrap(), transfer);
        let cut = &bytes[..bytes.len() - 1];
        assert_eq!(Transfer::from_bytes(cut), Err(TransferError::Malformed));
    }
    assert_eq!(Transfer::from_bytes(b"rubbish"), Err(TransferError::Malformed));
}

#[test]
fn encoded_transfers_are_cached_until_the_version_changes() {
    let mut sender = holding(&[1, 2]);
    let held = Some(versioned(1).held());
    let first = sender.encoded_transfer_for(held);
    assert!(std::sync::Arc::ptr_eq(&first, &sender.encoded_transfer_for(held)));
    assert!(sender.offer(versioned(5)));
    let transfer = Transfer::from_bytes(&sender.encoded_transfer_for(held)).unwrap();
    assert_eq!(holding(&[1]).receive(transfer).unwrap(), Some(versioned(5)));
}

#[test]
fn a_peer_with_the_newest_version_is_chosen() {
    let address = |number: u8| SocketAddr::from(([10, 0, 0, number], 1));
    let mut random = SmallRng::seed_from_u64(1);
    let mut peers = NewerPeers::default();
    assert_eq!(peers.choose(&mut random), None);
    peers.on_peer_version(address(1), Version(3), Some(Version(3)), true);
    assert_eq!(peers.choose(&mut random), None, "no peer holds a newer version");
    for (number, version) in [(1, 4), (2, 5), (3, 5)] {
        peers.on_peer_version(address(number), Version(version), Some(Version(3)), true);
    }
    let chosen: BTreeSet<SocketAddr> = (0..50).filter_map(|_| peers.choose(&mut random)).collect();
    assert_eq!(chosen, [address(2), address(3)].into());
    peers.on_no_response(address(2));
    peers.on_no_response(address(3));
    assert_eq!(peers.choose(&mut random), Some(address(1)), "falls back to a peer with an older version");
    peers.on_own_version(Version(4));
    assert_eq!(peers.choose(&mut random), None);
}

#[test]
fn different_content_with_the_same_version_gets_a_full_transfer() {
    let sender = holding(&[1, 2, 5]);
    let mut other = versioned(2).held();
    other.hash = versioned(9).hash;
    assert!(matches!(sender.transfer_for(Some(other)), Transfer::Full { .. }));
}

#[test]
fn a_delta_with_another_base_or_result_is_rejected() {
    let sender = holding(&[1, 2, 5]);
    let delta_transfer = sender.transfer_for(Some(versioned(2).held()));
    assert_eq!(holding(&[1]).receive(delta_transfer.clone()), Err(TransferError::BaseMismatch));
    let Transfer::Delta { from, mut to, delta } = delta_transfer else { panic!("expected a delta") };
    to.hash = versioned(9).hash;
    let wrong = Transfer::Delta { from, to, delta };
    assert_eq!(holding(&[2]).receive(wrong), Err(TransferError::HashMismatch));
    let garbage = Transfer::Full { to, content: b"rubbish".to_vec() };
    assert!(matches!(holding(&[2]).receive(garbage), Err(TransferError::Unreadable(_))));
}

#[test]
fn an_outdated_transfer_is_ignored() {
    let sender = holding(&[1, 2, 5]);
    let delta_transfer = sender.transfer_for(None);
    assert_eq!(holding(&[6]).receive(delta_transfer).unwrap(), None);
}

#[test]
fn a_bounded_number_of_earlier_versions_is_kept_for_deltas() {
    let numbers: Vec<u64> = (1..=200).collect();
    let sender = holding(&numbers);
    assert!(matches!(sender.transfer_for(Some(versioned(190).held())), Transfer::Delta { .. }));
    assert!(matches!(sender.transfer_for(Some(versioned(3).held())), Transfer::Full { .. }));
}

fn nodes(count: usize) -> Vec<NodeName> {
    (0..count).map(|number| format!("node-{number}").parse().unwrap()).collect()
}

/// The nodes that read the store when no node has had a response from it for `silent_for`.
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
fn only_two_nodes_read_the_store_while_it_responds() {
    for count in [1, 2, 3, 12, 300] {
        let nodes = nodes(count);
        assert_eq!(readers(&nodes, Duration::from_millis(300)).len(), count.min(2));
    }
}

#[test]
fn all_nodes_read_when_none_has_store_contact() {
    let nodes = nodes(12);
    assert_eq!(readers(&nodes, Duration::from_millis(1_600)).len(), 12);
    assert_eq!(readers(&nodes, Duration::from_secs(3)).len(), 12);
}

/// When all nodes start at once, callers wait for the first configuration. The store may still list readers
/// that no longer run, so other nodes must start to read soon.
#[test]
fn a_starting_process_without_a_known_reader_reads_soon() {
    let nodes = nodes(195);
    let reading = |millis: u64| {
        let silent_for = Duration::from_millis(millis);
        let roles = nodes.iter().filter(|own| {
            let others: Vec<&NodeName> = nodes.iter().filter(|node| node != own).collect();
            let context = ReaderContext { own, others: &others, silent_for, has_store_contact: false };
            reader_role(&ReaderSettings::default(), context).is_some()
        });
        roles.count()
    };
    assert_eq!((reading(10), reading(90), reading(150), reading(500)), (2, 4, 8, 195));
}

/// If the store rejects every call, the calls per backoff interval must not grow in proportion to the nodes.
#[test]
fn calls_to_a_rejecting_store_grow_slower_than_the_number_of_nodes() {
    let calls_per_backoff_interval = |count: usize| -> f64 {
        let nodes = nodes(count);
        let settings = ReaderSettings::default();
        let silent_for = Duration::from_secs(10);
        let roles = nodes.iter().map(|own| {
            let others: Vec<&NodeName> = nodes.iter().filter(|node| *node != own).collect();
            reader_role(
                &settings,
                ReaderContext { own, others: &others, silent_for, has_store_contact: true },
            )
            .unwrap()
        });
        roles.map(|role| 1.0 / f64::from(role.backoff_factor)).sum()
    };
    assert!((calls_per_backoff_interval(4) - 4.0).abs() < 0.01);
    assert!(calls_per_backoff_interval(195) < 40.0, "{}", calls_per_backoff_interval(195));
}

/// If all 195 nodes started to read at once, they would overload a store that has just begun to reject calls.
#[test]
fn the_number_of_readers_at_most_doubles_per_step() {
    let nodes = nodes(195);
    let mut before = 2;
    let mut silent_for = Duration::from_millis(1_200);
    while silent_for < Duration::from_secs(3) {
        let count = readers(&nodes, silent_for).len();
        assert!(count <= before * 2, "{count} of {before} after {silent_for:?}");
        before = count;
        silent_for += Duration::from_millis(50);
    }
    assert_eq!(before, 195, "all nodes read eventually");
}

#[test]
fn other_nodes_read_when_the_first_readers_are_gone() {
    let all = nodes(12);
    let age = Duration::from_millis(300);
    let first: Vec<NodeName> = readers(&all, age).into_iter().cloned().collect();
    let left: Vec<NodeName> = all.into_iter().filter(|node| !first.contains(node)).collect();
    assert_eq!(readers(&left, age).len(), 2);
}

#[test]
fn another_node_reads_if_the_designated_readers_lose_store_contact() {
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
